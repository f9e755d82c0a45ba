/*
 * Which server of a pool gets a request.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.straggler.SpeedEstimate
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * A place that a request would take.
 *
 * @property readingTime time that the server of a run needs to read the prompt; null when another one reads it
 */
internal data class PlannedPlace(
    val ledger: ServerLedger,
    val tokens: Int = 0,
    val readingTime: Duration? = null,
    val tokensAhead: Int = 0,
)

/** The places of one request. */
internal data class PlacedRequest(val run: PlannedPlace, val prefill: PlannedPlace? = null)

/** Selects places for the requests of one kind of pool. */
internal sealed class PlaceSelection(protected val ledgers: Map<BackendServerId, ServerLedger>) {
    /** Returns the places for [entry], or null while it must wait. */
    abstract fun place(entry: WaitingRequest, now: Timestamp): PlacedRequest?

    /** Learns from a completed use of [place]. */
    abstract fun observe(ledger: ServerLedger, place: UsedPlace, release: DispatchRelease, now: Timestamp)

    /** Returns the time that the answer, or the first event, would need at least. */
    abstract fun firstTime(entry: WaitingRequest, now: Timestamp): Duration

    /** Returns the time that the whole request would need at least. */
    abstract fun leastTime(entry: WaitingRequest, now: Timestamp): Duration

    /** Returns the time that the request usually needs until its answer or first event. */
    abstract fun usualTime(entry: WaitingRequest, now: Timestamp): Duration

    /** Returns the time after which the pool as a whole has room for one more request like [entry] while it is full. */
    abstract fun timePerRequest(entry: WaitingRequest): Duration

    /** Returns a server that should change its stage, or null. */
    open fun stageChange(demand: DemandAverage): StageChange? = null

    /** Returns the time that the run is expected to take after its first event. */
    open fun runTime(entry: WaitingRequest): Duration = Duration.ZERO

    protected fun medianPerUnit(stages: Set<ServerStage>): Duration? {
        val known = ledgers.values.filter { it.server.stage in stages }.mapNotNull { it.speed.timePerUnit }.sorted()
        return known.getOrNull(known.size / 2)
    }

    /** Returns the servers that are healthy enough to take [entry] at [now] and want requests of its holder. */
    protected fun takers(entry: WaitingRequest, now: Timestamp): List<ServerLedger> {
        val stages = ledgers.values.groupBy { it.server.stage }
            .mapValues { (stage, servers) -> StageHealth(stage, servers, entry.domain, now) }
        return ledgers.values
            .filter { it.server.id !in entry.excluded && it.pausedUntil(entry.holder, now) == null }
            .filter { stages.getValue(it.server.stage).mayTake(it) }
    }
}

/**
 * Judges the [servers] of one stage for callers of [domain] at [now].
 *
 * When more than half of the servers look unhealthy, the cause is rather the way to them or the requests, and each of
 * them gets more than it would alone. Prefill servers are excepted, because decode servers can do their work.
 */
private class StageHealth(
    private val stage: ServerStage,
    private val servers: List<ServerLedger>,
    private val domain: FailureDomainId,
    private val now: Timestamp,
) {
    private val usualShare: Double =
        servers.map { it.health.failureShare(domain) }.sorted().getOrElse((servers.size - 1) / 2) { 0.0 }

    private val mostAreUnhealthy: Boolean by lazy(LazyThreadSafetyMode.NONE) {
        servers.count { ownAdmission(it) != Admission.FULL } * 2 > servers.size
    }

    fun mayTake(ledger: ServerLedger): Boolean = when (admission(ledger)) {
        Admission.FULL -> true
        Admission.PROBE -> ledger.places.isEmpty()
        Admission.NONE -> false
    }

    private fun admission(ledger: ServerLedger): Admission {
        val own = ownAdmission(ledger)
        return when {
            own == Admission.FULL || stage == ServerStage.PREFILL || !mostAreUnhealthy -> own
            own == Admission.NONE -> Admission.PROBE
            else -> Admission.FULL
        }
    }

    private fun ownAdmission(ledger: ServerLedger) = ledger.health.admission(domain, usualShare, now)
}

/** Places plain calls: on the server that is expected to answer first, one call beyond its slots at the most. */
internal class CallPlaceSelection(ledgers: Map<BackendServerId, ServerLedger>) : PlaceSelection(ledgers) {
    override fun place(entry: WaitingRequest, now: Timestamp): PlacedRequest? {
        val usual = usualCall()
        return takers(entry, now)
            .filter { it.places.size < it.server.slots + TRANSIT_CALLS }
            .filter { now >= it.fullUntil && !isStalled(it, usual, now) }
            .minByOrNull { cost(it, entry, usual, now) }
            ?.let { PlacedRequest(PlannedPlace(it)) }
    }

    private fun cost(ledger: ServerLedger, entry: WaitingRequest, usual: Duration, now: Timestamp): Double {
        val occupied = ledger.places.size.toDouble() / ledger.server.slots
        val distance = if (ledger.server.failureDomain == entry.domain) 0.0 else DISTANCE_MILLIS
        return ledger.timePerUnit(usual, now).inWholeMicroseconds / MICROS_PER_MILLI * (1 + occupied) + distance
    }

    /** Whether the server has work and answers nothing for so long that it has probably stopped to answer. */
    private fun isStalled(ledger: ServerLedger, usual: Duration, now: Timestamp): Boolean =
        ledger.silence(now) > usual * STALL_FACTOR + STALL_EXTRA

    override fun observe(ledger: ServerLedger, place: UsedPlace, release: DispatchRelease, now: Timestamp) {
        val usualElapsed = release.elapsedMillis.milliseconds / ledger.slowdown(now)
        ledger.speed.observe(units = 1.0, elapsed = usualElapsed, count = 1, now = now)
    }

    override fun firstTime(entry: WaitingRequest, now: Timestamp): Duration = leastTime(entry, now)

    override fun leastTime(entry: WaitingRequest, now: Timestamp): Duration = usualCall() * LEAST_SHARE

    override fun usualTime(entry: WaitingRequest, now: Timestamp): Duration = usualCall()

    override fun timePerRequest(entry: WaitingRequest): Duration {
        val slots = ledgers.values.sumOf { it.server.slots }
        return if (slots == 0) Duration.ZERO else usualCall() / slots
    }

    private fun usualCall(): Duration = medianPerUnit(setOf(ServerStage.WHOLE)) ?: UNKNOWN_CALL

    private companion object {
        /** Calls beyond the slots that are on their way while a slot becomes free. */
        const val TRANSIT_CALLS = 1

        /** Time that a call to another failure domain takes longer, in milliseconds. */
        const val DISTANCE_MILLIS = 3.0
        const val MICROS_PER_MILLI = 1_000.0

        /** Time assumed for a call while none has completed. */
        val UNKNOWN_CALL = 30.milliseconds
        const val LEAST_SHARE = 0.5
        const val STALL_FACTOR = 6
        val STALL_EXTRA = 100.milliseconds
    }
}

/**
 * Places generations: a prefill server that reads the prompt soonest, and a decode server with memory for the whole
 * request. The decode memory is reserved first, because a prompt that was read is kept for less than a second.
 */
internal class GenerationPlaceSelection(
    ledgers: Map<BackendServerId, ServerLedger>,
    private val engine: EngineProfile,
    private val outputSpeed: SpeedEstimate,
) : PlaceSelection(ledgers) {
    override fun place(entry: WaitingRequest, now: Timestamp): PlacedRequest? {
        val work = entry.work as? DispatchWork.Generation ?: return null
        val (readers, runners) = takers(entry, now).partition { it.server.stage == ServerStage.PREFILL }
        val decode = runners.filter { hasRoom(it, work, now) }
        val prefill = readers.filter { mayRead(it, now) }.minByOrNull { readingTime(it, work, now) }
        return if (prefill != null && !work.direct) {
            val run = decode.minByOrNull { load(it, entry, now) } ?: return null
            withPrefill(run, prefill, work)
        } else {
            direct(decode, entry, work, noReader = readers.isEmpty(), now)
        }
    }

    /**
     * Places a run on a server that reads the prompt itself. Decode servers do so when no prefill server is left, and
     * for requests that have waited for one for as long as a decode server needs to read their prompt.
     */
    private fun direct(
        decode: List<ServerLedger>,
        entry: WaitingRequest,
        work: DispatchWork.Generation,
        noReader: Boolean,
        now: Timestamp,
    ): PlacedRequest? {
        val overdue = now - entry.waitingSince >= directTime(entry)
        val mayUseDecode = work.direct || overdue || noReader
        return decode.filter { it.server.stage == ServerStage.WHOLE }
            .ifEmpty { decode.takeIf { mayUseDecode }.orEmpty() }
            .filter { it.ownPrompts(now) < DIRECT_PROMPTS }
            .minByOrNull { load(it, entry, now) }
            ?.let { PlacedRequest(PlannedPlace(it, tokens = memory(work), readingTime = directTime(entry))) }
    }

    private fun withPrefill(run: ServerLedger, prefill: ServerLedger, work: DispatchWork.Generation) = PlacedRequest(
        run = PlannedPlace(run, tokens = memory(work)),
        prefill = PlannedPlace(prefill, tokens = work.promptTokens, tokensAhead = prefill.promptTokensAhead),
    )

    /** Memory grows with the output, so that a run holds only a part of it on average. */
    private fun memory(work: DispatchWork.Generation): Int =
        work.promptTokens + (work.outputTokens * AVERAGE_OUTPUT).toInt()

    private fun hasRoom(ledger: ServerLedger, work: DispatchWork.Generation, now: Timestamp): Boolean {
        val used = ledger.usedTokens
        return now >= maxOf(ledger.fullUntil, ledger.switchingUntil) && ledger.places.size < engine.slots &&
            (used == 0 || used + memory(work) <= engine.memoryTokens * USABLE_MEMORY)
    }

    private fun mayRead(ledger: ServerLedger, now: Timestamp): Boolean =
        ledger.places.size < PREFILL_DEPTH && now >= ledger.switchingUntil

    private fun readingTime(ledger: ServerLedger, work: DispatchWork.Generation, now: Timestamp): Duration =
        ledger.timePerUnit(usualToken(), now) * (ledger.promptTokensAhead + work.promptTokens)

    private fun load(ledger: ServerLedger, entry: WaitingRequest, now: Timestamp): Double {
        val distance = if (ledger.server.failureDomain == entry.domain) 0.0 else DISTANCE_SHARE
        return ledger.usedTokens.toDouble() / engine.memoryTokens * ledger.slowdown(now) + distance
    }

    override fun observe(ledger: ServerLedger, place: UsedPlace, release: DispatchRelease, now: Timestamp) {
        if (release.part == PlacePart.RUN) {
            observeRun(place, release, now)
            return
        }
        val tokens = place.tokensAhead + place.tokens + OVERHEAD_TOKENS
        val elapsed = release.elapsedMillis.milliseconds / ledger.slowdown(now)
        ledger.speed.observe(units = tokens.toDouble(), elapsed = elapsed, count = 1, now = now)
    }

    private fun observeRun(place: UsedPlace, release: DispatchRelease, now: Timestamp) {
        if (place.outputTokens == 0) return
        val reading = place.readingUntil?.let { it - place.grantedAt } ?: Duration.ZERO
        val elapsed = (release.elapsedMillis.milliseconds - reading).coerceAtLeast(Duration.ZERO)
        outputSpeed.observe(units = place.outputTokens.toDouble(), elapsed = elapsed, count = 1, now = now)
    }

    override fun runTime(entry: WaitingRequest): Duration {
        val work = entry.work as? DispatchWork.Generation ?: return Duration.ZERO
        return (outputSpeed.timePerUnit ?: Duration.ZERO) * work.outputTokens
    }

    override fun firstTime(entry: WaitingRequest, now: Timestamp): Duration =
        if (hasPrefillServer()) promptTime(entry) else directTime(entry)

    /** A caller that leaves before the end of its stream has got nothing, so the whole run must fit. */
    override fun leastTime(entry: WaitingRequest, now: Timestamp): Duration =
        firstTime(entry, now) + runTime(entry) * LEAST_RUN

    override fun usualTime(entry: WaitingRequest, now: Timestamp): Duration = firstTime(entry, now) + FIRST_EVENT

    /** Either the memory of the decode servers or the prefill servers are the limit. */
    override fun timePerRequest(entry: WaitingRequest): Duration {
        val work = entry.work as? DispatchWork.Generation ?: return Duration.ZERO
        val (prefill, decode) = ledgers.values.partition { it.server.stage == ServerStage.PREFILL }
        val reading = when {
            prefill.isNotEmpty() -> promptTime(entry) / prefill.size
            decode.isNotEmpty() -> directTime(entry) / decode.size
            else -> Duration.ZERO
        }
        val held = if (decode.isEmpty()) 0.0 else memory(work).toDouble() / (engine.memoryTokens * decode.size)
        return maxOf(reading, runTime(entry) * held)
    }

    override fun stageChange(demand: DemandAverage): StageChange? {
        val perOutput = outputSpeed.timePerUnit ?: return null
        if (outputSpeed.samples < MINIMUM_RUNS || demand.samples < MINIMUM_RUNS) return null
        val (prefill, decode) = ledgers.values.partition { it.server.stage == ServerStage.PREFILL }
        val held = (demand.promptTokens + demand.outputTokens * AVERAGE_OUTPUT) / engine.memoryTokens
        val stage = StagePlan.change(
            prefill = prefill.size,
            decode = decode.size,
            readingTime = usualToken() * (demand.promptTokens + OVERHEAD_TOKENS),
            holdingTime = perOutput * demand.outputTokens * held,
        ) ?: return null
        val changing = when (stage) {
            ServerStage.PREFILL -> decode.filter { it.server.stage == ServerStage.DECODE && it.health.isReachable }
                .minByOrNull { it.usedTokens }

            ServerStage.DECODE -> prefill.filter { it.health.isReachable }.minByOrNull { it.promptTokensAhead }

            ServerStage.WHOLE -> null
        }
        return changing?.let { StageChange(it.server, stage) }
    }

    private fun hasPrefillServer(): Boolean = ledgers.values.any { it.server.stage == ServerStage.PREFILL }

    private fun directTime(entry: WaitingRequest): Duration = promptTime(entry) * DIRECT_READING

    private fun promptTime(entry: WaitingRequest): Duration {
        val work = entry.work as? DispatchWork.Generation ?: return Duration.ZERO
        return usualToken() * (work.promptTokens + OVERHEAD_TOKENS)
    }

    private fun usualToken(): Duration = medianPerUnit(setOf(ServerStage.PREFILL)) ?: UNKNOWN_TOKEN

    private companion object {
        /** Prompts that one prefill server has at a time: one that is read and one that follows without a gap. */
        const val PREFILL_DEPTH = 2

        /** Prompts that one decode server reads by itself at a time; they delay the tokens of its other requests. */
        const val DIRECT_PROMPTS = 1

        /** Share of an engine's memory that is given out; the rest absorbs outputs that are longer than expected. */
        const val USABLE_MEMORY = 0.95

        /**
         * Time to read a prompt on a decode server, in times of a prefill server: it reads at half the speed, in short
         * pieces between the tokens of its other requests.
         */
        const val DIRECT_READING = 3.0

        /** Part of the output that a run holds on average, with a margin for outputs that are longer than expected. */
        const val AVERAGE_OUTPUT = 0.7

        /** Part of the expected run that must fit before the caller leaves; expectations are often far off. */
        const val LEAST_RUN = 0.7

        /** Completed runs from which the needs of the requests are known. */
        const val MINIMUM_RUNS = 10

        /** Load, as a share of memory, at which a server in another failure domain is preferred. */
        const val DISTANCE_SHARE = 0.05

        /** Tokens that take as long as the fixed cost of reading a prompt. */
        const val OVERHEAD_TOKENS = 200

        /** Time per prompt token assumed while none was observed. */
        val UNKNOWN_TOKEN = 30.microseconds

        /** Time from the end of the prompt to the first event. */
        val FIRST_EVENT = 150.milliseconds
    }
}
