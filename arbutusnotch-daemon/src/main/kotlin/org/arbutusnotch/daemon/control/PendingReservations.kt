/*
 * Reservation requests that are queued at this instance as slot owner.
 */
package org.arbutusnotch.daemon.control

import kotlinx.coroutines.CompletableDeferred
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.ReserveReply
import org.arbutusnotch.core.reservation.ReservationDecision
import java.util.concurrent.ConcurrentHashMap

/** Delivers the decisions about queued reservations to the requests that wait for them. */
internal class PendingReservations {
    private val pendingReplies = ConcurrentHashMap<ReservationKey, CompletableDeferred<ReserveReply>>()

    /** Returns the reply that completes with the decision; repeated requests share one reply. */
    fun register(decision: ReservationDecision.Queued): CompletableDeferred<ReserveReply> =
        pendingReplies.computeIfAbsent(ReservationKey(decision.server, decision.attempt)) { CompletableDeferred() }

    /** Completes the reply that waits for [decision]; returns false when there is none. */
    fun complete(decision: ReservationDecision): Boolean {
        val reply = decision.toReply() ?: return false
        return pendingReplies.remove(ReservationKey(decision.server, decision.attempt))?.complete(reply) ?: false
    }

    /** Removes the pending reply for the reservation of [attempt] on [server]. */
    fun remove(server: BackendServerId, attempt: AttemptId) {
        pendingReplies.remove(ReservationKey(server, attempt))
    }
}

private data class ReservationKey(val server: BackendServerId, val attempt: AttemptId)
