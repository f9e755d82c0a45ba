/*
 * The occupancy that the slot owner counted over the last seconds. A load report lags, so it is compared with the count
 * at the time of its measurement.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Records the changes of a count and keeps them for [RETENTION], at most [MAXIMUM_CHANGES] of them. */
internal class OccupancyHistory {
    private val changes = ArrayDeque<Change>()

    fun record(count: Int, now: Timestamp) {
        val last = changes.lastOrNull()
        if (last != null && last.count == count) return
        changes.addLast(Change(now, count))
        while (changes.size > MAXIMUM_CHANGES) changes.removeFirst()
        while (changes.size > 1 && changes[1].at < now - RETENTION) changes.removeFirst()
    }

    /** Returns the highest count within [CLOCK_TOLERANCE] of [at], because the clocks of owner and server differ. */
    fun highestCountAround(at: Timestamp): Int {
        var highest = 0
        changes.forEachIndexed { index, change ->
            val until = changes.getOrNull(index + 1)?.at
            val overlaps = change.at <= at + CLOCK_TOLERANCE && (until == null || until >= at - CLOCK_TOLERANCE)
            if (overlaps) highest = maxOf(highest, change.count)
        }
        return highest
    }

    private data class Change(val at: Timestamp, val count: Int)

    private companion object {
        const val MAXIMUM_CHANGES = 512
        val RETENTION: Duration = 5.seconds
        val CLOCK_TOLERANCE: Duration = 100.milliseconds
    }
}
