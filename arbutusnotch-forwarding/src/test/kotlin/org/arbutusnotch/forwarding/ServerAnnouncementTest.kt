/*
 * Servers that announce in their answers that they leave or that they pause.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.dispatcherOf
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class ServerAnnouncementTest {
    private val resources = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = resources.forEach { it.close() }

    private fun server(script: AnswerWriter.() -> Unit) = ScriptedServer(script).also { resources += it }

    private fun fixture(vararg servers: Pair<String, ScriptedServer>): InstanceFixture = InstanceFixture(
        servers = servers.map { (id, server) -> testServer(id, server.address) },
    ).also { resources += it }

    private val leaving: AnswerWriter.() -> Unit = { answer(body = "leaving", headers = "leaving: 1\r\n") }
    private val staying: AnswerWriter.() -> Unit = { answer(body = "staying") }

    private fun pausing(millis: String): AnswerWriter.() -> Unit =
        { answer(status = "503 Busy", headers = "not-run: 1\r\npause: $millis\r\n") }

    /** Sends [count] calls one after another. */
    private fun InstanceFixture.calls(count: Int, route: String = "once"): List<ReceivedResponse?> =
        (1..count).map { call("/$route/x", "call-$it-${System.nanoTime()}") }

    private fun measureDuration(action: () -> Unit): Duration {
        val start = System.nanoTime()
        action()
        return (System.nanoTime() - start).nanoseconds
    }

    /** Guards against work for a leaving server whose entry in the store is outdated or missing. */
    @Test
    fun `leaving server gets no requests regardless of its entry`() {
        val first = server(leaving)
        val second = server(staying)
        val fixture = fixture("a" to first, "b" to second)
        awaitUntil("the leaving server was used") {
            fixture.calls(1)
            first.requests.isNotEmpty()
        }
        repeat(3) {
            fixture.store.put("servers/a", testServer("a", first.address))
            Thread.sleep(100)
            expectThat(fixture.calls(4).map { it?.body }).isEqualTo(List(4) { "staying" })
        }
        fixture.store.remove("servers/a")
        fixture.store.put("servers/a", testServer("a", first.address))
        Thread.sleep(100)
        expectThat(fixture.calls(4).map { it?.body }).isEqualTo(List(4) { "staying" })
        expectThat(first.requests).hasSize(1)
    }

    /** Guards against a new dispatcher that sends other instances to a server that has announced that it is leaving. */
    @Test
    fun `leaving server is known to the dispatcher that follows`() {
        val store = StandInStore().also { resources += it }
        val first = server(leaving)
        val slow = server {
            Thread.sleep(50)
            staying()
        }
        val entries = listOf(testServer("a", first.address), testServer("b", slow.address))
        val instances = mutableListOf<InstanceFixture>()
        repeat(4) {
            val seeds = instances.take(1).map { it.peer }
            instances += InstanceFixture(servers = entries, sharedStore = store, seeds = seeds).also { resources += it }
        }
        val dispatcher = instances.dispatcherOf("calls")
        val (informed, other) = instances - dispatcher - (instances - dispatcher).dispatcherOf("calls")
        val callers = (1..20).map { number -> thread { informed.call("/once/x", "first-$number") } }
        callers.forEach { it.join() }
        val requestsBefore = first.requests.size
        expectThat(requestsBefore).isGreaterThan(0)
        dispatcher.close()
        Thread.sleep(DISPATCHER_CHANGE_MILLIS)
        val otherCallers = (1..20).map { number -> thread { other.call("/once/x", "other-$number") } }
        otherCallers.forEach { it.join() }
        expectThat(first.requests).hasSize(requestsBefore)
    }

    /** Guards against a server that stays excluded after it was restarted under the same id. */
    @Test
    fun `restarted server with the same id is used`() {
        val first = server(leaving)
        val later = server(staying)
        val fixture = fixture("a" to first)
        fixture.calls(1)
        fixture.store.put("servers/a", testServer("a", later.address, startedAt = 2))
        awaitUntil("the restarted server is used") { fixture.calls(1).single()?.body == "staying" }
        expectThat(first.requests).hasSize(1)
    }

    /** Guards against callers that wait for servers that will not accept them. */
    @Test
    fun `pool whose servers all leave refuses immediately`() {
        val fixture = fixture("a" to server(leaving), "b" to server(leaving))
        awaitUntil("both servers left") { fixture.calls(1).single()?.status == 503 }
        var refused: ReceivedResponse? = null
        expectThat(measureDuration { refused = fixture.calls(1).single() }).isLessThan(MAXIMUM_REFUSAL_TIME)
        expectThat(refused?.status).isEqualTo(503)
        expectThat(refused?.header("X-Outcome")).isEqualTo("not_run")
        expectThat(refused?.header("Retry-After")).isNotNull()
    }

    /** Guards against requests queued before the announcement that are sent after it or wait until their deadline. */
    @Test
    fun `queued requests are not sent to a leaving server`() {
        val finishes = CountDownLatch(1)
        val only = server {
            finishes.await(5, TimeUnit.SECONDS)
            leaving()
        }
        val fixture = fixture("a" to only)
        val places = testServer("a", only.address).slots + 1
        val statuses = java.util.concurrent.ConcurrentLinkedQueue<Int>()
        val callers = (1..places * 3).map { number ->
            thread {
                fixture.call("/once/x", "queued-$number", headers = "wait: 4000\r\n")?.let { statuses += it.status }
            }
        }
        awaitUntil("all places are used") { only.requests.size == places }
        Thread.sleep(100)
        finishes.countDown()
        expectThat(measureDuration { callers.forEach { it.join() } }).isLessThan(1.seconds)
        expectThat(only.requests).hasSize(places)
        expectThat(statuses.groupingBy { it }.eachCount()).isEqualTo(mapOf(200 to places, 503 to places * 2))
    }

    /** Guards against an announcement that takes effect only when its stream has ended, seconds later. */
    @Test
    fun `announcements of streams and prefills take effect with the head`() {
        val prefill = server { answer(body = "handle-7", headers = "leaving: 1\r\n") }
        val finishes = CountDownLatch(1)
        val decode = server {
            write(
                "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nseal: s\r\nleaving: 1\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n",
            )
            event(1)
            finishes.await(5, TimeUnit.SECONDS)
            endOfStream()
        }
        val other = server {
            streamHead()
            event(1)
            endOfStream()
        }
        val servers = listOf(
            testServer("p", prefill.address, ServerStage.PREFILL),
            testServer("d", decode.address, ServerStage.DECODE),
        )
        val fixture = InstanceFixture(servers = servers).also { resources += it }
        val stream = thread { fixture.call("/stream/x", "s1", headers = "tokens: 100,10\r\n") }
        awaitUntil("the stream has started") { decode.requests.isNotEmpty() }
        fixture.store.put("servers/e", testServer("e", other.address, ServerStage.DECODE))
        awaitUntil("the new server is used") {
            fixture.call("/stream/x", "s-${System.nanoTime()}", headers = "tokens: 100,10\r\n")?.status == 200
        }
        repeat(3) { fixture.call("/stream/x", "t$it", headers = "tokens: 100,10\r\n") }
        expectThat(decode.requests).hasSize(1)
        expectThat(prefill.requests.filter { !it.firstLine.startsWith("DELETE") }).hasSize(1)
        finishes.countDown()
        stream.join()
    }

    /** Guards against a broken stream that is resumed at the leaving server. */
    @Test
    fun `stream is not resumed at a leaving server`() {
        val leavingServer = server {
            write(
                "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nseal: s\r\nleaving: 1\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n",
            )
            event(1)
            reset()
        }
        val servers = listOf(testServer("d", leavingServer.address, ServerStage.DECODE))
        val fixture = InstanceFixture(servers = servers).also { resources += it }
        fixture.call("/resumable/x", "s1", headers = "tokens: 100,10\r\n")
        expectThat(fixture.call("/resumable/x", "s2", headers = "tokens: 100,10\r\n")?.status).isEqualTo(503)
        expectThat(leavingServer.requests).hasSize(1)
    }

    /** Guards against requests that reach a server during its pause. */
    @Test
    fun `paused server gets no requests until its pause ends`() {
        val busy = server(pausing(millis = "1500"))
        val free = server(staying)
        val fixture = fixture("a" to busy, "b" to free)
        awaitUntil("the busy server was used") {
            fixture.calls(1)
            busy.requests.isNotEmpty()
        }
        val pause = measureDuration {
            awaitUntil("the busy server is used again") {
                expectThat(fixture.calls(1).single()?.status).isEqualTo(200)
                busy.requests.size > 1
            }
        }
        expectThat(pause).isGreaterThan(1_300.milliseconds)
    }

    /** Guards against internal requests that free handles at a paused server. */
    @Test
    fun `handle is not freed at a paused server`() {
        val rejects = CountDownLatch(1)
        val decode = server {
            if (request.header("id") == "first") rejects.await(5, TimeUnit.SECONDS)
            answer(status = "503 Busy", headers = "not-run: 1\r\n")
        }
        val prefill = server {
            if (request.header("id") == "first") answer(body = "handle-1") else pausing(millis = "3000")()
        }
        val servers = listOf(
            testServer("d", decode.address, ServerStage.DECODE),
            testServer("p", prefill.address, ServerStage.PREFILL),
        )
        val fixture = InstanceFixture(servers = servers).also { resources += it }
        val first = thread { fixture.call("/stream/x", "first", headers = "tokens: 100,10\r\n") }
        awaitUntil("the first prefill is complete") { decode.requests.isNotEmpty() }
        fixture.call("/stream/x", "second", headers = "tokens: 100,10\r\n")
        rejects.countDown()
        first.join()
        Thread.sleep(300)
        expectThat(prefill.requests.map { it.header("id") }).isEqualTo(listOf("first", "second"))
    }

    /** Guards against a pause that applies only to new requests, not to queued or granted ones. */
    @Test
    fun `queued and granted requests respect a pause`() {
        val finishes = CountDownLatch(1)
        val busy = server {
            finishes.await(5, TimeUnit.SECONDS)
            pausing(millis = "3000")()
        }
        val fixture = fixture("a" to busy)
        val places = testServer("a", busy.address).slots + 1
        val callers = (1..places * 3).map { number ->
            thread { fixture.call("/once/x", "queued-$number", headers = "wait: 2000\r\n") }
        }
        awaitUntil("all places are used") { busy.requests.size == places }
        finishes.countDown()
        callers.forEach { it.join() }
        expectThat(fixture.calls(3).map { it?.status }).isEqualTo(List(3) { 503 })
        expectThat(busy.requests).hasSize(places)
    }

    /** Guards against a refusal that is late, or whose retry time is before the end of the first pause. */
    @Test
    fun `pool whose servers all pause refuses immediately with the earliest retry time`() {
        val fixture = fixture("a" to server(pausing("3500")), "b" to server(pausing("2500")))
        fixture.call("/once/x", "r0", headers = "wait: 1000\r\n")
        var refused: ReceivedResponse? = null
        val waited = measureDuration { refused = fixture.call("/once/x", "r1", headers = "wait: 1000\r\n") }
        expectThat(waited).isLessThan(MAXIMUM_REFUSAL_TIME)
        expectThat(refused?.header("X-Refusal-Reason")).isEqualTo("servers_paused")
        expectThat(refused?.header("Retry-After")?.toDouble()).isNotNull().isIn(2.0..2.5)
    }

    @Test
    fun `request with enough time waits for the end of a pause`() {
        var answers = 0
        val fixture = fixture("a" to server { if (answers++ == 0) pausing("600")() else staying() })
        fixture.calls(1)
        expectThat(fixture.call("/once/x", "r1", headers = "wait: 3000\r\n")?.body).isEqualTo("staying")
    }

    @Test
    fun `malformed pause has no effect`() {
        val fixture = fixture("a" to server(pausing("soon")))
        repeat(3) { fixture.call("/once/x", "r$it") }
        awaitUntil("the server is used again") {
            fixture.call("/once/x", "again")?.header("X-Refusal-Reason") !=
                "servers_paused"
        }
    }

    private companion object {
        /** Maximum time until a request that no server will accept is refused. */
        val MAXIMUM_REFUSAL_TIME = 300.milliseconds

        /** Time in milliseconds within which all instances use the dispatcher that follows a stopped one. */
        const val DISPATCHER_CHANGE_MILLIS = 1_000L
    }
}
