/*
 * Periodic supervision of backend servers. A slot owner reads their load, cancels orphaned prefill results and decode
 * streams, and sends engines commands to load models. Every instance reads the cache events of prefill servers.
 */
package org.arbutusnotch.daemon.backend

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.arbutusnotch.core.configuration.CallerDirectory
import org.arbutusnotch.core.configuration.PoolKind
import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.membership.SlotOwnership
import org.arbutusnotch.core.reservation.LoadReport
import org.arbutusnotch.core.routing.RoutingPolicy
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.daemon.control.ControlState
import org.arbutusnotch.daemon.control.PendingReservations
import org.arbutusnotch.daemon.telemetry.CancellationReason
import org.arbutusnotch.daemon.telemetry.Counters
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.arbutusnotch.core.routing.CacheEvent as CachedPrefixEvent
import org.arbutusnotch.core.routing.CacheEventKind as CachedPrefixEventKind

/** Time between two rounds of a [BackendSupervisor]. */
internal val SUPERVISION_INTERVAL: Duration = 1.seconds

/** Supervises the backend servers of the active configuration in rounds. */
internal class BackendSupervisor(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val engine: EngineClient,
    private val services: ServiceClient,
    private val pending: PendingReservations,
    private val counters: Counters,
) {
    private val log = EventLog("backend")
    private val orphanDetector = OrphanDetector()
    private val commandedRevisions = HashMap<BackendServerId, RevisionNumber>()

    /** Runs one round over all servers concurrently, so that an unresponsive server does not delay the others. */
    suspend fun runRound() = coroutineScope {
        val supervisedServers = loop.run { supervisedServers() }
        supervisedServers.forEach { server -> launch { supervise(server) } }
    }

    private fun ControlState.supervisedServers(): List<SupervisedServer> {
        val current = directory ?: return emptyList()
        val live = liveInstances()
        return current.configuration.pools.flatMap { pool ->
            current.servers(pool.name).map { server ->
                val owned = SlotOwnership.ownerOf(server.address, live) == self
                SupervisedServer(
                    definition = server,
                    kind = pool.kind,
                    owned = owned,
                    shouldReadLoad = owned || policy == RoutingPolicy.LeastReportedLoad,
                    mayCommand = owned && (server.fencing || mayCommandWithoutFencing()),
                    revision = current.configuration.revision,
                    models = current.modelsOf(server),
                )
            }
        }
    }

    /**
     * Returns whether an engine that ignores fencing numbers may receive commands from this instance, which must not
     * have missed a revision.
     */
    private fun ControlState.mayCommandWithoutFencing(): Boolean =
        drain.leaving.not() && revisions.candidate == null && revisions.mayServe(reachablePeers())

    private fun CallerDirectory.modelsOf(server: ServerDefinition) = configuration.models
        .filter { it.prefillPool == server.pool || it.decodePool == server.pool }
        .map { it.name }

    private suspend fun supervise(server: SupervisedServer) {
        when (server.kind) {
            PoolKind.PREFILL -> {
                readCacheEvents(server)
                superviseEngine(server)
            }

            PoolKind.DECODE -> superviseEngine(server)

            PoolKind.SERVICE -> if (server.shouldReadLoad) {
                services.load(server.address, callDeadline()).onOk { load ->
                    applyLoad(server, LoadReport(load.asOf, load.active, load.waiting, load.capacity))
                }
            }
        }
    }

    private suspend fun superviseEngine(server: SupervisedServer) {
        if (server.shouldReadLoad) {
            engine.load(server.address, callDeadline()).onOk { load -> applyLoad(server, load.toReport()) }
        }
        if (server.owned) cancelOrphans(server)
        if (server.mayCommand) loadModels(server)
    }

    private suspend fun applyLoad(server: SupervisedServer, report: LoadReport) {
        val decisions = loop.run {
            servers.merge(server.address, report)
            if (server.owned) reservations.applyLoadReport(server.address, report, clock.now()) else emptyList()
        }
        decisions.forEach(pending::complete)
    }

    private suspend fun cancelOrphans(server: SupervisedServer) {
        val allocations = engine.allocations(server.address, callDeadline()).get() ?: return
        val orphans = loop.run {
            val reportedAttempts = reservations.reservations(server.address).map { it.attempt }.toSet()
            orphanDetector.findOrphans(allocations, reportedAttempts, instances, clock.now())
        }
        orphans.forEach { (allocation, reason) ->
            engine.cancel(server.address, allocation.attempt, callDeadline()).onOk {
                counters.countCancellation(reason)
                log.info("held_request_cancelled") {
                    field("server", server.address)
                    field("attempt", allocation.attempt)
                    field("reason", reason.code)
                }
            }
        }
    }

    private suspend fun readCacheEvents(server: SupervisedServer) {
        val after = loop.run { prefixes.lastSequence(server.address) }
        val update = engine.cacheEvents(server.address, after, callDeadline()).get() ?: return
        val events = update.events.map { CachedPrefixEvent(it.sequence, it.kind.toPrefixKind(), it.prefixDigest) }
        loop.run { prefixes.apply(server.address, events, update.next) }
    }

    private suspend fun loadModels(server: SupervisedServer) {
        if (commandedRevisions[server.address] == server.revision) return
        server.models.forEach { model ->
            engine.sendCommand(server.address, EngineCommand.LoadModel(model), server.revision, callDeadline())
                .onOk { commandedRevisions[server.address] = server.revision }
                .onErr { failure ->
                    if (failure is BackendError.FencingRefused) {
                        log.warn("order_refused") {
                            field("server", server.address)
                            field("fencing", failure.fencing)
                        }
                    }
                }
        }
    }

    private fun callDeadline(): Timestamp = clock.now() + CALL_TIMEOUT

    private fun EngineLoad.toReport() = LoadReport(asOf, active, waiting, capacity, queuedPrefillTokens.toInt())

    private fun CacheEventKind.toPrefixKind(): CachedPrefixEventKind = when (this) {
        CacheEventKind.STORED -> CachedPrefixEventKind.STORED
        CacheEventKind.EVICTED -> CachedPrefixEventKind.EVICTED
    }

    private data class SupervisedServer(
        val definition: ServerDefinition,
        val kind: PoolKind,
        val owned: Boolean,
        val shouldReadLoad: Boolean,
        val mayCommand: Boolean,
        val revision: RevisionNumber,
        val models: List<org.arbutusnotch.core.id.ModelId>,
    ) {
        val address: BackendServerId
            get() = definition.address
    }

    private companion object {
        val CALL_TIMEOUT: Duration = 800.milliseconds
    }
}
