/*
 * Answers whose head has a line that is no header field, such as one with a blank in the name.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.instanceBehindPeers
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

class InvalidFieldTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val arrivals = CopyOnWriteArrayList<String>()
    private val routes = testRoutes(objective = 2.seconds)

    /** A line of a head that is no header field. */
    enum class InvalidLine(val text: String) {
        BLANK_IN_NAME("x y: v"),
        BLANK_AFTER_NAME("x : v"),
        TAB_IN_NAME("x\ty: v"),
        TAB_AFTER_NAME("x\t: v"),
        BLANK_WITHOUT_COLON("x y"),
        NO_COLON("x"),
        NO_NAME(": v"),
        BLANK_BEFORE_NAME(" x: v"),
        TAB_BEFORE_NAME("\tx: v"),
        LENGTH_WITH_BLANK("Content-Length x: 2"),
        LENGTH_BEFORE_BLANK("Content-Length : 2"),
        LENGTH_BEFORE_TAB("Content-Length\t: 2"),
        LENGTH_AFTER_BLANK(" Content-Length: 2"),
        CODING_WITH_BLANK("Transfer-Encoding x: chunked"),
        CODING_BEFORE_BLANK("Transfer-Encoding : chunked"),
        CONNECTION_WITH_BLANK("Connection x: seal"),
        ID_WITH_BLANK("id x: other"),
        NOT_RUN_WITH_BLANK("not-run x: 1"),
        NOT_RUN_BEFORE_BLANK("not-run : 1"),
        ZERO_IN_NAME("x\u0000y: v"),
        CONTROL_BEFORE_NAME("\u0001x: v"),
        CONTROL_IN_NAME("x\u000by: v"),
        CONTROL_AFTER_NAME("x\u001c: v"),
        CARRIAGE_RETURN_IN_NAME("x\ry: v"),
        DELETE_IN_NAME("x\u007fy: v"),
        HIGH_BYTE_IN_NAME("x\u00e9y: v"),
        CONTROL_BEFORE_VALUE("x:\u000bv"),
        CONTROL_IN_VALUE("x: v\u0001w"),
        CONTROL_AFTER_VALUE("x: v\u001c"),
        LENGTH_AFTER_CONTROL("Content-Length:\u000b2"),
        LENGTH_BEFORE_CONTROL("Content-Length: 2\u001c"),
    }

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun server(script: AnswerWriter.() -> Unit) = ScriptedServer(script = script).also { resources += it }

    /** Answers with [line] in the head and leaves the connection open, so that only the line shows the fault. */
    private fun AnswerWriter.invalid(line: InvalidLine, body: String = EVENT) {
        answer(headers = "${line.text}\r\n", body = body)
        awaitClose(OPEN_MILLIS)
    }

    /** Answers with [line] in a head after which only the end of the connection marks the end of [body]. */
    private fun AnswerWriter.invalidUnframed(line: InvalidLine, body: String) {
        write("HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nseal: s\r\n${line.text}\r\n\r\n$body")
        endOutput()
        awaitClose(OPEN_MILLIS)
    }

    /** Starts two servers; the first one to get a request runs [first], the other one [second]. */
    private fun instance(
        stage: ServerStage = ServerStage.WHOLE,
        second: AnswerWriter.() -> Unit = {},
        first: AnswerWriter.() -> Unit,
    ): InstanceFixture {
        val servers = (1..2).map { index ->
            val server = server {
                arrivals += request.target
                if (arrivals.size == 1) first() else second()
            }
            testServer("s$index", server.address, stage)
        }
        return InstanceFixture(routes, servers).also { resources += it }
    }

    private fun InstanceFixture.callStream(route: String): ReceivedResponse? =
        call("/$route/x", "r1", "tokens: 100,10\r\n")

    /** Guards against a line that reaches the caller, and against "not run" that the server did not say. */
    @ParameterizedTest
    @EnumSource
    fun `call with an invalid line fails at once`(line: InvalidLine) {
        val answer = instance { invalid(line) }.call("/once/x", "r1")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(answer?.header("x-outcome")).isEqualTo("unknown")
        expectThat(arrivals.size).isEqualTo(1)
    }

    /** Guards against a body that is cut or decoded as a line says that frames nothing. */
    @ParameterizedTest
    @EnumSource
    fun `call without a length and with an invalid line fails at once`(line: InvalidLine) {
        val answer = instance { invalidUnframed(line, body = "5\r\nwhole\r\n0\r\n\r\n") }.call("/once/x", "r1")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals.size).isEqualTo(1)
    }

    /** Guards against an idempotent call that no other server repeats. */
    @ParameterizedTest
    @EnumSource
    fun `idempotent call with an invalid line is repeated`(line: InvalidLine) {
        val answer = instance(second = { answer(body = "whole") }) { invalid(line) }.call("/safe/x", "r1")
        expectThat(answer?.status).isEqualTo(200)
        expectThat(answer?.body).isEqualTo("whole")
    }

    @ParameterizedTest
    @EnumSource
    fun `stream with an invalid line fails at once`(line: InvalidLine) {
        val answer = instance(ServerStage.DECODE) { invalid(line) }.callStream("stream")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals.size).isEqualTo(1)
    }

    /** Guards against a stream that is decoded as a line says that frames nothing. */
    @ParameterizedTest
    @EnumSource
    fun `stream without a length and with an invalid line fails at once`(line: InvalidLine) {
        val body = "${Integer.toHexString(EVENT.length)}\r\n$EVENT\r\n0\r\n\r\n"
        val answer = instance(ServerStage.DECODE) { invalidUnframed(line, body) }.callStream("stream")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals.size).isEqualTo(1)
    }

    /** Guards against a resumable generation that no other server runs. */
    @ParameterizedTest
    @EnumSource
    fun `resumable stream with an invalid line runs elsewhere`(line: InvalidLine) {
        val instance = instance(ServerStage.DECODE, second = { streamOfOneEvent() }) { invalid(line, ODD_EVENT) }
        val answer = instance.callStream("resumable")
        expectThat(answer?.body).isEqualTo(EVENT)
    }

    /** Guards against a decode run with a handle of such an answer. */
    @ParameterizedTest
    @EnumSource
    fun `handle of a prefill with an invalid line is not used`(line: InvalidLine) {
        val prefill = server { invalid(line, body = "handle-1") }
        val decode = server { streamOfOneEvent() }
        val servers = listOf(
            testServer("p", prefill.address, ServerStage.PREFILL),
            testServer("d", decode.address, ServerStage.DECODE),
        )
        val fixture = InstanceFixture(routes, servers).also { resources += it }
        // Waiting for the timeout of a prefill of this size, 1.6 s, would exceed the deadline.
        val answer = fixture.call("/stream/x", "r1", "tokens: 10000,10\r\nwait: 1500\r\n")
        expectThat(answer?.body).isEqualTo(EVENT)
        expectThat(prefill.requests).isNotEmpty()
        expectThat(decode.requests.single().header("memory")).isNull()
    }

    /** Guards against such an answer that reaches the caller by way of another instance. */
    @ParameterizedTest
    @CsvSource("once, BLANK_IN_NAME", "once, NOT_RUN_WITH_BLANK", "once, BLANK_BEFORE_NAME", "stream, TAB_IN_NAME")
    fun `answer with an invalid line does not pass through a peer`(route: String, line: InvalidLine) {
        val server = server { if (request.header("id") == "odd") invalid(line) else answer(body = EVENT) }
        val instance = instanceBehindPeers(server, routes, if (route == "once") "safe" else route, resources)
        val answer = instance.call("/$route/x", "odd", "tokens: 100,10\r\n")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(server.requests.map { it.header("id") }).contains("odd")
    }

    /** Guards against a server that is excluded or limited because of an answer that cannot be trusted. */
    @ParameterizedTest
    @ValueSource(strings = ["leaving", "pause", "limit"])
    fun `announcement beside an invalid line has no effect`(name: String) {
        val server = server {
            if (request.header("id") == "odd") {
                answer(status = "503 Busy", headers = "not-run: 1\r\n$name: 100000\r\n$name x: 1\r\n")
            } else {
                answer(body = "whole")
            }
        }
        val instance = InstanceFixture(routes, listOf(testServer("s", server.address))).also { resources += it }
        expectThat(instance.call("/once/x", "odd")?.status).isEqualTo(502)
        var number = 0
        awaitUntil("the server is used again") {
            number += 1
            instance.call("/once/x", "r$number")?.body == "whole"
        }
    }

    /** Guards against a store whose answers are used although their framing cannot be trusted. */
    @Test
    fun `routes in force stay while answers of the store have an invalid line`() {
        val server = server { answer(body = "whole") }
        val instance = InstanceFixture(routes, listOf(testServer("s", server.address))).also { resources += it }
        val withoutSafeRoute =
            RouteTable(RevisionNumber(2), routes.routes.drop(1), pools = routes.pools, limits = routes.limits)
        instance.store.additionalField = "odd name"
        instance.store.cutWatches()
        instance.store.put("routes/table", withoutSafeRoute)
        val callsBefore = instance.store.calls
        awaitUntil("the store was asked again") { instance.store.calls > callsBefore + STORE_CALLS }
        expectThat(instance.call("/safe/x", "r1")?.body).isEqualTo("whole")
        instance.store.additionalField = null
        awaitUntil("the new routes are in force") { instance.call("/safe/x", "r2")?.status == 404 }
        expectThat(instance.call("/once/x", "r3")?.body).isEqualTo("whole")
    }

    /** Guards against bytes of a broken answer in the head of the failure that reports it. */
    @ParameterizedTest
    @EnumSource
    fun `failure is reported without the bytes that are not allowed in a field`(line: InvalidLine) {
        val answer = instance { invalid(line) }.call("/once/x", "r1")
        expectThat(answer?.header("x-refusal-reason").orEmpty().toList()).isNotEmpty().all { isIn(' '..'~') }
    }

    /** Guards against a failure whose head no caller accepts, since it quotes a name of any length. */
    @Test
    fun `failure is reported without the whole name of a field`() {
        val answer = instance { answer(headers = "${"x".repeat(LONG_NAME)}\u0001: v\r\n") }.call("/once/x", "r1")
        expectThat(answer?.status).isEqualTo(502)
        expectThat(answer?.headers.orEmpty().sumOf { (name, value) -> name.length + value.length }).isLessThan(1_000)
    }

    private companion object {
        const val LONG_NAME = 30_000
        const val OPEN_MILLIS = 6_000
        const val EVENT = "id: 1\ndata: token 1\n\n"
        const val ODD_EVENT = "id: 1\ndata: odd\n\n"
        const val STORE_CALLS = 3
    }
}
