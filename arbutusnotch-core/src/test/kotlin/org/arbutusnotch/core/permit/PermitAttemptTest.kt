/*
 * Guards against a permit that is returned although bytes were written, and against a second outcome for a caller.
 */
package org.arbutusnotch.core.permit

import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.PermitResult
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.message.TokenKey
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class PermitAttemptTest {
    private val now = Timestamp(100_000)
    private val holder = InstanceId(InstanceAddress("10.0.0.2:7000"), Incarnation(1))
    private val key = TokenKey(ClientId("client"), WorkspaceId("workspace"), "token")
    private val request = PermitRequest(key, ContentDigest("body"), holder, AttemptId("a"), now + 5.seconds)
    private val attempt = PermitAttempt(request)
    private val granted = PermitReply.Granted(3, now + 5.seconds)
    private val answer = RecordedAnswer(200, "text/plain", ByteArray(0))

    @Test
    fun `a failure before the write returns the permit and tells not_run`() {
        attempt.replied(granted)
        val step = attempt.fail(RefusalReason.NO_BACKEND_SERVER)
        expectThat(step.close?.result).isEqualTo(PermitResult.HandedBack)
        expectThat(step.close?.permit).isEqualTo(3)
        expectThat(outcomeOf(step)).isEqualTo(RequestOutcome.NotRun(RefusalReason.NO_BACKEND_SERVER))
    }

    @Test
    fun `a failure after the write reports unknown and tells unknown`() {
        attempt.replied(granted)
        expectThat(write()).isNull()
        val step = attempt.fail(RefusalReason.BACKEND_FAILED)
        expectThat(step.close?.result).isEqualTo(PermitResult.Unknown)
        expectThat(outcomeOf(step)).isEqualTo(RequestOutcome.Unknown(RefusalReason.BACKEND_FAILED))
    }

    @Test
    fun `a write that no server received leaves the permit usable and returnable`() {
        attempt.replied(granted)
        expectThat(write()).isNull()
        attempt.notReceived()
        expectThat(write()).isNull()
        attempt.notReceived()
        val step = attempt.fail(RefusalReason.NO_BACKEND_SERVER)
        expectThat(step.close?.result).isEqualTo(PermitResult.HandedBack)
        expectThat(outcomeOf(step)).isEqualTo(RequestOutcome.NotRun(RefusalReason.NO_BACKEND_SERVER))
    }

    @Test
    fun `a pause before the write returns the permit`() {
        attempt.replied(granted)
        val step = attempt.beginWrite(now, now - 1.seconds, 200.milliseconds)
        expectThat(step?.close?.result).isEqualTo(PermitResult.HandedBack)
        expectThat(outcomeOf(checkNotNull(step))).isEqualTo(RequestOutcome.NotRun(RefusalReason.INSTANCE_PAUSED))
        expectThat(attempt.ended).isTrue()
    }

    @Test
    fun `an attempt without a permit does not write`() {
        expectThat(write()).isEqualTo(PermitStep())
        expectThat(attempt.ended).isFalse()
    }

    @Test
    fun `a permit that arrives after the end is returned`() {
        attempt.issuerUnreachable()
        val step = attempt.replied(granted)
        expectThat(step.close?.result).isEqualTo(PermitResult.HandedBack)
        expectThat(step.decision).isNull()
    }

    @Test
    fun `a repeated permit that arrives after the write is not returned`() {
        attempt.replied(granted)
        write()
        expectThat(attempt.replied(granted)).isEqualTo(PermitStep())
        attempt.fail(RefusalReason.BACKEND_FAILED)
        expectThat(attempt.replied(granted)).isEqualTo(PermitStep())
    }

    @Test
    fun `an attempt that waits for another holder receives its answer`() {
        attempt.replied(PermitReply.Running(now + 5.seconds))
        val step = attempt.replied(PermitReply.Answered(answer))
        expectThat(step.decision).isEqualTo(PermitDecision.SendAnswer(answer))
    }

    @Test
    fun `an ended attempt gives no second outcome`() {
        attempt.replied(granted)
        write()
        expectThat(attempt.answered(answer).close?.result).isEqualTo(PermitResult.Answered(answer))
        expectThat(attempt.fail(RefusalReason.BACKEND_FAILED)).isEqualTo(PermitStep())
        expectThat(attempt.answered(answer)).isEqualTo(PermitStep())
        expectThat(attempt.issuerUnreachable()).isEqualTo(PermitStep())
    }

    @Test
    fun `a wait that ends tells unknown`() {
        val step = attempt.fail(RefusalReason.DEADLINE_EXCEEDED)
        expectThat(step.close).isNull()
        expectThat(outcomeOf(step)).isEqualTo(RequestOutcome.Unknown(RefusalReason.DEADLINE_EXCEEDED))
    }

    private fun write(): PermitStep? = attempt.beginWrite(now, now - 20.milliseconds, 200.milliseconds)

    private fun outcomeOf(step: PermitStep): RequestOutcome? = (step.decision as? PermitDecision.Refuse)?.outcome
}
