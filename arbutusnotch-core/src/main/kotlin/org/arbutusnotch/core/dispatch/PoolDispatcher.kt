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
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
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
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Queues, places and refuses the requests of one pool. */
public class PoolDispatcher(private val budget: RetryBudget, private var policy: DispatchPolicy = DispatchPolicy()) {
    private val trackedServers = LinkedHashMap<BackendServerId, TrackedServer>()
    private val pace = if (policy.pacesServers) PoolPace(trackedServers) else null
    private val waiting = LinkedHashMap<TicketId, WaitingRequest>()
    private val recentGrants = LinkedHashMap<TicketId, RecentGrant>()
    private val demand = DemandAverage()

    /** Time until which each instance that has requested a place counts as a holder. */
    private val recentHolders = HashMap<InstanceAddress, Timestamp>()
    private val relays = RelayCandidates()
    private val shares = ServiceShares()
    private val arrivalLoad = ArrivalLoad()

    /** Number of late requests that were refused because of the queue ahead of them. */
    public var earlyRefusals: Int = 0
        private set

    /** Requests that make room for others of their priority, as of the latest tick. */
    private var postponed: Set<TicketId> = emptySet()

    /** Number of queued requests that make room for others which have had less service. */
    public val postponedRequests: Int
        get() = postponed.size
    private var nextStageChangeAt = Timestamp(0)

    /** Fraction of the request limits of servers that this dispatcher may grant. */
    private var requestShare = 1.0

    /** Fraction of the places of the pool that this dispatcher may have granted at a time. */
    private var placeShare = 1.0

    /** Time of the latest report of places in use from any holder. */
    private var lastReportAt = Timestamp(0)

    /** Time from which the places in use are known after this dispatcher has taken over from another one. */
    private var placesKnownAt = Timestamp(0)

    /** Time per expected output token of a generation. */
    private val outputSpeed = SpeedEstimate(OUTPUT_SPEED_WEIGHT)
    private var selection: PlaceSelection = CallPlaceSelection(trackedServers)
    private val heldBackServers = HeldBackServers(trackedServers)

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

    /** Number of visits of servers by decisions so far, which is most of the cost of dispatching. */
    internal val serverVisits: Long
        get() = trackedServers.values.sumOf { it.reads }

    /** Number of servers that get fewer requests at a time because they have just started or recovered, or are slow. */
    public val pacedServers: Int
        get() = pace?.limitedServers ?: 0

    /** Returns the changes in the pace of servers since the previous call. */
    public fun takePaceChanges(): List<PaceChange> = pace?.takeChanges().orEmpty()

    /** Returns which servers are held back for failures, or no longer, since the previous check. */
    public fun checkHeldBackServers(now: Timestamp): List<HeldBackChange> = heldBackServers.check(now)

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

    /** Selects whether callers share too small a capacity, and whether late requests beyond it are refused early. */
    public fun shareCapacity(enabled: Boolean) {
        policy = policy.copy(sharesFairly = enabled, refusesEarly = enabled)
    }

    /**
     * Limits this dispatcher to [share] of the places of the pool. One that decides for a few instances in place of the
     * dispatcher does not know the places that the others use, and servers reject what it grants beyond their capacity.
     */
    public fun limitPlaces(share: Double) {
        placeShare = share
    }

    /** Replaces the servers that may get new work; [engine] is null for a pool of plain calls. */
    public fun configure(servers: List<BackendServer>, engine: EngineProfile?) {
        selection =
            if (engine == null) {
                CallPlaceSelection(trackedServers)
            } else {
                GenerationPlaceSelection(trackedServers, engine, outputSpeed, policy)
            }
        val listed = servers.associateBy { it.id }
        trackedServers.keys.retainAll(listed.keys)
        servers.forEach { server ->
            val known = trackedServers[server.id]
            if (known == null || known.server.startedAt != server.startedAt) {
                trackedServers[server.id] = TrackedServer(server, requestShare, pace)
            } else {
                if (known.server.stage != server.stage) {
                    known.stageSwitchUntil = Timestamp(0)
                    known.pace.changeStage()
                }
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
        selection.beginPass(now)
        if (entry.objectiveAt > now) arrivalLoad.observe(selection.timePerRequest(entry), now)
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
        selection.beginPass(now)
        val ahead = waitingAhead(entry)
        val refusal = noServerReason(entry, ahead, now)
            ?: DispatchRefusal.OVERLOADED.takeIf { missesDeadline(entry, rankedAhead(entry, ahead, now), now) }
        val earlier = DispatchOrder.rank(waiting.values + entry, selection, now, postponed).sorted()
            .map { it.entry }
            .takeWhile { it !== entry }
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
        val reservations = Reservations()
        val mustWait = earlier.any {
            selection.hasEligibleServer(it, reservations, now) && !reserve(it, reservations, now)
        }
        return if (mustWait) null else place(entry, reservations, now)
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
        if (place != null) pace?.record(tracked, release, place, now)
        if (release.outcome in ANSWERED_OUTCOMES) tracked.lastAnswerAt = now
        recordRejections(tracked, release, place, now)
        // An accepted prefill is not counted separately from its run; a rejected one counts as an additional attempt.
        if (release.part == PlacePart.PREFILL && release.outcome == PlaceOutcome.NOT_RUN) budget.recordRetry(now)
        tracked.recordSlowdown(release.slowdownPercent, now)
        if (place != null && release.outcome == PlaceOutcome.COMPLETED) {
            selection.observe(tracked, place, release, now)
        }
        val mayEndChances = release.limit != null || release.outcome !in OUTCOMES_OF_HEALTHY_SERVERS
        return dispatchWaiting(now, refusesHopeless = mayEndChances)
    }

    private fun recordRejections(tracked: TrackedServer, release: DispatchRelease, place: UsedPlace?, now: Timestamp) {
        if (release.outcome == PlaceOutcome.NOT_RUN) {
            tracked.fullUntil = now + REJECTION_PAUSE
            tracked.rejections.recordRejection(now)
        } else if (release.outcome == PlaceOutcome.COMPLETED && place != null) {
            tracked.rejections.recordCompletion(place.grantedAt)
        }
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
        tracked.pace.hasReportedPlaces = true
        tracked.places[key] = UsedPlace(
            holder = holder,
            tokens = held.tokens,
            expectedOutputTokens = 0,
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
        selection.beginPass(now)
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
        return dispatchWaiting(now, refusesHopeless = true)
    }

    /** Applies what a server said about its request limit, and returns the decisions that follow from it. */
    public fun updateLimit(report: LimitReport, now: Timestamp): List<DispatchDecision> {
        applyLimit(report, now)
        return dispatchWaiting(now, refusesHopeless = true)
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
        shares.expire(now)
        updatePostponed(now)
        return refuseExcess(now) + dispatchWaiting(now, refusesHopeless = true)
    }

    private fun updatePostponed(now: Timestamp) {
        postponed = emptySet()
        if (waiting.size < 2 || !policy.sharesFairly) return
        selection.beginPass(now)
        postponed = FairOrder(selection, shares, now).postponed(DispatchOrder.rank(waiting.values, selection, now))
    }

    /** Refuses the late requests that the pool cannot serve after those ahead of them. */
    private fun refuseExcess(now: Timestamp): List<DispatchDecision> {
        if (!policy.refusesEarly || waiting.isEmpty() || now < placesKnownAt) return emptyList()
        selection.beginPass(now)
        val ranked = DispatchOrder.rank(waiting.values, selection, now, postponed)
        return QueueLimit(selection, arrivalLoad.remainingShare(now), now).excess(ranked).map {
            waiting.remove(it.entry.ticket)
            earlyRefusals += 1
            val retryAfter = maxOf(it.retryAfter, MINIMUM_RETRY_DELAY)
            DispatchDecision.Refused(it.entry.ticket, it.entry.holder, DispatchRefusal.OVERLOADED, retryAfter)
        }
    }

    private fun refusalReason(request: DispatchRequest, entry: WaitingRequest, now: Timestamp): DispatchRefusal? {
        val ahead = waitingAhead(entry)
        noServerReason(entry, ahead, now)?.let { return it }
        val refusal = when {
            missesDeadline(entry, rankedAhead(entry, ahead, now), now) -> DispatchRefusal.OVERLOADED
            request.repeats > 0 && !budget.tryAcquire(now, request.repeats) -> DispatchRefusal.RETRY_BUDGET
            else -> null
        }
        if (refusal != DispatchRefusal.RETRY_BUDGET && !request.askedBefore) budget.recordFirstAttempt(now)
        return refusal
    }

    /** Returns the number of waiting requests ahead of [entry]; a stream that has begun goes before new ones. */
    private fun waitingAhead(entry: WaitingRequest): Int =
        if (entry.begun) waiting.values.count { it.begun && it.version == entry.version } else waiting.size

    /**
     * Returns how many of [ahead] waiting requests get places before [entry]. Late ones do not go before one that can
     * be on time; those of them that lose their chance are refused instead.
     */
    private fun rankedAhead(entry: WaitingRequest, ahead: Int, now: Timestamp): Int {
        if (!policy.refusesEarly || ahead == 0) return ahead
        val ranked = DispatchOrder.rank(waiting.values + entry, selection, now, postponed)
        return minOf(ahead, ranked.count { it < ranked.last() })
    }

    /** Returns the reason why no server of the pool can take [entry] in time after [ahead] other requests, or null. */
    private fun noServerReason(entry: WaitingRequest, ahead: Int, now: Timestamp): DispatchRefusal? {
        val options = selection.snapshot.optionsOf(entry)
        val latest = maxOf(now, entry.startDeadline)
        return when {
            options.isCutOff -> DispatchRefusal.SERVERS_UNREACHABLE

            // Another server may change its stage for a new request; for a continuation that takes too long.
            options.servers.isEmpty() && (entry.version != null || options.areAllExcluded) ->
                DispatchRefusal.NO_SERVER

            options.earliestUnpaused > latest -> DispatchRefusal.SERVERS_PAUSED

            now + limitedWait(options.servers, ahead, now) > latest -> DispatchRefusal.SERVERS_LIMITED

            else -> null
        }
    }

    /** Returns the time until the request limits of [servers] admit a request after [ahead] others. */
    private fun limitedWait(servers: List<TrackedServer>, ahead: Int, now: Timestamp): Duration {
        val perSecond = servers.sumOf { it.limit.perSecond ?: return Duration.ZERO }
        val next = servers.minOfOrNull { it.limit.waitingTime(now) } ?: return Duration.ZERO
        return maxOf(next, ((ahead + 1 - servers.sumOf { it.limit.credit(now) }) / perSecond).seconds)
    }

    private fun missesDeadline(entry: WaitingRequest, ahead: Int, now: Timestamp): Boolean =
        selection.missesDeadline(entry, wait = selection.timePerRequest(entry) * ahead, now)

    /**
     * Refuses the waiting requests that have no chance any more if [refusesHopeless], and grants the others in order
     * while servers have capacity. A request that waits in vain is not granted in any case; refusing it takes a visit
     * of the whole queue, for which the next tick is soon enough.
     */
    private fun dispatchWaiting(now: Timestamp, refusesHopeless: Boolean = false): List<DispatchDecision> {
        if (waiting.isEmpty()) return emptyList()
        selection.beginPass(now)
        val decisions = mutableListOf<DispatchDecision>()
        if (refusesHopeless) waiting.values.toList().mapNotNullTo(decisions) { refuseIfHopeless(it, now) }
        if (!selection.hasRoomForAny(waiting.values, now)) return decisions
        val reservations = Reservations()
        // Few requests are taken from the queue in a pass, so that it is not sorted as a whole.
        val queue = PriorityQueue(DispatchOrder.rank(waiting.values, selection, now, postponed))
        while (queue.isNotEmpty()) {
            val entry = queue.poll().entry
            val decision = refuseIfHopeless(entry, now) ?: grantIfPossible(entry, reservations, now)
            if (decision != null) {
                decisions += decision
            } else if (selection.hasEligibleServer(entry, reservations, now) && !reserve(entry, reservations, now)) {
                break
            }
        }
        return decisions
    }

    private fun grantIfPossible(entry: WaitingRequest, reservations: Reservations, now: Timestamp): DispatchDecision? {
        val places = place(entry, reservations, now) ?: return null
        waiting.remove(entry.ticket)
        return grant(entry, places, now)
    }

    /** Leaves the servers for which [entry] waits to it; returns whether requests behind it may use others. */
    private fun reserve(entry: WaitingRequest, reservations: Reservations, now: Timestamp): Boolean {
        if (entry.version != null) {
            reservations.reserveVersion(entry.version)
            return true
        }
        val hasOpenServers = reservations.openOnly(selection.tooSlowServers(entry, now))
        return hasOpenServers && selection.hasRoomForAny(waiting.values, now)
    }

    /** Refuses [entry] if no server can take it in time, even if no other request is ahead of it. */
    private fun refuseIfHopeless(entry: WaitingRequest, now: Timestamp): DispatchDecision.Refused? {
        val overloaded = DispatchRefusal.OVERLOADED.takeIf { missesDeadline(entry, ahead = 0, now) }
        val refusal = noServerReason(entry, ahead = 0, now) ?: overloaded ?: return null
        waiting.remove(entry.ticket)
        return entry.refused(refusal, now)
    }

    /**
     * Places [entry] unless it must wait. Generations wait until the places in use are known, because a server without
     * memory for a run rejects it only after the prompt has been prefilled.
     */
    private fun place(entry: WaitingRequest, reservations: Reservations, now: Timestamp): PlacedRequest? {
        val mustWait = entry.work is DispatchWork.Generation && now < placesKnownAt
        return if (mustWait || usesPlaceShare()) null else selection.place(entry, reservations, now)
    }

    private fun usesPlaceShare(): Boolean {
        if (placeShare >= 1.0) return false
        val places = selection.snapshot.runServers.sumOf { it.server.slots }
        return trackedServers.values.sumOf { it.runs } >= maxOf(1, (places * placeShare).toInt())
    }

    private fun grant(entry: WaitingRequest, places: PlacedRequest, now: Timestamp): DispatchDecision {
        places.prefill?.let { occupy(it, entry, PlacePart.PREFILL, now) }
        occupy(places.run, entry, PlacePart.RUN, now)
        shares.record(entry, now)
        (entry.work as? DispatchWork.Generation)?.let { demand.observe(it.promptTokens, it.expectedOutputTokens) }
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
        place.tracked.rejections.recordPlacement(now)
        place.tracked.places[PlaceKey(entry.ticket, part)] = UsedPlace(
            holder = entry.holder,
            tokens = place.tokens,
            expectedOutputTokens = (entry.work as? DispatchWork.Generation)?.expectedOutputTokens ?: 0,
            directPrefillUntil = place.directPrefillTime?.let { now + it },
            queuedPromptTokens = place.queuedPromptTokens,
            grantedAt = now,
            expiresAt = now + PLACE_LIFETIME,
        )
    }

    private fun WaitingRequest.refused(reason: DispatchRefusal, now: Timestamp): DispatchDecision.Refused {
        val wait = when (reason) {
            DispatchRefusal.SERVERS_PAUSED -> selection.snapshot.optionsOf(this).earliestUnpaused - now

            DispatchRefusal.SERVERS_LIMITED -> limitedWait(
                selection.snapshot.optionsOf(this).servers,
                waiting.size,
                now,
            )

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

        /** Time without calls for a server that rejected one: it has less capacity than this dispatcher assumes. */
        val REJECTION_PAUSE = 300.milliseconds

        /** Time for which an instance counts as a holder; most instances request a place more often. */
        val RECENT_HOLDER_TIME = 2.seconds

        /** Time within which every holder reports at least once. */
        val REPORT_ROUND = 350.milliseconds

        /** Time without any report after which the places in use count as unknown. */
        val REPORT_TIMEOUT = 1_200.milliseconds

        /** Outcomes in which the server has answered. */
        val ANSWERED_OUTCOMES = setOf(PlaceOutcome.COMPLETED, PlaceOutcome.SERVER_FAILED, PlaceOutcome.NOT_RUN)

        /** Outcomes after which no waiting request has fewer chances than before. */
        val OUTCOMES_OF_HEALTHY_SERVERS = setOf(PlaceOutcome.COMPLETED, PlaceOutcome.UNUSED, PlaceOutcome.NOT_RUN)

        /** Weight of one run in the average time per output token; estimates for single runs are often far off. */
        const val OUTPUT_SPEED_WEIGHT = 0.05

        /** Minimum delay after which a refused request may be retried. */
        val MINIMUM_RETRY_DELAY = 200.milliseconds
    }
}
