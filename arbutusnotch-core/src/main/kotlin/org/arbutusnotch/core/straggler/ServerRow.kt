/*
 * The row of one backend server in the server table: own observations, merged summaries, failures and exclusion.
 */
package org.arbutusnotch.core.straggler

import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ServerSummary
import org.arbutusnotch.core.reservation.LoadReport
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Holds what this instance knows of one backend server. */
internal class ServerRow(var definition: ServerDefinition, val kind: ReservationKind, var defaultPerUnit: Duration) {
    private val own = SpeedEstimate.forKind(kind)
    private val placed = ArrayDeque<PlacedRequest>()
    private var silence: Silence? = null
    private var failures = 0
    private var nextProbe: Timestamp? = null

    var summary: ServerSummary? = null
        private set
    var load: LoadReport? = null
        private set
    var failedUntil: Timestamp? = null
        private set
    var excludedSince: Timestamp? = null
        private set

    fun observe(units: Double, elapsed: Duration, count: Int, now: Timestamp) {
        own.observe(units, elapsed, count, now)
        silence = null
    }

    fun observeSilence(streams: Int, perUnit: Duration, now: Timestamp) {
        silence = Silence(streams, perUnit, now)
    }

    fun merge(newer: ServerSummary) {
        val current = summary
        if (current != null && newer.measuredAt <= current.measuredAt) return
        summary = newer
        val included = newer.measuredAt - IN_FLIGHT
        while (placed.isNotEmpty() && placed.first().at < included) placed.removeFirst()
    }

    fun merge(newer: LoadReport) {
        val current = load
        if (current == null || newer.asOf >= current.asOf) load = newer
    }

    /** Notes a request until a summary counts it; after a failure it is the only one until a success or a backoff. */
    fun place(work: Int, now: Timestamp) {
        if (failures > 0 && !isFailed(now)) failedUntil = now + FIRST_BACKOFF
        placed.addLast(PlacedRequest(now, work))
        while (placed.size > PLACED_LIMIT || placed.first().at < now - PLACED_LIFETIME) placed.removeFirst()
    }

    fun fail(now: Timestamp) {
        val doubled = FIRST_BACKOFF * (1 shl failures.coerceAtMost(LARGEST_BACKOFF_EXPONENT))
        failures++
        failedUntil = now + minOf(doubled, LONGEST_BACKOFF)
    }

    fun succeed() {
        failures = 0
        failedUntil = null
    }

    fun isFailed(now: Timestamp): Boolean = failedUntil?.let { it > now } ?: false

    /**
     * Returns the time for one unit of work by the latest measurement; null when there is no recent one. Own
     * observations go before summaries while they are fresh, because a summary is up to half a second old when it
     * arrives.
     */
    fun measured(now: Timestamp): Duration? = ownMeasurement(now) ?: summaryMeasurement(now) ?: staleMeasurement(now)

    private fun ownMeasurement(now: Timestamp): Duration? {
        val open = silence?.takeIf { now - it.at <= SILENCE_LIFETIME }
        val fresh = own.perUnit?.takeIf { own.isFresh(OWN_LIFETIME, now) && own.samples >= SMALLEST_SAMPLE }
        if (open == null) return fresh
        return maxOf(fresh ?: Duration.ZERO, own.with(open.perUnit, open.streams))
    }

    private fun summaryMeasurement(now: Timestamp): Duration? =
        summary?.takeIf { it.tokenIntervalMicros > 0 && now - it.measuredAt <= SpeedEstimate.LIFETIME }
            ?.tokenIntervalMicros
            ?.microseconds

    private fun staleMeasurement(now: Timestamp): Duration? =
        own.perUnit?.takeIf { own.isFresh(SpeedEstimate.LIFETIME, now) && own.samples >= SMALLEST_SAMPLE }

    fun exclude(now: Timestamp) {
        if (excludedSince != null) return
        excludedSince = now
        nextProbe = now + PROBE_INTERVAL
    }

    fun returnToPool() {
        excludedSince = null
        nextProbe = null
    }

    fun isProbeDue(now: Timestamp): Boolean = nextProbe?.let { it <= now } ?: false

    fun claimProbe(now: Timestamp) {
        nextProbe = now + PROBE_INTERVAL
    }

    fun view(now: Timestamp, expected: Duration): ServerView {
        val measured = measured(now)
        return ServerView(
            definition = definition,
            kind = kind,
            freeSlots = freeSlots(now),
            queuedWork = queuedWork(now),
            perUnit = measured ?: expected,
            measured = measured != null,
            excluded = excludedSince != null,
            probeDue = isProbeDue(now),
            failedUntil = failedUntil?.takeIf { it > now },
            load = load,
        )
    }

    private fun freeSlots(now: Timestamp): Int {
        val known = summary?.takeIf { now - it.measuredAt <= SpeedEstimate.LIFETIME }?.freeSlots ?: definition.slots
        return (known - recentlyPlaced(now).size).coerceAtLeast(0)
    }

    private fun queuedWork(now: Timestamp): Int {
        val known = summary?.takeIf { now - it.measuredAt <= SpeedEstimate.LIFETIME }?.queuedWork ?: 0
        return if (kind == ReservationKind.PREFILL) known + recentlyPlaced(now).sumOf { it.work } else known
    }

    private fun recentlyPlaced(now: Timestamp) = placed.filter { it.at >= now - PLACED_LIFETIME }

    private data class PlacedRequest(val at: Timestamp, val work: Int)

    private data class Silence(val streams: Int, val perUnit: Duration, val at: Timestamp)

    private companion object {
        val OWN_LIFETIME: Duration = 500.milliseconds
        val SILENCE_LIFETIME: Duration = 100.milliseconds
        const val SMALLEST_SAMPLE = 2

        /** Each of about twenty entries probes, so that a server gets a few tens of probes per second at most. */
        val PROBE_INTERVAL: Duration = 1.seconds

        val FIRST_BACKOFF: Duration = 250.milliseconds
        val LONGEST_BACKOFF: Duration = 10.seconds
        const val LARGEST_BACKOFF_EXPONENT = 6

        /** Time that a reservation request takes to reach the owner. */
        val IN_FLIGHT: Duration = 10.milliseconds

        val PLACED_LIFETIME: Duration = 1.seconds
        const val PLACED_LIMIT = 1_024
    }
}
