/*
 * A store that is restored from a copy: changes that it acknowledged are lost, and their revisions are given out again.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.forwarding.registry

import com.github.michaelbull.result.get
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.TestPorts
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.atomic.AtomicInteger

class StoreRestorationTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val store = StandInStore().also { resources += it }
    private val callCount = AtomicInteger()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun server() = ScriptedServer { answer() }.also { resources += it }

    private fun put(id: String, server: ScriptedServer, leaving: Boolean = false) =
        store.put("servers/$id", testServer(id, server.address, leaving = leaving))

    private fun instance(vararg peers: InstanceFixture) =
        InstanceFixture(servers = emptyList(), sharedStore = store, seeds = peers.map { it.peer })
            .also { resources += it }

    /** Starts an instance that knows one server, and waits until it uses it. */
    private fun instanceWithServer(): Pair<InstanceFixture, ScriptedServer> {
        val server = server()
        put("first", server)
        val instance = instance()
        awaitUntil("the server is used") { instance.status() == 200 }
        return instance to server
    }

    private fun InstanceFixture.status(route: String = "once"): Int? =
        call("/$route/x", "r${callCount.incrementAndGet()}")?.status

    /** Writes [count] changes that concern no request. */
    private fun writeUnrelated(count: Int) = repeat(count) {
        store.putUnreadable(if (it % 2 == 0) "servers/unrelated-$it" else "routes/unrelated-$it")
    }

    /** Returns [version] of the routes of the tests with one more route, `/added/`. */
    private fun withAddedRoute(version: Long): RouteTable {
        val routes = testRoutes()
        val added = routes.routes.first { it.prefix == "/once/" }.copy(name = "added", prefix = "/added/")
        return RouteTable(RevisionNumber(version), routes.routes + added, routes.pools, routes.limits)
    }

    /** Guards against changes that are missed because their revisions were known before. */
    @ParameterizedTest
    @ValueSource(ints = [0, 40])
    fun `route that is added after a restoration is served`(rewritten: Int) {
        val (instance, _) = instanceWithServer()
        writeUnrelated(40)
        awaitUntil("the changes are read") { instance.status() == 200 }
        Thread.sleep(READ_MILLIS)
        store.restore(lost = 40)
        store.put("routes/table", withAddedRoute(version = 2))
        // With enough changes the revision overtakes the lost one before an instance calls the store again.
        writeUnrelated(rewritten)
        awaitUntil("the route is served") { instance.status("added") == 200 }
    }

    @Test
    fun `server that registers after a restoration is used`() {
        val (instance, first) = instanceWithServer()
        writeUnrelated(40)
        Thread.sleep(READ_MILLIS)
        store.restore(lost = 40)
        val second = server()
        put("second", second)
        first.close()
        store.remove("servers/first")
        awaitUntil("the new server is used") { instance.status() == 200 && second.requests.isNotEmpty() }
    }

    @Test
    fun `server that reports after a restoration that it is leaving gets nothing more`() {
        val (instance, first) = instanceWithServer()
        val second = server()
        writeUnrelated(40)
        Thread.sleep(READ_MILLIS)
        store.restore(lost = 40)
        put("second", second)
        put("first", first, leaving = true)
        awaitUntil("the other server is used") { instance.status() == 200 && second.requests.isNotEmpty() }
        val before = first.requests.size
        repeat(20) { instance.status() }
        expectThat(first.requests.size).isEqualTo(before)
    }

    /** Guards against a server that gets requests again because the copy has no trace of its announcement. */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `server that left before a restoration gets nothing from an instance that knew it`(removed: Boolean) {
        val (instance, first) = instanceWithServer()
        val second = server()
        put("second", second)
        if (removed) store.remove("servers/first") else put("first", first, leaving = true)
        Thread.sleep(GRACE_MILLIS)
        awaitUntil("the other server is used") { instance.status() == 200 && second.requests.isNotEmpty() }
        val before = first.requests.size
        store.restore(lost = 1)
        writeUnrelated(3)
        Thread.sleep(READ_MILLIS)
        repeat(20) { instance.status() }
        expectThat(first.requests.size).isEqualTo(before)
    }

    /** Guards against a pool without servers while those that the copy lacks have not registered again. */
    @Test
    fun `server that the copy lacks keeps getting requests until it registers again`() {
        val instance = instance()
        put("late", server())
        awaitUntil("the server is used") { instance.status() == 200 }
        store.restore(lost = 1)
        Thread.sleep(READ_MILLIS)
        repeat(5) { expectThat(instance.status()).isEqualTo(200) }
    }

    /** Guards against the configuration of the copy, which is older than the confirmed one. */
    @Test
    fun `confirmed routes stay in force while the copy holds older ones`() {
        val (instance, _) = instanceWithServer()
        store.put("routes/table", withAddedRoute(version = 2))
        awaitUntil("the route is served") { instance.status("added") == 200 }
        store.restore(lost = 1)
        writeUnrelated(3)
        Thread.sleep(READ_MILLIS)
        repeat(5) { expectThat(instance.status("added")).isEqualTo(200) }
    }

    /** Guards against a restoration that shows only when something changes, long after a server was removed. */
    @Test
    fun `restoration is noticed although no item changes`() {
        val group = eventLoop()
        put("first", server())
        val follower = testFollower(store, group)
        group.execute { follower.start() }
        awaitUntil("the items are listed") { follower.position != null }
        writeUnrelated(1)
        awaitUntil("the change is read") { follower.position?.revision == 12L }
        awaitUntil("the next watch waits") { store.waitingWatches == 1 }
        store.restore(lost = 1)
        store.put("other", "unrelated")
        awaitUntil("the restoration is noticed") { follower.position?.era == 2L }
    }

    /** Guards against instances that call the store without a pause when its answers do not help them. */
    @ParameterizedTest
    @ValueSource(strings = ["NO_HISTORY", "ERA_RISES_WITH_EACH_ANSWER", "WATCHES_DO_NOT_WAIT"])
    fun `store whose answers do not help is called a few times a second`(fault: String) {
        instanceWithServer()
        store.fault = StandInStore.Fault.valueOf(fault)
        writeUnrelated(2)
        Thread.sleep(BACKOFF_MILLIS)
        val before = store.calls
        Thread.sleep(CALL_COUNT_MILLIS)
        expectThat(store.calls - before).isLessThanOrEqualTo(MAXIMUM_CALLS)
    }

    /** Guards against an instance that starts while the copy stands and denies what was confirmed. */
    @Test
    @Tag("known-red")
    fun `instance that starts while the copy stands serves no routes older than those of its peers`() {
        val (peer, _) = instanceWithServer()
        store.put("routes/table", withAddedRoute(version = 2))
        awaitUntil("the route is served") { peer.status("added") == 200 }
        store.restore(lost = 1)
        val started = instance(peer)
        repeat(5) { expectThat(started.status("added")).isEqualTo(200) }
    }

    /** Guards against routes of a copy that are used before a peer could be heard. */
    @Test
    @Tag("known-red")
    fun `instance answers that it is not ready until it has waited for its peers`() {
        val silentPeer = "127.0.0.1:${TestPorts.next()}"
        val started =
            InstanceFixture(
                servers = emptyList(),
                sharedStore = store,
                seeds = listOf(silentPeer),
                awaitsServing = false,
            )
                .also { resources += it }
        Thread.sleep(LISTING_MILLIS)
        expectThat(started.status("unknown")).isEqualTo(503)
        awaitUntil("the instance serves") { started.status("unknown") == 404 }
    }

    /** Guards against an instance that keeps the items of the lost era because it cannot reach the store itself. */
    @Test
    fun `snapshot of a peer in a later era replaces items of higher revisions`() {
        val follower = testFollower(store, eventLoop())
        val written = StoreItem("servers/a", 3, ByteArray(0))
        follower.adopt(listOf(StoreItem("servers/a", 40, ByteArray(0))), StorePosition(era = 1, revision = 40))
        follower.adopt(listOf(written), StorePosition(era = 2, revision = 5))
        expectThat(follower.snapshot()).containsExactly(written)
        follower.adopt(emptyList(), StorePosition(era = 1, revision = 60))
        expectThat(follower.snapshot()).containsExactly(written)
    }

    /** Guards against instances that cannot exchange their state while a new version is introduced. */
    @Test
    fun `snapshot of an instance of another version is read`() {
        val items = listOf(SnapshotItem("servers/a", 4, ByteArray(1)))
        val previous = Cbor.encodeToByteArray(PreviousSnapshot(listOf(PreviousPart("servers/", 7, items))))
        val decoded = StoreSnapshot.decode(previous).get()
        expectThat(decoded?.parts?.single()).isNotNull().and {
            get { era }.isEqualTo(0)
            get { revision }.isEqualTo(7)
        }
        val later = Cbor.encodeToByteArray(LaterSnapshot(parts = emptyList(), addition = 1))
        expectThat(StoreSnapshot.decode(later).get()).isNotNull()
    }

    private fun eventLoop(): EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).also { group ->
        resources += AutoCloseable { group.shutdownGracefully() }
    }

    @Serializable
    private class PreviousPart(val prefix: String, val revision: Long, val items: List<SnapshotItem>)

    @Serializable
    private class PreviousSnapshot(val parts: List<PreviousPart>)

    @Serializable
    private class LaterSnapshot(val parts: List<SnapshotPart>, val addition: Int)

    private companion object {
        /** Time in which an instance has read the latest changes, or has listed again. */
        const val READ_MILLIS = 400L

        /** Time in which an instance lists the store after its start; it waits longer for its peers. */
        const val LISTING_MILLIS = 200L

        /** Time for which a server whose entry disappeared keeps getting requests, and a margin. */
        const val GRACE_MILLIS = 1_500L

        /** Time after which the pauses between calls are at their longest. */
        const val BACKOFF_MILLIS = 1_500L
        const val CALL_COUNT_MILLIS = 4_000L

        /** Two followers that call at most five times a second each. */
        const val MAXIMUM_CALLS = 40
    }
}
