/*
 * Exponential backoff with jitter.
 */
package org.arbutusnotch.daemon.platform

import kotlin.random.Random
import kotlin.time.Duration

/** Doubles the delay from [initial] to [maximum], with jitter so that instances do not retry at the same time. */
internal class Backoff(private val initial: Duration, private val maximum: Duration, private val random: Random) {
    private var next = initial

    /** Restarts from the initial delay, after a success. */
    fun reset() {
        next = initial
    }

    /** Returns the delay after another failure. */
    fun nextDelay(): Duration {
        val delay = next * random.nextDouble(MINIMUM_DELAY_FRACTION, 1.0)
        next = minOf(next * 2, maximum)
        return delay
    }

    private companion object {
        const val MINIMUM_DELAY_FRACTION = 0.5
    }
}
