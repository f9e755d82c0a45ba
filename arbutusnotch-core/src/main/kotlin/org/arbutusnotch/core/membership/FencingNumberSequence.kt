/*
 * Fencing numbers for the orders that instances send to backend servers.
 *
 * A server, or a party that checks orders on its behalf, treats an order with a lower number than it has already seen
 * as coming from an instance that was replaced. Numbers start from the wall clock. The clocks of instances differ and
 * may step, so each number is also higher than every number that is known to have been used.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.days

/** Generates fencing numbers that increase across all instances that exchange [highest]. */
public class FencingNumberSequence {
    /** Highest fencing number that is known to have been used; 0 when there is none. */
    public var highest: Long = 0
        private set

    /**
     * Records that another instance reported the fencing number [used] at [now]. A number more than
     * [MAXIMUM_CLOCK_DIFFERENCE] ahead of [now] is ignored, since no working clock can have produced it.
     */
    public fun observe(used: Long, now: Timestamp) {
        if (used <= (now + MAXIMUM_CLOCK_DIFFERENCE).epochMillis) highest = maxOf(highest, used)
    }

    /** Returns the fencing number for an order that is sent at [now]. */
    public fun next(now: Timestamp): Long {
        highest = maxOf(now.epochMillis, highest + 1)
        return highest
    }

    private companion object {
        /** Difference between two clocks above which one of them is considered broken. */
        val MAXIMUM_CLOCK_DIFFERENCE = 1.days
    }
}
