package org.arbutusnotch.core.straggler

import org.arbutusnotch.core.fixture.DECODE_POOL
import org.arbutusnotch.core.fixture.PREFILL_POOL
import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.prefillServer
import org.arbutusnotch.core.fixture.summary
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against new work for slow servers, and against excluding too many servers of a pool. */
internal class SlowServerTest {
    private val table = ServerTable().apply { configure(deployment(decodeServers = 9)) }
    private var now: Timestamp = START

    /** Simulates one stream per server for [duration], with a tick every 20 ms as in the daemon. */
    private fun run(duration: Duration, intervals: Map<BackendServerId, Duration> = emptyMap()): List<Change> {
        val end = now + duration
        val changes = mutableListOf<Change>()
        val lastTokenAt = (0..8).associate { decodeServer(it) to now }.toMutableMap()
        while (now < end) {
            now += STEP
            lastTokenAt.filter { now - it.value >= (intervals[it.key] ?: TOKEN_INTERVAL) }.forEach { (server, at) ->
                table.observeTokens(server, 1, now - at, now)
                lastTokenAt[server] = now
            }
            if (now.epochMillis % TICK.inWholeMilliseconds == 0L) {
                lastTokenAt.forEach { (server, at) -> table.observeSilence(server, 1, now - at, now) }
                changes += table.tick(now).map { Change(it, now) }
            }
        }
        return changes
    }

    private data class Change(val decision: StragglerDecision, val at: Timestamp)

    private fun excluded(): List<BackendServerId> =
        table.servers(DECODE_POOL, now).filter { it.excluded }.map { it.server }

    @Test
    fun `a server that slows down by a factor of five is excluded within 250 ms`() {
        run(1.seconds)
        val start = now
        val changes = run(500.milliseconds, mapOf(decodeServer(3) to TOKEN_INTERVAL * 5))
        expectThat(changes.map { it.decision.server }).containsExactly(decodeServer(3))
        expectThat(changes.first().at - start).isLessThan(250.milliseconds)
    }

    @Test
    fun `a server is returned within a second after its speed recovers`() {
        run(1.seconds)
        run(1.seconds, mapOf(decodeServer(3) to TOKEN_INTERVAL * 5))
        val start = now
        val changes = run(1.seconds)
        expectThat(changes.map { it.decision })
            .containsExactly(StragglerDecision.Returned(decodeServer(3), ReturnReason.SPEED_IS_BACK))
        expectThat(changes.first().at - start).isLessThan(1.seconds)
    }

    @Test
    fun `one slow token does not exclude a server`() {
        run(1.seconds)
        table.observeTokens(decodeServer(3), 1, TOKEN_INTERVAL * 5, now)
        expectThat(table.tick(now)).isEmpty()
    }

    @Test
    fun `at most a third of the pool is excluded, the slowest first`() {
        run(1.seconds)
        run(1.seconds, (0..3).associate { decodeServer(it) to TOKEN_INTERVAL * (4 + it) })
        expectThat(excluded()).containsExactlyInAnyOrder(decodeServer(1), decodeServer(2), decodeServer(3))
    }

    @Test
    fun `no server is excluded when the whole pool is slow`() {
        run(1.seconds)
        run(2.seconds, (0..8).associate { decodeServer(it) to TOKEN_INTERVAL * 5 })
        expectThat(excluded()).isEmpty()
    }

    @Test
    fun `one of two servers is never excluded`() {
        table.configure(deployment(decodeServers = 2))
        run(1.seconds)
        run(1.seconds, mapOf(decodeServer(1) to TOKEN_INTERVAL * 5))
        expectThat(excluded()).isEmpty()
    }

    @Test
    fun `an excluded server without measurements is returned after five seconds`() {
        run(1.seconds)
        run(500.milliseconds, mapOf(decodeServer(3) to TOKEN_INTERVAL * 5))
        val decisions = (1..300).flatMap {
            now += TICK
            (0..8).filter { it != 3 }.forEach { table.observeTokens(decodeServer(it), 1, TOKEN_INTERVAL, now) }
            table.tick(now)
        }
        expectThat(decisions)
            .containsExactly(StragglerDecision.Returned(decodeServer(3), ReturnReason.NOT_MEASURED))
    }

    @Test
    fun `a probe of an excluded server is due once a second`() {
        run(1.seconds)
        run(500.milliseconds, mapOf(decodeServer(3) to TOKEN_INTERVAL * 5))
        expectThat(table.server(decodeServer(3), now)?.probeDue).isEqualTo(false)
        now += 1.seconds
        expectThat(table.server(decodeServer(3), now)?.probeDue).isEqualTo(true)
        table.claimProbe(decodeServer(3), now)
        expectThat(table.server(decodeServer(3), now + 999.milliseconds)?.probeDue).isEqualTo(false)
        expectThat(table.server(decodeServer(3), now + 1.seconds)?.probeDue).isEqualTo(true)
    }

    @Test
    fun `a slow server is excluded based on owner summaries when this instance has no streams on it`() {
        (0..8).forEach { table.merge(summary(decodeServer(it), now, micros = if (it == 4) 130_000 else 26_000)) }
        table.tick(now)
        expectThat(excluded()).containsExactly(decodeServer(4))
    }

    @Test
    fun `the summary with the latest measurement wins regardless of arrival order`() {
        table.merge(summary(decodeServer(0), now + 1.seconds, freeSlots = 3))
        table.merge(summary(decodeServer(0), now, freeSlots = 17))
        expectThat(table.server(decodeServer(0), now + 1.seconds)?.freeSlots).isEqualTo(3)
    }

    @Test
    fun `fresh own observations take precedence over an older summary`() {
        run(1.seconds)
        run(300.milliseconds, mapOf(decodeServer(3) to TOKEN_INTERVAL * 5))
        (0..8).forEach { table.merge(summary(decodeServer(it), now, micros = 26_000)) }
        table.tick(now)
        expectThat(excluded()).containsExactly(decodeServer(3))
    }

    @Test
    fun `short and long prefills at the same speed give the same time per unit`() {
        (0..5).forEach { server ->
            repeat(3) {
                val tokens = if (server == 0) 100 else 9_800
                table.observePrefill(prefillServer(server), tokens, 50.milliseconds * (tokens + 200) / 1_000, now)
            }
        }
        expectThat(table.tick(now)).isEmpty()
        expectThat(table.poolMedian(PREFILL_POOL, now)).isEqualTo(50.milliseconds)
    }

    @Test
    fun `a prefill that takes far longer than others excludes its server before it ends`() {
        (0..5).forEach { server ->
            repeat(3) { table.observePrefill(prefillServer(server), 800, 50.milliseconds, now) }
        }
        table.observeSilence(prefillServer(2), requests = 1, silence = 200.milliseconds, now = now, work = 800)
        table.tick(now)
        expectThat(table.server(prefillServer(2), now)?.excluded).isEqualTo(true)
    }

    @Test
    fun `an expired sample does not affect a new estimate`() {
        repeat(3) { table.observePrefill(prefillServer(0), 800, 500.milliseconds, now) }
        now += 10.seconds
        repeat(2) { table.observePrefill(prefillServer(0), 800, 50.milliseconds, now) }
        expectThat(table.server(prefillServer(0), now)?.timePerUnit).isEqualTo(50.milliseconds)
    }

    @Test
    fun `predictions use the last measured speed of the pool without recent measurements`() {
        (0..5).forEach { server ->
            repeat(2) { table.observePrefill(prefillServer(server), 800, 200.milliseconds, now) }
        }
        table.tick(now)
        now += 60.seconds
        expectThat(table.server(prefillServer(0), now)).isNotNull().and {
            get { measured }.isFalse()
            get { timePerUnit }.isEqualTo(200.milliseconds)
        }
    }

    @Test
    fun `recently placed requests reduce the free slots until a summary includes them`() {
        table.merge(summary(decodeServer(0), now, freeSlots = 5))
        now += 100.milliseconds
        repeat(2) { table.recordPlaced(decodeServer(0), 100, now) }
        expectThat(table.server(decodeServer(0), now)?.freeSlots).isEqualTo(3)
        table.merge(summary(decodeServer(0), now + 50.milliseconds, freeSlots = 3))
        expectThat(table.server(decodeServer(0), now + 50.milliseconds)?.freeSlots).isEqualTo(3)
    }

    @Test
    fun `a failed server is not used until its backoff ends, and the backoff doubles`() {
        table.recordFailure(decodeServer(0), now)
        expectThat(table.server(decodeServer(0), now)?.backoffUntil).isEqualTo(now + 250.milliseconds)
        table.recordFailure(decodeServer(0), now)
        expectThat(table.server(decodeServer(0), now)?.backoffUntil).isEqualTo(now + 500.milliseconds)
        expectThat(table.server(decodeServer(0), now + 500.milliseconds)?.backoffUntil).isNull()
    }

    @Test
    fun `after a backoff a single request probes the server before others follow`() {
        table.recordFailure(decodeServer(0), now)
        now += 300.milliseconds
        table.recordPlaced(decodeServer(0), 100, now)
        expectThat(table.server(decodeServer(0), now)?.backoffUntil).isNotNull()
        table.recordSuccess(decodeServer(0))
        expectThat(table.server(decodeServer(0), now)?.backoffUntil).isNull()
    }

    @Test
    fun `a configuration change keeps the state of the servers that remain`() {
        table.recordFailure(decodeServer(0), now)
        table.configure(deployment(decodeServers = 3))
        expectThat(table.server(decodeServer(0), now)?.backoffUntil).isNotNull()
        expectThat(table.server(decodeServer(5), now)).isNull()
    }

    @Test
    fun `a leaving server does not count as part of the pool`() {
        table.configure(deployment(decodeServers = 4, leaving = setOf(decodeServer(0), decodeServer(1))))
        run(1.seconds)
        run(1.seconds, mapOf(decodeServer(3) to TOKEN_INTERVAL * 5))
        expectThat(excluded()).isEmpty()
        expectThat(checkNotNull(table.server(decodeServer(0), now)).leaving).isTrue()
        expectThat(checkNotNull(table.server(decodeServer(2), now)).leaving).isFalse()
    }

    private companion object {
        val TICK: Duration = 20.milliseconds
        val STEP: Duration = 2.milliseconds
        val TOKEN_INTERVAL: Duration = 26.milliseconds
    }
}
