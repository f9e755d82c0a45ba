/*
 * A token bucket that limits the requests of one workspace.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.time.Timestamp
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Holds the credit of a workspace. The credit grows by [rate] up to [capacity].
 *
 * @param rate units per second
 * @param capacity largest credit in units
 * @param credit credit in units at [updatedAt]; at most [capacity]
 */
public class QuotaBucket(rate: Double, capacity: Double, credit: Double, private var updatedAt: Timestamp) {
    /** Units per second by which the credit grows. */
    public var rate: Double = rate
        private set

    /** Largest credit, in units. */
    public var capacity: Double = capacity
        private set

    /** Credit at the latest update, in units; negative after a request that was larger than [capacity]. */
    public var credit: Double = minOf(credit, capacity)
        private set

    /** Applies a new limit. A lower one reduces the credit at once; with a higher one, the credit grows by the rate. */
    public fun setLimit(rate: Double, capacity: Double, now: Timestamp) {
        grow(now)
        this.rate = rate
        this.capacity = capacity
        limitCredit(capacity)
    }

    /** Reduces the credit to [maximum] units if it is larger. */
    public fun limitCredit(maximum: Double) {
        credit = minOf(credit, maximum)
    }

    /**
     * Takes [units] and returns zero, or returns the time until the bucket holds them. A request that is larger than
     * the bucket by at most [debt] units takes the whole bucket and leaves a negative credit; a larger one is never
     * granted, and the time is infinite.
     */
    public fun take(units: Double, now: Timestamp, debt: Double = 0.0): Duration {
        grow(now)
        val needed = minOf(units, capacity)
        return when {
            units > capacity + debt -> Duration.INFINITE

            credit >= needed -> {
                credit -= units
                ZERO
            }

            // Rounded up, since timestamps have whole milliseconds and a retry must not come too early.
            rate > 0 -> ceil((needed - credit) / rate * MILLIS_PER_SECOND).milliseconds

            else -> Duration.INFINITE
        }
    }

    /** Puts back [units] that were taken for a request that did not run. */
    public fun putBack(units: Double, now: Timestamp) {
        grow(now)
        credit = minOf(capacity, credit + units)
    }

    private fun grow(now: Timestamp) {
        val elapsed = now - updatedAt
        if (elapsed <= ZERO) return
        credit = minOf(capacity, credit + rate * elapsed.toDouble(DurationUnit.SECONDS))
        updatedAt = now
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
    }
}
