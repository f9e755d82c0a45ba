/*
 * All tables of one instance. They are accessed only from the control thread; see ControlLoop.
 */
package org.arbutusnotch.daemon.control

import org.arbutusnotch.core.configuration.CallerDirectory
import org.arbutusnotch.core.configuration.RevisionTable
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.limit.ClientLimitTable
import org.arbutusnotch.core.membership.DrainState
import org.arbutusnotch.core.membership.DrainWork
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.permit.PermitTable
import org.arbutusnotch.core.quarantine.QuarantineTable
import org.arbutusnotch.core.reservation.ReservationTable
import org.arbutusnotch.core.retry.RetryBudget
import org.arbutusnotch.core.routing.PrefixTable
import org.arbutusnotch.core.routing.Router
import org.arbutusnotch.core.routing.RoutingPolicy
import org.arbutusnotch.core.straggler.ServerTable
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.settings.DaemonSettings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Holds the tables of the instance that [settings] describes. */
internal class ControlState(val settings: DaemonSettings, startedAt: Timestamp, val random: Random) {
    val self: InstanceId = InstanceId(
        address = settings.instance.peerAddress,
        incarnation = settings.instance.incarnation ?: Incarnation(startedAt.epochMillis),
    )
    val policy: RoutingPolicy = checkNotNull(RoutingPolicy.ofCode(settings.routing.policy.code)) {
        "routing policy ${settings.routing.policy.code} has no implementation"
    }
    val instances = InstanceTable(own = ownRow(), seeds = settings.seed.peers)
    val parser = ConfigurationParser()
    val revisions = RevisionTable(parse = parser::parse)
    val permits = PermitTable(
        self = self,
        capacity = settings.limits.permitRecords,
        answerByteLimit = settings.limits.answerBytes,
        maximumTokenLifetime = settings.limits.tokenLifetime + MAXIMUM_CLOCK_SKEW,
    )
    val quarantine = QuarantineTable(self.address)
    val reservations = ReservationTable()
    val servers = ServerTable()
    val prefixes = PrefixTable()
    val router = Router(policy, settings.instance.failureDomain, random, servers, prefixes)
    val retryBudget = RetryBudget()
    val clientLimits = ClientLimitTable()

    /** Lookups in the active configuration; null until one is active. */
    var directory: CallerDirectory? = null

    /** Progress of a shutdown. */
    var drain: DrainState = DrainState.Serving

    /** Time of the latest tick; a long gap since then means that the process was paused. */
    var lastTickAt: Timestamp = startedAt

    /** Time at which this instance last worked on a request or a reservation. */
    var lastWorkAt: Timestamp = startedAt

    private var attempts = 0L
    private var requests = 0L

    /** Creates the id of a new attempt. */
    fun nextAttemptId(): AttemptId = AttemptId("$self/${++attempts}")

    /** Creates the id of a new request. */
    fun nextRequestId(): RequestId = RequestId("${self.address}-${self.incarnation}-${++requests}")

    /** Returns the reachable instances, including this one. */
    fun liveInstances(): List<InstanceId> = instances.live().map { it.instance }

    /** Returns the addresses of the reachable peers. */
    fun reachablePeers(): List<InstanceAddress> = instances.reachablePeers().map { it.address }

    /** Returns the requests and tokens that a shutdown would interrupt now. */
    fun drainWork(): DrainWork = DrainWork(
        requests = clientLimits.total(),
        tokens = permits.recordCount,
        lastTokenExpiry = permits.latestExpiry,
    )

    private fun ownRow(): InstanceRow = InstanceRow(
        instance = self,
        entryAddress = settings.instance.entryAddress,
        operatorAddress = settings.instance.operatorAddress,
        failureDomain = settings.instance.failureDomain,
        state = InstanceState.STARTING,
        heartbeat = 0,
    )

    private companion object {
        /** Maximum accepted clock skew between an issuer and the entry that returned its prefix. */
        val MAXIMUM_CLOCK_SKEW: Duration = 30.seconds
    }
}
