/*
 * Entries that another writer left in the store and that describe no server.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.forwarding.entry.ControlHandler
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.util.concurrent.atomic.AtomicInteger

class OddEntryTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val store = StandInStore().also { resources += it }
    private val callCount = AtomicInteger()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun instance() = InstanceFixture(servers = emptyList(), sharedStore = store).also { resources += it }

    private fun registerServer(id: String, startedAt: Long = 1) {
        val server = ScriptedServer { answer() }.also { resources += it }
        store.put("servers/$id", testServer(id, server.address, startedAt = startedAt))
    }

    private fun InstanceFixture.status(): Int? = call("/once/x", "r${callCount.incrementAndGet()}")?.status

    private fun failure(kind: String): Throwable =
        if (kind == "stack overflow") StackOverflowError() else IllegalStateException("odd")

    /** Guards against an entry that ends the following of the store, so that no later server is ever used. */
    @ParameterizedTest
    @ValueSource(strings = ["stack overflow", "exception"])
    fun `server that registers after an entry that cannot be decoded is used`(kind: String) {
        val instance = instance()
        store.putFailing("servers/odd", failure(kind))
        registerServer("sound")
        awaitUntil("the server is used") { instance.status() == 200 }
    }

    /** Guards against an instance that never serves because an entry cannot be decoded. */
    @ParameterizedTest
    @ValueSource(strings = ["stack overflow", "exception"])
    fun `instance that starts after an entry that cannot be decoded serves`(kind: String) {
        store.putFailing("servers/odd", failure(kind))
        store.putFailing("routes/odd", failure(kind))
        registerServer("sound")
        val instance = instance()
        awaitUntil("the server is used") { instance.status() == 200 }
    }

    /** Guards against an entry whose start time no later process of the server can exceed. */
    @Test
    fun `entry that started in the far future does not replace its server`() {
        val instance = instance()
        registerServer("sound")
        awaitUntil("the server is used") { instance.status() == 200 }
        store.put("servers/sound", testServer("sound", "127.0.0.1:9", startedAt = Long.MAX_VALUE))
        Thread.sleep(READ_MILLIS)
        repeat(3) { expectThat(instance.status()).isEqualTo(200) }
    }

    /** Guards against processes that end because unreadable entries exceed their memory (review case 2). */
    @Test
    fun `unreadable entries are kept without their values`() {
        val instance = instance()
        store.putLarge("servers/other-", LARGE_ENTRIES, LARGE_BYTES)
        registerServer("sound")
        awaitUntil("the server is used") { instance.status() == 200 }
        val snapshot = instance.get(instance.controlAddress, ControlHandler.SNAPSHOT_PATH)
        expectThat(snapshot?.body?.length).isNotNull().isLessThan(LARGE_BYTES)
    }

    private companion object {
        const val LARGE_ENTRIES = 20
        const val LARGE_BYTES = 200_000
        const val READ_MILLIS = 400L
    }
}
