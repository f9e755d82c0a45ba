/*
 * Guards against a `not_run` for a request that may have run: each row of the outcome table of the design page.
 */
package org.arbutusnotch.core.permit

import org.arbutusnotch.core.message.PermitDenial
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class PermitOutcomeTest {
    private val retryAt = Timestamp(500)

    @Test
    fun `every denial has the outcome of the design page`() {
        val expected = mapOf(
            PermitDenial.MALFORMED to RequestOutcome.NotRun(RefusalReason.TOKEN_MALFORMED),
            PermitDenial.LIFETIME_TOO_LONG to RequestOutcome.NotRun(RefusalReason.TOKEN_MALFORMED),
            PermitDenial.TABLE_FULL to RequestOutcome.NotRun(RefusalReason.PERMIT_TABLE_FULL, retryAt),
            PermitDenial.DEADLINE_PASSED to RequestOutcome.NotRun(RefusalReason.DEADLINE_EXCEEDED, retryAt),
            PermitDenial.EXPIRED to RequestOutcome.Unknown(RefusalReason.TOKEN_EXPIRED),
            PermitDenial.OTHER_ISSUER to RequestOutcome.Unknown(RefusalReason.ISSUER_REPLACED),
            PermitDenial.REQUEST_DIFFERS to RequestOutcome.Unknown(RefusalReason.TOKEN_REUSED),
            PermitDenial.OUTCOME_UNKNOWN to RequestOutcome.Unknown(RefusalReason.PERMIT_UNKNOWN),
            PermitDenial.ANSWER_NOT_RETAINED to RequestOutcome.Unknown(RefusalReason.ANSWER_NOT_RETAINED),
        )
        val actual = PermitDenial.entries.associateWith {
            (decide(PermitObservation.Replied(PermitReply.Denied(it))) as PermitDecision.Refuse).outcome
        }
        expectThat(actual).isEqualTo(expected)
    }

    @Test
    fun `every observation of the entry has the outcome of the design page`() {
        val reason = RefusalReason.BACKEND_FAILED
        val expected = mapOf(
            PermitObservation.TokenMissing to RequestOutcome.NotRun(RefusalReason.TOKEN_MISSING, retryAt),
            PermitObservation.TokenMalformed to RequestOutcome.NotRun(RefusalReason.TOKEN_MALFORMED),
            PermitObservation.PermitReturned(reason) to RequestOutcome.NotRun(reason, retryAt),
            PermitObservation.IssuerUnreachable to RequestOutcome.Unknown(RefusalReason.ISSUER_UNREACHABLE, retryAt),
            PermitObservation.WaitEnded to RequestOutcome.Unknown(RefusalReason.DEADLINE_EXCEEDED, retryAt),
            PermitObservation.WriteBegan(reason) to RequestOutcome.Unknown(reason, retryAt),
        )
        val actual = expected.mapValues { (decide(it.key) as PermitDecision.Refuse).outcome }
        expectThat(actual).isEqualTo(expected)
    }

    @Test
    fun `replies that decide nothing for the caller are passed on`() {
        val answer = RecordedAnswer(200, "text/plain", ByteArray(0))
        expectThat(decide(PermitObservation.Replied(PermitReply.Granted(7, retryAt))))
            .isEqualTo(PermitDecision.Run(7, retryAt))
        expectThat(decide(PermitObservation.Replied(PermitReply.Running(retryAt))))
            .isEqualTo(PermitDecision.AwaitRunning(retryAt))
        expectThat(decide(PermitObservation.Replied(PermitReply.Answered(answer))))
            .isEqualTo(PermitDecision.SendAnswer(answer))
        expectThat(decide(PermitObservation.AnswerArrived(answer))).isEqualTo(PermitDecision.SendAnswer(answer))
    }

    @Test
    fun `a holder does not write after the deadline, after a pause or when its clock stepped back`() {
        val deadline = Timestamp(10_000)
        val limit = 200.milliseconds
        expectThat(refusalBeforeWrite(deadline - 1.milliseconds, deadline, deadline - 20.milliseconds, limit)).isNull()
        expectThat(refusalBeforeWrite(deadline, deadline, deadline - 20.milliseconds, limit))
            .isEqualTo(RefusalReason.DEADLINE_EXCEEDED)
        expectThat(refusalBeforeWrite(deadline - 1.seconds, deadline, deadline - 2.seconds, limit))
            .isEqualTo(RefusalReason.INSTANCE_PAUSED)
        expectThat(refusalBeforeWrite(deadline - 2.seconds, deadline, deadline - 1.seconds, limit))
            .isEqualTo(RefusalReason.INSTANCE_PAUSED)
    }

    private fun decide(observation: PermitObservation): PermitDecision = permitOutcome(observation, retryAt)
}
