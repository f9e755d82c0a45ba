/*
 * The state of one backend server in the server table: observations, merged summaries, failures and exclusion.
 */
package org.arbutusnotch.core.straggler

import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ServerSummary
import org.arbutusnotch.core.reservation.LoadReport
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.time.backoff
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tracks the speed and availability of one backend server as known to this instance. */
internal class ServerRow(
    var definition: ServerDefinition,
    val kind: ReservationKind,
    var defaultTimePerUnit: Duration,
) {
    private val ownSpeed = SpeedEstimate.forKind(kind)
    private val placedRequests = ArrayDeque<PlacedRequest>()
    private var silence: Silence? = null
    private var consecutiveFailures = 0
    private var nextProbeAt: Timestamp? = null

    var summary: ServerSummary? = null
        private set
    var load: LoadReport? = null
        private set
    var backoffUntil: Timestamp? = null
        private set
    var excludedSince: Timestamp? = null
        private set

    fun observe(units: Double, elapsed: Duration, count: Int, now: Timestamp) {
        ownSpeed.observe(units, elapsed, count, now)
        silence = null
    }

    fun observeSilence(requests: Int, timePerUnit: Duration, now: Timestamp) {
        silence = Silence(requests, timePerUnit, now)
    }

    fun merge(newer: ServerSummary) {
        val current = summary
        if (current != null && newer.measuredAt <= current.measuredAt) return
        summary = newer
        val includedBefore = newer.measuredAt - RESERVATION_LATENCY
        while (placedRequests.isNotEmpty() && placedRequests.first().at < includedBefore) placedRequests.removeFirst()
    }

    fun merge(newer: LoadReport) {
        val current = load
        if (current == null || newer.asOf >= current.asOf) load = newer
    }

    /**
     * Records a placed request until a summary includes it. After a failure the request is the only probe: others wait
     * for its success or for the end of another backoff.
     */
    fun recordPlaced(work: Int, now: Timestamp) {
        if (consecutiveFailures > 0 && !isFailed(now)) backoffUntil = now + INITIAL_BACKOFF
        placedRequests.addLast(PlacedRequest(now, work))
        while (placedRequests.size > MAXIMUM_PLACED_REQUESTS || placedRequests.first().at < now - PLACED_LIFETIME) {
            placedRequests.removeFirst()
        }
    }

    fun recordFailure(now: Timestamp) {
        backoffUntil = now + INITIAL_BACKOFF.backoff(consecutiveFailures, MAXIMUM_BACKOFF)
        consecutiveFailures++
    }

    fun recordSuccess() {
        consecutiveFailures = 0
        backoffUntil = null
    }

    fun isFailed(now: Timestamp): Boolean = backoffUntil?.let { it > now } ?: false

    /**
     * Returns the latest measured time for one unit of work; null without a recent measurement. Fresh observations of
     * this instance take precedence over summaries, which are up to half a second old when they arrive.
     */
    fun measuredTimePerUnit(now: Timestamp): Duration? =
        ownMeasurement(now) ?: summaryMeasurement(now) ?: staleMeasurement(now)

    private fun ownMeasurement(now: Timestamp): Duration? {
        val pending = silence?.takeIf { now - it.at <= SILENCE_LIFETIME }
        val fresh = ownSpeed.timePerUnit
            ?.takeIf { ownSpeed.isFresh(OWN_SPEED_LIFETIME, now) && ownSpeed.samples >= MINIMUM_SAMPLES }
        if (pending == null) return fresh
        return maxOf(fresh ?: Duration.ZERO, ownSpeed.withSamples(pending.timePerUnit, pending.requests))
    }

    private fun summaryMeasurement(now: Timestamp): Duration? =
        summary?.takeIf { it.tokenIntervalMicros > 0 && now - it.measuredAt <= SpeedEstimate.LIFETIME }
            ?.tokenIntervalMicros
            ?.microseconds

    private fun staleMeasurement(now: Timestamp): Duration? = ownSpeed.timePerUnit
        ?.takeIf { ownSpeed.isFresh(SpeedEstimate.LIFETIME, now) && ownSpeed.samples >= MINIMUM_SAMPLES }

    fun exclude(now: Timestamp) {
        if (excludedSince != null) return
        excludedSince = now
        nextProbeAt = now + PROBE_INTERVAL
    }

    fun returnToPool() {
        excludedSince = null
        nextProbeAt = null
    }

    fun isProbeDue(now: Timestamp): Boolean = nextProbeAt?.let { it <= now } ?: false

    fun claimProbe(now: Timestamp) {
        nextProbeAt = now + PROBE_INTERVAL
    }

    fun view(now: Timestamp, expected: Duration): ServerView {
        val measured = measuredTimePerUnit(now)
        return ServerView(
            definition = definition,
            kind = kind,
            freeSlots = freeSlots(now),
            queuedWork = queuedWork(now),
            timePerUnit = measured ?: expected,
            measured = measured != null,
            excluded = excludedSince != null,
            probeDue = isProbeDue(now),
            backoffUntil = backoffUntil?.takeIf { it > now },
            load = load,
        )
    }

    private fun freeSlots(now: Timestamp): Int {
        val reported = summary?.takeIf { now - it.measuredAt <= SpeedEstimate.LIFETIME }?.freeSlots ?: definition.slots
        return (reported - recentlyPlaced(now).size).coerceAtLeast(0)
    }

    private fun queuedWork(now: Timestamp): Int {
        val reported = summary?.takeIf { now - it.measuredAt <= SpeedEstimate.LIFETIME }?.queuedWork ?: 0
        return if (kind == ReservationKind.PREFILL) reported + recentlyPlaced(now).sumOf { it.work } else reported
    }

    private fun recentlyPlaced(now: Timestamp) = placedRequests.filter { it.at >= now - PLACED_LIFETIME }

    private data class PlacedRequest(val at: Timestamp, val work: Int)

    private data class Silence(val requests: Int, val timePerUnit: Duration, val at: Timestamp)

    private companion object {
        val OWN_SPEED_LIFETIME: Duration = 500.milliseconds
        val SILENCE_LIFETIME: Duration = 100.milliseconds
        const val MINIMUM_SAMPLES = 2

        /** Each of about twenty entries sends probes, so a server gets a few tens of probes per second at most. */
        val PROBE_INTERVAL: Duration = 1.seconds

        val INITIAL_BACKOFF: Duration = 250.milliseconds
        val MAXIMUM_BACKOFF: Duration = 10.seconds

        /** Time that a reservation request takes to reach the slot owner. */
        val RESERVATION_LATENCY: Duration = 10.milliseconds

        val PLACED_LIFETIME: Duration = 1.seconds
        const val MAXIMUM_PLACED_REQUESTS = 1_024
    }
}
