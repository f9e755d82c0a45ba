/*
 * The mean interval at which a full backend server frees slots.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Measures the mean interval between releases while a server has no free slot. */
internal class ReleaseInterval {
    private var meanMillis = 0.0
    private var samples = 0
    private var fullSince: Timestamp? = null

    /** Records that the server has no free slot; the next release ends the interval. */
    fun recordFull(now: Timestamp) {
        if (fullSince == null) fullSince = now
    }

    /** Records a release; an interval is measured only if the server was full since its start. */
    fun recordRelease(now: Timestamp, stillFull: Boolean) {
        val since = fullSince
        if (since != null) addSample((now - since).inWholeMilliseconds.coerceAtLeast(0))
        fullSince = if (stillFull) now else null
    }

    /**
     * Returns the expected interval between releases. It grows while a full server releases nothing.
     *
     * @param fallback interval assumed before the first measurement
     */
    fun expected(fallback: Duration, now: Timestamp): Duration {
        val interval = if (samples == 0) fallback else meanMillis.milliseconds
        val elapsed = fullSince?.let { now - it } ?: Duration.ZERO
        return maxOf(interval, elapsed / STALL_FACTOR, MINIMUM_INTERVAL)
    }

    private fun addSample(intervalMillis: Long) {
        meanMillis =
            if (samples == 0) intervalMillis.toDouble() else meanMillis + SAMPLE_WEIGHT * (intervalMillis - meanMillis)
        samples++
    }

    private companion object {
        const val SAMPLE_WEIGHT = 0.1

        /** Only one in twenty exponentially distributed intervals exceeds three times the mean. */
        const val STALL_FACTOR = 3

        val MINIMUM_INTERVAL: Duration = 1.milliseconds
    }
}
