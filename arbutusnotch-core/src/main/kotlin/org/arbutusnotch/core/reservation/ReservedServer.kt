/*
 * The row of one backend server in the reservation table: what is held, what waits and how fast resources are freed.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.configuration.ServerState
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.message.AttemptProgress
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.message.ServerSummary
import org.arbutusnotch.core.straggler.SpeedEstimate
import org.arbutusnotch.core.straggler.WorkUnits
import org.arbutusnotch.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Counts the resources of one backend server and predicts when they become free. */
internal class ReservedServer(
    var definition: ServerDefinition,
    val kind: ReservationKind,
    var defaultPerUnit: Duration,
) {
    val held: LinkedHashMap<AttemptId, Reservation> = LinkedHashMap()
    val queue: MutableList<QueuedReservation> = mutableListOf()
    var excludedSince: Timestamp? = null
        private set

    private val speed = SpeedEstimate.forKind(kind)
    private val releases = ReleaseRate()
    private val history = OccupancyHistory()
    private var reportedCapacity = 0
    private var unaccountedSlots = 0
    private var unaccountedTokens = 0
    private var unaccountedAt: Timestamp? = null
    private var lastShortage: Timestamp? = null
    private var lastHighPriority: Timestamp? = null
    private var lastPrefillEnd: Timestamp? = null

    val leaving: Boolean
        get() = definition.state == ServerState.LEAVING

    /** Tells whether anything is held or waits. */
    val isBusy: Boolean
        get() = held.isNotEmpty() || queue.isNotEmpty()

    /** Slots that the server has, by configuration and by its own report. */
    private val capacity: Int
        get() = if (reportedCapacity > 0) minOf(definition.slots, reportedCapacity) else definition.slots

    fun perUnit(): Duration = speed.perUnit ?: defaultPerUnit

    /** Slots that are free; negative when adopted reservations exceed the capacity. */
    fun freeSlots(now: Timestamp): Int = capacity - held.size - unaccountedSlots(now)

    fun setExcluded(excluded: Boolean, now: Timestamp) {
        if (!excluded) excludedSince = null
        if (excluded && excludedSince == null) excludedSince = now
    }

    /** Tells whether the server is excluded, runs as many probes as it may and is not the last resort of [request]. */
    fun isExcludedFor(request: ReserveRequest): Boolean {
        val since = excludedSince ?: return false
        return !request.lastResort && held.values.count { it.grantedAt >= since } >= PROBE_LIMIT
    }

    fun canStart(request: ReserveRequest, now: Timestamp): Boolean = when {
        leaving || isExcludedFor(request) -> false
        kind == ReservationKind.PREFILL -> canStartPrefill(request, now)
        else -> freeSlots(now) > slotsKeptFrom(request.priority, now)
    }

    private fun canStartPrefill(request: ReserveRequest, now: Timestamp): Boolean {
        val outstanding = outstandingTime(now)
        if (held.isEmpty() && outstanding == Duration.ZERO) return true
        return freeSlots(now) > 0 && outstanding + timeOf(request.work) <= PREFILL_WINDOW
    }

    /** Returns the slots that requests of [priority] leave to callers of high priority. */
    private fun slotsKeptFrom(priority: Int, now: Timestamp): Int {
        if (priority >= HIGH_PRIORITY || capacity < SMALLEST_SHARED_CAPACITY) return 0
        val shortage = lastShortage.within(SHORTAGE_MEMORY, now) || queue.isNotEmpty()
        val wanted = lastHighPriority.within(HIGH_PRIORITY_MEMORY, now)
        return if (shortage && wanted) ceil(capacity * HIGH_PRIORITY_SHARE).toInt() else 0
    }

    private fun Timestamp?.within(duration: Duration, now: Timestamp): Boolean = this != null && now - this <= duration

    fun noteDemand(priority: Int, now: Timestamp) {
        if (priority >= HIGH_PRIORITY) lastHighPriority = now
    }

    fun noteShortage(now: Timestamp) {
        lastShortage = now
        releases.full(now)
    }

    fun hold(reservation: Reservation, now: Timestamp) {
        held[reservation.attempt] = reservation
        changed(now)
    }

    /** Removes the reservation of [attempt]; returns whether there was one. */
    fun remove(attempt: AttemptId, now: Timestamp): Boolean {
        held.remove(attempt) ?: return false
        releases.released(now, stillFull = isSaturated(now))
        lastPrefillEnd = now
        changed(now)
        return true
    }

    private fun changed(now: Timestamp) {
        history.record(if (kind == ReservationKind.PREFILL) heldTokens() else held.size, now)
        if (isSaturated(now)) releases.full(now)
    }

    /** Tells whether releases come as fast as the server can make them. */
    private fun isSaturated(now: Timestamp): Boolean = freeSlots(now) <= 0 || queue.isNotEmpty()

    private fun heldTokens(): Int = held.values.sumOf { it.work }

    fun observe(progress: AttemptProgress, now: Timestamp) {
        if (progress.tokens <= 0 || progress.elapsedMicros <= 0) return
        val units = WorkUnits.of(kind, progress.tokens)
        val count = if (kind == ReservationKind.DECODE) minOf(progress.tokens, LARGEST_SAMPLE) else 1
        speed.observe(units, progress.elapsedMicros.microseconds, count, now)
    }

    /** Compares the lagging count of the server with the owner's count of the same time. */
    fun correct(report: LoadReport, now: Timestamp) {
        val latest = unaccountedAt
        if (latest != null && report.asOf <= latest) return
        reportedCapacity = report.capacity
        unaccountedAt = report.asOf
        val ownCount = history.highestAround(report.asOf)
        if (kind == ReservationKind.PREFILL) {
            unaccountedTokens = (report.queuedPrefillTokens - ownCount).coerceAtLeast(0)
        } else {
            unaccountedSlots = (report.active - ownCount).coerceAtLeast(0)
        }
        changed(now)
    }

    /** Notes that an attempt became known that the server's report may already have counted. */
    fun noteAdopted(work: Int) {
        if (unaccountedSlots > 0) unaccountedSlots--
        unaccountedTokens = (unaccountedTokens - work).coerceAtLeast(0)
    }

    private fun unaccountedSlots(now: Timestamp): Int =
        if (unaccountedAt.within(CORRECTION_LIFETIME, now)) unaccountedSlots else 0

    private fun timeOf(work: Int): Duration = WorkUnits.time(kind, work, perUnit())

    /** Returns the predicted time until the prefill work that is held, or known to the server only, is finished. */
    private fun outstandingTime(now: Timestamp): Duration {
        val foreign = unaccountedTime(now)
        val running = held.values.firstOrNull() ?: return foreign
        val started = maxOf(running.grantedAt, lastPrefillEnd ?: running.grantedAt)
        val whole = timeOf(running.work)
        val elapsed = now - started
        val rest = maxOf(whole - elapsed, whole * LEAST_REMAINING_PART, (elapsed - whole) * DELAY_PART)
        val others = held.values.drop(1).fold(Duration.ZERO) { sum, next -> sum + timeOf(next.work) }
        return foreign + rest + others
    }

    private fun unaccountedTime(now: Timestamp): Duration {
        val at = unaccountedAt ?: return Duration.ZERO
        if (unaccountedTokens == 0 || now - at > CORRECTION_LIFETIME) return Duration.ZERO
        return (timeOf(unaccountedTokens) - (now - at)).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the predicted time until [request] can start behind [ahead]. */
    fun predictedWait(request: ReserveRequest, ahead: List<QueuedReservation>, now: Timestamp): Duration =
        if (kind == ReservationKind.PREFILL) {
            ahead.fold(outstandingTime(now)) { sum, next -> sum + timeOf(next.request.work) }
        } else {
            slotWait(request, ahead.size, now)
        }

    private fun slotWait(request: ReserveRequest, ahead: Int, now: Timestamp): Duration {
        val needed = ahead + 1 + slotsKeptFrom(request.priority, now) - freeSlots(now)
        if (needed <= 0) return Duration.ZERO
        return releases.interval(meanHold(request) / capacity.coerceAtLeast(1), now) * needed
    }

    /** Expected time that a reservation is held, before releases were observed. */
    private fun meanHold(request: ReserveRequest): Duration {
        val works = held.values.map { it.work } + request.work
        return timeOf(works.average().toInt().coerceAtLeast(1))
    }

    fun summary(now: Timestamp): ServerSummary = ServerSummary(
        server = definition.address,
        freeSlots = if (leaving) 0 else freeSlots(now).coerceAtLeast(0),
        queuedWork = if (kind == ReservationKind.PREFILL) prefillTokens(now) else queue.size,
        tokenIntervalMicros = if (speed.isFresh(SPEED_LIFETIME, now)) perUnit().inWholeMicroseconds else 0,
        excluded = excludedSince != null,
        measuredAt = now,
    )

    private fun prefillTokens(now: Timestamp): Int {
        val foreign = if (unaccountedTime(now) > Duration.ZERO) unaccountedTokens else 0
        return heldTokens() + foreign + queue.sumOf { it.request.work }
    }

    internal companion object {
        /** Callers of this priority and above may use the kept share of slots. */
        const val HIGH_PRIORITY: Int = 5

        private const val HIGH_PRIORITY_SHARE = 0.1

        /** Servers with fewer slots keep none: a single slot would be too large a share. */
        private const val SMALLEST_SHARED_CAPACITY = 4

        private const val PROBE_LIMIT = 2

        /** Bounds the weight of one report, so that a paused entry does not set the speed of a server alone. */
        private const val LARGEST_SAMPLE = 4

        /** A prefill near its predicted end is assumed to have this part of its work left. */
        private const val LEAST_REMAINING_PART = 0.1

        /** A prefill past its predicted end is assumed to need this part of its delay in addition. */
        private const val DELAY_PART = 0.5

        /**
         * Prefill work that a server holds ahead. It covers the time in which a grant reaches the entry; more work
         * would wait in the engine, where a later request of higher priority cannot overtake it.
         */
        private val PREFILL_WINDOW: Duration = 100.milliseconds

        private val SHORTAGE_MEMORY: Duration = 1.seconds
        private val HIGH_PRIORITY_MEMORY: Duration = 5.seconds
        private val CORRECTION_LIFETIME: Duration = 5.seconds
        private val SPEED_LIFETIME: Duration = 2.seconds
    }
}
