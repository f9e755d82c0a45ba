/*
 * Selects the candidate servers of a pool and orders them as each routing policy requires.
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

/**
 * Selects and orders the candidate servers of a pool.
 *
 * @param ownDomain failure domain of this instance, preferred among otherwise equal servers
 */
internal class CandidateOrder(private val ownDomain: FailureDomainId, private val random: Random) {
    private val roundRobinPositions = HashMap<PoolId, Int>()

    /**
     * Returns the reason for which [view] is not a candidate; null when it is one. Slow servers remain candidates when
     * no others are left, see [usableServers].
     */
    fun skipReason(view: ServerView, excluded: Set<BackendServerId>): SkipReason? = when {
        view.definition.state == ServerState.LEAVING -> SkipReason.LEAVING
        view.backoffUntil != null -> SkipReason.FAILED
        view.server in excluded -> SkipReason.EXCLUDED_BY_REQUEST
        view.excluded -> SkipReason.SLOW
        else -> null
    }

    /** Returns the servers that are not skipped, or the slow ones when no others are left. */
    fun usableServers(views: List<ServerView>, excluded: Set<BackendServerId>): List<ServerView> {
        val reasons = views.groupBy { skipReason(it, excluded) }
        return reasons[null] ?: reasons[SkipReason.SLOW].orEmpty()
    }

    /** Returns all servers in round-robin order and advances the position of the pool. */
    fun roundRobin(views: List<ServerView>): List<ServerView> {
        val first = nextRoundRobin(views) ?: return views
        roundRobinPositions.merge(first.definition.pool, 1, Int::plus)
        val start = views.indexOf(first)
        return views.drop(start) + views.take(start)
    }

    /** Returns the next server in round-robin order without advancing the position of the pool. */
    fun nextRoundRobin(views: List<ServerView>): ServerView? {
        val pool = views.firstOrNull()?.definition?.pool ?: return null
        return views[Math.floorMod(roundRobinPositions[pool] ?: 0, views.size)]
    }

    /** Orders [views] by the load that each server last reported; ties are broken at random. */
    fun byReportedLoad(views: List<ServerView>): List<ServerView> =
        views.shuffled(random).sortedBy { view -> reportedLoad(view) }

    /** Returns the first server with the lowest reported load; null when [views] is empty. */
    fun leastReportedLoad(views: List<ServerView>): ServerView? = views.minByOrNull { reportedLoad(it) }

    private fun reportedLoad(view: ServerView): Double {
        val load = view.load ?: return 0.0
        if (view.kind == ReservationKind.PREFILL) return load.queuedPrefillTokens.toDouble()
        val capacity = if (load.capacity > 0) load.capacity else view.definition.slots
        return (load.active + load.waiting).toDouble() / capacity.coerceAtLeast(1)
    }

    /**
     * Selects servers by the power of two random choices: samples two servers, preferring those with free slots, and
     * puts the better one first. Others follow as fallbacks, in the same order of preference. Random sampling keeps
     * instances that share the same stale slot counts from all selecting the same server.
     */
    fun twoChoicesBySlots(views: List<ServerView>, wait: (ServerView) -> Duration): List<ServerView> {
        val shuffled = views.shuffled(random)
        val withFreeSlot = shuffled.filter { it.freeSlots > 0 }
        val sampled = (withFreeSlot + shuffled.filter { it.freeSlots <= 0 }).take(COMPARED_SERVER_LIMIT)
        val order = slotComparator(wait)
        return (sampled.take(2).sortedWith(order) + sampled.drop(2).sortedWith(order)).take(CANDIDATE_LIMIT)
    }

    /** Compares servers by [wait], free slots, failure domain and speed, in this order. */
    fun slotComparator(wait: (ServerView) -> Duration): Comparator<ServerView> = compareBy<ServerView> { wait(it) }
        .thenByDescending { it.freeSlots }
        .thenBy { it.definition.failureDomain != ownDomain }
        .thenBy { it.timePerUnit }

    /** Samples two servers at random in addition to the [preferred] ones and orders all of them by [cost]. */
    fun twoChoicesByCost(
        views: List<ServerView>,
        preferred: List<ServerView>,
        cost: (ServerView) -> Duration,
    ): List<ServerView> {
        val sampled = (preferred + views.shuffled(random).filterNot { it in preferred }.take(2))
        return sampled.sortedBy { costWithDomainLatency(it, cost) }.take(CANDIDATE_LIMIT)
    }

    /** Returns the [cost] of [view], plus a round trip when the server is in another failure domain. */
    fun costWithDomainLatency(view: ServerView, cost: (ServerView) -> Duration): Duration =
        cost(view) + if (view.definition.failureDomain == ownDomain) Duration.ZERO else CROSS_DOMAIN_ROUND_TRIP

    private companion object {
        const val CANDIDATE_LIMIT = 4

        /** Maximum number of servers compared for each request; comparing all of a large pool takes too long. */
        const val COMPARED_SERVER_LIMIT = 16
        val CROSS_DOMAIN_ROUND_TRIP: Duration = 3.milliseconds
    }
}
