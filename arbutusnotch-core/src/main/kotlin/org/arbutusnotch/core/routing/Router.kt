/*
 * Places completions on a prefill and a decode server, and service calls on a replica.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.ModelDefinition
import org.arbutusnotch.core.configuration.PoolKind
import org.arbutusnotch.core.configuration.ServiceDefinition
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.straggler.ServerTable
import org.arbutusnotch.core.straggler.ServerView
import org.arbutusnotch.core.time.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides where requests run and refuses those that cannot meet their target.
 *
 * @param ownDomain failure domain of this instance, preferred among equal servers
 * @param random source of the draws and of the spread of retry times
 */
public class Router(
    private val policy: RoutingPolicy,
    private val ownDomain: FailureDomainId,
    private val random: Random,
    private val servers: ServerTable,
    private val prefixes: PrefixTable,
) {
    private val costs = PlacementCosts(prefixes)
    private val order = CandidateOrder(ownDomain, random)
    private var models: Map<ModelId, ModelDefinition> = emptyMap()
    private var services: Map<String, ServiceDefinition> = emptyMap()

    /** Applies [configuration] to the router and the prefix table; the [ServerTable] is configured by its owner. */
    public fun configure(configuration: DeploymentConfiguration) {
        models = configuration.models.associateBy { it.name }
        services = configuration.services.associateBy { it.name }
        val prefillPools = configuration.pools.filter { it.kind == PoolKind.PREFILL }.map { it.name }.toSet()
        prefixes.retain(configuration.servers.filter { it.pool in prefillPools }.map { it.address }.toSet())
    }

    /** Records that the transfer of a prefill result of [promptTokens] to a decode server took [elapsed]. */
    public fun observeTransfer(promptTokens: Int, elapsed: Duration, now: Timestamp) {
        costs.observeTransfer(promptTokens, elapsed, now)
    }

    /** Places [request], or refuses it when its predicted time to first token exceeds its deadline. */
    public fun placeCompletion(request: CompletionRequest, now: Timestamp): Placement {
        val model =
            models[request.model] ?: return refused(RefusalReason.NO_BACKEND_SERVER, CONFIGURATION_INTERVAL, now)
        val decodeViews = servers.servers(model.decodePool, now)
        val prefillViews = servers.servers(model.prefillPool, now)
        val decode = order.usable(decodeViews, request.excludedServers)
        val prefill = order.usable(prefillViews, request.excludedServers)
        if (decode.isEmpty()) return refused(RefusalReason.NO_BACKEND_SERVER, untilUsable(decodeViews, now), now)
        if (prefill.isEmpty()) return refused(RefusalReason.NO_BACKEND_SERVER, untilUsable(prefillViews, now), now)
        costs.observeRequest(model.decodePool, request.maxTokens)
        val decodeOrder = withProbe(decodeOrder(decode), decodeViews, request, now)
        val candidates = decodeOrder.map { decodeCandidate(it, decode.isSlowOnly()) }
        val prefillOrder = withProbe(prefillOrder(prefill, request), prefillViews, request, now)
        val prefills = prefillOrder.map { prefillCandidate(it, request, candidates.first(), prefill.isSlowOnly()) }
        return admit(request, candidates, prefills, now)
    }

    private fun admit(
        request: CompletionRequest,
        decode: List<DecodeCandidate>,
        prefill: List<PrefillCandidate>,
        now: Timestamp,
    ): Placement {
        val excess = excess(request, decode.first(), prefill, now)
        if (excess > VIEW_AGE) return refused(RefusalReason.CAPACITY, excess, now)
        val start = now + decode.first().predictedWait
        return Placement.Placed(decode, prefill, secondPrefillAt(prefill, start))
    }

    /** Returns the time by which the predicted first token exceeds the target; only [RoutingPolicy.Chosen] refuses. */
    private fun excess(
        request: CompletionRequest,
        decode: DecodeCandidate,
        prefill: List<PrefillCandidate>,
        now: Timestamp,
    ): Duration {
        if (policy != RoutingPolicy.Chosen) return Duration.ZERO
        val predicted = prefill.minOf { it.predictedFirstToken }
        val unloaded = prefill.minOf { it.predictedFirstToken - it.predictedWait } - decode.predictedWait
        return predicted - maxOf(request.firstTokenDeadline - now, unloaded * UNATTAINABLE_FACTOR)
    }

    /** A probe goes to a server that is known to be slow; its time is compared with that of the next candidate. */
    private fun secondPrefillAt(prefill: List<PrefillCandidate>, start: Timestamp): Timestamp? {
        if (prefill.size < 2 || policy != RoutingPolicy.Chosen) return null
        val first = prefill.firstOrNull { !it.probe } ?: prefill.first()
        return start + PrefillWatch.lateAfter(first.predictedWait + first.predictedPrefill)
    }

    private fun decodeOrder(views: List<ServerView>): List<ServerView> = when (policy) {
        RoutingPolicy.Chosen -> order.twoChoicesBySlots(views) { costs.slotWait(it) }
        RoutingPolicy.RoundRobin -> order.inTurn(views)
        RoutingPolicy.LeastReportedLoad -> order.byReportedLoad(views)
    }

    private fun prefillOrder(views: List<ServerView>, request: CompletionRequest): List<ServerView> = when (policy) {
        RoutingPolicy.Chosen -> byPrefillCost(views, request)
        RoutingPolicy.RoundRobin -> order.inTurn(views)
        RoutingPolicy.LeastReportedLoad -> order.byReportedLoad(views)
    }

    private fun byPrefillCost(views: List<ServerView>, request: CompletionRequest): List<ServerView> {
        val uncached = views.associateWith { uncachedTokens(it, request) }
        val cost = { view: ServerView -> prefillCost(view, uncached.getValue(view)) }
        val least = uncached.values.min()
        val withPrefix = views.filter { uncached[it] == least && least < request.promptTokens }
        val preferred = listOfNotNull(withPrefix.minByOrNull(cost))
        return order.twoChoicesByCost(views, preferred, cost)
    }

    private fun prefillCost(view: ServerView, uncachedTokens: Int): Duration =
        costs.prefillWait(view) + costs.workTime(view, uncachedTokens)

    private fun uncachedTokens(view: ServerView, request: CompletionRequest): Int =
        costs.uncachedTokens(view, request.prefixDigests, request.promptTokens)

    /** Puts an excluded server first when its probe is due and the request is not an urgent one. */
    private fun withProbe(
        ordered: List<ServerView>,
        all: List<ServerView>,
        request: CompletionRequest,
        now: Timestamp,
    ): List<ServerView> = withProbe(ordered, all, request.priority, request.excludedServers, now)

    private fun withProbe(
        ordered: List<ServerView>,
        all: List<ServerView>,
        priority: Int,
        excluded: Set<BackendServerId>,
        now: Timestamp,
    ): List<ServerView> {
        if (policy != RoutingPolicy.Chosen || priority > HIGHEST_PROBE_PRIORITY) return ordered
        val probe = all.firstOrNull { it.probeDue && order.skipReason(it, excluded) == SkipReason.SLOW }
        if (probe == null || probe in ordered) return ordered
        servers.claimProbe(probe.server, now)
        return listOf(probe) + ordered
    }

    private fun List<ServerView>.isSlowOnly(): Boolean = all { it.excluded }

    private fun decodeCandidate(view: ServerView, lastResort: Boolean) = DecodeCandidate(
        server = view.server,
        failureDomain = view.definition.failureDomain,
        freeSlots = view.freeSlots,
        predictedWait = costs.slotWait(view),
        perToken = view.timePerUnit,
        probe = view.excluded,
        lastResort = lastResort,
    )

    private fun prefillCandidate(
        view: ServerView,
        request: CompletionRequest,
        decode: DecodeCandidate,
        lastResort: Boolean,
    ): PrefillCandidate {
        val uncached = uncachedTokens(view, request)
        val wait = costs.prefillWait(view)
        val prefill = costs.workTime(view, uncached)
        val handover = costs.transferTime(request.promptTokens) + decode.perToken
        return PrefillCandidate(
            server = view.server,
            failureDomain = view.definition.failureDomain,
            uncachedTokens = uncached,
            predictedWait = wait,
            predictedPrefill = prefill,
            predictedFirstToken = decode.predictedWait + wait + prefill + handover,
            probe = view.excluded,
            lastResort = lastResort,
        )
    }

    /** Places [request] on a replica, or refuses it when no slot is expected before its start deadline. */
    public fun placeService(request: ServiceRequest, now: Timestamp): ServicePlacement {
        val pool = services[request.service]?.pool
            ?: return refusedCall(RefusalReason.UNKNOWN_ROUTE, CONFIGURATION_INTERVAL, now)
        val views = servers.servers(pool, now)
        val usable = order.usable(views, request.excludedServers)
        if (usable.isEmpty()) return refusedCall(RefusalReason.NO_BACKEND_SERVER, untilUsable(views, now), now)
        val ordered = withProbe(decodeOrder(usable), views, request.priority, request.excludedServers, now)
        val candidates = ordered.map { serviceCandidate(it, usable.isSlowOnly()) }
        val excess = candidates.minOf { it.predictedWait } - (request.startDeadline - now)
        if (policy == RoutingPolicy.Chosen && excess.isPositive()) {
            return refusedCall(RefusalReason.CAPACITY, excess, now)
        }
        return ServicePlacement.Placed(candidates)
    }

    private fun serviceCandidate(view: ServerView, lastResort: Boolean) = ServiceCandidate(
        server = view.server,
        failureDomain = view.definition.failureDomain,
        freeSlots = view.freeSlots,
        predictedWait = costs.slotWait(view),
        predictedCall = view.timePerUnit,
        probe = view.excluded,
        lastResort = lastResort,
    )

    private fun refused(reason: RefusalReason, delay: Duration, now: Timestamp) =
        Placement.Refused(reason, retryAt(delay, now))

    private fun refusedCall(reason: RefusalReason, delay: Duration, now: Timestamp) =
        ServicePlacement.Refused(reason, retryAt(delay, now))

    /** Spreads retries, since callers that were refused together would otherwise return together. */
    private fun retryAt(delay: Duration, now: Timestamp): Timestamp {
        val least = delay.coerceIn(SHORTEST_RETRY, LONGEST_RETRY)
        return now + least + least * (random.nextDouble() * RETRY_SPREAD)
    }

    /** Returns the time until a backoff ends; the servers of an empty pool change only with the configuration. */
    private fun untilUsable(views: List<ServerView>, now: Timestamp): Duration {
        val live = views.filterNot { it.leaving }
        if (live.any { it.backoffUntil == null }) return OTHER_REQUEST_INTERVAL
        return live.mapNotNull { it.backoffUntil }.minOrNull()?.let { it - now } ?: CONFIGURATION_INTERVAL
    }

    /** Describes the best placement of [request] at [now], without the draws and without effect on later placements. */
    public fun explain(request: CompletionRequest, now: Timestamp): Explanation {
        val model = models[request.model]
            ?: return refusedExplanation(RefusalReason.NO_BACKEND_SERVER, now + CONFIGURATION_INTERVAL)
        val decodeViews = servers.servers(model.decodePool, now)
        val prefillViews = servers.servers(model.prefillPool, now)
        val explained = prefillViews.map { explained(it, request) } + decodeViews.map { explained(it, request) }
        val decode = firstBySlots(order.usable(decodeViews, request.excludedServers))
        val prefill = firstPrefill(order.usable(prefillViews, request.excludedServers), request)
        if (decode == null || prefill == null) {
            val unusable = if (decode == null) decodeViews else prefillViews
            val retryAt = now + untilUsable(unusable, now)
            return refusedExplanation(RefusalReason.NO_BACKEND_SERVER, retryAt, explained)
        }
        val decodeCandidate = decodeCandidate(decode, lastResort = decode.excluded)
        val prefillCandidate = prefillCandidate(prefill, request, decodeCandidate, lastResort = prefill.excluded)
        val excess = excess(request, decodeCandidate, listOf(prefillCandidate), now)
        val refused = excess > VIEW_AGE
        return Explanation(
            policy = policy,
            chosen = if (refused) emptyList() else listOf(prefill.server, decode.server),
            refusal = if (refused) RefusalReason.CAPACITY else null,
            retryAt = if (refused) now + excess else null,
            predictedFirstToken = prefillCandidate.predictedFirstToken,
            candidates = explained,
        )
    }

    /** Describes the best placement of [request] at [now], without the draws and without effect on later placements. */
    public fun explain(request: ServiceRequest, now: Timestamp): Explanation {
        val pool = services[request.service]?.pool
            ?: return refusedExplanation(RefusalReason.UNKNOWN_ROUTE, now + CONFIGURATION_INTERVAL)
        val views = servers.servers(pool, now)
        val explained = views.map { explainedCall(it, request) }
        val best = firstBySlots(order.usable(views, request.excludedServers))
            ?: return refusedExplanation(RefusalReason.NO_BACKEND_SERVER, now + untilUsable(views, now), explained)
        val wait = costs.slotWait(best)
        val late = policy == RoutingPolicy.Chosen && now + wait > request.startDeadline
        return Explanation(
            policy = policy,
            chosen = if (late) emptyList() else listOf(best.server),
            refusal = if (late) RefusalReason.CAPACITY else null,
            retryAt = if (late) now + wait else null,
            predictedFirstToken = wait + best.timePerUnit,
            candidates = explained,
        )
    }

    private fun firstBySlots(views: List<ServerView>): ServerView? = when (policy) {
        RoutingPolicy.Chosen -> views.minWithOrNull(order.slotOrder { costs.slotWait(it) })
        RoutingPolicy.RoundRobin -> order.nextInTurn(views)
        RoutingPolicy.LeastReportedLoad -> order.leastReportedLoad(views)
    }

    private fun firstPrefill(views: List<ServerView>, request: CompletionRequest): ServerView? = when (policy) {
        RoutingPolicy.Chosen -> views.minByOrNull { view ->
            order.costWithDomain(view) { prefillCost(it, uncachedTokens(it, request)) }
        }

        RoutingPolicy.RoundRobin -> order.nextInTurn(views)

        RoutingPolicy.LeastReportedLoad -> order.leastReportedLoad(views)
    }

    private fun refusedExplanation(
        reason: RefusalReason,
        retryAt: Timestamp,
        candidates: List<ExplainedServer> = emptyList(),
    ) = Explanation(policy, emptyList(), reason, retryAt, predictedFirstToken = null, candidates)

    private fun explained(view: ServerView, request: CompletionRequest): ExplainedServer {
        val uncached = if (view.kind == ReservationKind.PREFILL) uncachedTokens(view, request) else null
        return ExplainedServer(
            server = view.server,
            kind = view.kind,
            skipped = order.skipReason(view, request.excludedServers),
            freeSlots = view.freeSlots,
            queuedWork = view.queuedWork,
            uncachedTokens = uncached,
            predictedWait = if (uncached == null) costs.slotWait(view) else costs.prefillWait(view),
            predictedWork = if (uncached == null) view.timePerUnit else costs.workTime(view, uncached),
        )
    }

    private fun explainedCall(view: ServerView, request: ServiceRequest) = ExplainedServer(
        server = view.server,
        kind = view.kind,
        skipped = order.skipReason(view, request.excludedServers),
        freeSlots = view.freeSlots,
        queuedWork = view.queuedWork,
        uncachedTokens = null,
        predictedWait = costs.slotWait(view),
        predictedWork = view.timePerUnit,
    )

    private companion object {
        /**
         * A prompt whose target cannot be met even by idle servers is admitted while it takes at most this multiple of
         * its unloaded time; it would otherwise be refused at every retry.
         */
        const val UNATTAINABLE_FACTOR = 1.25

        /**
         * Age of what an entry knows of queues: one gossip interval. Work that was queued then may be finished by now,
         * so a request that is late by less is left to the owner, which counts exactly.
         */
        val VIEW_AGE: Duration = 250.milliseconds

        /** Probes may be slow and are therefore taken from requests of at most this priority. */
        const val HIGHEST_PROBE_PRIORITY = 4

        const val RETRY_SPREAD = 0.25
        val SHORTEST_RETRY: Duration = 20.milliseconds
        val LONGEST_RETRY: Duration = 30.seconds

        /** Delay of a request that failed on every usable server; it may succeed there when their load has changed. */
        val OTHER_REQUEST_INTERVAL: Duration = 250.milliseconds

        /** Time within which a changed configuration is active on every instance. */
        val CONFIGURATION_INTERVAL: Duration = 9.seconds
    }
}
