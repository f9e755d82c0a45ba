/*
 * A store that ends calls which wait for changes, as a sound store may do at any time.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.util.concurrent.CompletableFuture

class CutWatchTest {
    private val resources = mutableListOf<AutoCloseable>()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private val leaving = ScriptedServer { answer(body = "leaving") }.also { resources += it }
    private val staying = ScriptedServer {
        Thread.sleep(SERVICE_MILLIS)
        answer(body = "staying")
    }.also { resources += it }

    /**
     * Guards against a server that stays in use past the drain time because waiting calls were cut after its entry was
     * removed (review case 5), immediately before that, or again and again.
     */
    @ParameterizedTest
    @ValueSource(strings = ["1000", "-100", "-100,300,700,1100,1500"])
    fun `removed server gets no work after the drain time although watches are cut`(cutMillis: String) {
        val servers = listOf(testServer("a", leaving.address), testServer("b", staying.address))
        val instance = InstanceFixture(servers = servers).also { resources += it }
        awaitUntil("both watches wait") { instance.store.waitingWatches == 2 }
        val removedAt = System.nanoTime() + LEAD_MILLIS * NANOS_PER_MILLI
        val cuts = cutMillis.split(',').map { it.toLong() to { instance.store.cutWatches() } }
        val removal = 0L to { instance.store.remove("servers/a") }
        (cuts + removal).sortedBy { it.first }.forEach { (millis, action) ->
            sleepUntil(removedAt, millis)
            action()
        }
        sleepUntil(removedAt, DRAIN_MILLIS)
        // More calls than the other server runs at a time, so that each usable server gets some.
        val calls = (1..CALLS).map { CompletableFuture.supplyAsync { instance.call("/once/x", "r$it") } }
        expectThat(calls.count { it.get()?.body == "staying" }).isGreaterThan(0)
        expectThat(leaving.requests).isEmpty()
    }

    private fun sleepUntil(startNanos: Long, millis: Long) =
        Thread.sleep(((startNanos - System.nanoTime()) / NANOS_PER_MILLI + millis).coerceAtLeast(0))

    private companion object {
        const val LEAD_MILLIS = 200L
        const val DRAIN_MILLIS = 2_000L
        const val CALLS = 12
        const val SERVICE_MILLIS = 300L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
