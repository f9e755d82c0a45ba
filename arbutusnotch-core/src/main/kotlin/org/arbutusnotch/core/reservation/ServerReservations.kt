/*
 * The state of one backend server in the reservation table: its reservations, its queue and its release interval.
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

/** Counts the reserved resources of one backend server and predicts when they become free. */
internal class ServerReservations(
    var definition: ServerDefinition,
    val kind: ReservationKind,
    var defaultTimePerUnit: Duration,
) {
    val reservations: LinkedHashMap<AttemptId, Reservation> = LinkedHashMap()
    val queue: MutableList<QueuedReservation> = mutableListOf()
    var excludedSince: Timestamp? = null
        private set

    private val speed = SpeedEstimate.forKind(kind)
    private val releaseInterval = ReleaseInterval()
    private val occupancy = OccupancyHistory()
    private var reportedCapacity = 0
    private var unaccountedSlots = 0
    private var unaccountedTokens = 0
    private var unaccountedAt: Timestamp? = null
    private var lastShortageAt: Timestamp? = null
    private var lastHighPriorityAt: Timestamp? = null
    private var lastPrefillEndAt: Timestamp? = null

    val leaving: Boolean
        get() = definition.state == ServerState.LEAVING

    /** Whether there are reservations or queued requests. */
    val isBusy: Boolean
        get() = reservations.isNotEmpty() || queue.isNotEmpty()

    /** Number of slots: the configured number, or the reported one if it is lower. */
    private val capacity: Int
        get() = if (reportedCapacity > 0) minOf(definition.slots, reportedCapacity) else definition.slots

    fun timePerUnit(): Duration = speed.timePerUnit ?: defaultTimePerUnit

    /** Returns the number of free slots; negative when adopted reservations exceed the capacity. */
    fun freeSlots(now: Timestamp): Int = capacity - reservations.size - unaccountedSlots(now)

    fun setExcluded(excluded: Boolean, now: Timestamp) {
        if (!excluded) excludedSince = null
        if (excluded && excludedSince == null) excludedSince = now
    }

    /** Returns whether the server is excluded, its probe limit is reached and [request] has another server. */
    fun isExcludedFor(request: ReserveRequest): Boolean {
        val since = excludedSince ?: return false
        return !request.lastResort && reservations.values.count { it.grantedAt >= since } >= MAXIMUM_PROBES
    }

    fun canStart(request: ReserveRequest, now: Timestamp): Boolean = when {
        leaving || isExcludedFor(request) -> false
        kind == ReservationKind.PREFILL -> canStartPrefill(request, now)
        else -> freeSlots(now) > slotsWithheldFrom(request.priority, now)
    }

    private fun canStartPrefill(request: ReserveRequest, now: Timestamp): Boolean {
        val outstanding = outstandingTime(now)
        if (reservations.isEmpty() && outstanding == Duration.ZERO) return true
        return freeSlots(now) > 0 && outstanding + timeOf(request.work) <= PREFILL_WINDOW
    }

    /** Returns the number of slots that requests of [priority] must leave free for high-priority requests. */
    private fun slotsWithheldFrom(priority: Int, now: Timestamp): Int {
        if (priority >= HIGH_PRIORITY || capacity < MINIMUM_SHARED_CAPACITY) return 0
        val shortage = lastShortageAt.within(SHORTAGE_WINDOW, now) || queue.isNotEmpty()
        val highPriorityDemand = lastHighPriorityAt.within(HIGH_PRIORITY_WINDOW, now)
        return if (shortage && highPriorityDemand) ceil(capacity * HIGH_PRIORITY_SHARE).toInt() else 0
    }

    private fun Timestamp?.within(duration: Duration, now: Timestamp): Boolean = this != null && now - this <= duration

    fun recordDemand(priority: Int, now: Timestamp) {
        if (priority >= HIGH_PRIORITY) lastHighPriorityAt = now
    }

    fun recordShortage(now: Timestamp) {
        lastShortageAt = now
        releaseInterval.recordFull(now)
    }

    fun put(reservation: Reservation, now: Timestamp) {
        reservations[reservation.attempt] = reservation
        recordOccupancy(now)
    }

    /** Removes the reservation of [attempt]; returns whether there was one. */
    fun remove(attempt: AttemptId, now: Timestamp): Boolean {
        reservations.remove(attempt) ?: return false
        releaseInterval.recordRelease(now, stillFull = isSaturated(now))
        lastPrefillEndAt = now
        recordOccupancy(now)
        return true
    }

    private fun recordOccupancy(now: Timestamp) {
        occupancy.record(if (kind == ReservationKind.PREFILL) reservedTokens() else reservations.size, now)
        if (isSaturated(now)) releaseInterval.recordFull(now)
    }

    /** Returns whether demand exceeds the free slots, so that releases show how fast the server frees slots. */
    private fun isSaturated(now: Timestamp): Boolean = freeSlots(now) <= 0 || queue.isNotEmpty()

    private fun reservedTokens(): Int = reservations.values.sumOf { it.work }

    fun observe(progress: AttemptProgress, now: Timestamp) {
        if (progress.tokens <= 0 || progress.elapsedMicros <= 0) return
        val units = WorkUnits.of(kind, progress.tokens)
        val count = if (kind == ReservationKind.DECODE) minOf(progress.tokens, MAXIMUM_SAMPLES_PER_REPORT) else 1
        speed.observe(units, progress.elapsedMicros.microseconds, count, now)
    }

    /** Compares the lagging count in [report] with the count of the owner at the time of the report. */
    fun applyLoadReport(report: LoadReport, now: Timestamp) {
        val previous = unaccountedAt
        if (previous != null && report.asOf <= previous) return
        reportedCapacity = report.capacity
        unaccountedAt = report.asOf
        val ownCount = occupancy.highestCountAround(report.asOf)
        if (kind == ReservationKind.PREFILL) {
            unaccountedTokens = (report.queuedPrefillTokens - ownCount).coerceAtLeast(0)
        } else {
            unaccountedSlots = (report.active - ownCount).coerceAtLeast(0)
        }
        recordOccupancy(now)
    }

    /** Records the adoption of an attempt that the unaccounted load may already include. */
    fun recordAdopted(work: Int) {
        if (unaccountedSlots > 0) unaccountedSlots--
        unaccountedTokens = (unaccountedTokens - work).coerceAtLeast(0)
    }

    private fun unaccountedSlots(now: Timestamp): Int =
        if (unaccountedAt.within(CORRECTION_LIFETIME, now)) unaccountedSlots else 0

    private fun timeOf(work: Int): Duration = WorkUnits.time(kind, work, timePerUnit())

    /** Returns the predicted time until all reserved and all unaccounted prefill work is finished. */
    private fun outstandingTime(now: Timestamp): Duration {
        val unaccounted = unaccountedTime(now)
        val running = reservations.values.firstOrNull() ?: return unaccounted
        val started = maxOf(running.grantedAt, lastPrefillEndAt ?: running.grantedAt)
        val predicted = timeOf(running.work)
        val elapsed = now - started
        val remaining =
            maxOf(predicted - elapsed, predicted * MINIMUM_REMAINING_FRACTION, (elapsed - predicted) * OVERRUN_FRACTION)
        val following = reservations.values.drop(1).fold(Duration.ZERO) { sum, next -> sum + timeOf(next.work) }
        return unaccounted + remaining + following
    }

    private fun unaccountedTime(now: Timestamp): Duration {
        val at = unaccountedAt ?: return Duration.ZERO
        if (unaccountedTokens == 0 || now - at > CORRECTION_LIFETIME) return Duration.ZERO
        return (timeOf(unaccountedTokens) - (now - at)).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the predicted time until [request] can start after the requests [ahead] of it. */
    fun predictedWait(request: ReserveRequest, ahead: List<QueuedReservation>, now: Timestamp): Duration =
        if (kind == ReservationKind.PREFILL) {
            ahead.fold(outstandingTime(now)) { sum, next -> sum + timeOf(next.request.work) }
        } else {
            slotWait(request, ahead.size, now)
        }

    private fun slotWait(request: ReserveRequest, ahead: Int, now: Timestamp): Duration {
        val needed = ahead + 1 + slotsWithheldFrom(request.priority, now) - freeSlots(now)
        if (needed <= 0) return Duration.ZERO
        return releaseInterval.expected(expectedHoldTime(request) / capacity.coerceAtLeast(1), now) * needed
    }

    /** Returns the expected lifetime of a reservation, used before a release was observed. */
    private fun expectedHoldTime(request: ReserveRequest): Duration {
        val works = reservations.values.map { it.work } + request.work
        return timeOf(works.average().toInt().coerceAtLeast(1))
    }

    fun summary(now: Timestamp): ServerSummary = ServerSummary(
        server = definition.address,
        freeSlots = if (leaving) 0 else freeSlots(now).coerceAtLeast(0),
        queuedWork = if (kind == ReservationKind.PREFILL) prefillTokens(now) else queue.size,
        tokenIntervalMicros = if (speed.isFresh(SPEED_LIFETIME, now)) timePerUnit().inWholeMicroseconds else 0,
        excluded = excludedSince != null,
        measuredAt = now,
    )

    private fun prefillTokens(now: Timestamp): Int {
        val unaccounted = if (unaccountedTime(now) > Duration.ZERO) unaccountedTokens else 0
        return reservedTokens() + unaccounted + queue.sumOf { it.request.work }
    }

    internal companion object {
        /** Requests of this priority and above may use the slots withheld from lower priorities. */
        const val HIGH_PRIORITY: Int = 5

        private const val HIGH_PRIORITY_SHARE = 0.1

        /** Servers with fewer slots withhold none: a single slot would be too large a share. */
        private const val MINIMUM_SHARED_CAPACITY = 4

        private const val MAXIMUM_PROBES = 2

        /** Limits the weight of one report, so that a paused entry alone does not determine the speed of a server. */
        private const val MAXIMUM_SAMPLES_PER_REPORT = 4

        /** Fraction of its work that a prefill near its predicted end is assumed to have left. */
        private const val MINIMUM_REMAINING_FRACTION = 0.1

        /** Fraction of its overrun that a prefill past its predicted end is assumed to need in addition. */
        private const val OVERRUN_FRACTION = 0.5

        /**
         * Limit on the predicted time of the prefill work granted to a server. It covers the time that a grant takes to
         * reach the entry. More work would wait in the engine, where a later request of higher priority cannot
         * overtake it.
         */
        private val PREFILL_WINDOW: Duration = 100.milliseconds

        private val SHORTAGE_WINDOW: Duration = 1.seconds
        private val HIGH_PRIORITY_WINDOW: Duration = 5.seconds
        private val CORRECTION_LIFETIME: Duration = 5.seconds
        private val SPEED_LIFETIME: Duration = 2.seconds
    }
}
