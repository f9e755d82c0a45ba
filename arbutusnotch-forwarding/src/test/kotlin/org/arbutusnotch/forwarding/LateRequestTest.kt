/*
 * Requests that arrive late in the grace time of a planned shutdown.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.exchange.RelayedRequests
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.PausableClock
import org.arbutusnotch.forwarding.fixture.RawCaller
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.doesNotContain
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.net.ConnectException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class LateRequestTest {
    private val resources = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private val server = ScriptedServer {
        Thread.sleep(SERVICE_MILLIS)
        answer()
    }.also { resources += it }

    private fun instance(shutdownTime: Duration = 4.seconds) = InstanceFixture(
        testRoutes(timeLimit = 30.seconds),
        listOf(testServer("a", server.address)),
        shutdownTime = shutdownTime,
    ).also { resources += it }

    private fun sentIds() = server.requests.mapNotNull { it.header("id") }

    private fun RawCaller.callAsync(fixture: InstanceFixture, id: String): CompletableFuture<ReceivedResponse?> =
        CompletableFuture.supplyAsync {
            write(fixture.request("/once/x", id))
            read()
        }

    private fun connect(fixture: InstanceFixture) = RawCaller(fixture.front).also { resources += it }

    /** Guards against requests that are passed on late in the grace time and cut off without an answer at its end. */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `request that cannot end within the grace time is refused at once`(kept: Boolean) {
        val fixture = instance()
        expectThat(fixture.call("/once/x", "first")?.status).isEqualTo(200)
        val connections = if (kept) LATE_MILLIS.map { connect(fixture) } else emptyList()
        fixture.instance.stop()
        val stoppedAt = System.nanoTime()
        val answers = LATE_MILLIS.mapIndexed { index, millis ->
            Thread.sleep((millis - (System.nanoTime() - stoppedAt) / NANOS_PER_MILLI).coerceAtLeast(0))
            (connections.getOrNull(index) ?: connect(fixture)).callAsync(fixture, "late-$millis")
        }.map { it.get() }
        expectThat(answers).all {
            isNotNull().and {
                get { status }.isEqualTo(503)
                get { header("X-Outcome") }.isEqualTo("not_run")
                get { complete }.isTrue()
            }
        }
        expectThat(sentIds()).containsExactly("first")
    }

    /** Guards against a request that is passed on to a server while the process exits, which cuts its answer. */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `request that arrives when the shutdown is complete reaches no server`(relayed: Boolean) {
        val fixture = instance(shutdownTime = LONG_SHUTDOWN)
        fixture.instance.stop()
        fixture.instance.awaitEnd()
        val answer = try {
            RawCaller(if (relayed) fixture.controlAddress else fixture.front).use {
                val mark = if (relayed) "${RelayedRequests.HEADER}: ${fixture.peer}\r\n" else ""
                it.write(fixture.request("/once/x", "late", mark))
                it.read()
            }
        } catch (_: ConnectException) {
            null
        }
        if (answer != null) expectThat(answer.header("X-Outcome")).isEqualTo("not_run")
        expectThat(sentIds()).isEmpty()
    }

    /** Guards against connections that are closed with an unread request after an instance had no processor time. */
    @Test
    fun `request that arrives while the instance stands still gets an answer`() {
        val clock = PausableClock()
        val fixture = InstanceFixture(
            testRoutes(timeLimit = 30.seconds),
            listOf(testServer("a", server.address), testServer("d", engine.address, ServerStage.DECODE)),
            clock = clock,
        ).also { resources += it }
        val running = connect(fixture).callAsync(fixture, "running")
        awaitUntil("the server has the request") { server.requests.isNotEmpty() }
        fixture.instance.stop()
        Thread.sleep(BEFORE_IDLE_CLOSE_MILLIS)
        clock.pause()
        val late = (1..CALLERS).map {
            connect(fixture).apply { write(fixture.request("/stream/x", "late-$it", "tokens: 10,$LONG_STREAM\r\n")) }
        }
        Thread.sleep(STANDSTILL_MILLIS)
        clock.resume()
        expectThat(late.map { it.read()?.status }).all { isEqualTo(503) }
        expectThat(running.get()?.status).isEqualTo(200)
    }

    /** Guards against an answer that is cut because its connection counts as idle while its caller still reads. */
    @Test
    fun `answer that its caller reads slowly is complete after a shutdown`() {
        val long = ScriptedServer { answer(body = "x".repeat(LONG_ANSWER_BYTES)) }.also { resources += it }
        val fixture = InstanceFixture(servers = listOf(testServer("long", long.address))).also { resources += it }
        val caller = RawCaller(fixture.front, receiveBytes = SMALL_BUFFER_BYTES).also { resources += it }
        caller.write(fixture.request("/safe/x", "slow"))
        awaitUntil("the server has answered") { long.requests.isNotEmpty() }
        Thread.sleep(READ_MILLIS)
        fixture.instance.stop()
        Thread.sleep(IDLE_CLOSED_MILLIS)
        val answer = caller.read()
        expectThat(answer?.status).isEqualTo(200)
        expectThat(answer?.complete).isEqualTo(true)
        expectThat(answer?.body?.length).isEqualTo(LONG_ANSWER_BYTES)
    }

    /** Guards against a closed connection in place of the final answer, for requests whose duration is not known. */
    @Test
    fun `request that still runs at the end of the grace time gets a final answer`() {
        val fixture = instance()
        val connection = connect(fixture)
        fixture.instance.stop()
        Thread.sleep(LATE_MILLIS.last())
        val answer = connection.callAsync(fixture, "late").get()
        expectThat(answer?.status).isEqualTo(504)
        expectThat(answer?.header("X-Outcome")).isEqualTo("unknown")
        expectThat(sentIds()).containsExactly("late")
    }

    /** Guards against requests that wait for a place until the process ends. */
    @Test
    fun `request that waits for a place is refused before the end of the grace time`() {
        val fixture = instance()
        expectThat(fixture.call("/once/x", "first")?.status).isEqualTo(200)
        val answers = (1..CALLERS).associate { "r$it" to connect(fixture).callAsync(fixture, "r$it") }
        Thread.sleep(READ_MILLIS)
        fixture.instance.stop()
        val statuses = answers.mapValues { it.value.get()?.status }
        val sent = sentIds().toSet()
        expectThat(statuses.filterKeys { it !in sent }.values) {
            isNotEmpty()
            all { isEqualTo(503) }
        }
        expectThat(statuses.filterKeys { it in sent }.values).all { isEqualTo(200) }
    }

    /** A stream with as many events as the request names, by default one for each declared token, and its end. */
    private val engine = ScriptedServer { stream() }.also { resources += it }

    private fun AnswerWriter.stream() {
        val tokens = request.header("events") ?: request.header("tokens").orEmpty().substringAfter(',')
        streamHead()
        (1..tokens.toInt()).forEach {
            Thread.sleep(EVENT_MILLIS)
            event(it)
        }
        endOfStream()
    }

    private fun engineInstance(shutdownTime: Duration = 4.seconds) = InstanceFixture(
        testRoutes(timeLimit = 30.seconds),
        listOf(testServer("d", engine.address, ServerStage.DECODE)),
        shutdownTime = shutdownTime,
    ).also { resources += it }

    private fun InstanceFixture.stream(id: String, tokens: Int, route: String, prompt: Int = SHORT_PROMPT) =
        call("/$route/x", id, headers = "tokens: $prompt,$tokens\r\n")

    /** Stops the instance and sends it a stream of [tokens] events a moment later. */
    private fun InstanceFixture.streamDuringShutdown(tokens: Int, route: String = "stream"): ReceivedResponse? {
        instance.stop()
        Thread.sleep(LATE_STREAM_MILLIS)
        return stream("late", tokens, route)
    }

    /** Has the instance answer as many streams of [tokens] events as it needs to predict others. */
    private fun InstanceFixture.observeStreams(tokens: Int, route: String, prompt: Int = SHORT_PROMPT) {
        val answers = (1..OBSERVED_STREAMS).map {
            CompletableFuture.supplyAsync { stream("first-$it", tokens, route, prompt) }
        }
        expectThat(answers.map { it.get()?.complete }).all { isEqualTo(true) }
    }

    /**
     * Guards against streams that a stopping instance accepts without knowing how long they take, and breaks off at the
     * end of the grace time (review case 3).
     */
    @ParameterizedTest
    @ValueSource(strings = ["stream", "resumable"])
    fun `stream of unknown duration is refused during a shutdown`(route: String) {
        val fixture = engineInstance()
        val answer = fixture.streamDuringShutdown(LONG_STREAM, route)
        expectThat(answer).isNotNull().and {
            get { status }.isEqualTo(503)
            get { header("X-Outcome") }.isEqualTo("not_run")
        }
        expectThat(engine.requests).isEmpty()
    }

    /** Guards against short streams of a busy route that hide how long those of another route of its pool take. */
    @Test
    fun `long stream is refused during a shutdown although shorter ones were answered`() {
        val fixture = engineInstance()
        fixture.observeStreams(SHORT_STREAM, "resumable")
        expectThat(fixture.streamDuringShutdown(LONG_STREAM)?.status).isEqualTo(503)
        expectThat(engine.requests.mapNotNull { it.header("id") }).doesNotContain("late")
    }

    /** Guards against a stopping instance that refuses all streams, also those that would end in time. */
    @Test
    fun `short stream is served during a shutdown although longer ones were answered`() {
        val fixture = engineInstance()
        fixture.observeStreams(LONG_STREAM, "stream")
        val answer = fixture.streamDuringShutdown(SHORT_STREAM)
        expectThat(answer).isNotNull().and {
            get { status }.isEqualTo(200)
            get { complete }.isTrue()
        }
    }

    /** Guards against streams that are accepted late in a stop and cut, since their server pauses (incident 21). */
    @Test
    fun `stream that arrives after address lists have expired is refused while another instance serves`() {
        val fixture = engineInstance(shutdownTime = LONG_SHUTDOWN)
        val peer = InstanceFixture(
            testRoutes(timeLimit = 30.seconds),
            servers = emptyList(),
            sharedStore = fixture.store,
            seeds = listOf(fixture.peer),
        ).also { resources += it }
        awaitUntil("the instances know each other") { peer.front in fixture.addressList() }
        fixture.observeStreams(SHORT_STREAM, "stream")
        val running = CompletableFuture.supplyAsync { fixture.stream("running", LONGEST_STREAM, "stream") }
        awaitUntil("the engine has the stream") { engine.requests.any { it.header("id") == "running" } }
        val early = fixture.streamDuringShutdown(SHORT_STREAM)
        expectThat(early?.status).isEqualTo(200)
        Thread.sleep(LISTS_EXPIRED_MILLIS)
        val late = fixture.stream("too-late", SHORT_STREAM, "stream")
        expectThat(late?.status).isEqualTo(503)
        expectThat(late?.header("X-Outcome")).isEqualTo("not_run")
        expectThat(running.get()?.complete).isEqualTo(true)
    }

    /** Declares at most [maximum] tokens, of which the caller expects [estimate]; the engine sends [events] of them. */
    private fun InstanceFixture.streamAsync(id: String, maximum: Int, estimate: Int?, events: Int, route: String) =
        CompletableFuture.supplyAsync {
            val estimated = estimate?.let { "estimate: $it\r\n" }.orEmpty()
            call("/$route/x", id, headers = "tokens: 10,$maximum\r\n${estimated}events: $events\r\n")
        }

    /** Stops an instance that has answered streams with right estimates, and which no other instance replaces. */
    private fun stoppedAlone(): InstanceFixture {
        val fixture = engineInstance(shutdownTime = LONG_SHUTDOWN)
        fixture.observeStreams(SHORT_STREAM, "stream")
        // A running stream keeps the instance from ending before its grace time has passed.
        fixture.streamAsync("running", LONGEST_STREAM, LONGEST_STREAM, LONGEST_STREAM, "stream")
        awaitUntil("the engine has the stream") { engine.requests.any { it.header("id") == "running" } }
        fixture.instance.stop()
        return fixture
    }

    /** Guards against late streams that are longer than their callers estimate, and are cut (review case 7). */
    @ParameterizedTest
    @ValueSource(strings = ["stream", "resumable"])
    fun `stream whose maximum does not end in time is refused late in a shutdown`(route: String) {
        val fixture = stoppedAlone()
        Thread.sleep(LATE_IN_SHUTDOWN_MILLIS)
        val answer = fixture.streamAsync("late", VERY_LONG_STREAM, SHORT_STREAM, LONGEST_STREAM, route).get()
        expectThat(answer?.status).isEqualTo(503)
        expectThat(answer?.header("X-Outcome")).isEqualTo("not_run")
        expectThat(answer?.header("Retry-After")?.toDouble()).isNotNull().isGreaterThan(LEFT_AT_LEAST_SECONDS)
        expectThat(engine.requests.mapNotNull { it.header("id") }).doesNotContain("late")
    }

    /** Guards against a stopping instance that refuses all late streams, also those whose maximum ends in time. */
    @ParameterizedTest
    @ValueSource(ints = [SHORT_STREAM, MEDIUM_STREAM])
    fun `stream whose maximum ends in time is served late in a shutdown`(events: Int) {
        val fixture = stoppedAlone()
        Thread.sleep(LATE_IN_SHUTDOWN_MILLIS)
        val answers = listOf(SHORT_STREAM, MEDIUM_STREAM, null).mapIndexed { index, estimate ->
            fixture.streamAsync("late-$index", MEDIUM_STREAM, estimate, events, "stream")
        }
        expectThat(answers.map { it.get()?.complete }).all { isEqualTo(true) }
        expectThat(answers.map { it.get()?.status }).all { isEqualTo(200) }
    }

    /** Guards against a stream whose prompt is still read when its estimate counts no more, and which is cut. */
    @Test
    fun `stream that no server runs yet is refused once estimates no longer count`() {
        val prefill = ScriptedServer {
            if (request.header("id") == "waiting") Thread.sleep(SLOW_PREFILL_MILLIS)
            answer(body = "handle-1")
        }.also { resources += it }
        val servers = listOf(
            testServer("d", engine.address, ServerStage.DECODE),
            testServer("p", prefill.address, ServerStage.PREFILL),
        )
        val fixture = InstanceFixture(testRoutes(timeLimit = 30.seconds), servers, shutdownTime = LONG_SHUTDOWN)
            .also { resources += it }
        fixture.observeStreams(SHORT_STREAM, "stream", LONG_PROMPT)
        fixture.instance.stop()
        Thread.sleep(BEFORE_IDLE_CLOSE_MILLIS)
        val declared = "tokens: $LONG_PROMPT,$VERY_LONG_STREAM\r\nestimate: $SHORT_STREAM\r\n"
        val waiting = fixture.call("/stream/x", "waiting", headers = "${declared}events: $LONGEST_STREAM\r\n")
        expectThat(prefill.requests.mapNotNull { it.header("id") }).contains("waiting")
        expectThat(waiting?.status).isEqualTo(503)
        expectThat(waiting?.header("X-Refusal-Reason")).isEqualTo("shutting_down")
        expectThat(engine.requests.mapNotNull { it.header("id") }).doesNotContain("waiting")
    }

    /** Guards against a stream that a server keeps for a while and rejects, and that is cut at the next one. */
    @Test
    fun `stream that was rejected too late is refused in a shutdown`() {
        val rejected = AtomicBoolean()
        val engines = List(2) {
            ScriptedServer {
                if (request.header("id") == "late" && !rejected.getAndSet(true)) {
                    Thread.sleep(REJECTION_MILLIS)
                    answer(status = "503 Full", headers = "not-run: 1\r\n")
                } else {
                    stream()
                }
            }.also { resources += it }
        }
        val servers =
            engines.mapIndexed { index, server -> testServer("d$index", server.address, ServerStage.DECODE) }
        val fixture = InstanceFixture(testRoutes(timeLimit = 30.seconds), servers).also { resources += it }
        fixture.observeStreams(SHORT_STREAM, "stream")
        fixture.instance.stop()
        val answer = fixture.streamAsync("late", MEDIUM_STREAM, MEDIUM_STREAM, MEDIUM_STREAM, "stream").get()
        expectThat(answer?.status).isEqualTo(503)
        expectThat(engines.sumOf { engine -> engine.requests.count { it.header("id") == "late" } }).isEqualTo(1)
    }

    private fun InstanceFixture.addressList() = get(directoryAddress, "/where")?.body.orEmpty()

    private companion object {
        /** Answer that takes more than the buffers of the system hold. */
        const val LONG_ANSWER_BYTES = 4_000_000
        const val SMALL_BUFFER_BYTES = 4_096

        /** Time after SIGTERM shortly before idle connections are closed, and pause that lasts beyond it. */
        const val BEFORE_IDLE_CLOSE_MILLIS = 2_000L
        const val STANDSTILL_MILLIS = 500L

        /** Time after which a server rejects a stream, which may still wait for another place. */
        const val REJECTION_MILLIS = 1_100L

        /** Time after SIGTERM at which idle connections have been closed, but the instance still runs. */
        const val IDLE_CLOSED_MILLIS = 2_700L

        /** Grace time in which an instance without callers ends before it closes idle connections. */
        val LONG_SHUTDOWN = 8.seconds

        const val SERVICE_MILLIS = 2_500L

        /** Times after the signal; the process has a grace time of four seconds. */
        val LATE_MILLIS = listOf(600L, 1_200L, 1_800L, 2_300L)

        /** Several times what the slots of the server hold. */
        const val CALLERS = 24
        const val READ_MILLIS = 200L

        /** Distance of the events of a stream, and numbers of events that end in time after the signal or not. */
        const val EVENT_MILLIS = 100L
        const val OBSERVED_STREAMS = 8
        const val SHORT_STREAM = 5
        const val LONG_STREAM = 30
        const val LONGEST_STREAM = 60

        /** Number of events that end in time late in a long grace time, and one that does not. */
        const val MEDIUM_STREAM = 20
        const val VERY_LONG_STREAM = 170

        /** Time after the signal at which address lists have expired, and seconds that are then left at least. */
        const val LATE_IN_SHUTDOWN_MILLIS = 3_200L
        const val LEFT_AT_LEAST_SECONDS = 3.0

        /** Prompts, and time to read the long one that the instance allows and that ends after estimates count. */
        const val SHORT_PROMPT = 10
        const val LONG_PROMPT = 4_000
        const val SLOW_PREFILL_MILLIS = 800L

        /** Time after an early stream at which no caller holds an address list with the instance. */
        const val LISTS_EXPIRED_MILLIS = 2_200L
        const val LATE_STREAM_MILLIS = 600L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
