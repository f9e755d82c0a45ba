/*
 * The order in which the servers of a pool are asked, under each policy.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.configuration.ServerState
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.straggler.ServerView
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Selects and orders candidates. */
internal class CandidateOrder(private val ownDomain: FailureDomainId, private val random: Random) {
    private val turns = HashMap<PoolId, Int>()

    /** Returns why [view] is not a candidate; slowness alone never empties the list, see [usable]. */
    fun skipReason(view: ServerView, excluded: Set<BackendServerId>): SkipReason? = when {
        view.definition.state == ServerState.LEAVING -> SkipReason.LEAVING
        view.backoffUntil != null -> SkipReason.FAILED
        view.server in excluded -> SkipReason.EXCLUDED_BY_REQUEST
        view.excluded -> SkipReason.SLOW
        else -> null
    }

    /** Returns the servers that are not skipped, and the slow ones when no other is left. */
    fun usable(views: List<ServerView>, excluded: Set<BackendServerId>): List<ServerView> {
        val reasons = views.groupBy { skipReason(it, excluded) }
        return reasons[null] ?: reasons[SkipReason.SLOW].orEmpty()
    }

    /** Returns every server in turn, starting with the next one of the pool. */
    fun inTurn(views: List<ServerView>): List<ServerView> {
        val first = nextInTurn(views) ?: return views
        turns.merge(first.definition.pool, 1, Int::plus)
        val start = views.indexOf(first)
        return views.drop(start) + views.take(start)
    }

    /** Returns the server whose turn it is, without ending its turn. */
    fun nextInTurn(views: List<ServerView>): ServerView? {
        val pool = views.firstOrNull()?.definition?.pool ?: return null
        return views[Math.floorMod(turns[pool] ?: 0, views.size)]
    }

    /** Orders by the load that the servers reported of themselves, in random order among equals. */
    fun byReportedLoad(views: List<ServerView>): List<ServerView> =
        views.shuffled(random).sortedBy { view -> reportedLoad(view) }

    /** Returns the first server with the least reported load. */
    fun leastReportedLoad(views: List<ServerView>): ServerView? = views.minByOrNull { reportedLoad(it) }

    private fun reportedLoad(view: ServerView): Double {
        val load = view.load ?: return 0.0
        if (view.kind == ReservationKind.PREFILL) return load.queuedPrefillTokens.toDouble()
        val capacity = if (load.capacity > 0) load.capacity else view.definition.slots
        return (load.active + load.waiting).toDouble() / capacity.coerceAtLeast(1)
    }

    /**
     * Draws two servers at random, those with free slots first, and puts the better one first; the others follow by
     * free slots as replacements. Drawing keeps the entries, which all see the same old counts, from asking the same
     * server.
     */
    fun twoChoicesBySlots(views: List<ServerView>, wait: (ServerView) -> Duration): List<ServerView> {
        val shuffled = views.shuffled(random)
        val withFreeSlot = shuffled.filter { it.freeSlots > 0 }
        val drawn = (withFreeSlot + shuffled.filter { it.freeSlots <= 0 }).take(REPLACEMENT_LIMIT)
        val order = slotOrder(wait)
        return (drawn.take(2).sortedWith(order) + drawn.drop(2).sortedWith(order)).take(CANDIDATE_LIMIT)
    }

    /** Orders by wait, free slots, failure domain and speed. */
    fun slotOrder(wait: (ServerView) -> Duration): Comparator<ServerView> = compareBy<ServerView> { wait(it) }
        .thenByDescending { it.freeSlots }
        .thenBy { it.definition.failureDomain != ownDomain }
        .thenBy { it.timePerUnit }

    /** Draws two servers at random besides the [preferred] ones and orders them all by [cost]. */
    fun twoChoicesByCost(
        views: List<ServerView>,
        preferred: List<ServerView>,
        cost: (ServerView) -> Duration,
    ): List<ServerView> {
        val drawn = (preferred + views.shuffled(random).filterNot { it in preferred }.take(2))
        return drawn.sortedBy { costWithDomain(it, cost) }.take(CANDIDATE_LIMIT)
    }

    /** Returns the [cost] of [view] with the round trip to another failure domain. */
    fun costWithDomain(view: ServerView, cost: (ServerView) -> Duration): Duration =
        cost(view) + if (view.definition.failureDomain == ownDomain) Duration.ZERO else DOMAIN_ROUND_TRIP

    private companion object {
        const val CANDIDATE_LIMIT = 4

        /** Servers that are compared in a large pool; comparing all of them takes too long for each request. */
        const val REPLACEMENT_LIMIT = 16
        val DOMAIN_ROUND_TRIP: Duration = 3.milliseconds
    }
}
