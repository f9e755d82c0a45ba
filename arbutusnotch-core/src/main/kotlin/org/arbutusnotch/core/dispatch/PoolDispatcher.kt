/*
 * Dispatches the requests of one pool.
 *
 * A single instance dispatches for a pool, so that it has an exact count of the places in use while the servers' own
 * load reports lag. Under peak load, requests queue here rather than at a server, so that they can be reordered and
 * cancelled. Requests that can still meet their objective go first, by priority and objective. Late requests have
 * little value: they use the remaining capacity, and are refused once their caller would give up before they run. All
 * state is soft: a second dispatcher of the same pool only costs efficiency, because servers have admission control.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlace
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.LimitReport
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.retry.RetryBudget
import org.arbutusnotch.core.straggler.SpeedEstimate
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Queues, places and refuses the requests of one pool. */
public class PoolDispatcher(private val budget: RetryBudget) {
    private val trackedServers = LinkedHashMap<BackendServerId, TrackedServer>()
    private val waiting = LinkedHashMap<TicketId, WaitingRequest>()
    private val recentGrants = LinkedHashMap<TicketId, RecentGrant>()
    private val demand = DemandAverage()

    /** Time until which each instance that has requested a place counts as a holder. */
    private val recentHolders = HashMap<InstanceAddress, Timestamp>()
    private val relays = RelayCandidates()
    private var nextStageChangeAt = Timestamp(0)

    /** Fraction of the request limits of servers that this dispatcher may grant. */
    private var requestShare = 1.0

    /** Time of the latest report of places in use from any holder. */
    private var lastReportAt = Timestamp(0)

    /** Time from which the places in use are known after this dispatcher has taken over from another one. */
    private var placesKnownAt = Timestamp(0)

    /** Time per expected output token of a generation. */
    private val outputSpeed = SpeedEstimate(OUTPUT_SPEED_WEIGHT)
    private var selection: PlaceSelection = CallPlaceSelection(trackedServers)

    /** Number of queued requests. */
    public val queueLength: Int
        get() = waiting.size

    /** Number of places in use. */
    public val placesInUse: Int
        get() = trackedServers.values.sumOf { it.places.size }

    /** Number of instances that have recently requested a place. */
    public val holderCount: Int
        get() = recentHolders.size

    /** Number of servers that limit their requests. */
    public val limitedServers: Int
        get() = trackedServers.values.count { it.limit.perSecond != null }

    /** Returns the number of retries that the retry budget still allows at [now]. */
    public fun availableRetries(now: Timestamp): Int = budget.availableRetries(now)

    /** Limits this dispatcher to [share] of the retries that all dispatchers of the pool may grant together. */
    public fun limitRetries(share: Double) {
        budget.share = share
    }

    /** Limits this dispatcher to [share] of the requests that servers take from all dispatchers together. */
    public fun limitRequests(share: Double, now: Timestamp) {
        requestShare = share
        trackedServers.values.forEach { it.limit.useShare(share, now) }
    }

    /** Replaces the servers that may get new work; [engine] is null for a pool of plain calls. */
    public fun configure(servers: List<BackendServer>, engine: EngineProfile?) {
        selection =
            if (engine == null) {
                CallPlaceSelection(trackedServers)
            } else {
                GenerationPlaceSelection(trackedServers, engine, outputSpeed)
            }
        val listed = servers.associateBy { it.id }
        trackedServers.keys.retainAll(listed.keys)
        servers.forEach { server ->
            val known = trackedServers[server.id]
            if (known == null || known.server.startedAt != server.startedAt) {
                trackedServers[server.id] = TrackedServer(server, requestShare)
            } else {
                if (known.server.stage != server.stage) known.stageSwitchUntil = Timestamp(0)
                known.server = server
            }
        }
    }

    /** Grants, refuses or queues [request]. A repeated message gets the decision that was made for the first one. */
    public fun submit(request: DispatchRequest, now: Timestamp): List<DispatchDecision> {
        recentHolders[request.holder.address] = now + RECENT_HOLDER_TIME
        request.limits.forEach { applyLimit(it, now) }
        val waitingEntry = waiting[request.ticket]
        val recentGrant = recentGrants[request.ticket]
        if (recentGrant != null) return listOf(recentGrant.decision)
        if (waitingEntry != null) {
            waiting[request.ticket] = waitingEntry.copy(expiresAt = now + WaitingRequest.HOLDER_TIMEOUT)
            return listOf(DispatchDecision.Queued(request.ticket, request.holder))
        }
        val entry = WaitingRequest.of(request, now)
        if (arePlacesUnknown(now)) {
            placesKnownAt = now + REPORT_ROUND
            budget.startRampUp(now)
        }
        val refusal = refusalReason(request, entry, now)
        if (refusal != null) return listOf(entry.refused(refusal, now))
        waiting[request.ticket] = entry
        val decisions = dispatchWaiting(now)
        if (request.ticket !in waiting) return decisions
        return decisions + DispatchDecision.Queued(request.ticket, request.holder)
    }

    /** Returns what [submit] would decide about [request], which repeats no other one; records nothing. */
    public fun explain(request: DispatchRequest, now: Timestamp): PlaceExplanation {
        val entry = WaitingRequest.of(request, now)
        val ahead = waitingAhead(entry)
        val refusal = noServerReason(entry, ahead, now)
            ?: DispatchRefusal.OVERLOADED.takeIf { missesDeadline(entry, ahead, now) }
        val earlier = inDispatchOrder(now, waiting.values + entry).takeWhile { it !== entry }
        val places = if (refusal == null) placeAfter(earlier, entry, now) else null
        val decision = when {
            // Selecting relays would change their order.
            refusal == DispatchRefusal.SERVERS_UNREACHABLE -> ExplainedDecision.Refuse(refusal, MINIMUM_RETRY_DELAY)

            refusal != null -> ExplainedDecision.Refuse(refusal, entry.refused(refusal, now).retryAfter)

            places != null -> ExplainedDecision.Send

            else -> ExplainedDecision.Wait(earlier.size)
        }
        val candidates = CandidateExplainer(trackedServers, selection).explain(entry, places, now)
        return PlaceExplanation(decision, waiting.size, candidates)
    }

    /** Returns the places of [entry] unless it must wait behind one of the [earlier] requests. */
    private fun placeAfter(earlier: List<WaitingRequest>, entry: WaitingRequest, now: Timestamp): PlacedRequest? {
        if (entry.work is DispatchWork.Generation && arePlacesUnknown(now)) return null
        val reservedVersions = mutableSetOf<SoftwareVersion>()
        earlier.filter { selection.hasEligibleServer(it, reservedVersions, now) }
            .forEach { reservedVersions += it.version ?: return null }
        return place(entry, reservedVersions, now)
    }

    private fun arePlacesUnknown(now: Timestamp): Boolean =
        waiting.isEmpty() && placesInUse == 0 && now - lastReportAt > REPORT_TIMEOUT

    /** Frees a place, or cancels a waiting request, and returns the decisions that follow from it. */
    public fun release(release: DispatchRelease, now: Timestamp): List<DispatchDecision> {
        waiting.remove(release.ticket)
        release.limit?.let { applyLimit(it, now) }
        val tracked = release.server?.let { trackedServers[it] } ?: return dispatchWaiting(now)
        val key = PlaceKey(release.ticket, release.part)
        val place = if (release.outcome == PlaceOutcome.SILENT) tracked.places[key] else tracked.places.remove(key)
        recordHealth(tracked, release, place, now)
        if (release.outcome in ANSWERED_OUTCOMES) tracked.lastAnswerAt = now
        if (release.outcome == PlaceOutcome.NOT_RUN) tracked.fullUntil = now + REJECTION_PAUSE
        // An accepted prefill is not counted separately from its run; a rejected one counts as an additional attempt.
        if (release.part == PlacePart.PREFILL && release.outcome == PlaceOutcome.NOT_RUN) budget.recordRetry(now)
        tracked.recordSlowdown(release.slowdownPercent, now)
        if (place != null && release.outcome == PlaceOutcome.COMPLETED) {
            selection.observe(tracked, place, release, now)
        }
        return dispatchWaiting(now)
    }

    private fun recordHealth(tracked: TrackedServer, release: DispatchRelease, place: UsedPlace?, now: Timestamp) {
        val request = recentGrants[release.ticket]?.request
        val holder = (request?.holder ?: place?.holder)?.address
        tracked.health.record(release.outcome, holder, request?.domain ?: tracked.server.failureDomain, now)
        if (holder != null && release.outcome == PlaceOutcome.COMPLETED) relays.recordAnswer(holder, now)
    }

    /**
     * Replaces the places of a holder by its report [held]: places that it does not list are free, and places that are
     * not known here were granted by another dispatcher.
     */
    public fun reconcile(held: HeldPlaces, now: Timestamp): List<DispatchDecision> {
        lastReportAt = now
        val listed = held.places.associateBy { PlaceKey(it.ticket, it.part) }
        trackedServers.values.forEach { tracked ->
            tracked.places.entries.removeIf { (key, place) ->
                val belongsToHolder = place.holder.address == held.holder.address
                val listedHere = listed[key]?.server == tracked.server.id
                belongsToHolder && !listedHere && now >= place.grantedAt + GRANT_REPORT_DELAY
            }
        }
        held.places.forEach { renewPlace(it, held.holder, now) }
        return dispatchWaiting(now)
    }

    private fun renewPlace(held: HeldPlace, holder: InstanceId, now: Timestamp) {
        val tracked = trackedServers[held.server] ?: return
        val key = PlaceKey(held.ticket, held.part)
        val known = tracked.places[key]
        if (known != null) {
            known.expiresAt = now + PLACE_LIFETIME
            return
        }
        tracked.places[key] = UsedPlace(
            holder = holder,
            tokens = held.tokens,
            outputTokens = 0,
            directPrefillUntil = null,
            queuedPromptTokens = 0,
            grantedAt = now,
            expiresAt = now + PLACE_LIFETIME,
        )
    }

    /**
     * Returns a server that should be ordered to switch its stage, or null. The order counts as sent: the server gets
     * no work while it switches, and no other server is returned in that time.
     *
     * @param switchTime time that a server needs for the switch once its work has ended
     */
    public fun beginStageChange(switchTime: Duration, now: Timestamp): StageChange? {
        if (now < nextStageChangeAt) return null
        val change = selection.stageChange(demand) ?: return null
        nextStageChangeAt = now + switchTime + STAGE_CHANGE_MARGIN
        trackedServers[change.server.id]?.stageSwitchUntil = nextStageChangeAt
        return change
    }

    /** Sends no requests of [holder] to [server] before [until], and returns the decisions that follow from it. */
    public fun pause(
        server: BackendServerId,
        holder: InstanceId,
        until: Timestamp,
        now: Timestamp,
    ): List<DispatchDecision> {
        trackedServers[server]?.pauseFor(holder, until)
        return dispatchWaiting(now)
    }

    /** Applies what a server said about its request limit, and returns the decisions that follow from it. */
    public fun updateLimit(report: LimitReport, now: Timestamp): List<DispatchDecision> {
        applyLimit(report, now)
        return dispatchWaiting(now)
    }

    private fun applyLimit(report: LimitReport, now: Timestamp) {
        val tracked = trackedServers[report.server]?.takeIf { it.server.startedAt == report.startedAt } ?: return
        tracked.limit.observe(report.perSecond, answeredAt = now - report.ageMillis.milliseconds, now)
    }

    /** Cancels [change], whose order did not reach its server; another server may be ordered at once. */
    public fun cancelStageChange(change: StageChange, now: Timestamp) {
        nextStageChangeAt = now
        val tracked = trackedServers[change.server.id] ?: return
        tracked.stageSwitchUntil = now
        tracked.health.record(PlaceOutcome.UNREACHABLE, holder = null, tracked.server.failureDomain, now)
    }

    /** Expires places and requests that their holders no longer renew, then refuses and grants waiting requests. */
    public fun tick(now: Timestamp): List<DispatchDecision> {
        trackedServers.values.forEach { tracked -> tracked.places.values.removeIf { it.expiresAt <= now } }
        recentGrants.values.removeIf { it.expiresAt <= now }
        recentHolders.values.removeIf { it <= now }
        waiting.values.removeIf { it.expiresAt <= now }
        return dispatchWaiting(now)
    }

    private fun refusalReason(request: DispatchRequest, entry: WaitingRequest, now: Timestamp): DispatchRefusal? {
        val ahead = waitingAhead(entry)
        noServerReason(entry, ahead, now)?.let { return it }
        val refusal = when {
            missesDeadline(entry, ahead, now) -> DispatchRefusal.OVERLOADED
            request.repeats > 0 && !budget.tryAcquire(now, request.repeats) -> DispatchRefusal.RETRY_BUDGET
            else -> null
        }
        if (refusal != DispatchRefusal.RETRY_BUDGET && !request.askedBefore) budget.recordFirstAttempt(now)
        return refusal
    }

    /** Returns the number of waiting requests ahead of [entry]; a stream that has begun goes before new ones. */
    private fun waitingAhead(entry: WaitingRequest): Int =
        if (entry.begun) waiting.values.count { it.begun && it.version == entry.version } else waiting.size

    /** Returns the reason why no server of the pool can take [entry] in time after [ahead] other requests, or null. */
    private fun noServerReason(entry: WaitingRequest, ahead: Int, now: Timestamp): DispatchRefusal? {
        val servers = runServers(entry)
        val latest = maxOf(now, entry.startDeadline)
        return when {
            isCutOff(entry, now) -> DispatchRefusal.SERVERS_UNREACHABLE

            // Another server may change its stage for a new request; for a continuation that takes too long.
            servers.isEmpty() && (entry.version != null || trackedServers.keys.all { it in entry.excluded }) ->
                DispatchRefusal.NO_SERVER

            earliestUnpaused(servers, entry, now) > latest -> DispatchRefusal.SERVERS_PAUSED

            now + limitedWait(servers, ahead, now) > latest -> DispatchRefusal.SERVERS_LIMITED

            else -> null
        }
    }

    /**
     * Returns whether the holder of [entry] reaches none of the servers that could run it while other instances reach
     * some, and none is due to be tried again.
     */
    private fun isCutOff(entry: WaitingRequest, now: Timestamp): Boolean {
        val holder = entry.holder.address
        val candidates = runServers(entry.copy(excluded = emptySet()))
        return candidates.any { it.health.isPathDown(holder) } && candidates.all { it.health.isPathFaulty(holder) } &&
            candidates.none {
                it.server.id !in entry.excluded && it.health.mayTryPath(holder, now) && it.mayProbe(holder)
            }
    }

    /** Returns the servers that could run [entry], regardless of their pauses and load. */
    private fun runServers(entry: WaitingRequest): List<TrackedServer> =
        trackedServers.values.filter { it.server.stage != ServerStage.PREFILL && entry.accepts(it.server) }

    /** Returns the earliest time at which one of [servers] is not paused for the holder of [entry]. */
    private fun earliestUnpaused(servers: List<TrackedServer>, entry: WaitingRequest, now: Timestamp): Timestamp =
        servers.minOfOrNull { it.pausedUntil(entry.holder, now) ?: now } ?: now

    /** Returns the time until the request limits of [servers] admit a request after [ahead] others. */
    private fun limitedWait(servers: List<TrackedServer>, ahead: Int, now: Timestamp): Duration {
        val next = servers.minOfOrNull { it.limit.waitingTime(now) } ?: return Duration.ZERO
        val perSecond = servers.sumOf { it.limit.perSecond ?: return Duration.ZERO }
        return maxOf(next, ((ahead + 1 - servers.sumOf { it.limit.credit(now) }) / perSecond).seconds)
    }

    private fun missesDeadline(entry: WaitingRequest, ahead: Int, now: Timestamp): Boolean {
        val wait = selection.timePerRequest(entry) * ahead
        return now + wait + selection.minimumTimeToFirstEvent(entry, now) >= entry.startDeadline ||
            now + wait + selection.minimumDuration(entry, now) >= entry.deadlineAt
    }

    private fun dispatchWaiting(now: Timestamp): List<DispatchDecision> {
        if (waiting.isEmpty()) return emptyList()
        val decisions = mutableListOf<DispatchDecision>()
        waiting.values.toList().forEach { entry ->
            val overloaded = DispatchRefusal.OVERLOADED.takeIf { missesDeadline(entry, ahead = 0, now) }
            val refusal = noServerReason(entry, ahead = 0, now) ?: overloaded ?: return@forEach
            waiting.remove(entry.ticket)
            decisions += entry.refused(refusal, now)
        }
        val reservedVersions = mutableSetOf<SoftwareVersion>()
        for (entry in inDispatchOrder(now)) {
            val places = place(entry, reservedVersions, now)
            if (places != null) {
                waiting.remove(entry.ticket)
                decisions += grant(entry, places, now)
            } else if (selection.hasEligibleServer(entry, reservedVersions, now)) {
                // A request that needs a version waits for that version alone; those behind it may use the others.
                reservedVersions += entry.version ?: break
            }
        }
        return decisions
    }

    /**
     * Places [entry] unless it must wait. Generations wait until the places in use are known, because a server without
     * memory for a run rejects it only after the prompt has been prefilled.
     */
    private fun place(entry: WaitingRequest, reservedVersions: Set<SoftwareVersion>, now: Timestamp): PlacedRequest? {
        val mustWait = entry.work is DispatchWork.Generation && now < placesKnownAt
        return if (mustWait) null else selection.place(entry, reservedVersions, now)
    }

    /**
     * Returns the waiting requests in the order in which they get places. Started streams come first: when their
     * callers disconnect, all work spent on them is lost. Requests that can meet their objective come before late ones,
     * each group by priority and objective. A long run is ordered as if its objective were later, because several short
     * runs can be served in its time while places are scarce.
     */
    private fun inDispatchOrder(
        now: Timestamp,
        requests: Collection<WaitingRequest> = waiting.values,
    ): List<WaitingRequest> = requests.sortedWith(
        compareBy<WaitingRequest> { !it.begun }
            .thenBy { now + selection.expectedTimeToFirstEvent(it, now) > it.objectiveAt }
            .thenBy { it.priority }
            .thenBy { it.objectiveAt + selection.expectedRunTime(it) * RUN_TIME_WEIGHT },
    )

    private fun grant(entry: WaitingRequest, places: PlacedRequest, now: Timestamp): DispatchDecision {
        places.prefill?.let { occupy(it, entry, PlacePart.PREFILL, now) }
        occupy(places.run, entry, PlacePart.RUN, now)
        (entry.work as? DispatchWork.Generation)?.let { demand.observe(it.promptTokens, it.outputTokens) }
        val decision = DispatchDecision.Granted(
            ticket = entry.ticket,
            holder = entry.holder,
            server = places.run.tracked.server.id,
            prefillServer = places.prefill?.tracked?.server?.id,
            limited = listOfNotNull(places.run, places.prefill).any { it.tracked.limit.perSecond != null },
        )
        recentGrants[entry.ticket] = RecentGrant(decision, entry, expiresAt = entry.deadlineAt)
        return decision
    }

    private fun occupy(place: PlannedPlace, entry: WaitingRequest, part: PlacePart, now: Timestamp) {
        place.tracked.limit.recordRequest(now)
        place.tracked.places[PlaceKey(entry.ticket, part)] = UsedPlace(
            holder = entry.holder,
            tokens = place.tokens,
            outputTokens = (entry.work as? DispatchWork.Generation)?.outputTokens ?: 0,
            directPrefillUntil = place.directPrefillTime?.let { now + it },
            queuedPromptTokens = place.queuedPromptTokens,
            grantedAt = now,
            expiresAt = now + PLACE_LIFETIME,
        )
    }

    private fun WaitingRequest.refused(reason: DispatchRefusal, now: Timestamp): DispatchDecision.Refused {
        val wait = when (reason) {
            DispatchRefusal.SERVERS_PAUSED -> earliestUnpaused(runServers(this), this, now) - now

            DispatchRefusal.SERVERS_LIMITED -> limitedWait(runServers(this), waiting.size, now)

            // Another instance, to which the caller may turn, reaches the servers.
            DispatchRefusal.SERVERS_UNREACHABLE -> MINIMUM_RETRY_DELAY

            DispatchRefusal.NO_SERVER, DispatchRefusal.OVERLOADED, DispatchRefusal.RETRY_BUDGET ->
                selection.timePerRequest(this) * waiting.size
        }
        val relays =
            if (reason == DispatchRefusal.SERVERS_UNREACHABLE) relays.select(holder.address, now) else emptyList()
        return DispatchDecision.Refused(ticket, holder, reason, retryAfter = maxOf(wait, MINIMUM_RETRY_DELAY), relays)
    }

    private class RecentGrant(
        val decision: DispatchDecision.Granted,
        val request: WaitingRequest,
        val expiresAt: Timestamp,
    )

    private companion object {
        /** Time after which a place expires unless its holder reports it again; holders report five times as often. */
        val PLACE_LIFETIME = 1_500.milliseconds

        /** Time within which a granted place appears in its holder's reports. */
        val GRANT_REPORT_DELAY = 700.milliseconds

        /** Time beyond the switch for the server to finish its work and for its new entry to reach all instances. */
        val STAGE_CHANGE_MARGIN = 4.seconds

        /** Time without new runs for a server that rejected one: it has less capacity than this dispatcher assumes. */
        val REJECTION_PAUSE = 300.milliseconds

        /** Time for which an instance counts as a holder; most instances request a place more often. */
        val RECENT_HOLDER_TIME = 2.seconds

        /** Time within which every holder reports at least once. */
        val REPORT_ROUND = 350.milliseconds

        /** Time without any report after which the places in use count as unknown. */
        val REPORT_TIMEOUT = 1_200.milliseconds

        /** Outcomes in which the server has answered. */
        val ANSWERED_OUTCOMES = setOf(PlaceOutcome.COMPLETED, PlaceOutcome.SERVER_FAILED, PlaceOutcome.NOT_RUN)

        /** Weight of one run in the average time per output token; estimates for single runs are often far off. */
        const val OUTPUT_SPEED_WEIGHT = 0.05

        /** Share of the expected run time that is added to the objective; long runs still pass after about a second. */
        const val RUN_TIME_WEIGHT = 0.1

        /** Minimum delay after which a refused request may be retried. */
        val MINIMUM_RETRY_DELAY = 200.milliseconds
    }
}
