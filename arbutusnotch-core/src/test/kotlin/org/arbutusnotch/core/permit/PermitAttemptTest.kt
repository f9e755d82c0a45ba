/*
 * Guards against a permit that is returned although bytes were written, and against a second outcome for a request.
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
    fun `a failure before the write returns the permit and ends as not_run`() {
        attempt.onReply(granted)
        val actions = attempt.fail(RefusalReason.NO_BACKEND_SERVER)
        expectThat(actions.close?.result).isEqualTo(PermitResult.HandedBack)
        expectThat(actions.close?.permit).isEqualTo(3)
        expectThat(outcomeOf(actions)).isEqualTo(RequestOutcome.NotRun(RefusalReason.NO_BACKEND_SERVER))
    }

    @Test
    fun `a failure after the write closes the permit as unknown and ends as unknown`() {
        attempt.onReply(granted)
        expectThat(write()).isNull()
        val actions = attempt.fail(RefusalReason.BACKEND_FAILED)
        expectThat(actions.close?.result).isEqualTo(PermitResult.Unknown)
        expectThat(outcomeOf(actions)).isEqualTo(RequestOutcome.Unknown(RefusalReason.BACKEND_FAILED))
    }

    @Test
    fun `a permit can be used or returned after a write that no server received`() {
        attempt.onReply(granted)
        expectThat(write()).isNull()
        attempt.onNotReceived()
        expectThat(write()).isNull()
        attempt.onNotReceived()
        val actions = attempt.fail(RefusalReason.NO_BACKEND_SERVER)
        expectThat(actions.close?.result).isEqualTo(PermitResult.HandedBack)
        expectThat(outcomeOf(actions)).isEqualTo(RequestOutcome.NotRun(RefusalReason.NO_BACKEND_SERVER))
    }

    @Test
    fun `a pause before the write returns the permit`() {
        attempt.onReply(granted)
        val actions = attempt.beginWrite(now, now - 1.seconds, 200.milliseconds)
        expectThat(actions?.close?.result).isEqualTo(PermitResult.HandedBack)
        expectThat(outcomeOf(checkNotNull(actions))).isEqualTo(RequestOutcome.NotRun(RefusalReason.INSTANCE_PAUSED))
        expectThat(attempt.ended).isTrue()
    }

    @Test
    fun `an attempt without a permit does not write`() {
        expectThat(write()).isEqualTo(PermitActions())
        expectThat(attempt.ended).isFalse()
    }

    @Test
    fun `a permit that arrives after the end is returned`() {
        attempt.onIssuerUnreachable()
        val actions = attempt.onReply(granted)
        expectThat(actions.close?.result).isEqualTo(PermitResult.HandedBack)
        expectThat(actions.decision).isNull()
    }

    @Test
    fun `a repeated permit that arrives after the write is not returned`() {
        attempt.onReply(granted)
        write()
        expectThat(attempt.onReply(granted)).isEqualTo(PermitActions())
        attempt.fail(RefusalReason.BACKEND_FAILED)
        expectThat(attempt.onReply(granted)).isEqualTo(PermitActions())
    }

    @Test
    fun `an attempt that waits for another holder receives its answer`() {
        attempt.onReply(PermitReply.Running(now + 5.seconds))
        val actions = attempt.onReply(PermitReply.Answered(answer))
        expectThat(actions.decision).isEqualTo(PermitDecision.SendAnswer(answer))
    }

    @Test
    fun `an ended attempt produces no second outcome`() {
        attempt.onReply(granted)
        write()
        expectThat(attempt.onAnswer(answer).close?.result).isEqualTo(PermitResult.Answered(answer))
        expectThat(attempt.fail(RefusalReason.BACKEND_FAILED)).isEqualTo(PermitActions())
        expectThat(attempt.onAnswer(answer)).isEqualTo(PermitActions())
        expectThat(attempt.onIssuerUnreachable()).isEqualTo(PermitActions())
    }

    @Test
    fun `a wait that ends without a permit ends as unknown`() {
        val actions = attempt.fail(RefusalReason.DEADLINE_EXCEEDED)
        expectThat(actions.close).isNull()
        expectThat(outcomeOf(actions)).isEqualTo(RequestOutcome.Unknown(RefusalReason.DEADLINE_EXCEEDED))
    }

    private fun write(): PermitActions? = attempt.beginWrite(now, now - 20.milliseconds, 200.milliseconds)

    private fun outcomeOf(actions: PermitActions): RequestOutcome? =
        (actions.decision as? PermitDecision.Refuse)?.outcome
}
