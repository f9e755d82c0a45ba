/*
 * Places completion requests on a prefill and a decode server, and service calls on a replica.
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
 * Selects the servers for each request and refuses requests that cannot meet their target.
 *
 * @param ownDomain failure domain of this instance, preferred among otherwise equal servers
 * @param random random source for sampling servers and for the jitter of retry times
 */
public class Router(
    private val policy: RoutingPolicy,
    private val ownDomain: FailureDomainId,
    private val random: Random,
    private val servers: ServerTable,
    private val prefixes: PrefixTable,
) {
    private val predictor = LatencyPredictor(prefixes)
    private val order = CandidateOrder(ownDomain, random)
    private var models: Map<ModelId, ModelDefinition> = emptyMap()
    private var services: Map<String, ServiceDefinition> = emptyMap()

    /** Applies [configuration] to the router and the prefix table; the [ServerTable] is configured by its owner. */
    public fun configure(configuration: DeploymentConfiguration) {
        models = configuration.models.associateBy { it.name }
        services = configuration.services.associateBy { it.name }
        val prefillPools = configuration.pools.filter { it.kind == PoolKind.PREFILL }.map { it.name }.toSet()
        prefixes.retainServers(configuration.servers.filter { it.pool in prefillPools }.map { it.address }.toSet())
    }

    /** Records that the transfer of a prefill result of [promptTokens] to a decode server took [elapsed]. */
    public fun observeTransfer(promptTokens: Int, elapsed: Duration, now: Timestamp) {
        predictor.observeTransfer(promptTokens, elapsed, now)
    }

    /** Places [request], or refuses it when its first token is predicted to miss its deadline. */
    public fun placeCompletion(request: CompletionRequest, now: Timestamp): Placement {
        val model = models[request.model]
            ?: return refused(RefusalReason.NO_BACKEND_SERVER, CONFIGURATION_PROPAGATION_TIME, now)
        val decodeViews = servers.servers(model.decodePool, now)
        val prefillViews = servers.servers(model.prefillPool, now)
        val decode = order.usableServers(decodeViews, request.excludedServers)
        val prefill = order.usableServers(prefillViews, request.excludedServers)
        if (decode.isEmpty()) return refused(RefusalReason.NO_BACKEND_SERVER, timeUntilUsable(decodeViews, now), now)
        if (prefill.isEmpty()) return refused(RefusalReason.NO_BACKEND_SERVER, timeUntilUsable(prefillViews, now), now)
        predictor.observeMaxTokens(model.decodePool, request.maxTokens)
        val decodeOrder = withProbe(decodeOrder(decode), decodeViews, request, now)
        val candidates = decodeOrder.map { decodeCandidate(it, decode.areAllExcluded()) }
        val prefillOrder = withProbe(prefillOrder(prefill, request), prefillViews, request, now)
        val prefills = prefillOrder.map { prefillCandidate(it, request, candidates.first(), prefill.areAllExcluded()) }
        return admit(request, candidates, prefills, now)
    }

    private fun admit(
        request: CompletionRequest,
        decode: List<DecodeCandidate>,
        prefill: List<PrefillCandidate>,
        now: Timestamp,
    ): Placement {
        val overrun = predictedOverrun(request, decode.first(), prefill, now)
        if (overrun > MAXIMUM_VIEW_AGE) return refused(RefusalReason.CAPACITY, overrun, now)
        val start = now + decode.first().predictedWait
        return Placement.Placed(decode, prefill, secondPrefillAt(prefill, start))
    }

    /** Returns the time by which the predicted first token misses its target; zero for policies that refuse nothing. */
    private fun predictedOverrun(
        request: CompletionRequest,
        decode: DecodeCandidate,
        prefill: List<PrefillCandidate>,
        now: Timestamp,
    ): Duration {
        if (policy != RoutingPolicy.Predictive) return Duration.ZERO
        val predicted = prefill.minOf { it.predictedTimeToFirstToken }
        val unloaded = prefill.minOf { it.predictedTimeToFirstToken - it.predictedWait } - decode.predictedWait
        return predicted - maxOf(request.firstTokenDeadline - now, unloaded * UNATTAINABLE_TARGET_FACTOR)
    }

    /** Returns when the first prefill counts as late; a probe is skipped because its server is known to be slow. */
    private fun secondPrefillAt(prefill: List<PrefillCandidate>, start: Timestamp): Timestamp? {
        if (prefill.size < 2 || policy != RoutingPolicy.Predictive) return null
        val first = prefill.firstOrNull { !it.probe } ?: prefill.first()
        return start + PrefillMonitor.lateThreshold(first.predictedWait + first.predictedPrefillTime)
    }

    private fun decodeOrder(views: List<ServerView>): List<ServerView> = when (policy) {
        RoutingPolicy.Predictive -> order.twoChoicesBySlots(views) { predictor.slotWait(it) }
        RoutingPolicy.RoundRobin -> order.roundRobin(views)
        RoutingPolicy.LeastReportedLoad -> order.byReportedLoad(views)
    }

    private fun prefillOrder(views: List<ServerView>, request: CompletionRequest): List<ServerView> = when (policy) {
        RoutingPolicy.Predictive -> byPrefillCost(views, request)
        RoutingPolicy.RoundRobin -> order.roundRobin(views)
        RoutingPolicy.LeastReportedLoad -> order.byReportedLoad(views)
    }

    private fun byPrefillCost(views: List<ServerView>, request: CompletionRequest): List<ServerView> {
        val uncached = views.associateWith { uncachedTokens(it, request) }
        val cost = { view: ServerView -> prefillCost(view, uncached.getValue(view)) }
        val fewestUncached = uncached.values.min()
        val withPrefix = views.filter { uncached[it] == fewestUncached && fewestUncached < request.promptTokens }
        val preferred = listOfNotNull(withPrefix.minByOrNull(cost))
        return order.twoChoicesByCost(views, preferred, cost)
    }

    private fun prefillCost(view: ServerView, uncachedTokens: Int): Duration =
        predictor.prefillWait(view) + predictor.workTime(view, uncachedTokens)

    private fun uncachedTokens(view: ServerView, request: CompletionRequest): Int =
        predictor.uncachedTokens(view, request.prefixDigests, request.promptTokens)

    /** Puts an excluded server first when its probe is due and the priority of the request is low enough. */
    private fun withProbe(
        ordered: List<ServerView>,
        allViews: List<ServerView>,
        request: CompletionRequest,
        now: Timestamp,
    ): List<ServerView> = withProbe(ordered, allViews, request.priority, request.excludedServers, now)

    private fun withProbe(
        ordered: List<ServerView>,
        allViews: List<ServerView>,
        priority: Int,
        excluded: Set<BackendServerId>,
        now: Timestamp,
    ): List<ServerView> {
        if (policy != RoutingPolicy.Predictive || priority > MAXIMUM_PROBE_PRIORITY) return ordered
        val probe = allViews.firstOrNull { it.probeDue && order.skipReason(it, excluded) == SkipReason.SLOW }
        if (probe == null || probe in ordered) return ordered
        servers.claimProbe(probe.server, now)
        return listOf(probe) + ordered
    }

    private fun List<ServerView>.areAllExcluded(): Boolean = all { it.excluded }

    private fun decodeCandidate(view: ServerView, lastResort: Boolean) = DecodeCandidate(
        server = view.server,
        failureDomain = view.definition.failureDomain,
        freeSlots = view.freeSlots,
        predictedWait = predictor.slotWait(view),
        tokenInterval = view.timePerUnit,
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
        val wait = predictor.prefillWait(view)
        val prefill = predictor.workTime(view, uncached)
        val transferAndFirstDecode = predictor.transferTime(request.promptTokens) + decode.tokenInterval
        return PrefillCandidate(
            server = view.server,
            failureDomain = view.definition.failureDomain,
            uncachedTokens = uncached,
            predictedWait = wait,
            predictedPrefillTime = prefill,
            predictedTimeToFirstToken = decode.predictedWait + wait + prefill + transferAndFirstDecode,
            probe = view.excluded,
            lastResort = lastResort,
        )
    }

    /** Places [request] on a replica, or refuses it when no slot is predicted to be free by its start deadline. */
    public fun placeService(request: ServiceRequest, now: Timestamp): ServicePlacement {
        val pool = services[request.service]?.pool
            ?: return refusedCall(RefusalReason.UNKNOWN_ROUTE, CONFIGURATION_PROPAGATION_TIME, now)
        val views = servers.servers(pool, now)
        val usable = order.usableServers(views, request.excludedServers)
        if (usable.isEmpty()) return refusedCall(RefusalReason.NO_BACKEND_SERVER, timeUntilUsable(views, now), now)
        val ordered = withProbe(decodeOrder(usable), views, request.priority, request.excludedServers, now)
        val candidates = ordered.map { serviceCandidate(it, usable.areAllExcluded()) }
        val overrun = candidates.minOf { it.predictedWait } - (request.startDeadline - now)
        if (policy == RoutingPolicy.Predictive && overrun.isPositive()) {
            return refusedCall(RefusalReason.CAPACITY, overrun, now)
        }
        return ServicePlacement.Placed(candidates)
    }

    private fun serviceCandidate(view: ServerView, lastResort: Boolean) = ServiceCandidate(
        server = view.server,
        failureDomain = view.definition.failureDomain,
        freeSlots = view.freeSlots,
        predictedWait = predictor.slotWait(view),
        predictedCallTime = view.timePerUnit,
        probe = view.excluded,
        lastResort = lastResort,
    )

    private fun refused(reason: RefusalReason, delay: Duration, now: Timestamp) =
        Placement.Refused(reason, retryAt(delay, now))

    private fun refusedCall(reason: RefusalReason, delay: Duration, now: Timestamp) =
        ServicePlacement.Refused(reason, retryAt(delay, now))

    /** Adds jitter to [delay], since callers that were refused together would otherwise retry together. */
    private fun retryAt(delay: Duration, now: Timestamp): Timestamp {
        val baseDelay = delay.coerceIn(MINIMUM_RETRY_DELAY, MAXIMUM_RETRY_DELAY)
        return now + baseDelay + baseDelay * (random.nextDouble() * RETRY_JITTER_FACTOR)
    }

    /** Returns the time until a backoff ends; without live servers, only a new configuration can make one usable. */
    private fun timeUntilUsable(views: List<ServerView>, now: Timestamp): Duration {
        val live = views.filterNot { it.leaving }
        if (live.any { it.backoffUntil == null }) return EXCLUDED_SERVERS_RETRY_DELAY
        return live.mapNotNull { it.backoffUntil }.minOrNull()?.let { it - now } ?: CONFIGURATION_PROPAGATION_TIME
    }

    /** Explains the best placement of [request] at [now], without random sampling and without changing any state. */
    public fun explain(request: CompletionRequest, now: Timestamp): PlacementExplanation {
        val model = models[request.model]
            ?: return explainRefusal(RefusalReason.NO_BACKEND_SERVER, now + CONFIGURATION_PROPAGATION_TIME)
        val decodeViews = servers.servers(model.decodePool, now)
        val prefillViews = servers.servers(model.prefillPool, now)
        val explained = prefillViews.map { explainServer(it, request) } + decodeViews.map { explainServer(it, request) }
        val decode = selectBySlots(order.usableServers(decodeViews, request.excludedServers))
        val prefill = selectPrefill(order.usableServers(prefillViews, request.excludedServers), request)
        if (decode == null || prefill == null) {
            val unusable = if (decode == null) decodeViews else prefillViews
            val retryAt = now + timeUntilUsable(unusable, now)
            return explainRefusal(RefusalReason.NO_BACKEND_SERVER, retryAt, explained)
        }
        val decodeCandidate = decodeCandidate(decode, lastResort = decode.excluded)
        val prefillCandidate = prefillCandidate(prefill, request, decodeCandidate, lastResort = prefill.excluded)
        val overrun = predictedOverrun(request, decodeCandidate, listOf(prefillCandidate), now)
        val refused = overrun > MAXIMUM_VIEW_AGE
        return PlacementExplanation(
            policy = policy,
            selectedServers = if (refused) emptyList() else listOf(prefill.server, decode.server),
            refusal = if (refused) RefusalReason.CAPACITY else null,
            retryAt = if (refused) now + overrun else null,
            predictedTimeToFirstToken = prefillCandidate.predictedTimeToFirstToken,
            candidates = explained,
        )
    }

    /** Explains the best placement of [request] at [now], without random sampling and without changing any state. */
    public fun explain(request: ServiceRequest, now: Timestamp): PlacementExplanation {
        val pool = services[request.service]?.pool
            ?: return explainRefusal(RefusalReason.UNKNOWN_ROUTE, now + CONFIGURATION_PROPAGATION_TIME)
        val views = servers.servers(pool, now)
        val explained = views.map { explainReplica(it, request) }
        val best = selectBySlots(order.usableServers(views, request.excludedServers))
            ?: return explainRefusal(RefusalReason.NO_BACKEND_SERVER, now + timeUntilUsable(views, now), explained)
        val wait = predictor.slotWait(best)
        val missesDeadline = policy == RoutingPolicy.Predictive && now + wait > request.startDeadline
        return PlacementExplanation(
            policy = policy,
            selectedServers = if (missesDeadline) emptyList() else listOf(best.server),
            refusal = if (missesDeadline) RefusalReason.CAPACITY else null,
            retryAt = if (missesDeadline) now + wait else null,
            predictedTimeToFirstToken = wait + best.timePerUnit,
            candidates = explained,
        )
    }

    private fun selectBySlots(views: List<ServerView>): ServerView? = when (policy) {
        RoutingPolicy.Predictive -> views.minWithOrNull(order.slotComparator { predictor.slotWait(it) })
        RoutingPolicy.RoundRobin -> order.nextRoundRobin(views)
        RoutingPolicy.LeastReportedLoad -> order.leastReportedLoad(views)
    }

    private fun selectPrefill(views: List<ServerView>, request: CompletionRequest): ServerView? = when (policy) {
        RoutingPolicy.Predictive -> views.minByOrNull { view ->
            order.costWithDomainLatency(view) { prefillCost(it, uncachedTokens(it, request)) }
        }

        RoutingPolicy.RoundRobin -> order.nextRoundRobin(views)

        RoutingPolicy.LeastReportedLoad -> order.leastReportedLoad(views)
    }

    private fun explainRefusal(
        reason: RefusalReason,
        retryAt: Timestamp,
        candidates: List<ExplainedServer> = emptyList(),
    ) = PlacementExplanation(policy, emptyList(), reason, retryAt, predictedTimeToFirstToken = null, candidates)

    private fun explainServer(view: ServerView, request: CompletionRequest): ExplainedServer {
        val uncached = if (view.kind == ReservationKind.PREFILL) uncachedTokens(view, request) else null
        return ExplainedServer(
            server = view.server,
            kind = view.kind,
            skipReason = order.skipReason(view, request.excludedServers),
            freeSlots = view.freeSlots,
            queuedWork = view.queuedWork,
            uncachedTokens = uncached,
            predictedWait = if (uncached == null) predictor.slotWait(view) else predictor.prefillWait(view),
            predictedWorkTime = if (uncached == null) view.timePerUnit else predictor.workTime(view, uncached),
        )
    }

    private fun explainReplica(view: ServerView, request: ServiceRequest) = ExplainedServer(
        server = view.server,
        kind = view.kind,
        skipReason = order.skipReason(view, request.excludedServers),
        freeSlots = view.freeSlots,
        queuedWork = view.queuedWork,
        uncachedTokens = null,
        predictedWait = predictor.slotWait(view),
        predictedWorkTime = view.timePerUnit,
    )

    private companion object {
        /**
         * A prompt whose target even idle servers cannot meet is admitted while its predicted time to first token is at
         * most this multiple of the unloaded time; it would otherwise be refused at every retry.
         */
        const val UNATTAINABLE_TARGET_FACTOR = 1.25

        /**
         * Maximum age of the local view of queues: one gossip interval. Work queued in that view may already be
         * finished, so a smaller overrun is left to the owner of the server, which has exact counts.
         */
        val MAXIMUM_VIEW_AGE: Duration = 250.milliseconds

        /** Maximum priority of requests that are used as probes, since a probe may be slow. */
        const val MAXIMUM_PROBE_PRIORITY = 4

        const val RETRY_JITTER_FACTOR = 0.25
        val MINIMUM_RETRY_DELAY: Duration = 20.milliseconds
        val MAXIMUM_RETRY_DELAY: Duration = 30.seconds

        /** Retry delay after failures on all usable servers; the request may succeed there once their load changes. */
        val EXCLUDED_SERVERS_RETRY_DELAY: Duration = 250.milliseconds

        /** Time within which a new configuration becomes active on every instance. */
        val CONFIGURATION_PROPAGATION_TIME: Duration = 9.seconds
    }
}
