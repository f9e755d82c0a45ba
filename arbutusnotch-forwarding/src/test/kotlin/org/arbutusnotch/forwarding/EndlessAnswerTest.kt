/*
 * Servers that send bytes without an end: at every place of an answer, until the other side closes.
 *
 * Each test guards against memory that fills up, and against a connection that is read for ever.
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

class EndlessAnswerTest {
    private val open = mutableListOf<AutoCloseable>()
    private val sentBytes = AtomicLong()

    @AfterEach
    fun close() = open.forEach { it.close() }

    private fun server(script: AnswerWriter.() -> Unit) = ScriptedServer(script).also { open += it }

    /** Writes [text] until the other side closes. */
    private fun AnswerWriter.writeForEver(text: String) {
        while (true) {
            write(text)
            sentBytes.addAndGet(text.length.toLong())
        }
    }

    private fun callOutcome(target: String, first: AnswerWriter.() -> Unit): Pair<ReceivedResponse?, Int> {
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

    /** Expects that [first] is ended soon, and that its call is repeated only if it may be. */
    private fun expectEnded(first: AnswerWriter.() -> Unit) {
        val safe = callOutcome("/safe/x", first)
        expectThat(safe.first?.body).isEqualTo("second")
        val once = callOutcome("/once/x", first)
        expectThat(once.first?.status).isEqualTo(502)
        expectThat(once.second).isEqualTo(1)
        expectThat(sentBytes.get()).isLessThan(MAXIMUM_SENT)
    }

    @Test
    fun `blank lines before the status line`() = expectEnded { writeForEver("\r\n".repeat(2_000)) }

    @Test
    fun `status line`() = expectEnded {
        write("HTTP/1.1 200 ")
        writeForEver("O".repeat(4_000))
    }

    @Test
    fun `header lines`() = expectEnded {
        write("HTTP/1.1 200 OK\r\n")
        writeForEver("name: value\r\n".repeat(300))
    }

    @Test
    fun `interim answers`() = expectEnded { writeForEver("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".repeat(100)) }

    @Test
    fun `chunk size`() = expectEnded {
        streamHead()
        writeForEver("0".repeat(4_000))
    }

    @Test
    fun `extension of a chunk`() = expectEnded {
        streamHead()
        write("4;")
        writeForEver("x".repeat(4_000))
    }

    @Test
    fun `extensions of small chunks`() = expectEnded {
        streamHead()
        writeForEver("1;${"x".repeat(4_000)}\r\ny\r\n")
    }

    @Test
    fun trailers() = expectEnded {
        streamHead()
        chunk("part")
        write("0\r\n")
        writeForEver("name: value\r\n".repeat(300))
    }

    @Test
    fun `body of a call`() = expectEnded {
        streamHead()
        val part = "x".repeat(50_000)
        writeForEver("${Integer.toHexString(part.length)}\r\n$part\r\n")
    }

    @Test
    fun `body of a prefill answer`() {
        val prefill = server {
            if (request.firstLine.startsWith("DELETE")) return@server answer()
            streamHead()
            val part = "x".repeat(4_000)
            writeForEver("${Integer.toHexString(part.length)}\r\n$part\r\n")
        }
        val decode = server {
            streamHead()
            event(1)
            endOfStream()
        }
        val answer = engines(prefill, decode).call("/stream/x", "r1", headers = TOKENS)
        expectThat(answer?.complete ?: false).isTrue()
        expectThat(sentBytes.get()).isLessThan(MAXIMUM_SENT)
    }

    private fun engines(prefill: ScriptedServer?, decode: ScriptedServer): InstanceFixture = InstanceFixture(
        routes = testRoutes(timeLimit = 10.seconds),
        servers = listOfNotNull(
            prefill?.let { testServer("p", it.address, ServerStage.PREFILL) },
            testServer("d", decode.address, ServerStage.DECODE),
        ),
    ).also { open += it }

    private fun expectBrokenStream(target: String, event: String) {
        val decode = server {
            streamHead()
            event(1)
            writeForEver("${Integer.toHexString(event.length)}\r\n$event\r\n")
        }
        val fixture = engines(prefill = null, decode)
        val answer = fixture.call(target, "r1", headers = TOKENS)
        expectThat(answer?.complete ?: true).isFalse()
        expectThat(sentBytes.get()).isLessThan(MAXIMUM_SENT)
    }

    @Test
    fun `stream without a line end`() = listOf("/stream/x", "/resumable/x").forEach {
        expectBrokenStream(it, "x".repeat(4_000))
    }

    @Test
    fun `event without an end`() = listOf("/stream/x", "/resumable/x").forEach {
        expectBrokenStream(it, "data: more\n".repeat(100))
    }

    /** Guards against a stalled stream that a byte now and then keeps alive until the deadline of its caller. */
    @Test
    fun `stream that sends bytes and no events ends after the patience of its caller`() {
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
        expectThat((System.nanoTime() - start).nanoseconds).isLessThan(PATIENCE + 1_500.milliseconds)
    }

    /** Guards against a sound stream that is taken for a stalled one. */
    @Test
    fun `slow stream is passed on whole`() {
        val decode = server {
            streamHead()
            (1..4).forEach {
                event(it)
                Thread.sleep(PATIENCE.inWholeMilliseconds * 6 / 10)
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

    /** Guards against a stream that fills the memory, or counts as stalled, while its caller reads nothing. */
    @Test
    fun `caller that does not read holds the server back`() {
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
                // The test has ended.
            }
        }
        val fixture = engines(prefill = null, decode)
        RawCaller(fixture.front).use { caller ->
            caller.write(fixture.request("/stream/x", "r1", headers = TOKENS + "wait: 9000\r\n"))
            awaitUntil("the server is held back") {
                val before = sentBytes.get()
                Thread.sleep(400)
                before > 0 && before == sentBytes.get()
            }
            Thread.sleep((PATIENCE + 500.milliseconds).inWholeMilliseconds)
            continues.countDown()
            expectThat(caller.read()?.complete ?: false).isTrue()
        }
    }

    /** Guards against many such servers at once that leave no memory for the answers of sound ones. */
    @Test
    fun `sound servers are served beside twenty that do not end`() {
        val sound = server { answer() }
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
            testServer("s", sound.address)
        val fixture = InstanceFixture(servers = servers).also { open += it }
        val broken = AtomicInteger()
        val callers = (1..40).map { number ->
            thread {
                val answer = fixture.call("/stream/x", "e$number", headers = TOKENS)
                if (answer?.complete != true || answer.status >= 500) broken.incrementAndGet()
            }
        }
        val ended = CountDownLatch(1)
        val served = AtomicInteger()
        val calls = thread {
            while (!ended.await(20, TimeUnit.MILLISECONDS)) {
                expectThat(fixture.call("/once/x", "s${served.incrementAndGet()}")?.status).isEqualTo(200)
            }
        }
        callers.forEach { it.join() }
        ended.countDown()
        calls.join()
        expectThat(broken.get()).isEqualTo(40)
        expectThat(served.get() > 1).isTrue()
    }

    private companion object {
        val TIME_LIMIT = 1_500.milliseconds
        val OBJECTIVE = 700.milliseconds

        /** Patience of the callers of [testRoutes]. */
        val PATIENCE = 2.seconds
        const val TOKENS = "tokens: 100,10\r\n"

        /** Bytes after which an answer must have ended, with room for what sockets take without a reader. */
        const val MAXIMUM_SENT = 32_000_000L
    }
}
