/*
 * Waits that grow with each failure in a row.
 */
package org.arbutusnotch.daemon.platform

import kotlin.random.Random
import kotlin.time.Duration

/** Doubles the wait from [first] to [maximum] and scatters it, so that instances do not call at the same time. */
internal class Backoff(private val first: Duration, private val maximum: Duration, private val random: Random) {
    private var next = first

    fun reset() {
        next = first
    }

    /** Returns the wait after one more failure. */
    fun wait(): Duration {
        val wait = next * random.nextDouble(LEAST_JITTER, 1.0)
        next = minOf(next * 2, maximum)
        return wait
    }

    private companion object {
        const val LEAST_JITTER = 0.5
    }
}
