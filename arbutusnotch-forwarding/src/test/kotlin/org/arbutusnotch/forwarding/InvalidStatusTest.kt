/*
 * Answers whose status line has no valid final status or an invalid reason.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.instanceBehindPeers
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

class InvalidStatusTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val arrivals = CopyOnWriteArrayList<String>()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun server(script: AnswerWriter.() -> Unit) = ScriptedServer(script = script).also { resources += it }

    /** Answers with [status] and leaves the connection open, so that only the status shows the fault. */
    private fun AnswerWriter.invalid(status: String) {
        answer(status = "$status Odd", body = "id: 1\ndata: odd\n\n")
        awaitClose(OPEN_MILLIS)
    }

    /** Starts two servers; the first one to get a request answers with [status], the other one runs [second]. */
    private fun instance(
        status: String,
        stage: ServerStage = ServerStage.WHOLE,
        second: AnswerWriter.() -> Unit = {},
    ): InstanceFixture {
        val servers = (1..2).map { index ->
            val server = server {
                arrivals += request.target
                if (arrivals.size == 1) invalid(status) else second()
            }
            testServer("s$index", server.address, stage)
        }
        return InstanceFixture(testRoutes(objective = 2.seconds), servers).also { resources += it }
    }

    /** Guards against a status that no caller can read, and against a call that waits for its deadline. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "000", "099", "20", "100", "101", "102", "199", "600", "999", "2000", "0200", "+200", "-200", "2e2", "abc",
        ],
    )
    fun `call with an invalid status fails at once`(status: String) {
        val answer = instance(status).call("/once/x", "r1")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals.size).isEqualTo(1)
    }

    /** Guards against a status line that its caller cannot accept. */
    @ParameterizedTest
    @ValueSource(ints = [0x00, 0x01, 0x0b, 0x0d, 0x1b, 0x7f])
    fun `call with a control byte in the reason fails at once`(byte: Int) {
        val answer = instance("200 A${byte.toChar()}B").call("/once/x", "r1")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals.size).isEqualTo(1)
    }

    /** Guards against valid answers that fail because of their reason. */
    @ParameterizedTest
    @ValueSource(strings = ["200", "200 ", "200 Tab\tand blank", "200 \u00e9"])
    fun `answer with any other reason is forwarded`(status: String) {
        val server = server { answer(status = status, body = "whole") }
        val fixture = InstanceFixture(testRoutes(), listOf(testServer("s", server.address))).also { resources += it }
        expectThat(fixture.call("/once/x", "r1")?.body).isEqualTo("whole")
    }

    /** Guards against an idempotent call that no other server repeats. */
    @ParameterizedTest
    @ValueSource(strings = ["000", "101", "600", "+200"])
    fun `idempotent call with an invalid status is repeated`(status: String) {
        val answer = instance(status, second = { answer(body = "whole") }).call("/safe/x", "r1")
        expectThat(answer?.status).isEqualTo(200)
        expectThat(answer?.body).isEqualTo("whole")
    }

    @ParameterizedTest
    @ValueSource(strings = ["000", "099", "101", "199", "600", "2000", "+200", "abc"])
    fun `stream with an invalid status fails at once`(status: String) {
        val answer = instance(status, ServerStage.DECODE).call("/stream/x", "r1", "tokens: 100,10\r\n")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals.size).isEqualTo(1)
    }

    /** Guards against a resumable generation that no other server runs. */
    @ParameterizedTest
    @ValueSource(strings = ["000", "101", "600", "+200"])
    fun `resumable stream with an invalid status runs elsewhere`(status: String) {
        val instance = instance(status, ServerStage.DECODE) { streamOfOneEvent() }
        val answer = instance.call("/resumable/x", "r1", "tokens: 100,10\r\n")
        expectThat(answer?.body).isEqualTo("id: 1\ndata: token 1\n\n")
    }

    /** Guards against a prefill that is waited for until its timeout, or whose handle is used. */
    @ParameterizedTest
    @ValueSource(strings = ["000", "101", "600", "2000", "+200"])
    fun `prefill with an invalid status fails at once`(status: String) {
        val prefill = server {
            answer(status = "$status Odd", body = "handle-1")
            awaitClose(OPEN_MILLIS)
        }
        val decode = server { streamOfOneEvent() }
        val servers = listOf(
            testServer("p", prefill.address, ServerStage.PREFILL),
            testServer("d", decode.address, ServerStage.DECODE),
        )
        val fixture = InstanceFixture(testRoutes(objective = 2.seconds), servers).also { resources += it }
        // Waiting for the timeout of a prefill of this size, 1.6 s, would exceed the deadline.
        val answer = fixture.call("/stream/x", "r1", "tokens: 10000,10\r\nwait: 1500\r\n")
        expectThat(answer?.body).isEqualTo("id: 1\ndata: token 1\n\n")
        expectThat(prefill.requests.firstOrNull()).isNotNull()
        expectThat(decode.requests.single().header("memory")).isNull()
    }

    /** Guards against an invalid status that reaches the caller by way of another instance. */
    @ParameterizedTest
    @ValueSource(strings = ["000", "101", "600", "+200"])
    fun `invalid status does not pass through a peer`(status: String) {
        val server = server { if (request.header("id") == "odd") invalid(status) else answer(body = "id: 1\n\n") }
        val instance = instanceBehindPeers(server, testRoutes(objective = 2.seconds), "safe", resources)
        val answer = instance.call("/once/x", "odd")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(server.requests.map { it.header("id") }).contains("odd")
    }

    /** Guards against interim responses that end a call. */
    @Test
    fun `answer after interim responses is forwarded`() {
        val server = server {
            write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
            answer(body = "whole")
        }
        val fixture = InstanceFixture(testRoutes(), listOf(testServer("s", server.address))).also { resources += it }
        expectThat(fixture.call("/once/x", "r1")?.body).isEqualTo("whole")
    }

    private companion object {
        const val OPEN_MILLIS = 6_000
    }
}
