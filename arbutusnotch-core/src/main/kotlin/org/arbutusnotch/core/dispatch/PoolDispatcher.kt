/*
 * Dispatches the requests of one pool.
 *
 * One instance dispatches for a pool, so that it counts the places in use exactly while the servers' own reports lag.
 * It answers the load at a crest: requests wait here, where they can be reordered and withdrawn, and not at a server.
 * Requests that can still be on time go first, by priority and objective. Those that are late already use what is left,
 * because they earn little, and are refused once their caller would give up before they run. All of this is soft state:
 * a second dispatcher of the same pool costs efficiency only, since servers have their own admission control.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlace
import org.arbutusnotch.core.message.HeldPlaces
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
    private val ledgers = LinkedHashMap<BackendServerId, ServerLedger>()
    private val waiting = LinkedHashMap<TicketId, WaitingRequest>()
    private val recentGrants = LinkedHashMap<TicketId, RecentGrant>()
    private val demand = DemandAverage()
    private var nextStageChange = Timestamp(0)

    /** Time of the latest report of places in use. */
    private var reportedAt = Timestamp(0)

    /** Time from which the places in use are known, after this dispatcher has taken over from another one. */
    private var informedAt = Timestamp(0)

    /** Time for one expected output token of a generation. */
    private val outputSpeed = SpeedEstimate(OUTPUT_SPEED_WEIGHT)
    private var selection: PlaceSelection = CallPlaceSelection(ledgers)

    /** Number of requests that wait. */
    public val queueLength: Int
        get() = waiting.size

    /** Number of places in use. */
    public val placesInUse: Int
        get() = ledgers.values.sumOf { it.places.size }

    /** Returns how many requests may be sent to a further server at [now]. */
    public fun repeatsLeft(now: Timestamp): Int = budget.availableRetries(now)

    /** Gives out [share] of the repeats that all dispatchers of the pool together may give out. */
    public fun limitRepeats(share: Double) {
        budget.share = share
    }

    /** Takes over the servers that may get new work; [engine] is null for a pool of plain calls. */
    public fun configure(servers: List<BackendServer>, engine: EngineProfile?) {
        selection =
            if (engine == null) CallPlaceSelection(ledgers) else GenerationPlaceSelection(ledgers, engine, outputSpeed)
        val listed = servers.associateBy { it.id }
        ledgers.keys.retainAll(listed.keys)
        servers.forEach { server ->
            val known = ledgers[server.id]
            if (known == null || known.server.startedAt != server.startedAt) {
                ledgers[server.id] = ServerLedger(server)
            } else {
                if (known.server.stage != server.stage) known.switchingUntil = Timestamp(0)
                known.server = server
            }
        }
    }

    /** Decides about [request], or queues it. A repetition gets the decision that was made before. */
    public fun submit(request: DispatchRequest, now: Timestamp): List<DispatchDecision> {
        val known = waiting[request.ticket]
        val granted = recentGrants[request.ticket]
        if (granted != null) return listOf(granted.decision)
        if (known != null) {
            waiting[request.ticket] = known.copy(heardUntil = now + WaitingRequest.HOLDER_SILENCE)
            return listOf(DispatchDecision.Queued(request.ticket, request.holder))
        }
        val entry = WaitingRequest.of(request, now)
        if (isUninformed(now)) {
            informedAt = now + REPORTS_TIME
            budget.startRampUp(now)
        }
        val refusal = refusalOf(request, entry, now)
        if (refusal != null) return listOf(entry.refused(refusal, now))
        waiting[request.ticket] = entry
        val decisions = pump(now)
        if (request.ticket !in waiting) return decisions
        return decisions + DispatchDecision.Queued(request.ticket, request.holder)
    }

    private fun isUninformed(now: Timestamp): Boolean =
        waiting.isEmpty() && placesInUse == 0 && now - reportedAt > REPORTS_LIFETIME

    /** Frees a place, or withdraws a waiting request, and returns the decisions that follow from it. */
    public fun release(release: DispatchRelease, now: Timestamp): List<DispatchDecision> {
        waiting.remove(release.ticket)
        val ledger = release.server?.let { ledgers[it] } ?: return pump(now)
        val key = PlaceKey(release.ticket, release.part)
        val place = if (release.outcome == PlaceOutcome.SILENT) ledger.places[key] else ledger.places.remove(key)
        val domain = recentGrants[release.ticket]?.request?.domain ?: ledger.server.failureDomain
        ledger.health.record(release.outcome, domain, now)
        if (release.outcome in ANSWERS) ledger.answeredAt = now
        if (release.outcome == PlaceOutcome.NOT_RUN) ledger.fullUntil = now + FULL_PAUSE
        // A prompt that a server accepts is no arrival of its own, one that it rejects is.
        if (release.part == PlacePart.PREFILL && release.outcome == PlaceOutcome.NOT_RUN) budget.recordRetry(now)
        ledger.noteSlowdown(release.slowdownPercent, now)
        if (place != null && release.outcome == PlaceOutcome.COMPLETED) {
            selection.observe(ledger, place, release, now)
        }
        return pump(now)
    }

    /**
     * Takes over the places that a holder uses: unlisted ones are free, unknown ones another dispatcher has granted.
     */
    public fun renew(held: HeldPlaces, now: Timestamp): List<DispatchDecision> {
        reportedAt = now
        val listed = held.places.associateBy { PlaceKey(it.ticket, it.part) }
        ledgers.values.forEach { ledger ->
            ledger.places.entries.removeIf { (key, place) ->
                val ofHolder = place.holder.address == held.holder.address
                val listedHere = listed[key]?.server == ledger.server.id
                ofHolder && !listedHere && now >= place.grantedAt + GRANT_TRANSIT
            }
        }
        held.places.forEach { renew(it, held.holder, now) }
        return pump(now)
    }

    private fun renew(held: HeldPlace, holder: InstanceId, now: Timestamp) {
        val ledger = ledgers[held.server] ?: return
        val key = PlaceKey(held.ticket, held.part)
        val known = ledger.places[key]
        if (known != null) {
            known.expiresAt = now + PLACE_LIFETIME
            return
        }
        ledger.places[key] = UsedPlace(
            holder = holder,
            tokens = held.tokens,
            outputTokens = 0,
            readingUntil = null,
            tokensAhead = 0,
            grantedAt = now,
            expiresAt = now + PLACE_LIFETIME,
        )
    }

    /**
     * Returns a server that should be ordered to change its stage, or null. The order is taken as sent: the server gets
     * no work while it changes, and no other one is returned meanwhile.
     *
     * @param switchTime time that a server needs for the change once its work has ended
     */
    public fun takeStageChange(switchTime: Duration, now: Timestamp): StageChange? {
        if (now < nextStageChange) return null
        val change = selection.stageChange(demand) ?: return null
        nextStageChange = now + switchTime + STAGE_CHANGE_PAUSE
        ledgers[change.server.id]?.switchingUntil = nextStageChange
        return change
    }

    /** Gives [server] no requests of [holder] before [until], and returns the decisions that follow from it. */
    public fun pause(
        server: BackendServerId,
        holder: InstanceId,
        until: Timestamp,
        now: Timestamp,
    ): List<DispatchDecision> {
        ledgers[server]?.pauseFor(holder, until)
        return pump(now)
    }

    /** Takes back [change], whose order did not reach its server; another one may be ordered at once. */
    public fun stageChangeNotSent(change: StageChange, now: Timestamp) {
        nextStageChange = now
        val ledger = ledgers[change.server.id] ?: return
        ledger.switchingUntil = now
        ledger.health.record(PlaceOutcome.UNREACHABLE, ledger.server.failureDomain, now)
    }

    /** Frees places and drops requests whose holders fell silent, refuses what is hopeless, and grants what fits. */
    public fun tick(now: Timestamp): List<DispatchDecision> {
        ledgers.values.forEach { ledger -> ledger.places.values.removeIf { it.expiresAt <= now } }
        recentGrants.values.removeIf { it.forgetAt <= now }
        waiting.values.removeIf { it.heardUntil <= now }
        return pump(now)
    }

    private fun refusalOf(request: DispatchRequest, entry: WaitingRequest, now: Timestamp): DispatchRefusal? {
        val withoutServer = withoutServer(entry, now)
        return when {
            withoutServer != null -> withoutServer

            request.repeats > 0 && !budget.tryAcquire(now, request.repeats) -> DispatchRefusal.RETRY_BUDGET

            else -> {
                if (!request.askedBefore) budget.recordFirstAttempt(now)
                DispatchRefusal.OVERLOADED.takeIf { isHopeless(entry, waiting.size, now) }
            }
        }
    }

    /** Returns why no server of the pool will take [entry] in time, or null. */
    private fun withoutServer(entry: WaitingRequest, now: Timestamp): DispatchRefusal? {
        val runners = runners(entry)
        return when {
            ledgers.keys.none { it !in entry.excluded } -> DispatchRefusal.NO_SERVER
            firstWanted(runners, entry, now) > maxOf(now, entry.beginBy) -> DispatchRefusal.SERVERS_PAUSED
            else -> null
        }
    }

    /** Returns the servers that could run [entry], whatever they want and however busy they are. */
    private fun runners(entry: WaitingRequest): List<ServerLedger> =
        ledgers.values.filter { it.server.stage != ServerStage.PREFILL && it.server.id !in entry.excluded }

    /** Returns the earliest time at which one of [servers] wants requests of the holder of [entry]. */
    private fun firstWanted(servers: List<ServerLedger>, entry: WaitingRequest, now: Timestamp): Timestamp =
        servers.minOfOrNull { it.pausedUntil(entry.holder, now) ?: now } ?: now

    private fun isHopeless(entry: WaitingRequest, ahead: Int, now: Timestamp): Boolean {
        val wait = selection.timePerRequest(entry) * ahead
        return now + wait + selection.firstTime(entry, now) >= entry.beginBy ||
            now + wait + selection.leastTime(entry, now) >= entry.deadlineAt
    }

    private fun pump(now: Timestamp): List<DispatchDecision> {
        if (waiting.isEmpty()) return emptyList()
        val decisions = mutableListOf<DispatchDecision>()
        waiting.values.toList().forEach { entry ->
            val overloaded = DispatchRefusal.OVERLOADED.takeIf { isHopeless(entry, ahead = 0, now) }
            val refusal = withoutServer(entry, now) ?: overloaded ?: return@forEach
            waiting.remove(entry.ticket)
            decisions += entry.refused(refusal, now)
        }
        for (entry in inOrder(now)) {
            val granted = place(entry, now) ?: break
            waiting.remove(entry.ticket)
            decisions += grant(entry, granted, now)
        }
        return decisions
    }

    /** A run that a server has no memory for is rejected after its prompt was read, so places must be known. */
    private fun place(entry: WaitingRequest, now: Timestamp): PlacedRequest? {
        val mustWait = entry.work is DispatchWork.Generation && now < informedAt
        return if (mustWait) null else selection.place(entry, now)
    }

    /**
     * Orders streams that have begun first: they are lost when their callers leave, with all that was spent on them.
     * Then come requests that can be on time, before late ones; each by priority and objective. A long run counts as if
     * its objective were later: while places are short, several short runs are served in the time of a long one.
     */
    private fun inOrder(now: Timestamp): List<WaitingRequest> = waiting.values.sortedWith(
        compareBy<WaitingRequest> { !it.begun }
            .thenBy { now + selection.usualTime(it, now) > it.objectiveAt }
            .thenBy { it.priority }
            .thenBy { it.objectiveAt + selection.runTime(it) * SHORT_RUN_PREFERENCE },
    )

    private fun grant(entry: WaitingRequest, places: PlacedRequest, now: Timestamp): DispatchDecision {
        places.prefill?.let { use(it, entry, PlacePart.PREFILL, now) }
        use(places.run, entry, PlacePart.RUN, now)
        (entry.work as? DispatchWork.Generation)?.let { demand.observe(it.promptTokens, it.outputTokens) }
        val decision = DispatchDecision.Granted(
            ticket = entry.ticket,
            holder = entry.holder,
            server = places.run.ledger.server.id,
            prefillServer = places.prefill?.ledger?.server?.id,
        )
        recentGrants[entry.ticket] = RecentGrant(decision, entry, forgetAt = entry.deadlineAt)
        return decision
    }

    private fun use(place: PlannedPlace, entry: WaitingRequest, part: PlacePart, now: Timestamp) {
        place.ledger.places[PlaceKey(entry.ticket, part)] = UsedPlace(
            holder = entry.holder,
            tokens = place.tokens,
            outputTokens = (entry.work as? DispatchWork.Generation)?.outputTokens ?: 0,
            readingUntil = place.readingTime?.let { now + it },
            tokensAhead = place.tokensAhead,
            grantedAt = now,
            expiresAt = now + PLACE_LIFETIME,
        )
    }

    private fun WaitingRequest.refused(reason: DispatchRefusal, now: Timestamp): DispatchDecision.Refused {
        val wait = when (reason) {
            DispatchRefusal.SERVERS_PAUSED -> firstWanted(runners(this), this, now) - now

            DispatchRefusal.NO_SERVER, DispatchRefusal.OVERLOADED, DispatchRefusal.RETRY_BUDGET ->
                selection.timePerRequest(this) * waiting.size
        }
        return DispatchDecision.Refused(ticket, holder, reason, retryAfter = maxOf(wait, SHORTEST_RETRY))
    }

    private class RecentGrant(
        val decision: DispatchDecision.Granted,
        val request: WaitingRequest,
        val forgetAt: Timestamp,
    )

    private companion object {
        /** Time after which a place is free unless its holder reports it again; holders report five times as often. */
        val PLACE_LIFETIME = 1_500.milliseconds

        /** Time that a grant may need to its holder and the holder's next report back. */
        val GRANT_TRANSIT = 700.milliseconds

        /** Time beside that of a change in which the server's work ends and its new entry arrives everywhere. */
        val STAGE_CHANGE_PAUSE = 4.seconds

        /** Time without new work for a server that rejected a request, since it has less room than is known here. */
        val FULL_PAUSE = 300.milliseconds

        /** Time in which every holder reports once. */
        val REPORTS_TIME = 350.milliseconds

        /** Time without any report after which the places in use are not known. */
        val REPORTS_LIFETIME = 1_200.milliseconds

        /** Outcomes that show that a server answers. */
        val ANSWERS = setOf(PlaceOutcome.COMPLETED, PlaceOutcome.SERVER_FAILED, PlaceOutcome.NOT_RUN)

        /** Weight of one run in the time for an output token; expectations of single runs are often far off. */
        const val OUTPUT_SPEED_WEIGHT = 0.05

        /** Share of its expected run by which a request is put back; a long run still passes after a second or so. */
        const val SHORT_RUN_PREFERENCE = 0.1

        /** Shortest time after which a refused request may come again. */
        val SHORTEST_RETRY = 200.milliseconds
    }
}
