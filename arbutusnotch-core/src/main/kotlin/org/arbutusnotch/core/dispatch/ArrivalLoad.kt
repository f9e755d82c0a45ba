/*
 * The load that new requests cause, as a share of the capacity of a pool.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.time.Timestamp
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Averages the load of requests that arrived while they could be on time. */
internal class ArrivalLoad {
    private var work = Duration.ZERO
    private var asOf = Timestamp(0)

    /** Adds a request that arrived at [now] and occupies the whole pool for [time]. */
    fun observe(time: Duration, now: Timestamp) {
        work = decayed(now) + time
        asOf = now
    }

    /** Returns the share of the capacity that new requests leave to others at [now]. */
    fun remainingShare(now: Timestamp): Double = maxOf(1.0 - decayed(now) / WINDOW, MINIMUM_SHARE)

    private fun decayed(now: Timestamp): Duration = work * exp(-((now - asOf) / WINDOW))

    private companion object {
        /** Longer than a burst, which late requests may outlast. */
        val WINDOW = 3.seconds

        /** Share that is left in any case, because some places fit only what waits. */
        const val MINIMUM_SHARE = 0.05
    }
}
