/*
 * Limits the queue of a pool to the requests that it can serve before their callers give up.
 *
 * Requests that cannot be on time any more use the capacity that those on time leave. When more of them wait than the
 * pool can serve, the last ones in the order have the least chance. They are refused as soon as that is known, so that
 * their callers do not wait in vain and know when to come back.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Finds the waiting requests that exceed the capacity of the pool, with [selection] for the expected times at [now].
 *
 * @param remainingShare share of the capacity that new requests, which go first, leave to late ones
 */
internal class QueueLimit(
    private val selection: PlaceSelection,
    private val remainingShare: Double,
    private val now: Timestamp,
) {
    /** A request that the pool cannot serve, and the time until a new one like it would be served on time. */
    class Excess(val entry: WaitingRequest, val retryAfter: Duration)

    /** Returns the late requests of [ranked] that would not be served in time after those ahead of them. */
    fun excess(ranked: List<RankedRequest>): List<Excess> {
        if (ranked.none { cannotBeOnTime(it) }) return emptyList()
        var wait = Duration.ZERO
        var work = Duration.ZERO
        val excess = ranked.sorted().filter { request ->
            val isExcess = cannotBeOnTime(request) && selection.missesDeadline(request.entry, wait, now)
            if (!isExcess) {
                val time = selection.timePerRequest(request.entry)
                work += time
                wait += if (request.isLate && !request.entry.begun) time / remainingShare else time
            }
            isExcess
        }
        return excess.map { Excess(it.entry, retryAfter(it.entry, work)) }
    }

    /** Returns whether [request] would be late even if its answer began as early as is possible. */
    private fun cannotBeOnTime(request: RankedRequest): Boolean {
        val entry = request.entry
        return request.isLate && !entry.begun &&
            now + selection.minimumTimeToFirstEvent(entry, now) > entry.objectiveAt
    }

    /** Returns the time until the queue, with [work] left, is so short that a request like [entry] is on time. */
    private fun retryAfter(entry: WaitingRequest, work: Duration): Duration {
        val usableWait = entry.objectiveAt - entry.waitingSince - selection.expectedTimeToFirstEvent(entry, now)
        return work - usableWait.coerceAtLeast(Duration.ZERO)
    }
}
