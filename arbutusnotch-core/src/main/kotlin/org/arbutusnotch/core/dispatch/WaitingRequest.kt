/*
 * A request that waits for a place at a backend server.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Describes a waiting request with the deadlines of the dispatcher's clock.
 *
 * @property objectiveAt time after which the answer is late
 * @property beginBy time by which the request must have a place; it is refused when it cannot get one
 * @property deadlineAt time at which the caller gives up
 * @property begun whether the caller has already got a part of the answer
 * @property waitingSince time at which the request arrived here
 * @property heardUntil time at which the request is dropped unless its holder repeats it
 */
internal data class WaitingRequest(
    val ticket: TicketId,
    val holder: InstanceId,
    val domain: FailureDomainId,
    val work: DispatchWork,
    val priority: Int,
    val objectiveAt: Timestamp,
    val beginBy: Timestamp,
    val deadlineAt: Timestamp,
    val excluded: Set<BackendServerId>,
    val begun: Boolean,
    val waitingSince: Timestamp,
    val heardUntil: Timestamp,
) {
    companion object {
        /** Time without a repetition after which the holder is taken to be gone; holders repeat four times as often. */
        val HOLDER_SILENCE = 1_000.milliseconds

        fun of(request: DispatchRequest, now: Timestamp): WaitingRequest = WaitingRequest(
            ticket = request.ticket,
            holder = request.holder,
            domain = request.failureDomain,
            work = request.work,
            priority = request.priority,
            objectiveAt = Timestamp(now.epochMillis + request.objectiveMillis),
            beginBy = Timestamp(now.epochMillis + request.beginMillis),
            deadlineAt = Timestamp(now.epochMillis + request.remainingMillis),
            excluded = request.excluded.toSet(),
            begun = request.begun,
            waitingSince = now,
            heardUntil = now + HOLDER_SILENCE,
        )
    }
}

/** Tells a holder what becomes of its request. */
public sealed interface DispatchDecision {
    /** The request. */
    public val ticket: TicketId

    /** The instance that holds the request. */
    public val holder: InstanceId

    /** The request may go to [server], after [prefillServer] has read its prompt if one is named. */
    public data class Granted(
        override val ticket: TicketId,
        override val holder: InstanceId,
        public val server: BackendServerId,
        public val prefillServer: BackendServerId?,
    ) : DispatchDecision

    /** The request waits. */
    public data class Queued(override val ticket: TicketId, override val holder: InstanceId) : DispatchDecision

    /** The request gets no place; a new one is likely to get one after [retryAfter]. */
    public data class Refused(
        override val ticket: TicketId,
        override val holder: InstanceId,
        public val reason: DispatchRefusal,
        public val retryAfter: Duration,
    ) : DispatchDecision
}
