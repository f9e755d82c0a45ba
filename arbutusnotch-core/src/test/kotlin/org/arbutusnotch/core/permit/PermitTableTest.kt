/*
 * Guards against a second permit for a token whose request may have run, in each way in which it could be granted.
 */
package org.arbutusnotch.core.permit

import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.message.PermitClose
import org.arbutusnotch.core.message.PermitDenial
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.PermitResult
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.message.TokenKey
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.token.IdempotencyToken
import org.arbutusnotch.core.token.IssuerPrefix
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.isSameInstanceAs
import kotlin.time.Duration.Companion.seconds

internal class PermitTableTest {
    private val issuer = InstanceId(InstanceAddress("10.0.0.1:7000"), Incarnation(5))
    private val holder = InstanceId(InstanceAddress("10.0.0.2:7000"), Incarnation(1))
    private val table = PermitTable(issuer, capacity = 2, answerByteLimit = 4, maximumTokenLifetime = 60.seconds)
    private val start = Timestamp(100_000)
    private val answer = RecordedAnswer(200, "text/plain", byteArrayOf(1, 2))

    @Test
    fun `a second request waits while the first one runs`() {
        expectThat(request("a", attempt = 1)).isEqualTo(PermitReply.Granted(1, start + 5.seconds))
        expectThat(request("a", attempt = 2)).isEqualTo(PermitReply.Running(start + 5.seconds))
        expectThat(table.outstandingPermitCount).isEqualTo(1)
    }

    @Test
    fun `a duplicate request of the holder's attempt gets the same permit`() {
        request("a", attempt = 1)
        expectThat(request("a", attempt = 1)).isEqualTo(PermitReply.Granted(1, start + 5.seconds))
    }

    @Test
    fun `a second request receives the recorded answer`() {
        request("a", attempt = 1)
        close("a", permit = 1, PermitResult.Answered(answer))
        val reply = request("a", attempt = 2) as PermitReply.Answered
        expectThat(reply.answer).isSameInstanceAs(answer)
    }

    @Test
    fun `a returned permit is granted again under a new number`() {
        request("a", attempt = 1)
        close("a", permit = 1, PermitResult.HandedBack)
        expectThat(request("a", attempt = 2)).isEqualTo(PermitReply.Granted(2, start + 5.seconds))
    }

    @Test
    fun `a duplicate return of an old permit does not close a newer one`() {
        request("a", attempt = 1)
        close("a", permit = 1, PermitResult.HandedBack)
        request("a", attempt = 2)
        close("a", permit = 1, PermitResult.HandedBack)
        expectThat(request("a", attempt = 3)).isEqualTo(PermitReply.Running(start + 5.seconds))
    }

    @Test
    fun `a permit past its deadline has an unknown outcome and is not granted again`() {
        request("a", attempt = 1)
        expectThat(request("a", attempt = 2, now = start + 5.seconds)).isEqualTo(denied(PermitDenial.OUTCOME_UNKNOWN))
        expectThat(table.outstandingPermitCount).isEqualTo(0)
    }

    @Test
    fun `a holder's report is accepted after the deadline`() {
        request("a", attempt = 1)
        table.tick(start + 6.seconds)
        close("a", permit = 1, PermitResult.Answered(answer), start + 6.seconds)
        val reply = request("a", attempt = 2, now = start + 7.seconds) as PermitReply.Answered
        expectThat(reply.answer).isSameInstanceAs(answer)
    }

    @Test
    fun `a permit reported as unknown cannot be returned`() {
        request("a", attempt = 1)
        close("a", permit = 1, PermitResult.Unknown)
        close("a", permit = 1, PermitResult.HandedBack)
        expectThat(request("a", attempt = 2)).isEqualTo(denied(PermitDenial.OUTCOME_UNKNOWN))
    }

    @Test
    fun `an answered permit cannot be returned`() {
        request("a", attempt = 1)
        close("a", permit = 1, PermitResult.Answered(answer))
        close("a", permit = 1, PermitResult.HandedBack)
        expectThat((request("a", attempt = 2) as PermitReply.Answered).answer).isSameInstanceAs(answer)
    }

    @Test
    fun `an answer above the size limit is not retained and its request does not run again`() {
        request("a", attempt = 1)
        close("a", permit = 1, PermitResult.Answered(RecordedAnswer(200, "text/plain", ByteArray(5))))
        expectThat(request("a", attempt = 2)).isEqualTo(denied(PermitDenial.ANSWER_NOT_RETAINED))
    }

    @Test
    fun `a token of an earlier incarnation gets no permit`() {
        val other = IssuerPrefix(issuer.copy(incarnation = Incarnation(4)), start + 30.seconds, "r")
        expectThat(request("a", attempt = 1, prefix = other)).isEqualTo(denied(PermitDenial.OTHER_ISSUER))
    }

    @Test
    fun `an expired token gets no permit`() {
        request("a", attempt = 1)
        expectThat(request("a", attempt = 2, now = start + 30.seconds)).isEqualTo(denied(PermitDenial.EXPIRED))
    }

    @Test
    fun `a token gets no permit when its expiry is too far in the future`() {
        val farExpiry = IssuerPrefix(issuer, start + 61.seconds, "r")
        expectThat(request("a", attempt = 1, prefix = farExpiry)).isEqualTo(denied(PermitDenial.LIFETIME_TOO_LONG))
    }

    @Test
    fun `a malformed token gets no permit`() {
        val key = TokenKey(ClientId("client"), WorkspaceId("workspace"), "n1_broken")
        expectThat(table.request(requestOf(key, 1, start, "body"), start)).isEqualTo(denied(PermitDenial.MALFORMED))
    }

    @Test
    fun `a full table refuses new tokens and still serves known ones`() {
        request("a", attempt = 1)
        request("b", attempt = 2)
        expectThat(request("c", attempt = 3)).isEqualTo(denied(PermitDenial.TABLE_FULL))
        expectThat(request("a", attempt = 4)).isEqualTo(PermitReply.Running(start + 5.seconds))
        expectThat(table.recordCount).isEqualTo(2)
    }

    @Test
    fun `an expired record frees capacity in a full table`() {
        request("a", attempt = 1, prefix = IssuerPrefix(issuer, start + 1.seconds, "r"))
        request("b", attempt = 2)
        val reply = request("c", attempt = 3, now = start + 1.seconds)
        expectThat(reply).isEqualTo(PermitReply.Granted(3, start + 6.seconds))
    }

    @Test
    fun `a token is refused when the request body differs`() {
        request("a", attempt = 1)
        expectThat(request("a", attempt = 2, digest = "other")).isEqualTo(denied(PermitDenial.REQUEST_DIFFERS))
    }

    @Test
    fun `the same token in another workspace is a separate request`() {
        request("a", attempt = 1)
        expectThat(request("a", attempt = 2, workspace = "other")).isEqualTo(PermitReply.Granted(2, start + 5.seconds))
    }

    @Test
    fun `a clock that steps back does not revive an expired token`() {
        request("a", attempt = 1)
        table.tick(start + 30.seconds)
        expectThat(request("a", attempt = 2, now = start)).isEqualTo(denied(PermitDenial.EXPIRED))
    }

    @Test
    fun `a permit whose deadline has passed is not granted`() {
        val request = requestOf(key("a"), 1, start - 5.seconds, "body")
        expectThat(table.request(request, start)).isEqualTo(denied(PermitDenial.DEADLINE_PASSED))
        expectThat(table.recordCount).isEqualTo(0)
    }

    @Test
    fun `the deadline of a permit is not later than the token's expiry`() {
        val reply = request("a", attempt = 1, prefix = IssuerPrefix(issuer, start + 2.seconds, "r"))
        expectThat(reply).isEqualTo(PermitReply.Granted(1, start + 2.seconds))
    }

    @Test
    fun `the table reports its records and their latest expiry to a drain`() {
        expectThat(table.latestExpiry).isNull()
        request("a", attempt = 1)
        request("b", attempt = 2, prefix = IssuerPrefix(issuer, start + 50.seconds, "r"))
        expectThat(table.latestExpiry).isEqualTo(start + 50.seconds)
        table.tick(start + 50.seconds)
        expectThat(table.recordCount).isEqualTo(0)
        expectThat(table.latestExpiry).isNull()
    }

    private fun request(
        token: String,
        attempt: Int,
        now: Timestamp = start,
        prefix: IssuerPrefix = IssuerPrefix(issuer, start + 30.seconds, "r"),
        digest: String = "body",
        workspace: String = "workspace",
    ): PermitReply = table.request(requestOf(key(token, prefix, workspace), attempt, now, digest), now)

    private fun requestOf(key: TokenKey, attempt: Int, now: Timestamp, digest: String) =
        PermitRequest(key, ContentDigest(digest), holder, AttemptId("$holder/$attempt"), now + 5.seconds)

    private fun close(token: String, permit: Long, result: PermitResult, now: Timestamp = start) {
        table.close(PermitClose(key(token), AttemptId("$holder/1"), permit, result), now)
    }

    private fun key(
        token: String,
        prefix: IssuerPrefix = IssuerPrefix(issuer, start + 30.seconds, "r"),
        workspace: String = "workspace",
    ) = TokenKey(ClientId("client"), WorkspaceId(workspace), IdempotencyToken(prefix, token).format())

    private fun denied(denial: PermitDenial) = PermitReply.Denied(denial)
}
