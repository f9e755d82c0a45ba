/*
 * Guards against a `not_run` for a request that may have run, by checking the outcome of every denial and every event.
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

internal class PermitDecisionTest {
    private val retryAt = Timestamp(500)

    @Test
    fun `every denial maps to its documented outcome`() {
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
            (decide(PermitObservation.IssuerReplied(PermitReply.Denied(it))) as PermitDecision.Refuse).outcome
        }
        expectThat(actual).isEqualTo(expected)
    }

    @Test
    fun `every observation of the entry maps to its documented outcome`() {
        val reason = RefusalReason.BACKEND_FAILED
        val expected = mapOf(
            PermitObservation.TokenMissing to RequestOutcome.NotRun(RefusalReason.TOKEN_MISSING, retryAt),
            PermitObservation.TokenMalformed to RequestOutcome.NotRun(RefusalReason.TOKEN_MALFORMED),
            PermitObservation.PermitReturned(reason) to RequestOutcome.NotRun(reason, retryAt),
            PermitObservation.IssuerUnreachable to RequestOutcome.Unknown(RefusalReason.ISSUER_UNREACHABLE, retryAt),
            PermitObservation.WaitEnded to RequestOutcome.Unknown(RefusalReason.DEADLINE_EXCEEDED, retryAt),
            PermitObservation.FailedAfterWrite(reason) to RequestOutcome.Unknown(reason, retryAt),
        )
        val actual = expected.mapValues { (decide(it.key) as PermitDecision.Refuse).outcome }
        expectThat(actual).isEqualTo(expected)
    }

    @Test
    fun `grants, running permits and answers map to the matching decisions`() {
        val answer = RecordedAnswer(200, "text/plain", ByteArray(0))
        expectThat(decide(PermitObservation.IssuerReplied(PermitReply.Granted(7, retryAt))))
            .isEqualTo(PermitDecision.Run(7, retryAt))
        expectThat(decide(PermitObservation.IssuerReplied(PermitReply.Running(retryAt))))
            .isEqualTo(PermitDecision.AwaitRunning(retryAt))
        expectThat(decide(PermitObservation.IssuerReplied(PermitReply.Answered(answer))))
            .isEqualTo(PermitDecision.SendAnswer(answer))
        expectThat(decide(PermitObservation.AnswerReceived(answer))).isEqualTo(PermitDecision.SendAnswer(answer))
    }

    @Test
    fun `a holder does not write after the deadline, after a pause or after its clock stepped back`() {
        val deadline = Timestamp(10_000)
        val limit = 200.milliseconds
        expectThat(writeRefusalReason(deadline - 1.milliseconds, deadline, deadline - 20.milliseconds, limit)).isNull()
        expectThat(writeRefusalReason(deadline, deadline, deadline - 20.milliseconds, limit))
            .isEqualTo(RefusalReason.DEADLINE_EXCEEDED)
        expectThat(writeRefusalReason(deadline - 1.seconds, deadline, deadline - 2.seconds, limit))
            .isEqualTo(RefusalReason.INSTANCE_PAUSED)
        expectThat(writeRefusalReason(deadline - 2.seconds, deadline, deadline - 1.seconds, limit))
            .isEqualTo(RefusalReason.INSTANCE_PAUSED)
    }

    private fun decide(observation: PermitObservation): PermitDecision = permitDecisionFor(observation, retryAt)
}
