/*
 * Faulty answers of backend servers: no caller gets a broken answer as a complete one, and no non-idempotent request
 * runs twice.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.RawCaller
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

class ServerFaultTest {
    private class Outcome(val answer: ReceivedResponse?, val arrivals: Int)

    /** Sends one request; the first server to receive it answers with [first], later ones with [others]. */
    private fun outcomeOf(
        target: String,
        first: AnswerWriter.() -> Unit,
        others: AnswerWriter.() -> Unit = { answer(body = "second") },
    ): Outcome {
        val arrivals = AtomicInteger()
        val script: AnswerWriter.() -> Unit = { if (arrivals.incrementAndGet() == 1) first() else others() }
        val servers = listOf(ScriptedServer(script), ScriptedServer(script))
        val registered = servers.mapIndexed { index, server -> testServer("s$index", server.address) }
        return InstanceFixture(testRoutes(timeLimit = 1_500.milliseconds), registered).use { fixture ->
            val answer = fixture.call(target, "r1", body = "b".repeat(50_000))
            servers.forEach { it.close() }
            Outcome(answer, arrivals.get())
        }
    }

    private fun expectRetriedOnlyIfIdempotent(first: AnswerWriter.() -> Unit) {
        val safe = outcomeOf("/safe/x", first)
        expectThat(safe.answer?.body).isEqualTo("second")
        expectThat(safe.arrivals).isEqualTo(2)
        val once = outcomeOf("/once/x", first)
        expectThat(once.answer?.status).isEqualTo(502)
        expectThat(once.arrivals).isEqualTo(1)
    }

    @Test
    fun `reset before an answer`() = expectRetriedOnlyIfIdempotent { reset() }

    @Test
    fun `close before an answer`() = expectRetriedOnlyIfIdempotent { close() }

    @Test
    fun `bytes that are not an HTTP response`() = expectRetriedOnlyIfIdempotent {
        write("garbage garbage\r\n\r\n")
        close()
    }

    @Test
    fun `body shorter than its length`() = expectRetriedOnlyIfIdempotent {
        write("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 10\r\n\r\nshort")
        close()
    }

    @Test
    fun `chunked body without its end`() = expectRetriedOnlyIfIdempotent {
        streamHead()
        chunk("part")
        close()
    }

    /** Guards against a single answer that uses up the memory of all other requests. */
    @Test
    fun `body without an end`() = expectRetriedOnlyIfIdempotent {
        streamHead()
        val part = "x".repeat(100_000)
        while (true) chunk(part)
    }

    /** Guards against a body without a length that counts as complete after a reset. */
    @Test
    fun `body without length and a reset`() = expectRetriedOnlyIfIdempotent {
        write("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\npart")
        Thread.sleep(100)
        reset()
    }

    @Test
    fun `answer to another request`() = expectRetriedOnlyIfIdempotent { answer(id = "other") }

    @Test
    fun `answer without seal`() = expectRetriedOnlyIfIdempotent {
        write("HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 2\r\n\r\nab")
    }

    @Test
    fun `body without length that ends with its connection is complete`() {
        val outcome = outcomeOf("/once/x", first = {
            write("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\nwhole")
            close()
        })
        expectThat(outcome.answer?.body).isEqualTo("whole")
        expectThat(outcome.answer?.complete ?: false).isTrue()
    }

    /** Guards against an early answer after which the rest of the body is treated as the next request. */
    @Test
    fun `answer before the body was read`() {
        val early = ScriptedServer { answer(status = "400 Bad Request", headers = "Connection: keep-alive\r\n") }
        InstanceFixture(servers = listOf(testServer("a", early.address))).use { fixture ->
            expectThat(fixture.call("/once/x", "r1", body = "b".repeat(90_000))?.status).isEqualTo(400)
            expectThat(fixture.call("/once/y", "r2")?.status).isEqualTo(400)
        }
        expectThat(early.requests.map { it.target }).isEqualTo(listOf("/once/x", "/once/y"))
        early.close()
    }

    /** Guards against a second answer that is assigned to the next request. */
    @Test
    fun `second answer immediately and late`() {
        val double = ScriptedServer {
            answer(body = "first")
            write("HTTP/1.1 200 OK\r\nid: r2\r\nseal: forged\r\nContent-Length: 6\r\n\r\nforged")
            Thread.sleep(100)
            write("HTTP/1.1 200 OK\r\nid: r2\r\nseal: forged\r\nContent-Length: 6\r\n\r\nforged")
        }
        InstanceFixture(servers = listOf(testServer("a", double.address))).use { fixture ->
            RawCaller(fixture.front).use { caller ->
                listOf("r1", "r2").forEach { id ->
                    caller.write(fixture.request("/safe/x", id))
                    val answer = caller.read()
                    expectThat(answer?.body).isEqualTo("first")
                    expectThat(answer?.header("seal")).isEqualTo("s-$id")
                    Thread.sleep(150)
                }
            }
        }
        double.close()
    }

    /** Guards against a refusal that omits that the request was not run, and against endless retries of one. */
    @Test
    fun `request that was not run is retried at another server`() {
        val full: AnswerWriter.() -> Unit = { answer(status = "503 Full", headers = "not-run: 1\r\n") }
        expectThat(outcomeOf("/once/x", full).answer?.body).isEqualTo("second")
        val refused = outcomeOf("/once/x", full, full)
        expectThat(refused.answer?.status).isEqualTo(503)
        expectThat(refused.answer?.header("Retry-After")).isNotNull()
        expectThat(refused.answer?.header("X-Outcome")).isEqualTo("not_run")
    }

    /** Guards against a non-idempotent call that runs twice because of the refusal of another request. */
    @Test
    fun `refusal of another request does not count as not run`() {
        val outcome =
            outcomeOf("/once/x", first = { answer(status = "503 Full", headers = "not-run: 1\r\n", id = "other") })
        expectThat(outcome.answer?.status).isEqualTo(502)
        expectThat(outcome.answer?.header("X-Outcome")).isEqualTo("unknown")
        expectThat(outcome.arrivals).isEqualTo(1)
    }

    /** Guards against an error that is reported as not run although the server did not state so. */
    @Test
    fun `server error of a non-idempotent call is forwarded`() {
        val outcome = outcomeOf("/once/x", first = { answer(status = "503 Busy") })
        expectThat(outcome.answer?.status).isEqualTo(503)
        expectThat(outcome.answer?.header("seal")).isEqualTo("s-r1")
        expectThat(outcome.arrivals).isEqualTo(1)
    }

    /** Guards against callers that wait longer than the time limit of their route. */
    @Test
    fun `silent server`() {
        val silent: AnswerWriter.() -> Unit = { awaitClose(4_000) }
        expectThat(outcomeOf("/safe/x", silent).answer?.body).isEqualTo("second")
        val start = System.nanoTime()
        val once = outcomeOf("/once/x", silent)
        expectThat(once.answer?.status).isEqualTo(504)
        expectThat(once.arrivals).isEqualTo(1)
        expectThat(System.nanoTime() - start).isGreaterThan(1_400.milliseconds.inWholeNanoseconds)
    }

    @Test
    fun `unreachable server is skipped`() {
        val reachable = ScriptedServer { answer() }
        val servers = listOf(testServer("gone", "127.0.0.1:1"), testServer("there", reachable.address))
        InstanceFixture(servers = servers).use { fixture ->
            repeat(4) { expectThat(fixture.call("/once/$it", "r$it")?.status).isEqualTo(200) }
        }
        reachable.close()
    }

    /** Guards against servers that keep working for callers that have disconnected. */
    @Test
    fun `disconnect of the caller ends an idempotent call`() {
        val closed = AtomicBoolean()
        val server = ScriptedServer { closed.set(awaitClose(3_000)) }
        InstanceFixture(servers = listOf(testServer("a", server.address))).use { fixture ->
            RawCaller(fixture.front).use { caller ->
                caller.write(fixture.request("/safe/x", "r1"))
                awaitUntil("the server has the request") { server.requests.isNotEmpty() }
            }
            awaitUntil("the server's connection is closed") { closed.get() }
        }
        server.close()
    }

    /** Guards against places that stay held, and a server that gets no work, because one answer was lost. */
    @Test
    fun `disconnect of the caller lets a non-idempotent call run until its deadline`() {
        val closed = AtomicBoolean()
        val server = ScriptedServer { if (request.header("id") == "r1") closed.set(awaitClose(5_000)) else answer() }
        InstanceFixture(servers = listOf(testServer("a", server.address))).use { fixture ->
            RawCaller(fixture.front).use { caller ->
                caller.write(fixture.request("/once/x", "r1", "wait: 2000\r\n"))
                awaitUntil("the server has the request") { server.requests.isNotEmpty() }
            }
            Thread.sleep(500)
            expectThat(closed.get()).isEqualTo(false)
            awaitUntil("the server's connection is closed") { closed.get() }
            expectThat(fixture.call("/once/y", "r2")?.status).isEqualTo(200)
        }
        server.close()
    }
}
