/*
 * Servers that send an unbounded amount of data in some part of an answer, until the connection is closed.
 *
 * Each test guards against unbounded memory use and against a connection that is read forever.
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
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class UnboundedAnswerTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val sentBytes = AtomicLong()

    @AfterEach
    fun close() = resources.forEach { it.close() }

    private fun server(script: AnswerWriter.() -> Unit) = ScriptedServer(script).also { resources += it }

    /** Writes [text] repeatedly until the connection is closed. */
    private fun AnswerWriter.writeEndlessly(text: String) {
        while (true) {
            write(text)
            sentBytes.addAndGet(text.length.toLong())
        }
    }

    private fun callWithFirstAnswer(target: String, first: AnswerWriter.() -> Unit): Pair<ReceivedResponse?, Int> {
        val arrivals = AtomicInteger()
        val script: AnswerWriter.() -> Unit =
            { if (arrivals.incrementAndGet() == 1) first() else answer(body = "second") }
        val servers = listOf("a", "b").map { testServer(it, server(script).address) }
        return InstanceFixture(testRoutes(timeLimit = TIME_LIMIT, objective = OBJECTIVE), servers).use { fixture ->
            val start = System.nanoTime()
            val answer = fixture.call(target, "r1")
            expectThat((System.nanoTime() - start).nanoseconds).isLessThan(TIME_LIMIT + 500.milliseconds)
            answer to arrivals.get()
        }
    }

    /** Expects that the answer [first] is aborted soon and that only an idempotent call is retried. */
    private fun expectAborted(first: AnswerWriter.() -> Unit) {
        val safe = callWithFirstAnswer("/safe/x", first)
        expectThat(safe.first?.body).isEqualTo("second")
        val once = callWithFirstAnswer("/once/x", first)
        expectThat(once.first?.status).isEqualTo(502)
        expectThat(once.second).isEqualTo(1)
        expectThat(sentBytes.get()).isLessThan(MAXIMUM_SENT_BYTES)
    }

    @Test
    fun `blank lines before the status line`() = expectAborted { writeEndlessly("\r\n".repeat(2_000)) }

    @Test
    fun `status line`() = expectAborted {
        write("HTTP/1.1 200 ")
        writeEndlessly("O".repeat(4_000))
    }

    @Test
    fun `header lines`() = expectAborted {
        write("HTTP/1.1 200 OK\r\n")
        writeEndlessly("name: value\r\n".repeat(300))
    }

    @Test
    fun `interim responses`() = expectAborted {
        writeEndlessly("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(100))
    }

    @Test
    fun `chunk size`() = expectAborted {
        streamHead()
        writeEndlessly("0".repeat(4_000))
    }

    @Test
    fun `chunk extension`() = expectAborted {
        streamHead()
        write("4;")
        writeEndlessly("x".repeat(4_000))
    }

    @Test
    fun `chunk extensions of small chunks`() = expectAborted {
        streamHead()
        writeEndlessly("1;${"x".repeat(4_000)}\r\ny\r\n")
    }

    @Test
    fun trailers() = expectAborted {
        streamHead()
        chunk("part")
        write("0\r\n")
        writeEndlessly("name: value\r\n".repeat(300))
    }

    @Test
    fun `body of a call`() = expectAborted {
        streamHead()
        val part = "x".repeat(50_000)
        writeEndlessly("${Integer.toHexString(part.length)}\r\n$part\r\n")
    }

    @Test
    fun `body of a prefill answer`() {
        val prefill = server {
            if (request.firstLine.startsWith("DELETE")) return@server answer()
            streamHead()
            val part = "x".repeat(4_000)
            writeEndlessly("${Integer.toHexString(part.length)}\r\n$part\r\n")
        }
        val decode = server {
            streamHead()
            event(1)
            endOfStream()
        }
        val answer = engines(prefill, decode).call("/stream/x", "r1", headers = TOKENS)
        expectThat(answer?.complete ?: false).isTrue()
        expectThat(sentBytes.get()).isLessThan(MAXIMUM_SENT_BYTES)
    }

    private fun engines(prefill: ScriptedServer?, decode: ScriptedServer): InstanceFixture = InstanceFixture(
        routes = testRoutes(timeLimit = 10.seconds),
        servers = listOfNotNull(
            prefill?.let { testServer("p", it.address, ServerStage.PREFILL) },
            testServer("d", decode.address, ServerStage.DECODE),
        ),
    ).also { resources += it }

    private fun expectAbortedStream(target: String, event: String) {
        val decode = server {
            streamHead()
            event(1)
            writeEndlessly("${Integer.toHexString(event.length)}\r\n$event\r\n")
        }
        val fixture = engines(prefill = null, decode)
        val answer = fixture.call(target, "r1", headers = TOKENS)
        expectThat(answer?.complete ?: true).isFalse()
        expectThat(sentBytes.get()).isLessThan(MAXIMUM_SENT_BYTES)
    }

    @Test
    fun `stream without a line end`() = listOf("/stream/x", "/resumable/x").forEach {
        expectAbortedStream(it, "x".repeat(4_000))
    }

    @Test
    fun `event without an end`() = listOf("/stream/x", "/resumable/x").forEach {
        expectAbortedStream(it, "data: more\n".repeat(100))
    }

    /** Guards against a stalled stream that occasional bytes keep open until the deadline of its caller. */
    @Test
    fun `stream that sends bytes but no events ends after the event timeout`() {
        val decode = server {
            streamHead()
            event(1)
            while (true) {
                chunk(":\n\n")
                Thread.sleep(50)
            }
        }
        val start = System.nanoTime()
        val answer = engines(prefill = null, decode).call("/stream/x", "r1", headers = TOKENS)
        expectThat(answer?.complete ?: true).isFalse()
        expectThat((System.nanoTime() - start).nanoseconds).isLessThan(EVENT_TIMEOUT + 1_500.milliseconds)
    }

    /** Guards against a healthy stream that counts as stalled. */
    @Test
    fun `slow stream is relayed completely`() {
        val decode = server {
            streamHead()
            (1..4).forEach {
                event(it)
                Thread.sleep(EVENT_TIMEOUT.inWholeMilliseconds * 6 / 10)
            }
            endOfStream()
        }
        val fixture = engines(prefill = null, decode)
        listOf("/stream/x", "/resumable/x").forEach { target ->
            val answer = fixture.call(target, "r-$target", headers = TOKENS)
            expectThat(answer?.body).isEqualTo((1..4).joinToString("") { "id: $it\ndata: token $it\n\n" })
            expectThat(answer?.complete ?: false).isTrue()
        }
    }

    /** Guards against a stream that fills the memory or counts as stalled while its caller does not read. */
    @Test
    fun `caller that does not read applies backpressure to the server`() {
        val continues = CountDownLatch(1)
        val event = "data: ${"x".repeat(20_000)}\n\n"
        val decode = server {
            streamHead()
            try {
                (1..Int.MAX_VALUE).forEach { number ->
                    chunk("id: $number\n$event")
                    sentBytes.addAndGet(event.length.toLong())
                    if (continues.count == 0L) return@server endOfStream()
                }
            } catch (_: IOException) {
                // The test has finished.
            }
        }
        val fixture = engines(prefill = null, decode)
        RawCaller(fixture.front).use { caller ->
            caller.write(fixture.request("/stream/x", "r1", headers = TOKENS + "wait: 9000\r\n"))
            awaitUntil("the server is blocked by backpressure") {
                val before = sentBytes.get()
                Thread.sleep(400)
                before > 0 && before == sentBytes.get()
            }
            Thread.sleep((EVENT_TIMEOUT + 500.milliseconds).inWholeMilliseconds)
            continues.countDown()
            expectThat(caller.read()?.complete ?: false).isTrue()
        }
    }

    /** Guards against many such servers at once that leave no memory for the answers of healthy ones. */
    @Test
    fun `calls to healthy servers succeed while twenty servers send unbounded answers`() {
        val healthy = server { answer() }
        val part = "x".repeat(50_000)
        val endless = (1..20).map {
            server {
                streamHead()
                while (true) {
                    chunk(part)
                    Thread.sleep(5)
                }
            }
        }
        val servers = endless.mapIndexed { index, server -> testServer("e$index", server.address, pool = "engines") } +
            testServer("s", healthy.address)
        val fixture = InstanceFixture(servers = servers).also { resources += it }
        val broken = AtomicInteger()
        val callers = (1..40).map { number ->
            thread {
                val answer = fixture.call("/stream/x", "e$number", headers = TOKENS)
                if (answer?.complete != true || answer.status >= 500) broken.incrementAndGet()
            }
        }
        val finished = CountDownLatch(1)
        val served = AtomicInteger()
        val calls = thread {
            while (!finished.await(20, TimeUnit.MILLISECONDS)) {
                expectThat(fixture.call("/once/x", "s${served.incrementAndGet()}")?.status).isEqualTo(200)
            }
        }
        callers.forEach { it.join() }
        finished.countDown()
        calls.join()
        expectThat(broken.get()).isEqualTo(40)
        expectThat(served.get() > 1).isTrue()
    }

    private companion object {
        val TIME_LIMIT = 1_500.milliseconds
        val OBJECTIVE = 700.milliseconds

        /** Event timeout of the routes of [testRoutes]. */
        val EVENT_TIMEOUT = 2.seconds
        const val TOKENS = "tokens: 100,10\r\n"

        /** Maximum number of bytes sent before an answer is aborted, including what socket buffers hold. */
        const val MAXIMUM_SENT_BYTES = 32_000_000L
    }
}
