/*
 * Decides how an entry proceeds with a non-idempotent request after a reply of the issuer or a failure of its own.
 *
 * `not_run` is reported only if no permit of the token was used. An entry never decides by its own clock that a token's
 * expiry is too far in the future: the issuer's clock may be ahead, and an earlier attempt may have run.
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

/** Describes an event that an entry observes while it handles a non-idempotent request. */
public sealed interface PermitObservation {
    /** The request has no idempotency token. */
    public data object TokenMissing : PermitObservation

    /** The token cannot be parsed. */
    public data object TokenMalformed : PermitObservation

    /** The issuer replied. */
    public data class IssuerReplied(public val reply: PermitReply) : PermitObservation

    /** The issuer cannot be reached or did not reply in time. */
    public data object IssuerUnreachable : PermitObservation

    /** The wait of this request ended while another holder's permit was still outstanding. */
    public data object WaitEnded : PermitObservation

    /** This entry returned the permit because of [reason] and wrote no byte to a backend server. */
    public data class PermitReturned(public val reason: RefusalReason) : PermitObservation

    /** This entry began to write and received no complete answer because of [reason]. */
    public data class FailedAfterWrite(public val reason: RefusalReason) : PermitObservation

    /** The backend server's complete answer arrived. */
    public data class AnswerReceived(public val answer: RecordedAnswer) : PermitObservation
}

/** Describes what the entry does next. */
public sealed interface PermitDecision {
    /** Run the request with [permit] if the write can begin before [deadline]. */
    public data class Run(public val permit: Long, public val deadline: Timestamp) : PermitDecision

    /** Poll the issuer until [deadline]; another holder is running the request. */
    public data class AwaitRunning(public val deadline: Timestamp) : PermitDecision

    /** Send [answer]; the outcome is [RequestOutcome.Answered]. */
    public data class SendAnswer(public val answer: RecordedAnswer) : PermitDecision

    /** Send the final [outcome]. */
    public data class Refuse(public val outcome: RequestOutcome) : PermitDecision
}

/** Returns the decision for [observation]; [retryAt] is sent to the caller only if a retry can succeed. */
public fun permitDecisionFor(observation: PermitObservation, retryAt: Timestamp? = null): PermitDecision =
    when (observation) {
        is PermitObservation.TokenMissing -> notRun(RefusalReason.TOKEN_MISSING, retryAt)
        is PermitObservation.TokenMalformed -> notRun(RefusalReason.TOKEN_MALFORMED)
        is PermitObservation.IssuerReplied -> decisionForReply(observation.reply, retryAt)
        is PermitObservation.IssuerUnreachable -> unknown(RefusalReason.ISSUER_UNREACHABLE, retryAt)
        is PermitObservation.WaitEnded -> unknown(RefusalReason.DEADLINE_EXCEEDED, retryAt)
        is PermitObservation.PermitReturned -> notRun(observation.reason, retryAt)
        is PermitObservation.FailedAfterWrite -> unknown(observation.reason, retryAt)
        is PermitObservation.AnswerReceived -> PermitDecision.SendAnswer(observation.answer)
    }

/**
 * Builds the message that returns a permit which arrived after the entry gave up on [request], or null when [reply]
 * grants none. Without it the token would be blocked until the permit's deadline and its outcome `unknown` from then
 * on. It must not be used for an attempt that has written: the reply may repeat the grant of the permit that was used.
 */
public fun closeForLatePermit(request: PermitRequest, reply: PermitReply): PermitClose? =
    (reply as? PermitReply.Granted)?.let {
        PermitClose(request.key, request.attempt, it.permit, PermitResult.HandedBack)
    }

/**
 * Returns why a holder must return its permit instead of writing, or null when it may write.
 *
 * @param deadline the permit's deadline
 * @param lastTick time of the holder's previous tick
 * @param tickGapLimit longest time since [lastTick] that does not count as a pause of the process
 */
public fun writeRefusalReason(
    now: Timestamp,
    deadline: Timestamp,
    lastTick: Timestamp,
    tickGapLimit: Duration,
): RefusalReason? = when {
    now - lastTick > tickGapLimit || now < lastTick -> RefusalReason.INSTANCE_PAUSED
    now >= deadline -> RefusalReason.DEADLINE_EXCEEDED
    else -> null
}

private fun decisionForReply(reply: PermitReply, retryAt: Timestamp?): PermitDecision = when (reply) {
    is PermitReply.Granted -> PermitDecision.Run(reply.permit, reply.deadline)
    is PermitReply.Running -> PermitDecision.AwaitRunning(reply.deadline)
    is PermitReply.Answered -> PermitDecision.SendAnswer(reply.answer)
    is PermitReply.Denied -> decisionForDenial(reply.denial, retryAt)
}

private fun decisionForDenial(denial: PermitDenial, retryAt: Timestamp?): PermitDecision = when (denial) {
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
