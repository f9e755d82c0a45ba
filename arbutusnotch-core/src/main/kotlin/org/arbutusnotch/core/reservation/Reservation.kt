/*
 * Entries of the reservation table: granted reservations and queued requests.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.time.Timestamp

/**
 * Describes a reservation that holds resources of a backend server.
 *
 * @property work uncached prompt tokens for prefill, expected output tokens for decode, 1 for a service call
 * @property grantedAt time at which the reservation was granted or adopted
 * @property deadline time at which the reservation expires unless a report renews it
 */
public data class Reservation(
    public val attempt: AttemptId,
    public val holder: InstanceId,
    public val priority: Int,
    public val work: Int,
    public val grantedAt: Timestamp,
    public val deadline: Timestamp,
)

/** Describes a queued request; [sequence] is its order of arrival. */
internal data class QueuedReservation(val request: ReserveRequest, val sequence: Long)

/** Orders queued requests: highest priority, then earliest start deadline, then order of arrival. */
internal val queueOrder: Comparator<QueuedReservation> =
    compareByDescending<QueuedReservation> { it.request.priority }
        .thenBy { it.request.startDeadline }
        .thenBy { it.sequence }
