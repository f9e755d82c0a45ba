/*
 * Dispatches place requests of other instances and of this one, for each pool.
 */
package org.arbutusnotch.forwarding.dispatch

import org.arbutusnotch.core.dispatch.DispatchDecision
import org.arbutusnotch.core.dispatch.DispatchPolicy
import org.arbutusnotch.core.dispatch.HeldBackChange
import org.arbutusnotch.core.dispatch.PaceChange
import org.arbutusnotch.core.dispatch.PaceState
import org.arbutusnotch.core.dispatch.PlaceExplanation
import org.arbutusnotch.core.dispatch.PoolDispatcher
import org.arbutusnotch.core.dispatch.StageChange
import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.PoolDefinition
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchReply
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.ServerNotice
import org.arbutusnotch.core.retry.RetryBudget
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.EventLog
import java.util.Locale
import kotlin.time.Duration.Companion.milliseconds

/**
 * Holds one [PoolDispatcher] for each pool.
 *
 * @param servers returns the servers of all pools that accept new work
 * @param recordLeaving records that the process of a server with the given start time is shutting down
 * @param poolDefinition returns the configured definition of a pool
 * @param newBudget creates the retry budget of a pool
 * @param retryShare returns the fraction of the retry budget, from 0 to 1, that this instance may grant
 * @param requestShare returns the fraction, from 0 to 1, of the request limits of servers that a dispatcher may grant
 * @param sharesCapacity returns whether callers share the capacity of a pool that is too small for all of them
 * @param placeShare returns the fraction, from 0 to 1, of the places of a pool that a dispatcher may have granted
 * @param mayOrderStageChange returns whether this instance is the only one that may order stage changes in a pool
 * @param orderStageChange orders a server to change its stage; calls its second argument if the order cannot be sent
 * @param reply sends a reply to the instance at an address
 * @param pacesServers whether servers that have just started or recovered get fewer requests at a time
 * @param recordPaceChange counts a change of the state in which the pace of a server is
 * @param recordHeldBack counts a server of a pool that is held back for failures from now on, or no longer
 */
internal class DispatchService(
    private val servers: (Timestamp) -> List<BackendServer>,
    private val recordLeaving: (BackendServerId, Long) -> Unit,
    private val poolDefinition: (PoolId) -> PoolDefinition?,
    private val newBudget: () -> RetryBudget,
    private val retryShare: () -> Double,
    private val requestShare: (PoolId, PoolDispatcher) -> Double,
    private val sharesCapacity: () -> Boolean = { false },
    private val placeShare: (PoolId, PoolDispatcher) -> Double = { _, _ -> 1.0 },
    private val mayOrderStageChange: (PoolId, Timestamp) -> Boolean,
    private val orderStageChange: (StageChange, () -> Unit) -> Unit,
    private val reply: (InstanceAddress, DispatchReply) -> Unit,
    private val pacesServers: Boolean = false,
    private val recordPaceChange: (PaceState) -> Unit = {},
    private val recordHeldBack: (pool: PoolId, isHeldBack: Boolean) -> Unit = { _, _ -> },
) {
    private val log = EventLog("dispatch")
    private val dispatchers = HashMap<PoolId, PoolDispatcher>()

    /** Number of queued requests in all pools. */
    val queueLength: Int
        get() = dispatchers.values.sumOf { it.queueLength }

    /** Number of places in use in all pools. */
    val placesInUse: Int
        get() = dispatchers.values.sumOf { it.placesInUse }

    /** Number of queued requests that make room for requests of other workspaces, routes or failure domains. */
    val postponedRequests: Int
        get() = dispatchers.values.sumOf { it.postponedRequests }

    /** Number of late requests in all pools that were refused because of the queue ahead of them. */
    val earlyRefusals: Int
        get() = dispatchers.values.sumOf { it.earlyRefusals }

    /** Number of servers in all pools that limit their requests. */
    val limitedServers: Int
        get() = dispatchers.values.sumOf { it.limitedServers }

    /** Number of servers in all pools that get fewer requests at a time. */
    val pacedServers: Int
        get() = dispatchers.values.sumOf { it.pacedServers }

    fun onRequest(request: DispatchRequest, now: Timestamp) {
        val dispatcher = dispatcher(request.pool, now)
        if (request.leaving.isNotEmpty()) {
            request.leaving.forEach { recordLeaving(it.server, it.startedAt) }
            configure(request.pool, dispatcher, now)
        }
        deliver(request.pool, dispatcher.submit(request, now), now)
    }

    /** Returns what would be decided about [request]; a pool without a dispatcher gets none by that. */
    fun explain(request: DispatchRequest, now: Timestamp): PlaceExplanation {
        val dispatcher =
            dispatchers[request.pool] ?: PoolDispatcher(newBudget()).also { configure(request.pool, it, now) }
        return dispatcher.explain(request, now)
    }

    fun onRelease(release: DispatchRelease, now: Timestamp) {
        val dispatcher = dispatchers[release.pool] ?: return
        deliver(release.pool, dispatcher.release(release, now), now)
    }

    fun onHeldPlaces(held: HeldPlaces, now: Timestamp) {
        deliver(held.pool, dispatcher(held.pool, now).reconcile(held, now), now)
    }

    fun onNotice(notice: ServerNotice, now: Timestamp) {
        val dispatcher = dispatchers[notice.pool]
        when (notice) {
            is ServerNotice.Leaving -> {
                recordLeaving(notice.server, notice.startedAt)
                dispatcher?.let { configure(notice.pool, it, now) }
            }

            is ServerNotice.Limit ->
                deliver(notice.pool, dispatcher(notice.pool, now).updateLimit(notice.report, now), now)

            is ServerNotice.Pause -> {
                val until = now + notice.pauseMillis.milliseconds
                val decisions = dispatcher?.pause(notice.server, notice.holder, until, now).orEmpty()
                deliver(notice.pool, decisions, now)
            }
        }
    }

    fun tick(now: Timestamp) {
        if (dispatchers.isEmpty()) return
        val usable = servers(now).groupBy { it.pool }
        // A delivered decision may start a request of this instance for a pool that has no dispatcher yet.
        dispatchers.entries.toList().forEach { (pool, dispatcher) ->
            dispatcher.configure(usable[pool].orEmpty(), poolDefinition(pool)?.engine)
            limitToShare(pool, dispatcher, now)
            deliver(pool, dispatcher.tick(now), now)
            dispatcher.checkHeldBackServers(now).forEach { reportHeldBack(pool, it, now) }
            changeStages(pool, dispatcher, now)
        }
    }

    private fun changeStages(pool: PoolId, dispatcher: PoolDispatcher, now: Timestamp) {
        val switchTime = poolDefinition(pool)?.engine?.stageSwitchTime ?: return
        if (!mayOrderStageChange(pool, now)) return
        val change = dispatcher.beginStageChange(switchTime, now) ?: return
        orderStageChange(change) { dispatcher.cancelStageChange(change, now) }
    }

    private fun dispatcher(pool: PoolId, now: Timestamp): PoolDispatcher = dispatchers.getOrPut(pool) {
        PoolDispatcher(newBudget(), DispatchPolicy(pacesServers = pacesServers)).also { newDispatcher ->
            configure(pool, newDispatcher, now)
            limitToShare(pool, newDispatcher, now)
            log.info("dispatching") { field("pool", pool) }
        }
    }

    /** Limits [dispatcher] to what this instance may grant while other instances may dispatch for [pool] too. */
    private fun limitToShare(pool: PoolId, dispatcher: PoolDispatcher, now: Timestamp) {
        dispatcher.limitRetries(retryShare())
        dispatcher.limitPlaces(placeShare(pool, dispatcher))
        dispatcher.shareCapacity(sharesCapacity())
        if (dispatcher.limitedServers > 0) dispatcher.limitRequests(requestShare(pool, dispatcher), now)
    }

    private fun configure(pool: PoolId, dispatcher: PoolDispatcher, now: Timestamp) =
        dispatcher.configure(servers(now).filter { it.pool == pool }, poolDefinition(pool)?.engine)

    private fun deliver(pool: PoolId, decisions: List<DispatchDecision>, now: Timestamp) {
        dispatchers[pool]?.takePaceChanges()?.forEach { reportPaceChange(pool, it) }
        decisions.forEach { decision ->
            if (decision is DispatchDecision.Refused) logRefusal(pool, decision, now)
            reply(decision.holder.address, replyOf(decision))
        }
    }

    private fun reportPaceChange(pool: PoolId, change: PaceChange) {
        recordPaceChange(change.state)
        log.info("server_pace_changed") {
            field("server", change.server)
            field("pool", pool)
            field("state", change.state.name.lowercase())
            field("limit", change.limit)
        }
    }

    private fun reportHeldBack(pool: PoolId, change: HeldBackChange, now: Timestamp) {
        recordHeldBack(pool, change.isHeldBack)
        val failures = change.failures
        log.warn(if (change.isHeldBack) "server_held_back" else "server_no_longer_held_back") {
            field("server", change.server)
            field("pool", pool)
            field("callers_domain", change.domain)
            field("failure_share", "%.2f".format(Locale.ROOT, failures.share))
            field("samples", failures.samples)
            field("answered_before_millis", (now - failures.answeredAt).inWholeMilliseconds)
            if (change.isHeldBack) field("next_probe_millis", (failures.nextProbeAt - now).inWholeMilliseconds)
        }
    }

    private fun logRefusal(pool: PoolId, refusal: DispatchDecision.Refused, now: Timestamp) {
        val dispatcher = dispatchers[pool]
        log.info("dispatch_refused") {
            field("ticket", refusal.ticket)
            field("pool", pool)
            field("reason", refusal.reason)
            field("waiting", dispatcher?.queueLength)
            field("postponed", dispatcher?.postponedRequests)
            field("places_in_use", dispatcher?.placesInUse)
            field("repeats_left", dispatcher?.availableRetries(now))
            field("retry_millis", refusal.retryAfter.inWholeMilliseconds)
        }
    }

    private fun replyOf(decision: DispatchDecision): DispatchReply = when (decision) {
        is DispatchDecision.Granted ->
            DispatchReply.Granted(decision.ticket, decision.server, decision.prefillServer, decision.limited)

        is DispatchDecision.Queued -> DispatchReply.Queued(decision.ticket)

        is DispatchDecision.Refused ->
            DispatchReply.Refused(
                ticket = decision.ticket,
                reason = decision.reason,
                retryMillis = decision.retryAfter.inWholeMilliseconds,
                relays = decision.relays,
            )
    }
}
