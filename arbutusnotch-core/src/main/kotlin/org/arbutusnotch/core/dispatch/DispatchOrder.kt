/*
 * The order in which waiting requests get places.
 *
 * Started streams come first: when their callers disconnect, all work spent on them is lost. Requests that can meet
 * their objective come before late ones, each group by priority and objective. A long run is ordered as if its
 * objective were later, because several short runs can be served in its time while places are scarce.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.time.Timestamp

/**
 * Orders one request among the others that wait.
 *
 * @property isPostponed whether it makes room for requests of others that have had less service
 * @property dueAt objective, later for a long run
 * @property position number of requests that arrived before it
 */
internal class RankedRequest(
    val entry: WaitingRequest,
    val isLate: Boolean,
    private val isPostponed: Boolean,
    val dueAt: Timestamp,
    private val position: Int,
) : Comparable<RankedRequest> {
    override fun compareTo(other: RankedRequest): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER: Comparator<RankedRequest> = compareBy<RankedRequest> { !it.entry.begun }
            .thenBy { it.isLate }
            .thenBy { it.entry.priority }
            .thenBy { it.isPostponed }
            .thenBy { it.dueAt }
            .thenBy { it.position }
    }
}

internal object DispatchOrder {
    /** Share of the expected run time that is added to the objective; long runs still pass after about a second. */
    private const val RUN_TIME_WEIGHT = 0.1

    /** Ranks [entries], which are listed by arrival, at [now]; [postponed] make room for others of their priority. */
    fun rank(
        entries: Collection<WaitingRequest>,
        selection: PlaceSelection,
        now: Timestamp,
        postponed: Set<TicketId> = emptySet(),
    ): List<RankedRequest> = entries.mapIndexed { position, entry ->
        RankedRequest(
            entry = entry,
            isLate = now + selection.expectedTimeToFirstEvent(entry, now) > entry.objectiveAt,
            isPostponed = entry.ticket in postponed,
            dueAt = entry.objectiveAt + selection.expectedRunTime(entry) * RUN_TIME_WEIGHT,
            position = position,
        )
    }
}
