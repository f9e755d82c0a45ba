/*
 * Tests what operators learn about servers that are held back because their answers fail.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.PlaceOutcome
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds

class HeldBackServersTest {
    private val servers = listOf("a", "b", "c").map { server(it) }
    private val fixture = DispatchFixture(servers)
    private val failing = mutableSetOf<BackendServerId>()

    private fun server(id: String, startedAt: Long = 1): BackendServer =
        DispatchFixture.server(id, slots = 4, startedAt = startedAt)

    /** Sends [requests], one every 10 ms, and returns the changes that the dispatcher reports meanwhile. */
    private fun run(requests: Int): List<HeldBackChange> = (1..requests).flatMap {
        val granted = fixture.submitCall().granted().single()
        val outcome = if (granted.server in failing) PlaceOutcome.SERVER_FAILED else PlaceOutcome.COMPLETED
        fixture.release(granted, outcome = outcome)
        fixture.advance(10.milliseconds)
        fixture.dispatcher.tick(fixture.now)
        fixture.dispatcher.checkHeldBackServers(fixture.now)
    }

    /** Guards against a server that is left out without a word to the operators, and against a line for each probe. */
    @Test
    fun `server that begins to fail is reported once with its failures`() {
        expectThat(run(requests = 200)).isEmpty()
        failing += BackendServerId("a")
        val changes = run(requests = 1_000)
        expectThat(changes).hasSize(1)
        val change = changes.single()
        expectThat(change.server).isEqualTo(BackendServerId("a"))
        expectThat(change.domain).isEqualTo(DispatchFixture.DOMAIN)
        expectThat(change.isHeldBack).isTrue()
        expectThat(change.failures.share).isGreaterThan(0.25)
        expectThat(change.failures.samples).isGreaterThanOrEqualTo(4)
        expectThat(change.failures.nextProbeAt).isGreaterThan(change.failures.answeredAt)
    }

    /** Guards against operators who look for a fault that has ended. */
    @Test
    fun `server that has recovered is reported as no longer held back`() {
        failing += BackendServerId("a")
        run(requests = 500)
        failing.clear()
        val changes = run(requests = 500)
        expectThat(changes).hasSize(1)
        expectThat(changes.single().isHeldBack).isFalse()
        expectThat(changes.single().failures.share).isLessThanOrEqualTo(0.25)
    }

    /** Guards against a new process that is reported as recovered from the faults of the earlier one. */
    @Test
    fun `restarted server is not held back for the failures of the earlier process`() {
        failing += BackendServerId("a")
        run(requests = 500)
        val restarted = listOf(server("a", startedAt = 2)) + servers.drop(1)
        fixture.dispatcher.configure(restarted, engine = null)
        failing.clear()
        expectThat(run(requests = 200)).isEmpty()
        failing += BackendServerId("a")
        expectThat(run(requests = 500).map { it.isHeldBack }).isEqualTo(listOf(true))
    }

    /** Guards against servers that are reported as faulty although the requests are at fault at all of them. */
    @Test
    fun `servers that fail alike are not held back`() {
        failing += servers.map { it.id }
        expectThat(run(requests = 500)).isEmpty()
    }
}
