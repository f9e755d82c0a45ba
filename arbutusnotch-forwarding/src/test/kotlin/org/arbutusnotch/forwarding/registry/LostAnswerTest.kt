/*
 * A store that loses answers: the connection stays open and returns nothing.
 *
 * The store is sound again when a server leaves, so the server must get no more work after the drain time.
 */
package org.arbutusnotch.forwarding.registry

import com.github.michaelbull.result.get
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.forwarding.entry.ControlHandler
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testRoutes
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull

class LostAnswerTest {
    private val resources = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private val store = StandInStore().also { resources += it }
    private val leaving = ScriptedServer { answer(body = "leaving") }.also { resources += it }
    private val staying = ScriptedServer { answer(body = "staying") }.also { resources += it }

    private fun instances(count: Int): List<InstanceFixture> {
        val servers = listOf(testServer("a", leaving.address), testServer("b", staying.address))
        val first = InstanceFixture(servers = servers, sharedStore = store).also { resources += it }
        val others = (2..count).map {
            InstanceFixture(servers = servers, sharedStore = store, seeds = listOf(first.peer)).also { resources += it }
        }
        return listOf(first) + others
    }

    private fun drain() = store.put("servers/a", testServer("a", leaving.address, leaving = true))

    /** Guards against 22 s without the entries of servers after the answer of a watch was lost (review case 4). */
    @Test
    fun `single instance hears that a server leaves although an earlier answer was lost`() {
        val instance = instances(count = 1).single()
        awaitUntil("both watches wait") { store.waitingWatches == 2 }
        store.loseWatchAnswers(1)
        store.put("servers/c", testServer("c", staying.address))
        awaitUntil("the answer is lost") { store.remainingLostAnswers == 0 }
        Thread.sleep(SOUND_MILLIS)
        drain()
        Thread.sleep(DRAIN_MILLIS)
        val answers = (1..CALLS).map { instance.call("/safe/x", "r$it")?.body }
        expectThat(answers).all { isEqualTo("staying") }
    }

    /** Guards against routes that stay in force for 22 s after the answer of a watch was lost. */
    @Test
    fun `single instance hears of new routes although an earlier answer was lost`() {
        val instance = instances(count = 1).single()
        awaitUntil("both watches wait") { store.waitingWatches == 2 }
        store.loseWatchAnswers(1)
        store.put("routes/table", testRoutes(revision = 2))
        awaitUntil("the answer is lost") { store.remainingLostAnswers == 0 }
        Thread.sleep(SOUND_MILLIS)
        val routes = testRoutes(revision = 3)
        val remaining = routes.routes.filter { it.prefix != "/safe/" }
        store.put("routes/table", RouteTable(routes.revision, remaining, routes.pools, routes.limits))
        Thread.sleep(DRAIN_MILLIS)
        expectThat(instance.call("/safe/x", "r1")?.status).isEqualTo(404)
    }

    /** Returns the revision of the entry of the leaving server as the instance knows it. */
    private fun InstanceFixture.knownRevision(): Long? {
        val snapshot = get(controlAddress, ControlHandler.SNAPSHOT_PATH)?.body.orEmpty()
        val parts = StoreSnapshot.decode(snapshot.toByteArray(Charsets.ISO_8859_1)).get()?.parts.orEmpty()
        return parts.flatMap { it.storeItems() }.singleOrNull { it.key == "servers/a" }?.revision
    }

    /** Guards against instances that do not learn from their peers that they have missed a change. */
    @Test
    fun `instances of a fleet learn from a peer that the answer about a leaving server was lost`() {
        val instances = instances(count = FLEET)
        awaitUntil("all instances know each other") { instances.all { it.knowsFleet() } }
        awaitUntil("all watches wait") { store.waitingWatches == 2 * FLEET }
        val before = instances.mapNotNull { it.knownRevision() }.distinct().single()
        store.loseWatchAnswers(FLEET - 1)
        drain()
        Thread.sleep(DRAIN_MILLIS)
        val known = instances.map { it.knownRevision() }
        expectThat(known.distinct()).hasSize(1)
        expectThat(known.first()).isNotNull().isGreaterThan(before)
    }

    /** Returns instances whose watches have all begun a moment ago, with the wait of a fleet. */
    private fun instancesWithNewWatches(): List<InstanceFixture> {
        val instances = instances(count = FLEET)
        awaitUntil("all instances know each other") { instances.all { it.knowsFleet() } }
        Thread.sleep(ROLE_MILLIS)
        store.put("routes/table", testRoutes(revision = 2))
        store.put("servers/c", testServer("c", staying.address))
        Thread.sleep(DELIVERY_MILLIS)
        awaitUntil("all watches wait") { store.waitingWatches == 2 * FLEET }
        return instances
    }

    /**
     * Guards against routes that stay in force at all instances after their open connections to the store went silent
     * at the same time (review case 10).
     */
    @Test
    fun `instances of a fleet hear of new routes although all their watches were lost`() {
        val instances = instancesWithNewWatches()
        store.silenceWatches()
        Thread.sleep(SOUND_MILLIS)
        val routes = testRoutes(revision = 3)
        val remaining = routes.routes.filter { it.prefix != "/safe/" }
        store.put("routes/table", RouteTable(routes.revision, remaining, routes.pools, routes.limits))
        Thread.sleep(DRAIN_MILLIS)
        expectThat(instances.map { it.call("/safe/x", "r1")?.status }).all { isEqualTo(404) }
    }

    /** Guards against a leaving server that all instances use on after their open connections went silent. */
    @Test
    fun `instances of a fleet hear of a leaving server although all their watches were lost`() {
        val instances = instancesWithNewWatches()
        val before = instances.mapNotNull { it.knownRevision() }.distinct().single()
        store.silenceWatches()
        Thread.sleep(SOUND_MILLIS)
        drain()
        Thread.sleep(DRAIN_MILLIS)
        expectThat(instances.map { it.knownRevision() }).all { isNotNull().isGreaterThan(before) }
    }

    private fun InstanceFixture.knowsFleet() = get(directoryAddress, "/where")?.body.orEmpty().split(',').size == FLEET

    private companion object {
        /** Time without a disruption after which the bounds hold again. */
        const val SOUND_MILLIS = 3_000L

        /** Time within which a leaving server and new routes must take effect. */
        const val DRAIN_MILLIS = 2_000L
        const val CALLS = 8

        /** Time after which the same instances call the store often as before: two checks of the role. */
        const val ROLE_MILLIS = 1_000L

        /** Time within which a sound store delivers changes and the instances watch again. */
        const val DELIVERY_MILLIS = 500L
        const val FLEET = 6
    }
}
