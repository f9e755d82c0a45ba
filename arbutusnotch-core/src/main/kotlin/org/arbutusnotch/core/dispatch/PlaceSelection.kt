/*
 * Selects the backend server of a pool for each request.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.straggler.SpeedEstimate
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes a place that a request would take.
 *
 * @property tokens memory that the place takes, or prompt tokens to process for [PlacePart.PREFILL]
 * @property directPrefillTime time that the server of a run needs to prefill the prompt itself; null when a prefill
 * server does so
 * @property queuedPromptTokens prompt tokens that the server already had to process
 */
internal data class PlannedPlace(
    val tracked: TrackedServer,
    val tokens: Int = 0,
    val directPrefillTime: Duration? = null,
    val queuedPromptTokens: Int = 0,
)

/** Names the places of one request: its run and, when another server prefills the prompt, the prefill. */
internal data class PlacedRequest(val run: PlannedPlace, val prefill: PlannedPlace? = null)

/** Selects places for the requests of one kind of pool. */
internal sealed class PlaceSelection(protected val trackedServers: Map<BackendServerId, TrackedServer>) {
    /** Values of the servers for the current pass. */
    var snapshot: PoolSnapshot = PoolSnapshot(trackedServers, Timestamp(0))
        private set

    /** Starts a pass at [now]; values of the servers that were computed before are no longer used. */
    fun beginPass(now: Timestamp) {
        snapshot = PoolSnapshot(trackedServers, now)
    }

    /** Returns whether any server has capacity for any of [entries] at [now]; may be true although none is placed. */
    abstract fun hasRoomForAny(entries: Collection<WaitingRequest>, now: Timestamp): Boolean

    /**
     * Returns the places for [entry], or null when no capacity is available yet. [reservations] leave some servers to
     * requests that are ahead of it.
     */
    abstract fun place(entry: WaitingRequest, reservations: Reservations, now: Timestamp): PlacedRequest?

    /**
     * Returns whether a server may run [entry] once it has capacity. A request that no server may take, as one of an
     * instance that reaches none, does not hold up those behind it.
     */
    fun hasEligibleServer(entry: WaitingRequest, reservations: Reservations, now: Timestamp): Boolean =
        eligibleServers(entry, reservations, now).any { it.server.stage != ServerStage.PREFILL }

    /**
     * Returns the servers on which [entry] would not end in time because they are slow, if it would on others; it does
     * not use them while it waits for one of the others.
     */
    open fun tooSlowServers(entry: WaitingRequest, now: Timestamp): Set<BackendServerId> = emptySet()

    /** Returns whether [tracked] may take [entry] once it has capacity. */
    fun isEligible(tracked: TrackedServer, entry: WaitingRequest, now: Timestamp): Boolean =
        tracked in eligibleServers(entry, Reservations(), now)

    /** Updates the speed estimates with the completed use of [place]. */
    abstract fun observe(tracked: TrackedServer, place: UsedPlace, release: DispatchRelease, now: Timestamp)

    /** Returns the minimum time until the answer or, for a stream, its first event. */
    abstract fun minimumTimeToFirstEvent(entry: WaitingRequest, now: Timestamp): Duration

    /** Returns the minimum time until the whole request is complete. */
    abstract fun minimumDuration(entry: WaitingRequest, now: Timestamp): Duration

    /** Returns whether [entry] would not start, or not end, in time after [wait]. */
    fun missesDeadline(entry: WaitingRequest, wait: Duration, now: Timestamp): Boolean {
        val start = now + wait
        return start + minimumTimeToFirstEvent(entry, now) >= entry.startDeadline ||
            start + minimumDuration(entry, now) >= entry.deadlineAt
    }

    /** Returns the expected time until the answer or, for a stream, its first event. */
    abstract fun expectedTimeToFirstEvent(entry: WaitingRequest, now: Timestamp): Duration

    /** Returns the average interval at which the pool, while it is full, can start another request like [entry]. */
    abstract fun timePerRequest(entry: WaitingRequest): Duration

    /** Returns a server that should switch to another stage, or null when the pool is balanced. */
    open fun stageChange(demand: DemandAverage): StageChange? = null

    /** Returns the expected time from the first event to the end of the run. */
    open fun expectedRunTime(entry: WaitingRequest): Duration = Duration.ZERO

    /** Returns the average interval between requests at a rate of [perSecond]; zero when the rate is unknown. */
    protected fun intervalOf(perSecond: Double): Duration {
        if (perSecond <= 0.0) return Duration.ZERO
        return 1.seconds / perSecond
    }

    /**
     * Returns the servers that may take [entry] at [now]: neither excluded nor left to others by [reservations], not
     * paused for its holder, and healthy. Their capacity and request limits are not considered.
     */
    protected fun eligibleServers(
        entry: WaitingRequest,
        reservations: Reservations,
        now: Timestamp,
    ): List<TrackedServer> {
        val stages = snapshot.healthOf(entry)
        return trackedServers.values
            .filter { entry.accepts(it.server) && reservations.admits(it.server) }
            .filter { it.pausedUntil(entry.holder, now) == null }
            .filter { stages.getValue(it.server.stage).admits(it) }
    }
}

/**
 * Evaluates the health of the [servers] of one stage for [entry] at [now].
 *
 * When more than half of the servers look unhealthy, the network path or the requests are the likelier cause. Each
 * server is then admitted one level more work than its own health allows, so that the pool keeps serving. Prefill
 * servers are exempt from this, because decode servers can process prompts in their place; so are servers that other
 * instances reach.
 */
internal class StageHealth(
    private val stage: ServerStage,
    private val servers: List<TrackedServer>,
    private val entry: WaitingRequest,
    private val now: Timestamp,
) {
    private val medianFailureShare: Double = medianFailureShare(servers, entry.domain)

    private val mostAreUnhealthy: Boolean by lazy(LazyThreadSafetyMode.NONE) {
        servers.count { ownAdmission(it) != Admission.FULL } * 2 > servers.size
    }

    fun admits(tracked: TrackedServer): Boolean = when (admission(tracked)) {
        Admission.FULL -> true
        Admission.PROBE -> tracked.mayProbe(entry.holder.address)
        Admission.NONE -> false
    }

    private fun admission(tracked: TrackedServer): Admission {
        val own = ownAdmission(tracked)
        return when {
            own == Admission.FULL || stage == ServerStage.PREFILL || !mostAreUnhealthy -> own
            tracked.health.isPathDown(entry.holder.address) -> own
            own == Admission.NONE -> Admission.PROBE
            else -> Admission.FULL
        }
    }

    private fun ownAdmission(tracked: TrackedServer) =
        tracked.health.admission(entry.holder.address, entry.domain, medianFailureShare, now)

    companion object {
        /** Returns the median over [servers] of the share of failures that callers in [domain] have seen. */
        fun medianFailureShare(servers: List<TrackedServer>, domain: FailureDomainId): Double =
            servers.map { it.health.failureShare(domain) }.sorted().getOrElse((servers.size - 1) / 2) { 0.0 }
    }
}

/** Places plain calls on the server with the lowest expected latency, at most one call beyond its slots. */
internal class CallPlaceSelection(servers: Map<BackendServerId, TrackedServer>) : PlaceSelection(servers) {
    override fun place(entry: WaitingRequest, reservations: Reservations, now: Timestamp): PlacedRequest? {
        val medianTime = medianCallTime()
        return eligibleServers(entry, reservations, now)
            .filter { hasRoom(it, medianTime, now) }
            .minByOrNull { costMillis(it, entry, medianTime, now) }
            ?.let { PlacedRequest(PlannedPlace(it)) }
    }

    override fun hasRoomForAny(entries: Collection<WaitingRequest>, now: Timestamp): Boolean {
        val medianTime = medianCallTime()
        return trackedServers.values.any { hasRoom(it, medianTime, now) }
    }

    private fun hasRoom(tracked: TrackedServer, medianTime: Duration, now: Timestamp): Boolean =
        tracked.places.size < tracked.server.slots + IN_FLIGHT_CALLS && now >= tracked.fullUntil &&
            tracked.limit.admits(now) && !isStalled(tracked, medianTime, now) && isWithinPace(tracked, now)

    private fun isWithinPace(tracked: TrackedServer, now: Timestamp): Boolean {
        val slots = tracked.server.slots
        return tracked.isWithinPace(slots, usage = tracked.places.size.toDouble() / slots, now)
    }

    private fun costMillis(
        tracked: TrackedServer,
        entry: WaitingRequest,
        medianTime: Duration,
        now: Timestamp,
    ): Double {
        val slotUsage = tracked.places.size.toDouble() / tracked.server.slots
        val penalty = if (tracked.server.failureDomain == entry.domain) 0.0 else CROSS_DOMAIN_MILLIS
        return tracked.timePerUnit(medianTime, now).inWholeMicroseconds / MICROS_PER_MILLI * (1 + slotUsage) + penalty
    }

    /** Whether the server has had work without answering for so long that it has probably stopped responding. */
    private fun isStalled(tracked: TrackedServer, medianTime: Duration, now: Timestamp): Boolean =
        tracked.silentFor(now) > medianTime * STALL_FACTOR + STALL_EXTRA

    override fun observe(tracked: TrackedServer, place: UsedPlace, release: DispatchRelease, now: Timestamp) {
        val normalizedElapsed = release.elapsedMillis.milliseconds / tracked.slowdown(now)
        tracked.speed.observe(units = 1.0, elapsed = normalizedElapsed, count = 1, now = now)
    }

    override fun minimumTimeToFirstEvent(entry: WaitingRequest, now: Timestamp): Duration = minimumDuration(entry, now)

    override fun minimumDuration(entry: WaitingRequest, now: Timestamp): Duration =
        medianCallTime() * MINIMUM_CALL_TIME_SHARE

    override fun expectedTimeToFirstEvent(entry: WaitingRequest, now: Timestamp): Duration = medianCallTime()

    override fun timePerRequest(entry: WaitingRequest): Duration {
        val callsPerSlot = 1.seconds / medianCallTime()
        return intervalOf(trackedServers.values.sumOf { it.limit.restrict(it.server.slots * callsPerSlot) })
    }

    private fun medianCallTime(): Duration = snapshot.medianTimePerUnit(ServerStage.WHOLE) ?: DEFAULT_CALL_TIME

    private companion object {
        /** Calls sent to a server beyond its slots, so that the next call is in transit when a slot becomes free. */
        const val IN_FLIGHT_CALLS = 1

        /** Additional latency of a call to another failure domain, in milliseconds. */
        const val CROSS_DOMAIN_MILLIS = 3.0
        const val MICROS_PER_MILLI = 1_000.0

        /** Call time assumed until the first call has completed. */
        val DEFAULT_CALL_TIME = 30.milliseconds

        /** Shortest call time that is considered possible, as a share of the median. */
        const val MINIMUM_CALL_TIME_SHARE = 0.5

        /** A server counts as stalled after this many median call times plus [STALL_EXTRA] without an answer. */
        const val STALL_FACTOR = 6
        val STALL_EXTRA = 100.milliseconds
    }
}

/**
 * Places generations: on the prefill server that would finish the prompt first, and on a decode server with memory
 * for the whole request. The decode memory is reserved up front, because a prefill result is kept for less than a
 * second.
 */
internal class GenerationPlaceSelection(
    trackedServers: Map<BackendServerId, TrackedServer>,
    private val engine: EngineProfile,
    private val outputSpeed: SpeedEstimate,
    private val policy: DispatchPolicy,
) : PlaceSelection(trackedServers) {
    override fun place(entry: WaitingRequest, reservations: Reservations, now: Timestamp): PlacedRequest? {
        val work = entry.work as? DispatchWork.Generation ?: return null
        val (prefillServers, decodeServers) =
            eligibleServers(entry, reservations, now).partition { it.server.stage == ServerStage.PREFILL }
        val tooSlow = tooSlowServers(entry, now)
        val decode = decodeServers.filter { hasRoom(it, reservedTokens(work), now) && it.server.id !in tooSlow }
        return placeWithPrefill(decode, prefillServers, entry, work, now)
            ?: placeDirectly(decode, prefillServers.map { it.server.version }.toSet(), entry, work, now)
    }

    override fun hasRoomForAny(entries: Collection<WaitingRequest>, now: Timestamp): Boolean {
        val smallest = entries.minOfOrNull { (it.work as? DispatchWork.Generation)?.let(::reservedTokens) ?: 0 } ?: 0
        val open = snapshot.runServers.filter { hasRoom(it, smallest, now) }
        return open.any { it.directPrefills(now) < MAXIMUM_DIRECT_PREFILLS } ||
            (open.isNotEmpty() && snapshot.prefillServers.any { hasPrefillCapacity(it, now) })
    }

    /** Places the prefill at the version of the run, because versions cannot read each other's key-value caches. */
    private fun placeWithPrefill(
        decode: List<TrackedServer>,
        prefillServers: List<TrackedServer>,
        entry: WaitingRequest,
        work: DispatchWork.Generation,
        now: Timestamp,
    ): PlacedRequest? {
        if (work.direct) return null
        val prefillByVersion = prefillServers.filter { hasPrefillCapacity(it, now) }.groupBy { it.server.version }
        val run = decode.filter { it.server.version in prefillByVersion }.minByOrNull { loadScore(it, entry, now) }
        val prefill = prefillByVersion[run?.server?.version]?.minByOrNull { queuedPrefillTime(it, work, now) }
        return if (run == null || prefill == null) null else withPrefill(run, prefill, work)
    }

    /**
     * Places a run on a server that prefills the prompt itself. Decode servers do so when their version is not one of
     * [prefillVersions], and for requests that have already waited as long as a decode server needs to prefill their
     * prompt.
     */
    private fun placeDirectly(
        decode: List<TrackedServer>,
        prefillVersions: Set<SoftwareVersion>,
        entry: WaitingRequest,
        work: DispatchWork.Generation,
        now: Timestamp,
    ): PlacedRequest? {
        val mayUseAll = work.direct || now - entry.waitingSince >= directPrefillTime(entry)
        return decode.filter { it.server.stage == ServerStage.WHOLE }
            .ifEmpty { decode.filter { mayUseAll || it.server.version !in prefillVersions } }
            .filter { it.directPrefills(now) < MAXIMUM_DIRECT_PREFILLS }
            .minByOrNull { loadScore(it, entry, now) }
            ?.let {
                PlacedRequest(
                    PlannedPlace(it, tokens = reservedTokens(work), directPrefillTime = directPrefillTime(entry)),
                )
            }
    }

    private fun withPrefill(run: TrackedServer, prefill: TrackedServer, work: DispatchWork.Generation) = PlacedRequest(
        run = PlannedPlace(run, tokens = reservedTokens(work)),
        prefill = PlannedPlace(prefill, tokens = work.promptTokens, queuedPromptTokens = prefill.queuedPromptTokens),
    )

    /** Reserves only the average memory of a run, which grows with its output. */
    private fun reservedTokens(work: DispatchWork.Generation): Int =
        work.promptTokens + (work.expectedOutputTokens * AVERAGE_OUTPUT_SHARE).toInt()

    private fun hasRoom(tracked: TrackedServer, tokens: Int, now: Timestamp): Boolean {
        val used = tracked.usedTokens
        return now >= tracked.stageSwitchUntil && tracked.rejections.admits(now) && tracked.limit.admits(now) &&
            tracked.places.size < engine.slots &&
            (used == 0 || used + tokens <= engine.memoryTokens * USABLE_MEMORY_SHARE) &&
            tracked.isWithinPace(engine.slots, usage = usage(tracked, used), now)
    }

    private fun usage(tracked: TrackedServer, usedTokens: Int): Double =
        maxOf(tracked.places.size.toDouble() / engine.slots, usedTokens.toDouble() / engine.memoryTokens)

    private fun hasPrefillCapacity(tracked: TrackedServer, now: Timestamp): Boolean =
        tracked.places.size < MAXIMUM_PROMPTS_PER_PREFILL_SERVER && now >= tracked.stageSwitchUntil &&
            tracked.limit.admits(now) && tracked.isWithinPace(
                slots = MAXIMUM_PROMPTS_PER_PREFILL_SERVER,
                usage = tracked.places.size.toDouble() / MAXIMUM_PROMPTS_PER_PREFILL_SERVER,
                now = now,
            )

    private fun queuedPrefillTime(tracked: TrackedServer, work: DispatchWork.Generation, now: Timestamp): Duration =
        tracked.timePerUnit(medianPromptTokenTime(), now) * (tracked.queuedPromptTokens + work.promptTokens)

    /** Rates the load of a server; a run on a slow server takes longer, all the more if its output is long. */
    private fun loadScore(tracked: TrackedServer, entry: WaitingRequest, now: Timestamp): Double {
        val penalty = if (tracked.server.failureDomain == entry.domain) 0.0 else CROSS_DOMAIN_LOAD_SHARE
        val relativeTime = relativeTime(tracked)
        val slowness = maxOf(tracked.slowdown(now), relativeTime)
        val extraRunTime = expectedRunTime(entry) * (relativeTime - 1.0)
        return tracked.usedTokens.toDouble() / engine.memoryTokens * slowness + penalty +
            extraRunTime / 1.seconds * LOAD_SHARE_PER_EXTRA_SECOND
    }

    private fun relativeTime(tracked: TrackedServer): Double =
        if (policy.usesServerSpeeds) snapshot.relativeTimes[tracked] ?: 1.0 else 1.0

    override fun tooSlowServers(entry: WaitingRequest, now: Timestamp): Set<BackendServerId> {
        val hasSlowServers = snapshot.relativeTimes.values.any { it >= SLOW_RELATIVE_TIME }
        if (!policy.usesServerSpeeds || !hasSlowServers) return emptySet()
        val timeLeft = entry.deadlineAt - now - minimumTimeToFirstEvent(entry, now)
        val runTime = expectedRunTime(entry)
        val (tooSlow, others) = snapshot.optionsOf(entry).servers.partition {
            val relativeTime = relativeTime(it)
            relativeTime >= SLOW_RELATIVE_TIME && runTime * relativeTime > timeLeft
        }
        val othersSuffice = others.any { runTime * relativeTime(it) * MINIMUM_RUN_SHARE <= timeLeft }
        return if (othersSuffice) tooSlow.mapTo(HashSet()) { it.server.id } else emptySet()
    }

    override fun observe(tracked: TrackedServer, place: UsedPlace, release: DispatchRelease, now: Timestamp) {
        if (release.part == PlacePart.RUN) {
            observeRun(tracked, place, release, now)
            return
        }
        val tokens = place.queuedPromptTokens + place.tokens + PREFILL_OVERHEAD_TOKENS
        val elapsed = release.elapsedMillis.milliseconds / tracked.slowdown(now)
        tracked.speed.observe(units = tokens.toDouble(), elapsed = elapsed, count = 1, now = now)
    }

    private fun observeRun(tracked: TrackedServer, place: UsedPlace, release: DispatchRelease, now: Timestamp) {
        if (place.expectedOutputTokens == 0) return
        val prefillDuration = place.directPrefillUntil?.let { it - place.grantedAt } ?: Duration.ZERO
        val elapsed = (release.elapsedMillis.milliseconds - prefillDuration).coerceAtLeast(Duration.ZERO)
        outputSpeed.observe(units = place.expectedOutputTokens.toDouble(), elapsed = elapsed, count = 1, now = now)
        tracked.outputTime.observe(place.expectedOutputTokens, elapsed, now)
    }

    override fun expectedRunTime(entry: WaitingRequest): Duration {
        val work = entry.work as? DispatchWork.Generation ?: return Duration.ZERO
        return (outputSpeed.timePerUnit ?: Duration.ZERO) * work.expectedOutputTokens
    }

    override fun minimumTimeToFirstEvent(entry: WaitingRequest, now: Timestamp): Duration =
        if (snapshot.hasPrefillServer(entry)) prefillTime(entry) else directPrefillTime(entry)

    /** The whole run must fit, because an incomplete stream is of no use to its caller. */
    override fun minimumDuration(entry: WaitingRequest, now: Timestamp): Duration =
        minimumTimeToFirstEvent(entry, now) + expectedRunTime(entry) * MINIMUM_RUN_SHARE

    override fun expectedTimeToFirstEvent(entry: WaitingRequest, now: Timestamp): Duration =
        minimumTimeToFirstEvent(entry, now) + FIRST_EVENT_TIME

    /** The bottleneck is either the prefill capacity or the memory of the decode servers. */
    override fun timePerRequest(entry: WaitingRequest): Duration {
        val work = entry.work as? DispatchWork.Generation ?: return Duration.ZERO
        val prefillPerSecond = snapshot.prefillLimits.restrict(1.seconds / prefillTime(entry))
        // Decode servers also prefill prompts that wait because of the limits of all prefill servers.
        val directPerSecond =
            if (snapshot.prefillLimits.areAllLimited) {
                snapshot.runLimits.restrict(1.seconds / directPrefillTime(entry))
            } else {
                0.0
            }
        val runTimeInMemory = expectedRunTime(entry) * (reservedTokens(work).toDouble() / engine.memoryTokens)
        val runsPerSecond =
            snapshot.runLimits.restrict(if (runTimeInMemory > Duration.ZERO) 1.seconds / runTimeInMemory else UNLIMITED)
        return maxOf(intervalOf(prefillPerSecond + directPerSecond), intervalOf(runsPerSecond))
    }

    override fun stageChange(demand: DemandAverage): StageChange? {
        val timePerOutputToken = outputSpeed.timePerUnit ?: return null
        if (outputSpeed.samples < MINIMUM_DEMAND_SAMPLES || demand.samples < MINIMUM_DEMAND_SAMPLES) return null
        val (prefill, decode) = trackedServers.values.partition { it.server.stage == ServerStage.PREFILL }
        val memoryShare = (demand.promptTokens + demand.outputTokens * AVERAGE_OUTPUT_SHARE) / engine.memoryTokens
        val stage = StagePlan.targetStage(
            prefillServers = prefill.size,
            decodeServers = decode.size,
            prefillTime = medianPromptTokenTime() * (demand.promptTokens + PREFILL_OVERHEAD_TOKENS),
            decodeTime = timePerOutputToken * demand.outputTokens * memoryShare,
        ) ?: return null
        val changing = when (stage) {
            ServerStage.PREFILL -> decode.filter { it.server.stage == ServerStage.DECODE && mayChangeStage(it) }
                .minByOrNull { it.usedTokens }

            ServerStage.DECODE -> prefill.filter { mayChangeStage(it) }.minByOrNull { it.queuedPromptTokens }

            ServerStage.WHOLE -> null
        }
        return changing?.let { StageChange(it.server, stage) }
    }

    /** The order is itself a request, and a server that limits its requests is not one to rely on in another stage. */
    private fun mayChangeStage(tracked: TrackedServer): Boolean =
        tracked.health.isReachable && tracked.limit.perSecond == null

    private fun directPrefillTime(entry: WaitingRequest): Duration = prefillTime(entry) * DIRECT_PREFILL_FACTOR

    private fun prefillTime(entry: WaitingRequest): Duration {
        val work = entry.work as? DispatchWork.Generation ?: return Duration.ZERO
        return medianPromptTokenTime() * (work.promptTokens + PREFILL_OVERHEAD_TOKENS)
    }

    private fun medianPromptTokenTime(): Duration =
        snapshot.medianTimePerUnit(ServerStage.PREFILL) ?: DEFAULT_PROMPT_TOKEN_TIME

    private companion object {
        /** Prompts assigned to a prefill server at a time: the current one and one that follows without idle time. */
        const val MAXIMUM_PROMPTS_PER_PREFILL_SERVER = 2

        /** Prompts that a decode server prefills at a time; they delay the tokens of its other requests. */
        const val MAXIMUM_DIRECT_PREFILLS = 1

        /** Share of an engine's memory that is assigned; the rest absorbs outputs that are longer than expected. */
        const val USABLE_MEMORY_SHARE = 0.95

        /**
         * Prefill time on a decode server relative to a prefill server: a decode server prefills at half the speed, in
         * small chunks between the tokens of its other requests.
         */
        const val DIRECT_PREFILL_FACTOR = 3.0

        /** Share of its output that a run keeps in memory on average, with a margin for longer outputs. */
        const val AVERAGE_OUTPUT_SHARE = 0.7

        /** Share of the expected run time that must fit before the caller's deadline; estimates are often far off. */
        const val MINIMUM_RUN_SHARE = 0.7

        /** Placed requests and completed runs that are needed before the averages decide about a stage change. */
        const val MINIMUM_DEMAND_SAMPLES = 10

        /** Difference in load, as a share of memory, above which a server in another failure domain is preferred. */
        const val CROSS_DOMAIN_LOAD_SHARE = 0.05

        /** Time per output token, relative to the median, from which a server counts as slow. */
        const val SLOW_RELATIVE_TIME = 1.25

        /** Difference in load, as a share of memory, that outweighs a run that takes a second longer. */
        const val LOAD_SHARE_PER_EXTRA_SECOND = 0.05

        /** Fixed cost of a prefill, expressed in prompt tokens. */
        const val PREFILL_OVERHEAD_TOKENS = 200

        /** Time per prompt token assumed until a prefill has completed. */
        val DEFAULT_PROMPT_TOKEN_TIME = 30.microseconds

        /** Rate of runs, in requests per second, until the time of a run is known. */
        const val UNLIMITED = Double.POSITIVE_INFINITY

        /** Time from the end of the prefill to the first event. */
        val FIRST_EVENT_TIME = 150.milliseconds
    }
}
