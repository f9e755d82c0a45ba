/*
 * Servers that answer a long upload before they have read it, and then reset the connection or read on.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.CallerLimits
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.instanceBehindPeers
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEmpty
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

class EarlyAnswerTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val arrivals = CopyOnWriteArrayList<ScriptedServer>()

    private val routes = testRoutes(
        objective = 2.seconds,
        limits = CallerLimits(4_096, bodyBytes = 4_000_000, headTimeout = 1.seconds, idleTimeout = 9.seconds),
    )

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun earlyServer(script: AnswerWriter.() -> Unit) =
        ScriptedServer(readsBody = false, script = script).also { resources += it }

    /** Starts two servers that read the head of a request; the first to get one runs [first], the other [second]. */
    private fun answerOf(
        route: String,
        uploadBytes: Int,
        second: AnswerWriter.() -> Unit = {},
        first: AnswerWriter.() -> Unit,
    ): ReceivedResponse? {
        val stage = if (route in CALLS) ServerStage.WHOLE else ServerStage.DECODE
        val servers = (1..2).map { index ->
            lateinit var server: ScriptedServer
            server = earlyServer {
                arrivals += server
                if (arrivals.size == 1) {
                    first()
                } else {
                    readBody()
                    second()
                }
            }
            testServer("s$index", server.address, stage)
        }
        val fixture = InstanceFixture(routes, servers).also { resources += it }
        return fixture.call("/$route/x", "r1", headers = "tokens: 100,10\r\n", body = "x".repeat(uploadBytes))
    }

    private fun eventText(range: IntRange) = range.joinToString("") { "id: $it\ndata: token $it\n\n" }

    /** Writes the beginning of an answer without a length, ends it and resets the connection a moment later. */
    private fun AnswerWriter.breakOff(text: String) {
        unframedHead()
        write(text)
        endOutput()
        Thread.sleep(RESET_MILLIS)
        reset()
    }

    /** Guards against a part of an answer that reaches the caller as a whole one, for any size of the upload. */
    @ParameterizedTest
    @ValueSource(ints = [SHORT_UPLOAD, LONG_UPLOAD])
    fun `call whose server resets the connection during the upload is not answered`(uploadBytes: Int) {
        val answer = answerOf("once", uploadBytes) { breakOff("half") }
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals).hasSize(1)
    }

    /** Guards against such an idempotent call that no other server repeats. */
    @ParameterizedTest
    @ValueSource(ints = [SHORT_UPLOAD, LONG_UPLOAD])
    fun `idempotent call whose server resets the connection is repeated`(uploadBytes: Int) {
        val answer = answerOf("safe", uploadBytes, second = { answer(body = "whole") }) { breakOff("half") }
        expectThat(answer?.body).isEqualTo("whole")
    }

    /** Guards against a stream that its server broke off during the upload and whose caller takes it as complete. */
    @ParameterizedTest
    @ValueSource(ints = [SHORT_UPLOAD, LONG_UPLOAD])
    fun `stream whose server resets the connection does not end as complete`(uploadBytes: Int) {
        val answer = answerOf("stream", uploadBytes) { breakOff(eventText(1..2)) }
        expectThat(answer?.status == 200 && answer.complete).isFalse()
        expectThat(arrivals).hasSize(1)
    }

    /** Guards against such a stream that no other server continues. */
    @ParameterizedTest
    @ValueSource(ints = [SHORT_UPLOAD, LONG_UPLOAD])
    fun `resumable stream whose server resets the connection is resumed`(uploadBytes: Int) {
        val rest: AnswerWriter.() -> Unit = {
            streamHead()
            (3..4).forEach { event(it) }
            endOfStream()
        }
        val answer = answerOf("resumable", uploadBytes, second = rest) { breakOff(eventText(1..2)) }
        expectThat(answer?.body).isEqualTo(eventText(1..4))
        expectThat(answer?.complete ?: false).isTrue()
    }

    /** Guards against a decode run with a handle that a broken prefill answer has cut short. */
    @ParameterizedTest
    @ValueSource(ints = [SHORT_UPLOAD, LONG_UPLOAD])
    fun `prefill whose server resets the connection is not used`(uploadBytes: Int) {
        val prefill = earlyServer { breakOff("handle-") }
        val decode = earlyServer {
            readBody()
            streamHead()
            event(1)
            endOfStream()
        }
        val servers = listOf(
            testServer("p", prefill.address, ServerStage.PREFILL),
            testServer("d", decode.address, ServerStage.DECODE),
        )
        val fixture = InstanceFixture(routes, servers).also { resources += it }
        val answer = fixture.call("/stream/x", "r1", "tokens: 10000,10\r\n", "x".repeat(uploadBytes))
        expectThat(answer?.body).isEqualTo(eventText(1..1))
        expectThat(prefill.requests).isNotEmpty()
        expectThat(decode.requests.map { it.header("memory") }).all { isNull() }
    }

    /** Guards against a part of an answer that reaches the caller by way of another instance. */
    @ParameterizedTest
    @CsvSource("once, $SHORT_UPLOAD", "once, $LONG_UPLOAD", "stream, $SHORT_UPLOAD", "stream, $LONG_UPLOAD")
    fun `part of an answer does not reach the caller through a peer`(route: String, uploadBytes: Int) {
        val server = earlyServer {
            if (request.header("id") == "broken") breakOff(eventText(1..2)) else answer(body = eventText(1..1))
        }
        val instance = instanceBehindPeers(server, routes, if (route in CALLS) "safe" else route, resources)
        val answer = instance.call("/$route/x", "broken", "tokens: 100,10\r\n", "x".repeat(uploadBytes))
        expectThat(answer?.status == 200 && answer.complete).isFalse()
        expectThat(server.requests.filter { it.header("id") == "broken" }).hasSize(1)
    }

    /** Guards against answers that fail because their servers send them before they have read the request. */
    @ParameterizedTest
    @CsvSource(
        "once, length, $SHORT_UPLOAD",
        "once, length, $LONG_UPLOAD",
        "once, chunks, $SHORT_UPLOAD",
        "once, chunks, $LONG_UPLOAD",
        "once, close, $SHORT_UPLOAD",
        "once, close, $LONG_UPLOAD",
        "stream, chunks, $LONG_UPLOAD",
        "stream, close, $LONG_UPLOAD",
    )
    fun `answer of a server that reads the upload later is complete`(route: String, framing: String, uploadBytes: Int) {
        val text = eventText(1..2)
        val answer = answerOf(route, uploadBytes) {
            when (framing) {
                "length" -> answer(body = text)

                "chunks" -> {
                    streamHead()
                    chunk(text)
                    endOfStream()
                }

                else -> {
                    unframedHead()
                    write(text)
                }
            }
            Thread.sleep(READ_DELAY_MILLIS)
            readBody()
            close()
        }
        expectThat(answer?.status).isEqualTo(200)
        expectThat(answer?.body).isEqualTo(text)
        expectThat(answer?.complete ?: false).isTrue()
        expectThat(arrivals).hasSize(1)
    }

    /** Guards against a complete answer that counts as broken because its server ends its side of the connection. */
    @Test
    fun `answer of a server that reads the request after the end of its answer is complete`() {
        val answer = answerOf("once", SHORT_UPLOAD) {
            unframedHead()
            write("whole")
            endOutput()
            Thread.sleep(READ_DELAY_MILLIS)
            readBody()
            close()
        }
        expectThat(answer?.status).isEqualTo(200)
        expectThat(answer?.body).isEqualTo("whole")
    }

    private companion object {
        val CALLS = setOf("safe", "once")

        /** Upload in bytes that fits the buffers of a connection. */
        const val SHORT_UPLOAD = 99_000

        /** Upload in bytes that does not fit the buffers of a connection. */
        const val LONG_UPLOAD = 3_000_000
        const val RESET_MILLIS = 50L
        const val READ_DELAY_MILLIS = 100L
    }
}
