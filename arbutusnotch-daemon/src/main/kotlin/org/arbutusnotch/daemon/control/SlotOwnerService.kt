/*
 * The slot owner's answers to entries, for messages of peers and for requests of the own entry alike.
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

/** Decides about reservations of the servers that this instance owns. */
internal class SlotOwnerService(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val pending: PendingReservations,
    private val counters: Counters,
) {
    /** Decides about [request]; a queued one is answered when it is decided, at its start deadline at the latest. */
    suspend fun reserve(request: ReserveRequest): ReserveReply {
        val decision = loop.run {
            val now = clock.now()
            lastWork = now
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
        val waiting = pending.await(decision)
        val wait = request.startDeadline - clock.now() + DECISION_MARGIN
        return withTimeoutOrNull(wait) { waiting.await() } ?: giveUp(request)
    }

    private suspend fun giveUp(request: ReserveRequest): ReserveReply {
        pending.forget(request.server, request.attempt)
        release(ReleaseRequest(request.server, request.attempt))
        return ReserveReply.Refused(ReservationRefusal.DEADLINE_TOO_CLOSE, retryAt = clock.now() + RETRY_DELAY)
    }

    /** Ends a reservation and answers the requests that are granted by it. */
    suspend fun release(request: ReleaseRequest) {
        val decisions = loop.run { reservations.release(request.server, request.attempt, clock.now()) }
        decisions.forEach(pending::complete)
    }

    /** Takes the progress of attempts and returns what is known of their server. */
    suspend fun report(report: StreamReport): StreamReportReply {
        val result = loop.run {
            val now = clock.now()
            lastWork = now
            reservations.report(report, now)
        }
        result.decisions.forEach(pending::complete)
        return StreamReportReply(result.summary)
    }

    private companion object {
        /** Time for the tick that refuses a request at its start deadline. */
        val DECISION_MARGIN: Duration = 100.milliseconds
        val RETRY_DELAY: Duration = 200.milliseconds
    }
}
