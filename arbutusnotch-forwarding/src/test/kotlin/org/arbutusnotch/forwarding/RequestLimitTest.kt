/*
 * Servers that name in their answers how many requests a second they take from all instances together.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.LimitedServer
import org.arbutusnotch.forwarding.fixture.ReceivedResponse
import org.arbutusnotch.forwarding.fixture.StandInStore
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RequestLimitTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val store = StandInStore().also { resources += it }
    private val requestCount = AtomicInteger()

    @AfterEach
    fun close() = resources.asReversed().forEach { it.close() }

    private fun limitedServer(perSecond: Double?) = LimitedServer(perSecond).also { resources += it }

    private fun entriesOf(vararg servers: LimitedServer): List<BackendServer> =
        servers.mapIndexed { index, server -> testServer("server-$index", server.address) }

    /** Starts [count] instances that know each other. */
    private fun instances(count: Int, servers: List<BackendServer>): List<InstanceFixture> {
        val first = InstanceFixture(servers = servers, sharedStore = store)
        val others = (2..count).map {
            InstanceFixture(servers = servers, sharedStore = store, seeds = listOf(first.peer))
        }
        return (listOf(first) + others).also { resources += it }
    }

    /** Sends [perSecond] calls a second for [duration], to each of [instances] in turn, and returns the responses. */
    private fun load(instances: List<InstanceFixture>, perSecond: Int, duration: Duration): List<ReceivedResponse?> {
        val responses = ConcurrentLinkedQueue<Pair<Int, ReceivedResponse?>>()
        val interval = 1.seconds / perSecond
        val callers = (0 until (duration / interval).toInt()).map { number ->
            thread {
                Thread.sleep((interval * number).inWholeMilliseconds)
                val id = "call-${requestCount.incrementAndGet()}"
                responses += number to instances[number % instances.size].call("/once/x", id, "wait: 1000\r\n")
            }
        }
        callers.forEach { it.join() }
        return responses.sortedBy { it.first }.map { it.second }
    }

    private fun expectLimitKept(server: LimitedServer) =
        expectThat(server.mostArrivals(WINDOW, skipped = GRACE)).isLessThanOrEqualTo(server.allowedArrivals(WINDOW))

    /** Expects that a limited server is used while callers ask for more than all servers take. */
    private fun expectFairShare(server: LimitedServer) =
        expectThat(server.mostArrivals(WINDOW, skipped = GRACE)).isGreaterThanOrEqualTo(server.fairArrivals(WINDOW))

    /** Guards against a limit that is ignored, or that each instance takes for itself. */
    @Test
    @Tag("known-red")
    fun `instances together send a server no more than the limit that it names`() {
        val servers = listOf(limitedServer(perSecond = 4.0), limitedServer(perSecond = 3.0))
        load(instances(count = 3, entriesOf(*servers.toTypedArray())), perSecond = 40, duration = 7.seconds)
        servers.forEach { server -> expectLimitKept(server) }
        servers.forEach { server -> expectFairShare(server) }
    }

    private companion object {
        /** Length of the window in which the requests to a server are counted. */
        val WINDOW = 4.seconds

        /** Time from the first answer with a limit until the limit must be met by all instances. */
        val GRACE = 500.milliseconds
    }
}
