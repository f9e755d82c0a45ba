/*
 * Serves reservation requests as slot owner, for the entries of peers and for the entry of this instance.
 */
package org.arbutusnotch.daemon.control

import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusnotch.core.message.ReleaseRequest
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ReservationRefusal
import org.arbutusnotch.core.message.ReserveReply
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.message.StreamReport
import org.arbutusnotch.core.message.StreamReportReply
import org.arbutusnotch.core.reservation.ReservationDecision
import org.arbutusnotch.daemon.telemetry.Counters
import org.arbutusnotch.daemon.telemetry.ReservationEvent
import org.arbutusnotch.telemetry.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Manages reservations on the servers that this instance owns. */
internal class SlotOwnerService(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val pending: PendingReservations,
    private val counters: Counters,
) {
    /** Decides [request]; replies to a queued request when it is decided, at its start deadline at the latest. */
    suspend fun reserve(request: ReserveRequest): ReserveReply {
        val decision = loop.run {
            val now = clock.now()
            lastWorkAt = now
            reservations.reserve(request, now)
        }
        count(request.kind, decision)
        if (decision !is ReservationDecision.Queued) return checkNotNull(decision.toReply())
        return awaitDecision(decision, request)
    }

    private fun count(kind: ReservationKind, decision: ReservationDecision) {
        val event = when (decision) {
            is ReservationDecision.Granted -> ReservationEvent.GRANTED
            is ReservationDecision.Queued -> ReservationEvent.QUEUED
            is ReservationDecision.Refused -> ReservationEvent.REFUSED
        }
        counters.countReservationEvent(kind, event)
    }

    private suspend fun awaitDecision(decision: ReservationDecision.Queued, request: ReserveRequest): ReserveReply {
        val reply = pending.register(decision)
        val timeout = request.startDeadline - clock.now() + DECISION_MARGIN
        return withTimeoutOrNull(timeout) { reply.await() } ?: releaseAndRefuse(request)
    }

    private suspend fun releaseAndRefuse(request: ReserveRequest): ReserveReply {
        pending.remove(request.server, request.attempt)
        release(ReleaseRequest(request.server, request.attempt))
        return ReserveReply.Refused(ReservationRefusal.DEADLINE_TOO_CLOSE, retryAt = clock.now() + RETRY_DELAY)
    }

    /** Ends a reservation and replies to the queued requests that are granted as a result. */
    suspend fun release(request: ReleaseRequest) {
        val decisions = loop.run { reservations.release(request.server, request.attempt, clock.now()) }
        decisions.forEach(pending::complete)
    }

    /** Records the progress of attempts and returns the current summary of their server. */
    suspend fun report(report: StreamReport): StreamReportReply {
        val result = loop.run {
            val now = clock.now()
            lastWorkAt = now
            reservations.report(report, now)
        }
        result.decisions.forEach(pending::complete)
        return StreamReportReply(result.summary)
    }

    private companion object {
        /** Time for the tick to refuse a request at its start deadline. */
        val DECISION_MARGIN: Duration = 100.milliseconds
        val RETRY_DELAY: Duration = 200.milliseconds
    }
}
