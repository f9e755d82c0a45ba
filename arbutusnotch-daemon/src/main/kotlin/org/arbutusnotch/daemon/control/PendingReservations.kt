/*
 * Reservation requests that wait in the queue of this instance as slot owner.
 */
package org.arbutusnotch.daemon.control

import kotlinx.coroutines.CompletableDeferred
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.ReserveReply
import org.arbutusnotch.core.reservation.ReservationDecision
import java.util.concurrent.ConcurrentHashMap

/** Delivers the later decisions about queued reservations to the messages that wait for them. */
internal class PendingReservations {
    private val waiting = ConcurrentHashMap<ReservationKey, CompletableDeferred<ReserveReply>>()

    /** Returns what completes when the reservation is decided; a repeated request waits for the same decision. */
    fun await(decision: ReservationDecision.Queued): CompletableDeferred<ReserveReply> =
        waiting.computeIfAbsent(ReservationKey(decision.server, decision.attempt)) { CompletableDeferred() }

    /** Completes the message that waits for [decision]; returns false when none does. */
    fun complete(decision: ReservationDecision): Boolean {
        val reply = decision.toReply() ?: return false
        return waiting.remove(ReservationKey(decision.server, decision.attempt))?.complete(reply) ?: false
    }

    /** Stops waiting for the reservation of [attempt] on [server]. */
    fun forget(server: BackendServerId, attempt: AttemptId) {
        waiting.remove(ReservationKey(server, attempt))
    }
}

private data class ReservationKey(val server: BackendServerId, val attempt: AttemptId)
