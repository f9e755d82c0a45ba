/*
 * What an entry does about a non-idempotent request after it asked the issuer, or failed by itself.
 *
 * `not_run` is used only where no permit of the token was used. An entry never decides by its own clock that a token's
 * expiry is too far away: the issuer's clock may be ahead, and an earlier attempt may have run.
 */
package org.arbutusnotch.core.permit

import org.arbutusnotch.core.message.PermitClose
import org.arbutusnotch.core.message.PermitDenial
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.PermitResult
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/** Describes what an entry observed while it handled a non-idempotent request. */
public sealed interface PermitObservation {
    /** The request has no idempotency token. */
    public data object TokenMissing : PermitObservation

    /** The token cannot be parsed. */
    public data object TokenMalformed : PermitObservation

    /** The issuer replied. */
    public data class Replied(public val reply: PermitReply) : PermitObservation

    /** The issuer cannot be reached or did not reply in time. */
    public data object IssuerUnreachable : PermitObservation

    /** Another holder's permit was still running when the wait of this request ended. */
    public data object WaitEnded : PermitObservation

    /** This entry returned the permit because of [reason] and wrote no byte to a backend server. */
    public data class PermitReturned(public val reason: RefusalReason) : PermitObservation

    /** This entry began to write and got no complete answer because of [reason]. */
    public data class WriteBegan(public val reason: RefusalReason) : PermitObservation

    /** The backend server's complete answer arrived. */
    public data class AnswerArrived(public val answer: RecordedAnswer) : PermitObservation
}

/** Describes what the entry does next. */
public sealed interface PermitDecision {
    /** Run the request with [permit] if the write can begin before [deadline]. */
    public data class Run(public val permit: Long, public val deadline: Timestamp) : PermitDecision

    /** Ask the issuer again until [deadline]; another holder runs the request. */
    public data class AwaitRunning(public val deadline: Timestamp) : PermitDecision

    /** Send [answer]; the outcome is [RequestOutcome.Answered]. */
    public data class SendAnswer(public val answer: RecordedAnswer) : PermitDecision

    /** Send the final [outcome]. */
    public data class Refuse(public val outcome: RequestOutcome) : PermitDecision
}

/** Returns what an entry does about [observation]; [retryAt] is sent where another try can succeed. */
public fun permitOutcome(observation: PermitObservation, retryAt: Timestamp? = null): PermitDecision =
    when (observation) {
        is PermitObservation.TokenMissing -> notRun(RefusalReason.TOKEN_MISSING, retryAt)
        is PermitObservation.TokenMalformed -> notRun(RefusalReason.TOKEN_MALFORMED)
        is PermitObservation.Replied -> replied(observation.reply, retryAt)
        is PermitObservation.IssuerUnreachable -> unknown(RefusalReason.ISSUER_UNREACHABLE, retryAt)
        is PermitObservation.WaitEnded -> unknown(RefusalReason.DEADLINE_EXCEEDED, retryAt)
        is PermitObservation.PermitReturned -> notRun(observation.reason, retryAt)
        is PermitObservation.WriteBegan -> unknown(observation.reason, retryAt)
        is PermitObservation.AnswerArrived -> PermitDecision.SendAnswer(observation.answer)
    }

/**
 * Returns the message that returns a permit which arrived after the entry gave up on [request], or null when [reply]
 * grants none. Without it the token would stay unusable until the permit's deadline and be `unknown` from then on. It
 * must not be used for an attempt that has written: the reply may be a repetition of the permit that was used.
 */
public fun returnOfLatePermit(request: PermitRequest, reply: PermitReply): PermitClose? =
    (reply as? PermitReply.Granted)?.let {
        PermitClose(request.key, request.attempt, it.permit, PermitResult.HandedBack)
    }

/**
 * Returns why a holder must return its permit instead of writing, or null when it may write.
 *
 * @param deadline the permit's deadline
 * @param lastTick time of the holder's previous tick
 * @param tickGapLimit latest time after [lastTick] that does not count as a pause of the process
 */
public fun refusalBeforeWrite(
    now: Timestamp,
    deadline: Timestamp,
    lastTick: Timestamp,
    tickGapLimit: Duration,
): RefusalReason? = when {
    now - lastTick > tickGapLimit || now < lastTick -> RefusalReason.INSTANCE_PAUSED
    now >= deadline -> RefusalReason.DEADLINE_EXCEEDED
    else -> null
}

private fun replied(reply: PermitReply, retryAt: Timestamp?): PermitDecision = when (reply) {
    is PermitReply.Granted -> PermitDecision.Run(reply.permit, reply.deadline)
    is PermitReply.Running -> PermitDecision.AwaitRunning(reply.deadline)
    is PermitReply.Answered -> PermitDecision.SendAnswer(reply.answer)
    is PermitReply.Denied -> denied(reply.denial, retryAt)
}

private fun denied(denial: PermitDenial, retryAt: Timestamp?): PermitDecision = when (denial) {
    PermitDenial.MALFORMED -> notRun(RefusalReason.TOKEN_MALFORMED)
    PermitDenial.LIFETIME_TOO_LONG -> notRun(RefusalReason.TOKEN_MALFORMED)
    PermitDenial.TABLE_FULL -> notRun(RefusalReason.PERMIT_TABLE_FULL, retryAt)
    PermitDenial.DEADLINE_PASSED -> notRun(RefusalReason.DEADLINE_EXCEEDED, retryAt)
    PermitDenial.EXPIRED -> unknown(RefusalReason.TOKEN_EXPIRED)
    PermitDenial.OTHER_ISSUER -> unknown(RefusalReason.ISSUER_REPLACED)
    PermitDenial.REQUEST_DIFFERS -> unknown(RefusalReason.TOKEN_REUSED)
    PermitDenial.OUTCOME_UNKNOWN -> unknown(RefusalReason.PERMIT_UNKNOWN)
    PermitDenial.ANSWER_NOT_RETAINED -> unknown(RefusalReason.ANSWER_NOT_RETAINED)
}

private fun notRun(reason: RefusalReason, retryAt: Timestamp? = null): PermitDecision =
    PermitDecision.Refuse(RequestOutcome.NotRun(reason, retryAt))

private fun unknown(reason: RefusalReason, retryAt: Timestamp? = null): PermitDecision =
    PermitDecision.Refuse(RequestOutcome.Unknown(reason, retryAt))
