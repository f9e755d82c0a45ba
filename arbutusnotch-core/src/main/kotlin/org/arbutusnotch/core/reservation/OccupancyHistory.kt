/*
 * The owner's own count over the last seconds. A load report describes the past and is compared with the count of then.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Records the changes of a count for [RETENTION], at most [CAPACITY] of them. */
internal class OccupancyHistory {
    private val changes = ArrayDeque<Change>()

    fun record(value: Int, now: Timestamp) {
        val last = changes.lastOrNull()
        if (last != null && last.value == value) return
        changes.addLast(Change(now, value))
        while (changes.size > CAPACITY) changes.removeFirst()
        while (changes.size > 1 && changes[1].at < now - RETENTION) changes.removeFirst()
    }

    /** Returns the highest count within [TOLERANCE] of [at], since the clocks of owner and server differ. */
    fun highestAround(at: Timestamp): Int {
        var highest = 0
        changes.forEachIndexed { index, change ->
            val until = changes.getOrNull(index + 1)?.at
            val overlaps = change.at <= at + TOLERANCE && (until == null || until >= at - TOLERANCE)
            if (overlaps) highest = maxOf(highest, change.value)
        }
        return highest
    }

    private data class Change(val at: Timestamp, val value: Int)

    private companion object {
        const val CAPACITY = 512
        val RETENTION: Duration = 5.seconds
        val TOLERANCE: Duration = 100.milliseconds
    }
}
