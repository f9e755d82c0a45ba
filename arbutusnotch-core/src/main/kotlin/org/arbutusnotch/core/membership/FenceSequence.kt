/*
 * Numbers for the orders that instances give to servers.
 *
 * A server, or whoever judges its orders, takes a lower number after a higher one as an order of an instance that was
 * replaced. The numbers begin with the time of day; clocks of instances differ and step, so each number also lies above
 * every one that is known to have been used.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.days

/** Numbers orders in ascending order over all instances that exchange [highest]. */
public class FenceSequence {
    /** The highest number that is known to have been used; 0 when there is none. */
    public var highest: Long = 0
        private set

    /** Takes over a number that another instance knows of at [now]; one that no clock can have given is ignored. */
    public fun observe(used: Long, now: Timestamp) {
        if (used <= (now + LARGEST_DIFFERENCE).epochMillis) highest = maxOf(highest, used)
    }

    /** Returns the number of an order that is given at [now]. */
    public fun next(now: Timestamp): Long {
        highest = maxOf(now.epochMillis, highest + 1)
        return highest
    }

    private companion object {
        /** Difference between two clocks above which one of them is taken for broken. */
        val LARGEST_DIFFERENCE = 1.days
    }
}
