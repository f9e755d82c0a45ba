/*
 * The rate at which a full backend server frees slots.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Measures the mean interval between releases while a server has no free slot. */
internal class ReleaseRate {
    private var meanMillis = 0.0
    private var samples = 0
    private var fullSince: Timestamp? = null

    /** Notes that the server has no free slot; the next release ends the interval. */
    fun full(now: Timestamp) {
        if (fullSince == null) fullSince = now
    }

    /** Notes a release; an interval counts only if the server was full from its start. */
    fun released(now: Timestamp, stillFull: Boolean) {
        val since = fullSince
        if (since != null) add((now - since).inWholeMilliseconds.coerceAtLeast(0))
        fullSince = if (stillFull) now else null
    }

    /** Returns the expected interval between releases; [fallback] applies before the first measured one. */
    fun interval(fallback: Duration, now: Timestamp): Duration {
        val mean = if (samples == 0) fallback else meanMillis.milliseconds
        val waited = fullSince?.let { now - it } ?: Duration.ZERO
        return maxOf(mean, waited / STALL_FACTOR, SHORTEST_INTERVAL)
    }

    private fun add(intervalMillis: Long) {
        meanMillis =
            if (samples == 0) intervalMillis.toDouble() else meanMillis + WEIGHT * (intervalMillis - meanMillis)
        samples++
    }

    private companion object {
        const val WEIGHT = 0.1

        /** Only one in twenty exponentially distributed intervals is longer than three times the mean. */
        const val STALL_FACTOR = 3

        val SHORTEST_INTERVAL: Duration = 1.milliseconds
    }
}
