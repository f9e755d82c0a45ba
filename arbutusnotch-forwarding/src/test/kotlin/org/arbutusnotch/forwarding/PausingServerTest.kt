/*
 * Servers that pause in the middle of their work and then go on with it.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.RawCaller
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class PausingServerTest {
    private val resources = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun server(script: AnswerWriter.() -> Unit) = ScriptedServer(script).also { resources += it }

    private fun engines(vararg decode: ScriptedServer, prefill: ScriptedServer? = null): InstanceFixture {
        val servers = decode.mapIndexed { index, server -> testServer("d$index", server.address, ServerStage.DECODE) } +
            listOfNotNull(prefill?.let { testServer("p", it.address, ServerStage.PREFILL) })
        return InstanceFixture(testRoutes(timeLimit = TIME_LIMIT), servers, shutdownTime = GRACE_TIME)
            .also { resources += it }
    }

    private fun InstanceFixture.streamAsync(route: String): CompletableFuture<ReceivedResponse?> =
        CompletableFuture.supplyAsync { call("/$route/x", "r1", headers = TOKENS) }

    private fun eventText(range: IntRange) = range.joinToString("") { "id: $it\ndata: token $it\n\n" }

    private fun expectEvents(answer: ReceivedResponse?, range: IntRange) {
        expectThat(answer).isNotNull().and {
            get { body }.isEqualTo(eventText(range))
            get { complete }.isTrue()
        }
    }

    private fun AnswerWriter.events(range: IntRange) {
        streamHead()
        range.forEach { event(it) }
        endOfStream()
    }

    /** A server that pauses for [pause] after its first event. */
    private fun pausingServer(pause: Duration) = server {
        streamHead()
        event(1)
        Thread.sleep(pause.inWholeMilliseconds)
        event(2)
        endOfStream()
    }

    /** Guards against a stream that is cut because its server pauses, in a shutdown and out of it. */
    @ParameterizedTest
    @CsvSource("stream,false", "stream,true", "resumable,false", "resumable,true")
    fun `stream whose server pauses is complete`(route: String, stopping: Boolean) {
        val decode = pausingServer(LONG_PAUSE)
        val fixture = engines(decode)
        val answer = fixture.streamAsync(route)
        awaitUntil("the stream has started") { decode.requests.isNotEmpty() }
        if (stopping) fixture.instance.stop()
        expectEvents(answer.get(), 1..2)
    }

    /** Guards against a stream that its server would have answered, given up for a place that is not to be had. */
    @Test
    fun `stream that begins late is complete although no other server is free`() {
        val decode = server {
            Thread.sleep(LATE_START.inWholeMilliseconds)
            events(1..2)
        }
        expectEvents(engines(decode).call("/resumable/x", "r1", headers = TOKENS), 1..2)
    }

    /** Guards against a call that its server would have answered, given up for a place that is not to be had. */
    @Test
    fun `late answer is delivered although no other server is free`() {
        val slow = server {
            Thread.sleep(LATE_START.inWholeMilliseconds)
            answer()
        }
        val fixture = InstanceFixture(servers = listOf(testServer("s", slow.address))).also { resources += it }
        expectThat(fixture.call("/safe/x", "r1")?.status).isEqualTo(200)
    }

    /** Guards against a late answer that is lost because the second server does not run the call. */
    @Test
    fun `late answer is delivered although another server rejects the call`() {
        val slow = server {
            Thread.sleep(LATE_START.inWholeMilliseconds)
            answer(body = "late")
        }
        val full = server { answer(status = "503 Full", headers = "not-run: 1\r\n") }
        val servers = listOf(testServer("a", slow.address), testServer("b", full.address))
        val fixture = InstanceFixture(servers = servers).also { resources += it }
        expectThat(fixture.call("/safe/x", "r1")?.body).isEqualTo("late")
    }

    /** Guards against a stream that is cut at the first bytes after a pause, which hold a part of an event. */
    @ParameterizedTest
    @ValueSource(strings = ["stream", "resumable"])
    fun `stream that goes on with half an event after a pause is complete`(route: String) {
        val decode = server {
            streamHead()
            event(1)
            Thread.sleep(VERY_LONG_PAUSE.inWholeMilliseconds)
            chunk("id: 2\n")
            Thread.sleep(SLOW_HEAD.inWholeMilliseconds)
            chunk("data: token 2\n\n")
            endOfStream()
        }
        expectEvents(engines(decode).call("/$route/x", "r1", headers = TOKENS), 1..2)
    }

    /** Guards against a request that waits for a silent server although another one has become free. */
    @Test
    fun `stream without an answer goes to a server that becomes free later`() {
        val silent = server { awaitClose(READ_MILLIS) }
        val free = server { events(1..2) }
        val fixture = engines(silent)
        val answer = fixture.streamAsync("resumable")
        awaitUntil("the server has the request") { silent.requests.isNotEmpty() }
        Thread.sleep(FREE_LATER.inWholeMilliseconds)
        fixture.store.put("servers/e", testServer("e", free.address, ServerStage.DECODE))
        expectEvents(answer.get(), 1..2)
    }

    /** Guards against a stream that is lost to an answer which does not belong to it. */
    @Test
    fun `stalled stream goes on at its server if another one answers another request`() {
        val answered = CountDownLatch(1)
        val first = server {
            streamHead()
            event(1)
            answered.await(READ_MILLIS.toLong(), TimeUnit.MILLISECONDS)
            Thread.sleep(SLOW_HEAD.inWholeMilliseconds)
            event(2)
            endOfStream()
        }
        val second = server {
            answer(id = "other")
            answered.countDown()
        }
        expectEvents(streamOf(first, second).get(), 1..2)
    }

    /** Starts an instance with [first] and has it start a stream there, then adds [second] to its servers. */
    private fun streamOf(
        first: ScriptedServer,
        second: ScriptedServer,
        prefill: ScriptedServer? = null,
    ): CompletableFuture<ReceivedResponse?> {
        val fixture = engines(first, prefill = prefill)
        val answer = fixture.streamAsync("resumable")
        awaitUntil("the stream has started") { first.requests.isNotEmpty() }
        fixture.store.put("servers/e", testServer("e", second.address, ServerStage.DECODE))
        return answer
    }

    /** Guards against a stalled stream that no other server continues, and against one that two servers run. */
    @Test
    fun `stalled stream goes on at a free server and ends at the first one`() {
        val closedAt = AtomicLong()
        val begunAt = AtomicLong()
        val first = server {
            streamHead()
            event(1)
            awaitClose(READ_MILLIS)
            closedAt.set(System.nanoTime())
        }
        val second = server {
            begunAt.set(System.nanoTime())
            Thread.sleep(SLOW_HEAD.inWholeMilliseconds)
            events(2..3)
        }
        expectEvents(streamOf(first, second).get(), 1..3)
        expectThat(second.requests.single().header("after")).isEqualTo("1")
        awaitUntil("the first server is released") { closedAt.get() != 0L }
        expectThat((closedAt.get() - begunAt.get()).nanoseconds).isLessThan(OVERLAP_LIMIT)
    }

    /** Guards against a second run of a stream that goes on while a place for it is sought. */
    @Test
    fun `stream that goes on while its prompt is read elsewhere stays at its server`() {
        val reading = CountDownLatch(1)
        val first = server {
            streamHead()
            event(1)
            reading.await(READ_MILLIS.toLong(), TimeUnit.MILLISECONDS)
            events(2..3, withHead = false)
        }
        val second = server { events(2..3) }
        val prefill = server {
            if (request.header("after") != null) {
                reading.countDown()
                awaitClose(READ_MILLIS)
            } else {
                answer(body = "handle-1")
            }
        }
        expectEvents(streamOf(first, second, prefill).get(), 1..3)
        expectThat(second.requests).isEmpty()
    }

    private fun AnswerWriter.events(range: IntRange, withHead: Boolean) {
        if (withHead) streamHead()
        range.forEach { event(it) }
        endOfStream()
    }

    /** Guards against a stream that is lost because the second server has no room for it. */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `stalled stream goes on at its server if another one rejects or resets it`(resets: Boolean) {
        val rejected = CountDownLatch(1)
        val first = server {
            streamHead()
            event(1)
            rejected.await(READ_MILLIS.toLong(), TimeUnit.MILLISECONDS)
            event(2)
            Thread.sleep(SLOW_HEAD.inWholeMilliseconds)
            event(3)
            endOfStream()
        }
        val second = server {
            rejected.countDown()
            Thread.sleep(SLOW_HEAD.inWholeMilliseconds)
            if (resets) reset() else answer(status = "503 Full", headers = "not-run: 1\r\n")
        }
        expectEvents(streamOf(first, second).get(), 1..3)
        expectThat(second.requests).hasSize(1)
    }

    /** Guards against an event that the first server sends late and that its caller gets twice. */
    @Test
    fun `late event of the first server is dropped once the second one runs the stream`() {
        val begun = CountDownLatch(1)
        val first = server {
            streamHead()
            event(1)
            begun.await(READ_MILLIS.toLong(), TimeUnit.MILLISECONDS)
            event(2)
            awaitClose(READ_MILLIS)
        }
        val second = server {
            begun.countDown()
            Thread.sleep(SLOW_HEAD.inWholeMilliseconds)
            events(2..3)
        }
        expectEvents(streamOf(first, second).get(), 1..3)
    }

    /** Guards against a continued stream that is not read again after its caller was slow. */
    @Test
    fun `continued stream goes on after its caller was slow`() {
        val text = "x".repeat(EVENT_BYTES)
        val first = server {
            streamHead()
            event(1)
            Thread.sleep(LATE_START.inWholeMilliseconds)
            reset()
        }
        val second = server {
            streamHead()
            (2..LARGE_EVENTS).forEach { chunk("id: $it\ndata: $text\n\n") }
            endOfStream()
        }
        val fixture = engines(first)
        val caller = RawCaller(fixture.front, receiveBytes = SMALL_BUFFER_BYTES).also { resources += it }
        caller.write(fixture.request("/resumable/x", "r1", headers = TOKENS))
        awaitUntil("the stream has started") { first.requests.isNotEmpty() }
        fixture.store.put("servers/e", testServer("e", second.address, ServerStage.DECODE))
        awaitUntil("the second server has the stream") { second.requests.isNotEmpty() }
        Thread.sleep(LATE_START.inWholeMilliseconds)
        expectThat(caller.read()?.complete).isEqualTo(true)
    }

    private companion object {
        val TIME_LIMIT = 12.seconds
        val GRACE_TIME = 8.seconds
        const val TOKENS = "tokens: 10,10\r\n"

        /** Pause longer than the two seconds after which callers of the test routes may leave. */
        val LONG_PAUSE = 2_600.milliseconds

        /** Pause after which every caller that follows the event timeout has left. */
        val VERY_LONG_PAUSE = 3_400.milliseconds

        /** Time after the arrival at which the first search for another server has failed. */
        val FREE_LATER = 700.milliseconds

        /** Time to the first byte, longer than that after which a server counts as silent. */
        val LATE_START = 900.milliseconds

        /** Time to the head of a continuation, within the limit for two runs of one stream. */
        val SLOW_HEAD = 150.milliseconds

        /** Time for which two servers may run the same stream. */
        val OVERLAP_LIMIT = 400.milliseconds
        const val READ_MILLIS = 6_000

        /** Answer that takes more than the buffers of the system hold. */
        const val EVENT_BYTES = 20_000
        const val LARGE_EVENTS = 300
        const val SMALL_BUFFER_BYTES = 4_096
    }
}
