package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.message.ReservationRefusal
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an owner that overcommits an engine, orders its queue wrongly or mispredicts waits. */
internal class SlotReservationTest {
    private val fixture = ReservationFixture()

    /** Releases and refills one slot every [INTERVAL], so that the table measures the release interval. */
    private fun saturate() {
        repeat(4) { fixture.reserve("running-$it") }
        repeat(40) { round ->
            fixture.advance(INTERVAL)
            fixture.release("running-$round")
            fixture.reserve("running-${round + 4}")
            fixture.report(*fixture.reservedAttempts().toTypedArray())
        }
    }

    @Test
    fun `a request beyond the capacity is not granted`() {
        repeat(4) { expectThat(fixture.reserve("a$it")).isA<ReservationDecision.Granted>() }
        fixture.reserve("a4", maximumWait = 10.seconds)
        expectThat(fixture.reservedAttempts()).containsExactly("a0", "a1", "a2", "a3")
        expectThat(fixture.freeSlots()).isEqualTo(0)
    }

    @Test
    fun `a repeated request does not take a second slot`() {
        fixture.reserve("a")
        expectThat(fixture.reserve("a")).isA<ReservationDecision.Granted>()
        expectThat(fixture.freeSlots()).isEqualTo(3)
    }

    @Test
    fun `a released slot goes to the highest priority, then to the earliest deadline`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("late", priority = 6, maximumWait = 20.seconds)
        fixture.reserve("low", priority = 5, maximumWait = 18.seconds)
        fixture.reserve("early", priority = 6, maximumWait = 19.seconds)
        val order = (0..2).flatMap { fixture.release("a$it").granted() }
        expectThat(order).containsExactly("early", "late", "low")
    }

    @Test
    fun `a request whose predicted wait exceeds its start deadline is refused immediately`() {
        saturate()
        expectThat(fixture.reserve("long-wait", maximumWait = INTERVAL * 2)).isA<ReservationDecision.Queued>()
        val decision = fixture.reserve("short-wait", maximumWait = INTERVAL / 4)
        expectThat(decision).isA<ReservationDecision.Refused>().get {
            refusal
        }.isEqualTo(ReservationRefusal.NO_CAPACITY)
    }

    @Test
    fun `a queued request that a higher priority delays past its deadline is refused before the deadline`() {
        saturate()
        fixture.reserve("low", priority = 0, maximumWait = INTERVAL * 3 / 2)
        fixture.reserve("high", priority = 6, maximumWait = INTERVAL * 2)
        expectThat(fixture.advance(20.milliseconds).refused()).containsExactly("low")
        expectThat(fixture.queuedAttempts()).containsExactly("high")
    }

    @Test
    fun `the retry time of a refusal is the predicted completion of the work ahead`() {
        saturate()
        repeat(3) { fixture.reserve("queued-$it", priority = 4, maximumWait = 10.seconds) }
        val refused = fixture.reserve("short-wait", maximumWait = INTERVAL)
        expectThat(refused).isA<ReservationDecision.Refused>().get { retryAt - fixture.now }
            .isGreaterThan(INTERVAL * 3)
            .isLessThan(INTERVAL * 5)
    }

    @Test
    fun `the predicted wait grows when a server stops releasing slots after frequent releases`() {
        saturate()
        expectThat(fixture.reserve("before", maximumWait = INTERVAL * 2)).isA<ReservationDecision.Queued>()
        fixture.release("before")
        repeat(10) {
            fixture.advance(INTERVAL)
            fixture.report(*fixture.reservedAttempts().toTypedArray())
        }
        expectThat(fixture.reserve("after", maximumWait = INTERVAL * 2)).isA<ReservationDecision.Refused>()
    }

    @Test
    fun `a request that is still queued at its deadline is refused`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("b", maximumWait = 1.9.seconds)
        fixture.report("a0", "a1", "a2", "a3")
        expectThat(fixture.advance(1.95.seconds).refused()).containsExactly("b")
        expectThat(fixture.queuedAttempts()).isEmpty()
    }

    @Test
    fun `the release of a queued request removes it from the queue`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("b", maximumWait = 10.seconds)
        expectThat(fixture.release("b")).isEmpty()
        expectThat(fixture.release("a0")).isEmpty()
        expectThat(fixture.freeSlots()).isEqualTo(1)
    }

    @Test
    fun `a request for an unknown server is refused with a later retry time`() {
        val request = fixture.request("a").copy(server = decodeServer(99))
        val decision = fixture.table.reserve(request, fixture.now)
        expectThat(decision).isA<ReservationDecision.Refused>().and {
            get { refusal }.isEqualTo(ReservationRefusal.UNKNOWN_SERVER)
            get { retryAt }.isGreaterThan(fixture.now)
        }
    }

    private companion object {
        val INTERVAL = 100.milliseconds
    }
}
