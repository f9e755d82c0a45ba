/*
 * Dispatches for the pools that other instances, or this one, ask for.
 */
package org.arbutusnotch.forwarding.dispatch

import org.arbutusnotch.core.dispatch.DispatchDecision
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
import kotlin.time.Duration.Companion.milliseconds

/**
 * Holds one [PoolDispatcher] for each pool.
 *
 * @param servers returns the servers of all pools that may get new work
 * @param noteLeaving records that the process of a server that started at a time leaves
 * @param definition returns what the configuration says of a pool
 * @param newBudget creates the retry budget of a pool
 * @param repeatShare returns the part of all repeats that this instance may give out
 * @param mayOrder returns whether this instance alone may order servers of a pool
 * @param order orders a server to change its stage, and calls its second argument if the order cannot be sent
 * @param reply sends a reply to the instance at an address
 */
internal class DispatchService(
    private val servers: (Timestamp) -> List<BackendServer>,
    private val noteLeaving: (BackendServerId, Long) -> Unit,
    private val definition: (PoolId) -> PoolDefinition?,
    private val newBudget: () -> RetryBudget,
    private val repeatShare: () -> Double,
    private val mayOrder: (PoolId, Timestamp) -> Boolean,
    private val order: (StageChange, () -> Unit) -> Unit,
    private val reply: (InstanceAddress, DispatchReply) -> Unit,
) {
    private val log = EventLog("dispatch")
    private val dispatchers = HashMap<PoolId, PoolDispatcher>()

    /** Requests that wait in all pools. */
    val queueLength: Int
        get() = dispatchers.values.sumOf { it.queueLength }

    /** Places in use in all pools. */
    val placesInUse: Int
        get() = dispatchers.values.sumOf { it.placesInUse }

    fun onRequest(request: DispatchRequest, now: Timestamp) {
        deliver(request.pool, dispatcher(request.pool, now).submit(request, now), now)
    }

    fun onRelease(release: DispatchRelease, now: Timestamp) {
        val dispatcher = dispatchers[release.pool] ?: return
        deliver(release.pool, dispatcher.release(release, now), now)
    }

    fun onHeld(held: HeldPlaces, now: Timestamp) {
        deliver(held.pool, dispatcher(held.pool, now).reconcile(held, now), now)
    }

    fun onNotice(notice: ServerNotice, now: Timestamp) {
        val dispatcher = dispatchers[notice.pool]
        when (notice) {
            is ServerNotice.Leaving -> {
                noteLeaving(notice.server, notice.startedAt)
                dispatcher?.let { configure(notice.pool, it, now) }
            }

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
        // A decision may end a request of this instance and begin one for a pool that has no dispatcher yet.
        dispatchers.entries.toList().forEach { (pool, dispatcher) ->
            dispatcher.configure(usable[pool].orEmpty(), definition(pool)?.engine)
            dispatcher.limitRetries(repeatShare())
            deliver(pool, dispatcher.tick(now), now)
            changeStages(pool, dispatcher, now)
        }
    }

    private fun changeStages(pool: PoolId, dispatcher: PoolDispatcher, now: Timestamp) {
        val switchTime = definition(pool)?.engine?.stageSwitchTime ?: return
        if (!mayOrder(pool, now)) return
        val change = dispatcher.beginStageChange(switchTime, now) ?: return
        order(change) { dispatcher.cancelStageChange(change, now) }
    }

    private fun dispatcher(pool: PoolId, now: Timestamp): PoolDispatcher = dispatchers.getOrPut(pool) {
        PoolDispatcher(newBudget()).also { created ->
            configure(pool, created, now)
            created.limitRetries(repeatShare())
            log.info("dispatching") { field("pool", pool) }
        }
    }

    private fun configure(pool: PoolId, dispatcher: PoolDispatcher, now: Timestamp) =
        dispatcher.configure(servers(now).filter { it.pool == pool }, definition(pool)?.engine)

    private fun deliver(pool: PoolId, decisions: List<DispatchDecision>, now: Timestamp) {
        decisions.forEach { decision ->
            if (decision is DispatchDecision.Refused) logRefusal(pool, decision, now)
            reply(decision.holder.address, replyOf(decision))
        }
    }

    private fun logRefusal(pool: PoolId, refusal: DispatchDecision.Refused, now: Timestamp) {
        val dispatcher = dispatchers[pool]
        log.info("dispatch_refused") {
            field("ticket", refusal.ticket)
            field("pool", pool)
            field("reason", refusal.reason)
            field("waiting", dispatcher?.queueLength)
            field("places_in_use", dispatcher?.placesInUse)
            field("repeats_left", dispatcher?.availableRetries(now))
            field("retry_millis", refusal.retryAfter.inWholeMilliseconds)
        }
    }

    private fun replyOf(decision: DispatchDecision): DispatchReply = when (decision) {
        is DispatchDecision.Granted ->
            DispatchReply.Granted(decision.ticket, decision.server, decision.prefillServer)

        is DispatchDecision.Queued -> DispatchReply.Queued(decision.ticket)

        is DispatchDecision.Refused ->
            DispatchReply.Refused(decision.ticket, decision.reason, decision.retryAfter.inWholeMilliseconds)
    }
}
