/*
 * Tests how the dispatcher uses servers that take only a limited rate of requests from all instances together.
 *
 * The load is a pool whose callers ask for several times what its limited servers take.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.LimitReport
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LimitedServerDispatchTest {
    private fun report(server: String, perSecond: Double?, age: Duration = Duration.ZERO, startedAt: Long = 1) =
        LimitReport(BackendServerId(server), startedAt, perSecond, age.inWholeMilliseconds)

    private fun DispatchFixture.limit(server: String, perSecond: Double?, age: Duration = Duration.ZERO) =
        dispatcher.updateLimit(report(server, perSecond, age), now)

    /** Releases a call with what its server says about its limit. */
    private fun DispatchFixture.releaseCall(granted: DispatchDecision.Granted, limit: LimitReport? = null) =
        dispatcher.release(
            DispatchRelease(
                ticket = granted.ticket,
                pool = DispatchFixture.POOL,
                server = granted.server,
                outcome = PlaceOutcome.COMPLETED,
                elapsedMillis = 1,
                limit = limit,
            ),
            now,
        )

    /** Submits calls at random times for [time] and completes each at once; returns the grants with their times. */
    private fun DispatchFixture.load(perSecond: Double, time: Duration, seed: Int): List<Pair<Duration, String>> {
        val random = Random(seed)
        val start = now
        val grants = mutableListOf<Pair<Duration, String>>()
        fun complete(decisions: List<DispatchDecision>) {
            decisions.granted().forEach { granted ->
                grants += (now - start) to granted.server.value
                complete(releaseCall(granted))
            }
        }
        while (now - start < time) {
            advance(1.milliseconds)
            if (random.nextDouble() < perSecond / MILLIS_PER_SECOND) complete(submit(request(DispatchWork.Call)))
            if ((now - start).inWholeMilliseconds % TICK_MILLIS == 0L) complete(dispatcher.tick(now))
        }
        return grants
    }

    private fun List<Pair<Duration, String>>.mostInWindow(server: String): Int {
        val times = filter { it.second == server }.map { it.first }
        return times.maxOfOrNull { start -> times.count { it >= start && it < start + WINDOW } } ?: 0
    }

    /** Guards against a limit that is exceeded in some window, and against a limited server that is hardly used. */
    @ParameterizedTest
    @ValueSource(doubles = [0.4, 3.5, 4.6, 20.0, 150.0])
    fun `limited server gets its limit and no more`(perSecond: Double) {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        fixture.limit("a", perSecond)
        val grants = fixture.load(perSecond = perSecond * 3, time = 40.seconds, seed = 7)
        val limited = grants.count { it.second == "a" }.toDouble()
        expectThat(grants.mostInWindow("a").toDouble()).isLessThanOrEqualTo(perSecond * 4 + maxOf(2.0, perSecond / 2))
        expectThat(limited).isGreaterThanOrEqualTo(perSecond * 40 * 0.7)
        expectThat(grants.size - limited).isGreaterThan(limited)
    }

    /** Guards against callers who wait for a limited server while another one is free. */
    @Test
    fun `call beyond the limit goes to another server at once`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 8), server("b", slots = 8)))
        fixture.limit("a", 0.5)
        val granted = (1..6).flatMap { fixture.submitCall() }.granted()
        expectThat(granted.map { it.server.value }).isEqualTo(List(6) { "b" })
    }

    /** Guards against calls that are refused although the limit admits them in time, or granted before it does. */
    @Test
    fun `call waits until the limit of the only server admits it`() {
        val fixture = DispatchFixture(listOf(server("a")))
        fixture.limit("a", 2.0)
        expectThat(fixture.submitCall().granted()).isEmpty()
        fixture.advance(450.milliseconds)
        expectThat(fixture.dispatcher.tick(fixture.now)).isEmpty()
        fixture.advance(50.milliseconds)
        expectThat(fixture.dispatcher.tick(fixture.now).granted()).hasSize(1)
    }

    /** Guards against callers that wait in vain, and against a retry time before the limits admit another request. */
    @Test
    fun `call that the limits admit too late is refused at once with the time until they admit it`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        fixture.limit("a", 1.5)
        fixture.limit("b", 0.5)
        val decisions = (1..6).flatMap { fixture.submit(fixture.request(DispatchWork.Call, wait = 2.seconds)) }
        expectThat(fixture.dispatcher.queueLength).isEqualTo(4)
        val refused = decisions.refused()
        expectThat(refused.map { it.reason }).isEqualTo(List(2) { DispatchRefusal.SERVERS_LIMITED })
        expectThat(refused.map { it.retryAfter }).all { isIn(2.4.seconds..2.6.seconds) }
    }

    /** Guards against calls that stay queued when a limit is named that admits them too late. */
    @Test
    fun `waiting call is refused when a new limit admits it too late`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        fixture.submit(fixture.request(DispatchWork.Call, wait = 1.seconds))
        expectThat(fixture.limit("a", 0.5).refused().map { it.reason })
            .isEqualTo(listOf(DispatchRefusal.SERVERS_LIMITED))
    }

    /** Guards against a server that is never asked again, so that nobody learns that its limit has ended. */
    @Test
    fun `server with a limit of zero gets a request now and then`() {
        val fixture = DispatchFixture(listOf(server("a")))
        fixture.limit("a", 0.0)
        val grants = fixture.load(perSecond = 5.0, time = 60.seconds, seed = 3)
        expectThat(grants.size).isIn(4..6)
    }

    /** Guards against a limit that outlives the answers that name it. */
    @Test
    fun `limit ends with a later answer without it`() {
        val fixture = DispatchFixture(listOf(server("a")))
        fixture.limit("a", 2.0)
        fixture.submitCall()
        fixture.advance(500.milliseconds)
        val granted = fixture.dispatcher.tick(fixture.now).granted().single()
        expectThat(granted.limited).isEqualTo(true)
        expectThat(fixture.submitCall().granted()).isEmpty()
        expectThat(fixture.releaseCall(granted, report("a", perSecond = null)).granted()).hasSize(1)
        expectThat(fixture.submitCall().granted().single().limited).isEqualTo(false)
    }

    /** Guards against an instance that has not heard the latest answer and sets or lifts a limit again. */
    @Test
    fun `report of an earlier answer has no effect`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 8)))
        fixture.limit("a", null, age = 1.seconds)
        fixture.limit("a", 1.0, age = 2.seconds)
        expectThat(fixture.submitCall().granted()).hasSize(1)
        fixture.limit("a", 1.0)
        fixture.limit("a", null, age = 1.seconds)
        expectThat(fixture.submitCall().granted()).isEmpty()
    }

    /** Guards against a dispatcher that has just started and grants what the holder already knows to be too much. */
    @Test
    fun `new dispatcher learns the limits with the first request`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        val request = fixture.request(DispatchWork.Call).copy(limits = listOf(report("a", 4.6), report("b", 3.5)))
        expectThat(fixture.submit(request).granted()).isEmpty()
        expectThat(fixture.dispatcher.limitedServers).isEqualTo(2)
    }

    /** Guards against a limit that applies to the next process of its server. */
    @Test
    fun `restarted server has no limit`() {
        val fixture = DispatchFixture(listOf(server("a")))
        fixture.limit("a", 1.0)
        fixture.dispatcher.configure(listOf(server("a", startedAt = 2)), engine = null)
        fixture.limit("a", 1.0)
        expectThat(fixture.submitCall().granted()).hasSize(1)
    }

    /** Guards against two dispatchers that each grant the whole limit for long. */
    @Test
    fun `dispatcher with a share of the instances grants that share of a limit`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        fixture.dispatcher.limitRequests(share = 0.25, fixture.now)
        fixture.limit("a", 20.0)
        val limited = fixture.load(perSecond = 60.0, time = 20.seconds, seed = 5).count { it.second == "a" }
        expectThat(limited).isIn(70..100)
    }

    /** Guards against a substitute that refuses everything, because its share counts only what it granted. */
    @Test
    fun `instances whose requests were refused count as holders for a while`() {
        val fixture = DispatchFixture(listOf(server("a")))
        fixture.limit("a", 0.2)
        val holders = (1..5).map { InstanceId(InstanceAddress("10.0.0.$it:1"), Incarnation(1)) }
        val decisions = holders.flatMap { fixture.submit(fixture.request(DispatchWork.Call, holder = it)) }
        expectThat(decisions.refused()).hasSize(5)
        expectThat(fixture.dispatcher.holderCount).isEqualTo(5)
        fixture.advance(3.seconds)
        fixture.dispatcher.tick(fixture.now)
        expectThat(fixture.dispatcher.holderCount).isEqualTo(0)
    }

    /** Guards against a limit that is applied to one stage only. */
    @Test
    fun `prompts and runs both use the limits of their servers`() {
        val engine = EngineProfile(slots = 16, memoryTokens = 100_000)
        val servers = listOf("p" to ServerStage.PREFILL, "q" to ServerStage.PREFILL) +
            listOf("d" to ServerStage.DECODE, "e" to ServerStage.DECODE)
        val fixture = DispatchFixture(servers.map { (id, stage) -> server(id, stage, slots = 16) }, engine)
        fixture.limit("p", 1.0)
        fixture.limit("d", 1.0)
        fixture.advance(1.seconds)
        val granted = (1..8).flatMap {
            fixture.submit(fixture.request(DispatchWork.Generation(300, 70), remaining = 14.seconds)).granted()
                .onEach { fixture.release(it, PlacePart.PREFILL) }
        }
        expectThat(granted).hasSize(8)
        expectThat(granted.count { it.prefillServer?.value == "p" }).isLessThanOrEqualTo(1)
        expectThat(granted.count { it.server.value == "d" }).isLessThanOrEqualTo(1)
    }

    /** Guards against prompts that wait for limited prefill servers until their callers give up. */
    @Test
    fun `decode server prefills a prompt that the limits of all prefill servers keep waiting`() {
        val engine = EngineProfile(slots = 16, memoryTokens = 100_000)
        val servers = listOf(server("p", ServerStage.PREFILL, slots = 16), server("d", ServerStage.DECODE, slots = 16))
        val fixture = DispatchFixture(servers, engine)
        fixture.limit("p", 0.0)
        expectThat(fixture.submit(fixture.request(DispatchWork.Generation(3_000, 70))).granted()).isEmpty()
        fixture.advance(500.milliseconds)
        val granted = fixture.dispatcher.tick(fixture.now).granted().single()
        expectThat(granted.prefillServer).isNull()
        expectThat(granted.server.value).isEqualTo("d")
    }

    /** Guards against a stage order to a server that limits its requests. */
    @Test
    fun `limited server gets no stage order`() {
        val engine = EngineProfile(slots = 16, memoryTokens = 40_000)
        val servers = (1..5).map { server("p$it", ServerStage.PREFILL, slots = 16) } +
            server("d", ServerStage.DECODE, slots = 16)
        val fixture = DispatchFixture(servers, engine)
        repeat(12) {
            val granted = fixture.submit(fixture.request(DispatchWork.Generation(3_000, 700))).granted().single()
            fixture.release(granted, PlacePart.PREFILL, elapsed = 90.milliseconds)
            fixture.release(granted, elapsed = 3.seconds)
        }
        (1..4).forEach { fixture.limit("p$it", 5.0) }
        expectThat(fixture.dispatcher.beginStageChange(2.seconds, fixture.now)?.server?.id?.value)
            .isNotNull().isEqualTo("p5")
    }

    private companion object {
        val WINDOW = 4.seconds
        const val MILLIS_PER_SECOND = 1_000
        const val TICK_MILLIS = 25L
    }
}
