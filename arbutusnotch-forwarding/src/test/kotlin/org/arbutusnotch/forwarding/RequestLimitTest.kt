/*
 * Servers that name in their answers how many requests a second they take from all instances together.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.LimitedServer
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.dispatcherOf
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import java.util.Optional
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.jvm.optionals.getOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class RequestLimitTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val store = StandInStore().also { resources += it }
    private val requestCount = AtomicInteger()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun limitedServer(
        perSecond: Double?,
        script: AnswerWriter.(headers: String) -> Unit = { headers -> answer(headers = headers) },
    ) = LimitedServer(perSecond, script).also { resources += it }

    private fun entriesOf(vararg servers: LimitedServer): List<BackendServer> =
        servers.mapIndexed { index, server -> testServer("server-$index", server.address) }

    private fun instance(servers: List<BackendServer>, seeds: List<String> = emptyList()) =
        InstanceFixture(servers = servers, sharedStore = store, seeds = seeds).also { resources += it }

    /** Starts [count] instances that know each other. */
    private fun instances(count: Int, servers: List<BackendServer>): List<InstanceFixture> {
        val first = instance(servers)
        return listOf(first) + (2..count).map { instance(servers, seeds = listOf(first.peer)) }
    }

    private fun InstanceFixture.send(route: String = "once"): ReceivedResponse? =
        call("/$route/x", "request-${requestCount.incrementAndGet()}", "wait: 1000\r\ntokens: 100,10\r\n")

    /** Sends [perSecond] requests a second for [duration], to each of [instances] in turn. */
    private fun load(
        instances: List<InstanceFixture>,
        perSecond: Int,
        duration: Duration,
        route: String = "once",
    ): List<ReceivedResponse?> {
        val responses = ConcurrentLinkedQueue<Optional<ReceivedResponse>>()
        val interval = 1.seconds / perSecond
        val callers = (0 until (duration / interval).toInt()).map { number ->
            thread {
                Thread.sleep((interval * number).inWholeMilliseconds)
                responses += Optional.ofNullable(instances[number % instances.size].send(route))
            }
        }
        callers.forEach { it.join() }
        return responses.map { it.getOrNull() }
    }

    private fun expectLimitKept(server: LimitedServer) =
        expectThat(server.mostArrivals(WINDOW, skipped = GRACE)).isLessThanOrEqualTo(server.allowedArrivals(WINDOW))

    /** Expects that a limited server is used while callers ask for more than all servers take. */
    private fun expectFairShare(server: LimitedServer) =
        expectThat(server.mostArrivals(WINDOW, skipped = GRACE)).isGreaterThanOrEqualTo(server.fairArrivals(WINDOW))

    /** Guards against a limit that is ignored, or that each instance takes for itself. */
    @Test
    fun `instances together send a server no more than the limit that it names`() {
        val servers = listOf(limitedServer(perSecond = 4.0), limitedServer(perSecond = 3.0))
        load(instances(count = 3, entriesOf(*servers.toTypedArray())), perSecond = 40, duration = 7.seconds)
        servers.forEach { server -> expectLimitKept(server) }
        servers.forEach { server -> expectFairShare(server) }
    }

    /** Guards against callers who are refused or wait although a server without a limit is free. */
    @Test
    fun `requests beyond a limit go to other servers`() {
        val limited = limitedServer(perSecond = 2.0)
        val other = limitedServer(perSecond = null)
        val instances = instances(count = 2, entriesOf(limited, other))
        val responses = load(instances, perSecond = 30, duration = 5.seconds)
        expectThat(responses.mapNotNull { it?.status }).all { isEqualTo(200) }
        expectLimitKept(limited)
    }

    /** Guards against an instance that gives a server the full load until the server has told it too. */
    @Test
    fun `limit that one instance hears applies to the others`() {
        val server = limitedServer(perSecond = 1.0)
        val (first, second) = instances(count = 2, entriesOf(server))
        expectThat(first.send()?.status).isEqualTo(200)
        load(listOf(second), perSecond = 100, duration = 500.milliseconds)
        expectThat(server.arrivalCount).isLessThanOrEqualTo(4)
    }

    /** Guards against a new dispatcher that gives a server the full load until one of its answers names the limit. */
    @Test
    fun `limit is known to the dispatcher that follows`() {
        val server = limitedServer(perSecond = 1.0)
        val instances = instances(count = 4, entriesOf(server))
        val dispatcher = instances.dispatcherOf("calls")
        val (informed, other) = instances - dispatcher - (instances - dispatcher).dispatcherOf("calls")
        expectThat(informed.send()?.status).isEqualTo(200)
        dispatcher.close()
        Thread.sleep(DISPATCHER_CHANGE_MILLIS)
        val before = server.arrivalCount
        load(listOf(other), perSecond = 100, duration = 500.milliseconds)
        expectThat(server.arrivalCount - before).isLessThanOrEqualTo(4)
    }

    /** Guards against repeats of failed calls that are not counted. */
    @Test
    fun `repeated calls count against the limit`() {
        val servers = List(3) {
            limitedServer(perSecond = 3.0) { headers -> answer(status = "500 Failed", headers = headers) }
        }
        val instances = instances(count = 2, entriesOf(*servers.toTypedArray()))
        load(instances, perSecond = 30, duration = 6.seconds, route = "safe")
        servers.forEach { server -> expectLimitKept(server) }
    }

    /** Guards against limits that apply to calls only: prompts, runs and resumed streams reach servers too. */
    @Test
    fun `prefills, runs and resumed streams count against the limit`() {
        val prefill = limitedServer(perSecond = 3.0) { headers -> answer(body = "handle-1", headers = headers) }
        val decode = List(2) {
            limitedServer(perSecond = 3.0) { headers ->
                write(
                    "HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nseal: s\r\n$headers" +
                        "Transfer-Encoding: chunked\r\n\r\n",
                )
                event(if (request.header("after") == null) 1 else 2)
                if (request.header("after") == null) reset() else endOfStream()
            }
        }
        val entries = listOf(testServer("p", prefill.address, ServerStage.PREFILL)) +
            decode.mapIndexed { index, server -> testServer("d$index", server.address, ServerStage.DECODE) }
        load(instances(count = 2, entries), perSecond = 30, duration = 6.seconds, route = "resumable")
        (decode + prefill).forEach { server -> expectLimitKept(server) }
        expectThat(decode.sumOf { it.arrivalCount }).isGreaterThanOrEqualTo(10)
    }

    /** Guards against a new dispatcher that knows nothing of the limits that its predecessors observed. */
    @Test
    fun `limit is kept while dispatchers follow one another`() {
        val servers = listOf(limitedServer(perSecond = 4.0), limitedServer(perSecond = 3.0))
        val instances = instances(count = 4, entriesOf(*servers.toTypedArray()))
        val firstDispatcher = instances.dispatcherOf("calls")
        val secondDispatcher = (instances - firstDispatcher).dispatcherOf("calls")
        val callers = instances - firstDispatcher - secondDispatcher
        val stopping = thread {
            listOf(firstDispatcher, secondDispatcher).forEach { dispatcher ->
                Thread.sleep(2_500)
                dispatcher.close()
            }
        }
        load(callers, perSecond = 40, duration = 8.seconds)
        stopping.join()
        servers.forEach { server -> expectLimitKept(server) }
        servers.forEach { server -> expectFairShare(server) }
    }

    /** Guards against a limit that stays after its server has stopped naming it. */
    @Test
    fun `limit ends for all instances when the server no longer names it`() {
        val server = limitedServer(perSecond = 2.0)
        val instances = instances(count = 3, entriesOf(server))
        load(instances, perSecond = 20, duration = 2.seconds)
        server.namedLimit = null
        awaitUntil("an answer without the limit") { instances.first().send()?.status == 200 }
        val responses = load(instances, perSecond = 30, duration = 1.seconds)
        expectThat(responses.mapNotNull { it?.status }).hasSize(30).all { isEqualTo(200) }
    }

    /** Guards against a prefill server that stays limited because its answers do not repeat the id of the request. */
    @Test
    fun `limit of a prefill server ends with an answer without a request id`() {
        val prefill = limitedServer(perSecond = 0.5) { headers ->
            write("HTTP/1.1 200 OK\r\n${headers}Content-Length: 8\r\n\r\nhandle-1")
        }
        val decode = limitedServer(perSecond = null) { headers ->
            write("HTTP/1.1 200 OK\r\nid: ${request.header("id")}\r\nseal: s\r\n$headers")
            write("Transfer-Encoding: chunked\r\n\r\n")
            event(1)
            endOfStream()
        }
        val entries = listOf(
            testServer("p", prefill.address, ServerStage.PREFILL),
            testServer("d", decode.address, ServerStage.DECODE),
        )
        val instance = instance(entries)
        instance.send("stream")
        prefill.namedLimit = null
        awaitUntil("a prefill without the limit") {
            instance.send("stream")
            prefill.arrivalCount > 1
        }
        val before = prefill.arrivalCount
        repeat(6) { expectThat(instance.send("stream")?.status).isEqualTo(200) }
        expectThat(prefill.arrivalCount - before).isEqualTo(6)
    }

    /** Guards against a malformed value that lifts the limit that was named before. */
    @Test
    fun `malformed limit neither sets nor ends a limit`() {
        val server = limitedServer(perSecond = null).also { it.namedLimit = "many" }
        val instances = instances(count = 2, entriesOf(server))
        expectThat(load(instances, perSecond = 30, duration = 1.seconds).mapNotNull { it?.status })
            .all { isEqualTo(200) }
        server.namedLimit = "1.0"
        instances.first().send()
        server.namedLimit = "many"
        val before = server.arrivalCount
        load(instances, perSecond = 30, duration = 2.seconds)
        expectThat(server.arrivalCount - before).isLessThanOrEqualTo(5)
    }

    /** Guards against callers who wait for servers whose limits admit them too late. */
    @Test
    fun `request that no limit admits in time is refused at once`() {
        val fixture = instance(entriesOf(limitedServer(perSecond = 0.2)))
        fixture.send()
        val startedAt = System.nanoTime()
        val refused = fixture.send()
        expectThat((System.nanoTime() - startedAt).nanoseconds).isLessThan(MAXIMUM_REFUSAL_TIME)
        expectThat(refused?.status).isEqualTo(503)
        expectThat(refused?.header("X-Outcome")).isEqualTo("not_run")
        expectThat(refused?.header("X-Refusal-Reason")).isEqualTo("servers_limited")
        expectThat(refused?.header("Retry-After")?.toDouble()).isNotNull().isIn(3.0..5.0)
    }

    /** Guards against internal requests that use the limit of an overloaded server. */
    @Test
    fun `handle is not freed at a limited server`() {
        val prefill = limitedServer(perSecond = 1.0) { headers -> answer(body = "handle-1", headers = headers) }
        val decode = limitedServer(perSecond = null) { answer(status = "503 Busy", headers = "not-run: 1\r\n") }
        val entries = listOf(
            testServer("p", prefill.address, ServerStage.PREFILL),
            testServer("d", decode.address, ServerStage.DECODE),
        )
        instance(entries).send("stream")
        Thread.sleep(300)
        expectThat(prefill.arrivalCount).isEqualTo(1)
    }

    private companion object {
        /** Length of the window in which the requests to a server are counted. */
        val WINDOW = 4.seconds

        /** Time from the first answer with a limit until the limit must be met by all instances. */
        val GRACE = 500.milliseconds

        /** Time in milliseconds within which all instances use the dispatcher that follows a stopped one. */
        const val DISPATCHER_CHANGE_MILLIS = 1_000L

        /** Maximum time until a request that no server will accept is refused. */
        val MAXIMUM_REFUSAL_TIME = 300.milliseconds
    }
}
