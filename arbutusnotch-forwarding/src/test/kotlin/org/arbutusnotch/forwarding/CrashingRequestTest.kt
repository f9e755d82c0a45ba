/*
 * Requests that end the servers that run them, and that come again under other ids, at other instances.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

class CrashingRequestTest {
    private val open = mutableListOf<AutoCloseable>()
    private val store = StandInStore().also { open += it }
    private val attempts = AtomicInteger()

    @AfterEach
    fun close() = open.asReversed().forEach { it.close() }

    private val AnswerWriter.crashes: Boolean
        get() = String(request.body) == CRASHING

    /** Starts a server that [script] may end. */
    private fun server(script: AnswerWriter.(end: () -> Unit) -> Unit): ScriptedServer {
        lateinit var server: ScriptedServer
        server = ScriptedServer {
            script {
                server.stopListening()
                reset()
            }
        }
        return server.also { open += it }
    }

    /** Starts servers that end under a crashing request and answer all others. */
    private fun services(count: Int): List<ScriptedServer> =
        (1..count).map { server { end -> if (crashes) end() else answer() } }

    private fun engine(stage: ServerStage, script: AnswerWriter.(end: () -> Unit) -> Unit) = stage to server(script)

    private fun describe(servers: List<ScriptedServer>): List<BackendServer> =
        servers.mapIndexed { index, server -> testServer("server-$index", server.address) }

    private fun describeEngines(engines: List<Pair<ServerStage, ScriptedServer>>): List<BackendServer> =
        engines.mapIndexed { index, (stage, server) -> testServer("engine-$index", server.address, stage) }

    /** Starts an instance that takes no server for silent while a busy machine plays the test. */
    private fun instance(servers: List<BackendServer>, vararg peers: InstanceFixture): InstanceFixture {
        val routes = testRoutes(objective = 2.seconds)
        val seeds = peers.map { it.peer }
        return InstanceFixture(routes, servers, sharedStore = store, seeds = seeds).also { open += it }
    }

    /** Sends one attempt, each under an id of its own. */
    private fun InstanceFixture.attempt(kind: String, body: String = CRASHING): ReceivedResponse? =
        call("/$kind/x", "attempt-${attempts.incrementAndGet()}", "tokens: 1000,50\r\n", body)

    private fun ReceivedResponse?.isQuarantined() = this?.status == 503 && header("X-Refusal-Reason") == "quarantined"

    private fun List<ScriptedServer>.arrivals(): Int =
        sumOf { server -> server.requests.count { String(it.body) == CRASHING } }

    /** Guards against a request that ends one server after the other, as its caller sends it again. */
    @ParameterizedTest
    @ValueSource(strings = ["safe", "once"])
    fun `call that ended two servers reaches no third one`(kind: String) {
        val servers = services(6)
        val instance = instance(describe(servers))
        val answers = (1..8).map { instance.attempt(kind) }
        expectThat(servers.arrivals()).isEqualTo(2)
        expectThat(answers.takeLast(6)).all { get { isQuarantined() }.isEqualTo(true) }
        expectThat(instance.attempt(kind, "other")?.status).isEqualTo(200)
    }

    /** Guards against a stream that ends one engine after the other, whether it may be continued or not. */
    @ParameterizedTest
    @ValueSource(strings = ["stream", "resumable"])
    fun `stream that ended two engines reaches no third one`(kind: String) {
        val engines = (1..5).map {
            engine(ServerStage.DECODE) { end ->
                streamHead()
                event(1)
                if (crashes) end() else endOfStream()
            }
        }
        val instance = instance(describeEngines(engines))
        repeat(8) { instance.attempt(kind) }
        expectThat(engines.map { it.second }.arrivals()).isEqualTo(2)
        expectThat(instance.attempt(kind).isQuarantined()).isEqualTo(true)
        expectThat(instance.attempt(kind, "other")?.complete).isEqualTo(true)
    }

    /** Guards against a prompt that ends the engines that read it, of which the run knows nothing. */
    @Test
    fun `prompt that ended the engine that read it ends one more at most`() {
        val readers = (1..3).map { engine(ServerStage.PREFILL) { end -> end() } }
        val runners = (1..3).map { engine(ServerStage.DECODE) { end -> end() } }
        val instance = instance(describeEngines(readers + runners))
        repeat(6) { instance.attempt("stream") }
        expectThat((readers + runners).map { it.second }.arrivals()).isEqualTo(2)
    }

    /** Guards against instances that each try for themselves what has ended the servers of others. */
    @Test
    fun `request that ended two servers is refused by every instance`() {
        val servers = services(8)
        val first = instance(describe(servers))
        val others = (1..2).map { instance(describe(servers), first) }
        repeat(2) { first.attempt("safe") }
        expectThat(servers.arrivals()).isEqualTo(2)
        others.forEach { other -> awaitUntil("the instance refuses") { other.attempt("safe").isQuarantined() } }
        // An instance that has not heard of it may end two more.
        expectThat(servers.arrivals()).isLessThanOrEqualTo(6)
        val before = servers.arrivals()
        (others + first).forEach { instance -> repeat(4) { instance.attempt("safe") } }
        expectThat(servers.arrivals()).isEqualTo(before)
    }

    /** Guards against attempts that are spread over instances, none of which sees two servers end. */
    @Test
    fun `servers that ended at different instances count together`() {
        val servers = services(12)
        val first = instance(describe(servers))
        val second = instance(describe(servers), first)
        val instances = listOf(first, second)
        awaitUntil("both instances refuse") {
            instances.map { it.attempt("once") }.all { it.isQuarantined() }
        }
        val before = servers.arrivals()
        expectThat(before).isIn(2..4)
        instances.forEach { instance -> repeat(4) { instance.attempt("once") } }
        expectThat(servers.arrivals()).isEqualTo(before)
    }

    /** Guards against an instance that has forgotten after its restart what must not be sent any more. */
    @Test
    fun `instance that starts later refuses what ended servers before`() {
        val servers = services(8)
        val first = instance(describe(servers))
        val second = instance(describe(servers), first)
        repeat(2) { first.attempt("safe") }
        awaitUntil("the other instance refuses") { second.attempt("safe").isQuarantined() }
        first.close()
        Thread.sleep(500)
        val before = servers.arrivals()
        val restarted = instance(describe(servers), second)
        awaitUntil("the instance has heard of it") { restarted.attempt("safe").isQuarantined() }
        expectThat(servers.arrivals() - before).isLessThanOrEqualTo(2)
        expectThat(restarted.attempt("safe", "other")?.status).isEqualTo(200)
    }

    /** Guards against a sound request that is refused because servers broke it off that live on. */
    @ParameterizedTest
    @ValueSource(strings = ["safe", "once", "stream", "resumable"])
    fun `request that servers broke off and survived is not refused`(kind: String) {
        val engines = ServerStage.entries.associateWith { stage ->
            (1..3).map { server { reset() } }.map { testServer("$stage-${it.address}", it.address, stage) }
        }
        val instance = instance(engines.values.flatten())
        val answers = (1..6).map { instance.attempt(kind) }
        expectThat(answers.filter { it.isQuarantined() }).isEmpty()
    }

    /** Guards against a sound request that stays refused because servers ended under it. */
    @Test
    fun `request that completes later is not refused`() {
        val arrivals = AtomicInteger()
        val servers = (1..10).map { server { end -> if (arrivals.incrementAndGet() % 2 == 1) end() else answer() } }
        val instance = instance(describe(servers))
        expectThat((1..6).map { instance.attempt("safe")?.status }).all { isEqualTo(200) }
    }

    /** Guards against a common request, such as a list without parameters, that is refused after an outage. */
    @Test
    fun `request that has completed before is not refused when all servers end`() {
        val outage = AtomicBoolean()
        val servers = (1..4).map { server { end -> if (outage.get()) end() else answer() } }
        val instance = instance(describe(servers))
        expectThat(instance.attempt("safe", "common")?.status).isEqualTo(200)
        outage.set(true)
        val answers = (1..4).map { instance.attempt("safe", "common") }
        expectThat(servers.sumOf { it.requests.size }).isGreaterThan(2)
        services(4).forEachIndexed { index, server ->
            store.put("servers/server-$index", testServer("server-$index", server.address, startedAt = 2))
        }
        awaitUntil("the request is served again") { instance.attempt("safe", "common")?.status == 200 }
        expectThat(answers.filter { it.isQuarantined() }).isEmpty()
    }

    private companion object {
        const val CRASHING = "crash"
    }
}
