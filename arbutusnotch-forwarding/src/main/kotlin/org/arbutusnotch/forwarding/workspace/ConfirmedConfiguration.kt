/*
 * Keeps the knowledge that the configuration is the newest one recent, as long as the deployment has workspaces.
 *
 * A few instances ask the store often and tell the others; an instance that hears nothing asks the store itself.
 */
package org.arbutusnotch.forwarding.workspace

import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.message.ConfigurationConfirmation
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.workspace.AccessDecision
import org.arbutusnotch.core.workspace.ConfirmationTracker
import org.arbutusnotch.core.workspace.ConfirmingInstances
import org.arbutusnotch.core.workspace.WorkspaceAccess
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides on requests by the keys in the current route table.
 *
 * @param wallClock wall clock, which counts pauses of the machine too
 * @param revocationTime time after which a removed key must be rejected; null for no limit
 * @param routes returns the current route table
 * @param serving returns the instances that serve
 * @param peers returns the other instances that are reachable
 * @param queryStore asks the store for a newer configuration, unless a call sent since the given time is about to tell
 */
internal class ConfirmedConfiguration(
    private val self: InstanceAddress,
    private val clock: Clock,
    private val wallClock: Clock,
    revocationTime: Duration?,
    private val routes: () -> RouteTable?,
    private val serving: () -> List<InstanceView>,
    private val peers: () -> List<InstanceView>,
    private val send: (InstanceAddress, PeerMessage) -> Unit,
    private val queryStore: (notBefore: Timestamp) -> Unit,
) {
    private val log = EventLog("workspaces")
    private val tracker = ConfirmationTracker()
    private val maximumAge = revocationTime?.let { WorkspaceAccess.maximumAge(after = it) }
    private var nextQueryAt = Timestamp(0)
    private var nextSendAt = Timestamp(0)
    private var nextRoleCheckAt = Timestamp(0)

    /** Whether this instance confirms the configuration for its peers. */
    private var isConfirming = false

    private val isUsed: Boolean
        get() = routes()?.access != null

    /** Time for which the next call to the store waits for changes; null if confirmations do not depend on it. */
    val watchTime: Duration?
        get() = CONFIRMING_WATCH_TIME.takeIf { isUsed && (isConfirming || isOld(clock.now())) }

    /** Age of the latest confirmation in milliseconds; -1 if there is none. */
    val ageMillis: Int
        get() = tracker.age(clock.now())?.inWholeMilliseconds?.coerceAtMost(Int.MAX_VALUE.toLong())?.toInt() ?: -1

    private fun isOld(now: Timestamp) = tracker.age(now).let { it == null || it > QUERY_AGE }

    /** Decides on a request of [route] in [table] that carries the key with the digest [key]. */
    fun decide(table: RouteTable, route: Route, key: ContentDigest?): AccessDecision {
        val access = table.access ?: return AccessDecision.Granted(workspace = null)
        val now = checkForPause()
        val decision = access.decide(route, key, tracker.age(now), maximumAge)
        if (decision is AccessDecision.Unconfirmed) query(now)
        return decision
    }

    /** Records that a call to the store, sent at [sentAt], showed that the routes were current at [validAt]. */
    fun onStoreAnswer(sentAt: Timestamp, validAt: Timestamp) {
        val now = checkForPause()
        tracker.confirmByStore(sentAt, validAt)
        val revision = routes()?.revision ?: return
        val isRecent = sentAt >= tracker.voidBefore && now - validAt <= QUERY_AGE
        if (!isConfirming || !isRecent || now < nextSendAt) return
        nextSendAt = now + SEND_INTERVAL
        val message = ConfigurationConfirmation(revision, (now - validAt).inWholeMilliseconds)
        peers().forEach { send(it.address, message) }
    }

    fun onMessage(message: ConfigurationConfirmation) {
        val own = routes()?.revision ?: return
        val now = checkForPause()
        if (message.revision == own) tracker.confirmByPeer(message.ageMillis.milliseconds, now)
        if (message.revision > own) query(now)
    }

    fun tick() {
        val now = checkForPause()
        tracker.recordTick(now)
        val wasConfirming = isConfirming
        checkRole(now)
        val begins = isConfirming && !wasConfirming
        if (isUsed && (begins || isOld(now))) query(now)
    }

    private fun checkRole(now: Timestamp) {
        if (now < nextRoleCheckAt) return
        nextRoleCheckAt = now + ROLE_CHECK_INTERVAL
        isConfirming = isUsed && ConfirmingInstances.contains(self, serving())
    }

    private fun query(now: Timestamp) {
        if (now < nextQueryAt) return
        nextQueryAt = now + QUERY_INTERVAL
        queryStore(tracker.voidBefore)
    }

    private fun checkForPause(): Timestamp {
        val now = clock.now()
        val age = tracker.age(now)
        if (tracker.checkForPause(now, wallClock.now()) && isUsed) {
            nextQueryAt = now
            log.warn("confirmation_void") { field("age_millis", age?.inWholeMilliseconds) }
        }
        return now
    }

    private companion object {
        /** Time for which calls to the store wait at instances that confirm often. */
        val CONFIRMING_WATCH_TIME = 1.seconds

        /** Age of the confirmation above which this instance asks the store, and the time between two such calls. */
        val QUERY_AGE = 1_500.milliseconds
        val QUERY_INTERVAL = 500.milliseconds

        /** Minimum time between two confirmations for the peers: less than a watch, so that each watch is reported. */
        val SEND_INTERVAL = 400.milliseconds

        /** Time within which an instance replaces a confirming one that has left. */
        val ROLE_CHECK_INTERVAL = 500.milliseconds
    }
}
