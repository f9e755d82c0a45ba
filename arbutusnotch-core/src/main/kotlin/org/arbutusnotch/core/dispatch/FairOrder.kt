/*
 * Shares a pool that has too little capacity between workspaces, routes and the failure domains of callers.
 *
 * Inside one priority, requests of the workspace that has recently had most service are postponed until the others
 * can be on time, there those of the route and then of the failure domain that has had most. A workspace with many
 * times its usual load delays its own requests that way, and a rare kind of request is served at least as often as a
 * frequent one. The requests that are not postponed keep their order, which is that of [RankedRequest].
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.time.Timestamp
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Names a workspace, one of its routes, or a failure domain of callers of that route; null for all of them. */
internal data class ServiceShareKey(
    val workspace: WorkspaceId?,
    val route: String? = null,
    val domain: FailureDomainId? = null,
)

/** Adds up the service that was recently granted, in tokens, or in calls for a pool of plain calls. */
internal class ServiceShares {
    private val shares = HashMap<ServiceShareKey, Share>()

    private class Share(var service: Double, var asOf: Timestamp)

    /** Returns the service granted to [key] until [now]; service of [DECAY_TIME] ago counts about a third. */
    fun of(key: ServiceShareKey, now: Timestamp): Double = shares[key]?.let { decayed(it, now) } ?: 0.0

    /** Records that [entry] was granted a place at [now]. */
    fun record(entry: WaitingRequest, now: Timestamp) {
        val service = serviceOf(entry)
        keysOf(entry).forEach { key ->
            val share = shares.getOrPut(key) { Share(0.0, now) }
            share.service = decayed(share, now) + service
            share.asOf = now
        }
    }

    /** Forgets shares that no longer influence the order. */
    fun expire(now: Timestamp) {
        shares.values.removeIf { now - it.asOf > LIFETIME }
    }

    private fun decayed(share: Share, now: Timestamp): Double = share.service * exp(-((now - share.asOf) / DECAY_TIME))

    companion object {
        /** Longer than a burst of requests, and short enough for a workspace whose burst has ended. */
        private val DECAY_TIME = 5.seconds
        private val LIFETIME = 30.seconds

        /** Returns the service that a place for [entry] is. */
        fun serviceOf(entry: WaitingRequest): Double = when (val work = entry.work) {
            is DispatchWork.Call -> 1.0
            is DispatchWork.Generation -> (work.promptTokens + work.expectedOutputTokens).toDouble()
        }

        /** Returns the keys of [entry], from its workspace to its failure domain. */
        fun keysOf(entry: WaitingRequest): List<ServiceShareKey> = listOf(
            ServiceShareKey(entry.workspace),
            ServiceShareKey(entry.workspace, entry.route.orEmpty()),
            ServiceShareKey(entry.workspace, entry.route.orEmpty(), entry.domain),
        )
    }
}

/**
 * Selects the requests that make room for others while capacity is too small.
 *
 * The requests are planned in their order. Whenever one of them would be late, a request of the workspace that has most
 * service is postponed, and there of the route and then of the failure domain that has most. The service is what
 * [shares] recorded plus what is planned, so that in the order of deadlines everyone gets what it asks for up to an
 * equal share.
 *
 * @param selection gives the expected times of requests at [now]
 */
internal class FairOrder(
    private val selection: PlaceSelection,
    private val shares: ServiceShares,
    private val now: Timestamp,
) {
    private val totals = HashMap<ServiceShareKey, Total>()

    /**
     * Returns the requests among [ranked] that go behind all others that can be on time; none if all can be on time or
     * if all are of the same workspace, route and failure domain.
     */
    fun postponed(ranked: List<RankedRequest>): Set<TicketId> {
        val candidates = ranked.filter { !it.isLate && !it.entry.begun }
        val first = candidates.firstOrNull()?.entry ?: return emptySet()
        if (candidates.all { it.entry.isOfSameFlow(first) }) return emptySet()
        val postponed = HashSet<TicketId>()
        var wait = ranked.filter { it.entry.begun }.fold(Duration.ZERO) { sum, request -> sum + costOf(request) }
        candidates.sorted().groupBy { it.entry.priority }.forEach { (_, members) ->
            val plan = ArrayList<Planned>()
            members.forEach { request ->
                val planned = plan(request)
                plan += planned
                wait += planned.cost
                while (plan.isNotEmpty() && planned.isPlanned && wait - planned.cost > slackOf(request)) {
                    val last = mostServed(plan)
                    plan -= last
                    last.withdraw()
                    wait -= last.cost
                    postponed += last.request.entry.ticket
                }
            }
        }
        return postponed
    }

    /**
     * Returns the request to postpone of the flow that has most service: one whose objective is late or whose run is
     * long, because several short ones can be served in its place.
     */
    private fun mostServed(plan: List<Planned>): Planned {
        var flow = plan
        for (level in 0 until LEVELS) {
            val most = flow.maxOf { it.totals[level].service }
            flow = flow.filter { it.totals[level].service >= most }
        }
        return flow.maxBy { it.replaceability }
    }

    private fun plan(request: RankedRequest): Planned {
        val keys = ServiceShares.keysOf(request.entry)
        val own = keys.map { key -> totals.getOrPut(key) { Total(shares.of(key, now)) } }
        val extra = selection.expectedRunTime(request.entry) * RUN_TIME_WEIGHT
        return Planned(request, costOf(request), own, request.entry.objectiveAt + extra)
    }

    private fun costOf(request: RankedRequest): Duration = selection.timePerRequest(request.entry)

    private fun slackOf(request: RankedRequest): Duration {
        val entry = request.entry
        return entry.objectiveAt - now - selection.expectedTimeToFirstEvent(entry, now)
    }

    private fun WaitingRequest.isOfSameFlow(other: WaitingRequest): Boolean =
        workspace == other.workspace && route == other.route && domain == other.domain

    private class Total(var service: Double)

    private class Planned(
        val request: RankedRequest,
        val cost: Duration,
        val totals: List<Total>,
        val replaceability: Timestamp,
    ) {
        private val service = ServiceShares.serviceOf(request.entry)
        var isPlanned = true
            private set

        init {
            totals.forEach { it.service += service }
        }

        fun withdraw() {
            isPlanned = false
            totals.forEach { it.service -= service }
        }
    }

    private companion object {
        /** Number of keys of a request: workspace, route and failure domain. */
        const val LEVELS = 3

        /** Share of the expected run time that counts like a later objective in the choice of postponed requests. */
        const val RUN_TIME_WEIGHT = 0.25
    }
}
