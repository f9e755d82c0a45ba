/*
 * State machine of one attempt to run a non-idempotent request, from the permit request to the final outcome.
 *
 * An attempt returns its permit only if it has written no byte to a backend server, and it produces exactly one final
 * outcome. Messages from the issuer may be delayed or duplicated: a permit that arrives after the attempt has ended is
 * returned, unless the attempt has written.
 */
package org.arbutusnotch.core.permit

import org.arbutusnotch.core.message.PermitClose
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.PermitResult
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Lists what the entry must do after an event.
 *
 * @property decision how to proceed with the caller's request; null when nothing changes for the caller
 * @property close message to send to the issuer; null when there is none
 */
public data class PermitActions(public val decision: PermitDecision? = null, public val close: PermitClose? = null)

/** Tracks the attempt that requests its permit with [request]. */
public class PermitAttempt(public val request: PermitRequest) {
    private var state: AttemptState = AttemptState.Requesting
    private var writeStarted = false

    /** Whether the attempt has produced its final outcome. */
    public val ended: Boolean
        get() = state is AttemptState.Ended

    /** Whether the attempt has a permit and is not writing. */
    public val holdsPermit: Boolean
        get() = state is AttemptState.Holding

    /** Handles a [reply] from the issuer. */
    public fun onReply(reply: PermitReply, retryAt: Timestamp? = null): PermitActions = when (state) {
        is AttemptState.Requesting -> applyReply(reply, retryAt)
        is AttemptState.Ended -> PermitActions(close = if (writeStarted) null else closeForLatePermit(request, reply))
        is AttemptState.Holding, is AttemptState.Writing -> PermitActions()
    }

    /** Handles an issuer that is unreachable or did not reply in time. */
    public fun onIssuerUnreachable(retryAt: Timestamp? = null): PermitActions = when (state) {
        is AttemptState.Requesting -> end(PermitObservation.IssuerUnreachable, retryAt)
        is AttemptState.Holding, is AttemptState.Writing, is AttemptState.Ended -> PermitActions()
    }

    /**
     * Begins the write; must be called immediately before the first byte is written. Returns null when the write may
     * begin, and otherwise what the entry must do instead, such as returning the permit.
     *
     * @param lastTick time of the previous tick of this process
     * @param tickGapLimit longest time since [lastTick] that does not count as a pause of the process
     */
    public fun beginWrite(
        now: Timestamp,
        lastTick: Timestamp,
        tickGapLimit: Duration,
        retryAt: Timestamp? = null,
    ): PermitActions? {
        val holding = state as? AttemptState.Holding ?: return PermitActions()
        val refusal = writeRefusalReason(now, holding.deadline, lastTick, tickGapLimit)
        if (refusal != null) return fail(refusal, retryAt)
        state = AttemptState.Writing(holding.permit, holding.deadline)
        writeStarted = true
        return null
    }

    /**
     * Handles a write after which the backend server cannot have run the request: no byte of it was written, or the
     * server answered that it is full. The attempt holds its permit again and may write to another server.
     */
    public fun onNotReceived() {
        val writing = state as? AttemptState.Writing ?: return
        state = AttemptState.Holding(writing.permit, writing.deadline)
        writeStarted = false
    }

    /** Handles the complete [answer] of the backend server. */
    public fun onAnswer(answer: RecordedAnswer): PermitActions {
        val writing = state as? AttemptState.Writing ?: return PermitActions()
        val close = close(writing.permit, PermitResult.Answered(answer))
        return end(PermitObservation.AnswerReceived(answer)).copy(close = close)
    }

    /** Ends the attempt because of [reason]; the outcome depends on whether it has begun to write. */
    public fun fail(reason: RefusalReason, retryAt: Timestamp? = null): PermitActions = when (val current = state) {
        is AttemptState.Requesting -> end(PermitObservation.WaitEnded, retryAt)

        is AttemptState.Holding -> end(PermitObservation.PermitReturned(reason), retryAt)
            .copy(close = close(current.permit, PermitResult.HandedBack))

        is AttemptState.Writing -> end(PermitObservation.FailedAfterWrite(reason), retryAt)
            .copy(close = close(current.permit, PermitResult.Unknown))

        is AttemptState.Ended -> PermitActions()
    }

    private fun applyReply(reply: PermitReply, retryAt: Timestamp?): PermitActions {
        val decision = permitDecisionFor(PermitObservation.IssuerReplied(reply), retryAt)
        state = when (decision) {
            is PermitDecision.Run -> AttemptState.Holding(decision.permit, decision.deadline)
            is PermitDecision.AwaitRunning -> AttemptState.Requesting
            is PermitDecision.SendAnswer, is PermitDecision.Refuse -> AttemptState.Ended
        }
        return PermitActions(decision)
    }

    private fun end(observation: PermitObservation, retryAt: Timestamp? = null): PermitActions {
        state = AttemptState.Ended
        return PermitActions(permitDecisionFor(observation, retryAt))
    }

    private fun close(permit: Long, result: PermitResult): PermitClose =
        PermitClose(request.key, request.attempt, permit, result)
}

private sealed interface AttemptState {
    /** No permit has arrived yet, or another holder has the permit. */
    data object Requesting : AttemptState

    class Holding(val permit: Long, val deadline: Timestamp) : AttemptState

    class Writing(val permit: Long, val deadline: Timestamp) : AttemptState

    data object Ended : AttemptState
}
