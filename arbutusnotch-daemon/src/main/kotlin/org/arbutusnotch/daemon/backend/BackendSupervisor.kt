/*
 * The regular work of a slot owner at its backend servers: it reads their load, releases what nobody waits for any
 * more, and tells engines which models to load. Entries read the cache events of prefill servers.
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
import org.arbutusnotch.daemon.telemetry.Counters
import org.arbutusnotch.daemon.telemetry.HeldCancellation
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.arbutusnotch.core.routing.CacheEvent as CachedPrefixEvent
import org.arbutusnotch.core.routing.CacheEventKind as CachedPrefixEventKind

/** Time between two rounds of a [BackendSupervisor]. */
internal val SUPERVISION_INTERVAL: Duration = 1.seconds

/** Runs rounds over the backend servers of the active configuration. */
internal class BackendSupervisor(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val engine: EngineClient,
    private val services: ServiceClient,
    private val pending: PendingReservations,
    private val counters: Counters,
) {
    private val log = EventLog("backend")
    private val held = HeldRequestSweep()
    private val ordered = HashMap<BackendServerId, RevisionNumber>()

    /** Runs one round; servers that do not answer delay no other. */
    suspend fun round() = coroutineScope {
        val plan = loop.run { plan() }
        plan.forEach { supervised -> launch { supervise(supervised) } }
    }

    private fun ControlState.plan(): List<SupervisedServer> {
        val current = directory ?: return emptyList()
        val live = liveIds()
        return current.configuration.pools.flatMap { pool ->
            current.servers(pool.name).map { server ->
                val owned = SlotOwnership.ownerOf(server.address, live) == self
                SupervisedServer(
                    definition = server,
                    kind = pool.kind,
                    owned = owned,
                    readsLoad = owned || policy == RoutingPolicy.LeastReportedLoad,
                    ordersAllowed = owned && (server.fencing || isViewFresh()),
                    revision = current.configuration.revision,
                    models = current.modelsOf(server),
                )
            }
        }
    }

    /** An engine that ignores fencing numbers must not get commands of an instance that missed a revision. */
    private fun ControlState.isViewFresh(): Boolean =
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

            PoolKind.SERVICE -> if (server.readsLoad) {
                services.load(server.address, deadline()).onOk { load ->
                    applyLoad(server, LoadReport(load.asOf, load.active, load.waiting, load.capacity))
                }
            }
        }
    }

    private suspend fun superviseEngine(server: SupervisedServer) {
        if (server.readsLoad) {
            engine.load(server.address, deadline()).onOk { load -> applyLoad(server, load.toReport()) }
        }
        if (server.owned) sweepHeld(server)
        if (server.ordersAllowed) order(server)
    }

    private suspend fun applyLoad(server: SupervisedServer, report: LoadReport) {
        val decisions = loop.run {
            servers.merge(server.address, report)
            if (server.owned) reservations.applyLoadReport(server.address, report, clock.now()) else emptyList()
        }
        decisions.forEach(pending::complete)
    }

    private suspend fun sweepHeld(server: SupervisedServer) {
        val requests = engine.held(server.address, deadline()).get() ?: return
        val cancelled = loop.run {
            val reported = reservations.reservations(server.address).map { it.attempt }.toSet()
            held.toCancel(requests, reported, instances, clock.now())
        }
        cancelled.forEach { (request, reason) ->
            engine.cancel(server.address, request.attempt, deadline()).onOk {
                counters.heldCancelled(reason)
                log.info("held_request_cancelled") {
                    field("server", server.address)
                    field("attempt", request.attempt)
                    field("reason", reason.code)
                }
            }
        }
    }

    private suspend fun readCacheEvents(server: SupervisedServer) {
        val after = loop.run { prefixes.lastSequence(server.address) }
        val update = engine.cacheEvents(server.address, after, deadline()).get() ?: return
        val events = update.events.map { CachedPrefixEvent(it.sequence, it.kind.toPrefixKind(), it.prefixDigest) }
        loop.run { prefixes.apply(server.address, events, update.next) }
    }

    private suspend fun order(server: SupervisedServer) {
        if (ordered[server.address] == server.revision) return
        server.models.forEach { model ->
            engine.order(server.address, EngineOrder.LoadModel(model), server.revision, deadline())
                .onOk { ordered[server.address] = server.revision }
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

    private fun deadline(): Timestamp = clock.now() + CALL_TIMEOUT

    private fun EngineLoad.toReport() = LoadReport(asOf, active, waiting, capacity, queuedPrefillTokens.toInt())

    private fun CacheEventKind.toPrefixKind(): CachedPrefixEventKind = when (this) {
        CacheEventKind.STORED -> CachedPrefixEventKind.STORED
        CacheEventKind.EVICTED -> CachedPrefixEventKind.EVICTED
    }

    private data class SupervisedServer(
        val definition: ServerDefinition,
        val kind: PoolKind,
        val owned: Boolean,
        val readsLoad: Boolean,
        val ordersAllowed: Boolean,
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
