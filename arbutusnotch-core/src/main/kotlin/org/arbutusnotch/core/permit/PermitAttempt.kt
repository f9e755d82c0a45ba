/*
 * One attempt of an entry to run a non-idempotent request, from the permit request to the final outcome.
 *
 * The attempt returns a permit only if it wrote no byte to a backend server, and it gives one final outcome. Messages
 * of the issuer may arrive late or twice: a permit that arrives after the end is returned, unless the attempt has
 * written.
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
 * Tells the entry what follows from an event.
 *
 * @property decision what to do for the caller; null when nothing changes for the caller
 * @property close message to the issuer; null when there is none
 */
public data class PermitStep(public val decision: PermitDecision? = null, public val close: PermitClose? = null)

/** Holds the state of the attempt that sends [request]. */
public class PermitAttempt(public val request: PermitRequest) {
    private var state: AttemptState = AttemptState.Requesting
    private var wrote = false

    /** Whether the caller has its final outcome. */
    public val ended: Boolean
        get() = state is AttemptState.Ended

    /** Whether the attempt has a permit and has not written yet. */
    public val holdsPermit: Boolean
        get() = state is AttemptState.Holding

    /** Takes a [reply] of the issuer. */
    public fun replied(reply: PermitReply, retryAt: Timestamp? = null): PermitStep = when (state) {
        is AttemptState.Requesting -> takeReply(reply, retryAt)
        is AttemptState.Ended -> PermitStep(close = if (wrote) null else returnOfLatePermit(request, reply))
        is AttemptState.Holding, is AttemptState.Writing -> PermitStep()
    }

    /** Takes that the issuer is unreachable or did not reply in time. */
    public fun issuerUnreachable(retryAt: Timestamp? = null): PermitStep = when (state) {
        is AttemptState.Requesting -> end(PermitObservation.IssuerUnreachable, retryAt)
        is AttemptState.Holding, is AttemptState.Writing, is AttemptState.Ended -> PermitStep()
    }

    /**
     * Begins the write; must be called immediately before the first byte is written. Returns null when the write may
     * begin, and otherwise the step that returned the permit.
     *
     * @param lastTick time of the previous tick of this process
     * @param tickGapLimit longest time since [lastTick] that does not count as a pause
     */
    public fun beginWrite(
        now: Timestamp,
        lastTick: Timestamp,
        tickGapLimit: Duration,
        retryAt: Timestamp? = null,
    ): PermitStep? {
        val holding = state as? AttemptState.Holding ?: return PermitStep()
        val refusal = refusalBeforeWrite(now, holding.deadline, lastTick, tickGapLimit)
        if (refusal != null) return fail(refusal, retryAt)
        state = AttemptState.Writing(holding.permit, holding.deadline)
        wrote = true
        return null
    }

    /**
     * Takes that the backend server cannot have run the request: no byte of it was written, or the server itself
     * answered that it is full. The attempt holds its permit again and may write to another server.
     */
    public fun notReceived() {
        val writing = state as? AttemptState.Writing ?: return
        state = AttemptState.Holding(writing.permit, writing.deadline)
        wrote = false
    }

    /** Takes the complete [answer] of the backend server. */
    public fun answered(answer: RecordedAnswer): PermitStep {
        val writing = state as? AttemptState.Writing ?: return PermitStep()
        val close = close(writing.permit, PermitResult.Answered(answer))
        return end(PermitObservation.AnswerArrived(answer)).copy(close = close)
    }

    /** Takes that this entry ends the attempt because of [reason]; the outcome depends on whether it wrote. */
    public fun fail(reason: RefusalReason, retryAt: Timestamp? = null): PermitStep = when (val current = state) {
        is AttemptState.Requesting -> end(PermitObservation.WaitEnded, retryAt)

        is AttemptState.Holding -> end(PermitObservation.PermitReturned(reason), retryAt)
            .copy(close = close(current.permit, PermitResult.HandedBack))

        is AttemptState.Writing -> end(PermitObservation.WriteBegan(reason), retryAt)
            .copy(close = close(current.permit, PermitResult.Unknown))

        is AttemptState.Ended -> PermitStep()
    }

    private fun takeReply(reply: PermitReply, retryAt: Timestamp?): PermitStep {
        val decision = permitOutcome(PermitObservation.Replied(reply), retryAt)
        state = when (decision) {
            is PermitDecision.Run -> AttemptState.Holding(decision.permit, decision.deadline)
            is PermitDecision.AwaitRunning -> AttemptState.Requesting
            is PermitDecision.SendAnswer, is PermitDecision.Refuse -> AttemptState.Ended
        }
        return PermitStep(decision)
    }

    private fun end(observation: PermitObservation, retryAt: Timestamp? = null): PermitStep {
        state = AttemptState.Ended
        return PermitStep(permitOutcome(observation, retryAt))
    }

    private fun close(permit: Long, result: PermitResult): PermitClose =
        PermitClose(request.key, request.attempt, permit, result)
}

private sealed interface AttemptState {
    /** No permit has arrived yet, or another holder's permit is running. */
    data object Requesting : AttemptState

    class Holding(val permit: Long, val deadline: Timestamp) : AttemptState

    class Writing(val permit: Long, val deadline: Timestamp) : AttemptState

    data object Ended : AttemptState
}
