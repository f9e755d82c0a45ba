/*
 * Answers that have neither a length nor chunks, so that the end of a sound answer and a crash look the same at first.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

class UnframedAnswerTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val arrivals = CopyOnWriteArrayList<ScriptedServer>()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    /** How a server ends its connection; the process of one that [terminates] stops listening 100 ms later. */
    private enum class End(val terminates: Boolean, val write: AnswerWriter.() -> Unit) {
        RESET(terminates = false, { reset() }),
        CLOSE(terminates = false, { close() }),
        CRASH(terminates = true, { close() }),
    }

    /** Starts two servers; the first one to get a request writes [text] and ends, the other one writes [second]. */
    private fun answerOf(
        route: String,
        text: AnswerWriter.() -> String,
        end: End,
        second: AnswerWriter.() -> Unit = {},
    ): ReceivedResponse? {
        val stage = if (route in CALLS) ServerStage.WHOLE else ServerStage.DECODE
        val servers = (1..2).map { index ->
            lateinit var server: ScriptedServer
            server = ScriptedServer {
                arrivals += server
                if (arrivals.size == 1) {
                    write(text())
                    // Separates the text from a reset, which discards what the receiver has not read yet.
                    Thread.sleep(TRANSFER_MILLIS)
                    end.write(this)
                    if (end.terminates) {
                        Thread.sleep(TERMINATION_MILLIS)
                        server.stopListening()
                    }
                } else {
                    second()
                }
            }
            resources += server
            testServer("s$index", server.address, stage)
        }
        val fixture = InstanceFixture(testRoutes(objective = 2.seconds), servers).also { resources += it }
        return fixture.call("/$route/x", "r1", headers = "tokens: 100,10\r\n")
    }

    private fun AnswerWriter.head() = "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nseal: s\r\n\r\n"

    private fun AnswerWriter.textUntil(position: String): String = when (position) {
        "inside the head" -> head().dropLast(3)
        "before the first event" -> head()
        "inside an event" -> head() + eventText(1..2) + "id: 3\ndata: tok"
        "after an id line" -> head() + eventText(1..2) + "id: 3\n"
        "after the fields of an event" -> head() + eventText(1..2) + "id: 3\ndata: token 3\n"
        "inside an event with CR LF" -> head() + eventText(1..2).replace("\n", "\r\n") + "id: 3\r\ndata: token 3\r\n"
        "inside a comment" -> head() + eventText(1..2) + ": keep-al"
        "between events" -> head() + eventText(1..2)
        else -> error("unknown position $position")
    }

    private fun AnswerWriter.events(range: IntRange) {
        streamHead()
        range.forEach { event(it) }
        endOfStream()
    }

    private fun eventText(range: IntRange) = range.joinToString("") { "id: $it\ndata: token $it\n\n" }

    /** Guards against a stream that its server broke off and whose caller takes it as complete. */
    @ParameterizedTest
    @CsvSource(
        "inside the head, RESET",
        "inside the head, CLOSE",
        "inside the head, CRASH",
        "before the first event, RESET",
        "before the first event, CLOSE",
        "before the first event, CRASH",
        "inside an event, RESET",
        "inside an event, CLOSE",
        "inside an event, CRASH",
        "after an id line, CLOSE",
        "after the fields of an event, CLOSE",
        "inside an event with CR LF, CLOSE",
        "inside a comment, CLOSE",
        "between events, RESET",
    )
    fun `stream that its server broke off does not end as complete`(position: String, end: String) {
        val answer = answerOf("stream", { textUntil(position) }, End.valueOf(end))
        expectThat(answer?.status == 200 && answer.complete).isFalse()
        expectThat(arrivals).hasSize(1)
    }

    /** Guards against a broken stream that no other server continues. */
    @ParameterizedTest
    @CsvSource(
        "before the first event, CRASH, 1",
        "inside an event, CRASH, 3",
        "inside an event with CR LF, CLOSE, 3",
        "inside a comment, CLOSE, 3",
        "between events, RESET, 3",
    )
    fun `resumable stream that its server broke off is resumed`(position: String, end: String, next: Int) {
        val answer = answerOf("resumable", { textUntil(position) }, End.valueOf(end)) { events(next..4) }
        expectThat(answer?.body.orEmpty().replace("\r\n", "\n")).isEqualTo(eventText(1..4))
        expectThat(answer?.complete ?: false).isTrue()
    }

    /** Guards against a stream that looks complete because a crashing server still accepts connections for a moment. */
    @Test
    fun `stream that ends between two events does not end as complete if its server crashes`() {
        val answer = answerOf("stream", { textUntil("between events") }, End.CRASH)
        expectThat(answer?.status == 200 && answer.complete).isFalse()
        expectThat(arrivals).hasSize(1)
    }

    /** Guards against such a stream that no other server continues. */
    @Test
    fun `resumable stream that ends between two events is resumed if its server crashes`() {
        val answer = answerOf("resumable", { textUntil("between events") }, End.CRASH) { events(3..4) }
        expectThat(answer?.body).isEqualTo(eventText(1..4))
        expectThat(answer?.complete ?: false).isTrue()
    }

    @Test
    fun `call whose connection is reset is not answered`() {
        val answer = answerOf("once", { head() + "half" }, End.RESET)
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals).hasSize(1)
    }

    /** Guards against a call whose answer a crash has cut short and whose caller takes it as the whole answer. */
    @Test
    fun `call is not answered if its server crashes`() {
        val answer = answerOf("once", { head() + "half" }, End.CRASH)
        expectThat(answer?.status).isEqualTo(502)
        expectThat(arrivals).hasSize(1)
    }

    /** Guards against such an idempotent call that no other server repeats. */
    @Test
    fun `idempotent call is repeated if its server crashes`() {
        val answer = answerOf("safe", { head() + "half" }, End.CRASH) { answer(body = "whole") }
        expectThat(answer?.body).isEqualTo("whole")
    }

    @ParameterizedTest
    @ValueSource(strings = ["stream", "resumable"])
    fun `stream whose server keeps running is complete`(route: String) {
        val answer = answerOf(route, { textUntil("between events") }, End.CLOSE)
        expectThat(answer?.body).isEqualTo(eventText(1..2))
        expectThat(answer?.complete ?: false).isTrue()
        expectThat(arrivals).hasSize(1)
    }

    /** Guards against a comment, which is no event, that makes a whole stream count as broken off or gets lost. */
    @ParameterizedTest
    @ValueSource(strings = ["stream", "resumable"])
    fun `stream that ends with a comment is complete`(route: String) {
        val text = eventText(1..2) + ": end\n"
        val answer = answerOf(route, { head() + text }, End.CLOSE)
        expectThat(answer?.body).isEqualTo(text)
        expectThat(answer?.complete ?: false).isTrue()
    }

    private companion object {
        val CALLS = setOf("safe", "once")
        const val TRANSFER_MILLIS = 30L
        const val TERMINATION_MILLIS = 100L
    }
}
