/*
 * Tests keys of workspaces at instances that lose the store, their peers or their time.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.PausableClock
import org.arbutusnotch.forwarding.fixture.RawCaller
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.MonotonicClock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.util.concurrent.Semaphore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class WorkspaceKeysTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val store = StandInStore().also { resources += it }
    private val server = ScriptedServer { answer() }.also { resources += it }
    private var calls = 0

    @AfterEach
    fun close() = resources.reversed().forEach { it.close() }

    /** Returns routes that need a key, except `/once/`. */
    private fun routes(vararg keys: String, revision: Long = 1, objective: Duration = 200.milliseconds): RouteTable {
        val table = testRoutes(revision, objective = objective)
        return RouteTable(
            revision = table.revision,
            routes = table.routes.map { it.copy(requiresKey = it.name != "once") },
            pools = table.pools,
            limits = table.limits,
            workspaces = listOf(Workspace(WorkspaceId("w"), keys.map { ContentDigest(it) }.toSet())),
        )
    }

    private fun instance(
        store: StandInStore = this.store,
        address: String = server.address,
        routes: RouteTable = routes("k"),
        seeds: List<String> = emptyList(),
        clock: Clock = MonotonicClock(),
        revocationTime: Duration = 2.seconds,
    ) = InstanceFixture(
        routes = routes,
        servers = listOf(testServer("s", address)),
        sharedStore = store,
        seeds = seeds,
        clock = clock,
        revocationTime = revocationTime,
    ).also { resources += it }

    private fun InstanceFixture.send(
        key: String?,
        target: String = "/safe/x",
        headers: String = "",
    ): ReceivedResponse? {
        calls += 1
        return call(target, "r$calls", headers = headers + key?.let { "key: $it\r\n" }.orEmpty())
    }

    private fun InstanceFixture.status(key: String?, target: String = "/safe/x") = send(key, target)?.status

    private fun InstanceFixture.awaitStatus(status: Int, key: String) =
        awaitUntil("key $key gets status $status") { status(key) == status }

    private fun awaitPeers(instances: List<InstanceFixture>) = awaitUntil("the instances know each other") {
        instances.all { it.get(it.directoryAddress, "/where")?.body.orEmpty().split(',').size == instances.size }
    }

    @Test
    fun `server receives the workspace and never the key`() {
        val instance = instance()
        expectThat(instance.status("k")).isEqualTo(OK)
        expectThat(instance.status("k", "/once/x")).isEqualTo(OK)
        expectThat(server.requests.map { it.header("workspace") }).isEqualTo(listOf("w", "none"))
        expectThat(server.requests.map { it.header("key") }).all { isNull() }
    }

    /** Guards against a rejection for good while the store, which may hold a newer configuration, is silent. */
    @Test
    fun `instance without the store rejects known keys in time and unknown keys never for good`() {
        val instance = instance()
        instance.awaitStatus(UNAUTHORIZED, "new")
        store.silent = true
        store.cutWatches()
        store.put("routes/table", routes("new", revision = 2))
        val cutAt = TimeSource.Monotonic.markNow()
        instance.awaitStatus(UNAVAILABLE, "k")
        expectThat(cutAt.elapsedNow() < 2.seconds).isEqualTo(true)
        repeat(20) {
            val answer = instance.send("new")
            expectThat(answer?.status).isEqualTo(UNAVAILABLE)
            expectThat(answer?.header("Retry-After")).isNotNull()
            expectThat(answer?.header("X-Refusal-Reason")).isEqualTo("configuration_unconfirmed")
            expectThat(instance.status("k")).isEqualTo(UNAVAILABLE)
            Thread.sleep(STEP_MILLIS)
        }
        expectThat(instance.status(null, "/once/x")).isEqualTo(OK)
        store.silent = false
        instance.awaitStatus(OK, "new")
        instance.awaitStatus(UNAUTHORIZED, "k")
    }

    /** Guards against an instance that rejects all keys although its peers reach the store. */
    @Test
    fun `instance without the store accepts keys while peers confirm its revision`() {
        val ownStore = StandInStore().also { resources += it }
        val first = instance()
        val second = instance(store = ownStore, seeds = listOf(first.peer))
        awaitPeers(listOf(first, second))
        ownStore.silent = true
        val end = TimeSource.Monotonic.markNow() + 5.seconds
        while (end.hasNotPassedNow()) {
            expectThat(second.status("k")).isEqualTo(OK)
            Thread.sleep(STEP_MILLIS)
        }
        first.crash()
        second.awaitStatus(UNAVAILABLE, "k")
    }

    /** Guards against a confirmation from before a pause of the process. */
    @Test
    fun `instance that was paused accepts keys only after the store has answered`() {
        val clock = PausableClock()
        val instance = instance(clock = clock, revocationTime = 60.seconds)
        expectThat(instance.status("k")).isEqualTo(OK)
        store.silent = true
        store.cutWatches()
        clock.pause()
        Thread.sleep(PAUSE_MILLIS)
        clock.resume()
        repeat(10) {
            expectThat(instance.status("k")).isEqualTo(UNAVAILABLE)
            Thread.sleep(STEP_MILLIS)
        }
        store.silent = false
        instance.awaitStatus(OK, "k")
    }

    /** Guards against a peer that does not get the key, and against one that does not check it. */
    @Test
    fun `relayed request is checked by the second instance`() {
        val unreachableStore = StandInStore().also { resources += it }
        val reaching = mutableListOf<InstanceFixture>()
        repeat(3) { reaching += instance(seeds = reaching.take(1).map { it.peer }) }
        val partitioned = instance(
            store = unreachableStore,
            address = "127.0.0.1:1",
            routes = routes("k", "other"),
            seeds = listOf(reaching.first().peer),
        )
        awaitPeers(reaching + partitioned)
        awaitUntil("a request is relayed") {
            reaching.forEach { it.status("k") }
            partitioned.status("k") == OK
        }
        expectThat(partitioned.send("k", headers = "Connection: key\r\n")?.status).isEqualTo(OK)
        expectThat(server.requests.last().header("workspace")).isEqualTo("w")
        awaitUntil("the second instance rejects the key") { partitioned.status("other") == UNAUTHORIZED }
        expectThat(server.requests.map { it.header("key") }).all { isNull() }
    }

    /** Guards against a workspace whose requests wait with the priority of the route instead of its own. */
    @Test
    fun `priority of the workspace takes precedence over that of the route`() {
        val held = Semaphore(0)
        val slow = ScriptedServer {
            held.acquire()
            answer()
        }.also { resources += it }
        val table = routes("k", objective = 2.seconds)
        val urgent = Workspace(WorkspaceId("urgent"), setOf(ContentDigest("u")), priority = 0)
        val workspaces = table.workspaces.orEmpty() + urgent
        val keyed = table.routes.map { it.copy(requiresKey = true) }
        val instance = instance(
            address = slow.address,
            routes = RouteTable(table.revision, keyed, table.pools, table.limits, workspaces),
        )
        fun begin(key: String, id: String) = RawCaller(instance.front).also { resources += it }
            .write(instance.request("/once/x", id, headers = "key: $key\r\n"))
        var sent = 0
        while (slow.requests.size == sent) {
            begin("k", "usual-$sent")
            sent += 1
            var steps = 0
            while (slow.requests.size < sent && steps++ < WAITING_STEPS) Thread.sleep(STEP_MILLIS)
        }
        val running = slow.requests.size
        begin("u", "urgent")
        Thread.sleep(STEP_MILLIS)
        held.release()
        awaitUntil("a waiting request runs") { slow.requests.size > running }
        expectThat(slow.requests[running].header("id")).isEqualTo("urgent")
        held.release(sent)
    }

    /** Guards against a stream that is taken up without a key. */
    @Test
    fun `stream is taken up only with a key`() {
        val instance = instance()
        awaitUntil("a missing key is rejected") {
            instance.send(null, "/resumable/x", "resumes: r0\r\nafter: 1\r\n")?.status == UNAUTHORIZED
        }
    }

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val UNAVAILABLE = 503
        const val STEP_MILLIS = 50L

        /** Steps after which a request that has not reached its server waits for a place. */
        const val WAITING_STEPS = 10
        const val PAUSE_MILLIS = 1_000L
    }
}
