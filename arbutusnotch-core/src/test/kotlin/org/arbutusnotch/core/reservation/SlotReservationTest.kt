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

/** Guards against an owner that overfills an engine, orders its queue wrongly or misjudges the wait. */
internal class SlotReservationTest {
    private val fixture = ReservationFixture()

    /** Releases and fills one slot each [INTERVAL], so that the table knows the release rate. */
    private fun saturate() {
        repeat(4) { fixture.reserve("running-$it") }
        repeat(40) { round ->
            fixture.after(INTERVAL)
            fixture.release("running-$round")
            fixture.reserve("running-${round + 4}")
            fixture.report(*fixture.held().toTypedArray())
        }
    }

    @Test
    fun `a request beyond the slots is not granted`() {
        repeat(4) { expectThat(fixture.reserve("a$it")).isA<ReservationDecision.Granted>() }
        fixture.reserve("a4", patience = 10.seconds)
        expectThat(fixture.held()).containsExactly("a0", "a1", "a2", "a3")
        expectThat(fixture.free()).isEqualTo(0)
    }

    @Test
    fun `a repeated request does not take a second slot`() {
        fixture.reserve("a")
        expectThat(fixture.reserve("a")).isA<ReservationDecision.Granted>()
        expectThat(fixture.free()).isEqualTo(3)
    }

    @Test
    fun `a released slot goes to the highest priority, then to the earliest deadline`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("late", priority = 6, patience = 20.seconds)
        fixture.reserve("low", priority = 5, patience = 18.seconds)
        fixture.reserve("early", priority = 6, patience = 19.seconds)
        val order = (0..2).flatMap { fixture.release("a$it").granted() }
        expectThat(order).containsExactly("early", "late", "low")
    }

    @Test
    fun `a request whose predicted wait passes its start deadline is refused at once`() {
        saturate()
        expectThat(fixture.reserve("patient", patience = INTERVAL * 2)).isA<ReservationDecision.Queued>()
        val decision = fixture.reserve("hurried", patience = INTERVAL / 4)
        expectThat(decision).isA<ReservationDecision.Refused>().get {
            refusal
        }.isEqualTo(ReservationRefusal.NO_CAPACITY)
    }

    @Test
    fun `a queued request that a higher priority pushes past its deadline is refused before the deadline`() {
        saturate()
        fixture.reserve("low", priority = 0, patience = INTERVAL * 3 / 2)
        fixture.reserve("high", priority = 6, patience = INTERVAL * 2)
        expectThat(fixture.after(20.milliseconds).refused()).containsExactly("low")
        expectThat(fixture.queued()).containsExactly("high")
    }

    @Test
    fun `the retry time of a refusal is the time at which the work ahead is expected to be done`() {
        saturate()
        repeat(3) { fixture.reserve("queued-$it", priority = 4, patience = 10.seconds) }
        val refused = fixture.reserve("hurried", patience = INTERVAL)
        expectThat(refused).isA<ReservationDecision.Refused>().get { retryAt - fixture.now }
            .isGreaterThan(INTERVAL * 3)
            .isLessThan(INTERVAL * 5)
    }

    @Test
    fun `a server that stops to free slots is predicted to be slow although its earlier rate was high`() {
        saturate()
        expectThat(fixture.reserve("before", patience = INTERVAL * 2)).isA<ReservationDecision.Queued>()
        fixture.release("before")
        repeat(10) {
            fixture.after(INTERVAL)
            fixture.report(*fixture.held().toTypedArray())
        }
        expectThat(fixture.reserve("after", patience = INTERVAL * 2)).isA<ReservationDecision.Refused>()
    }

    @Test
    fun `a request that is still queued at its deadline is refused`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("b", patience = 1.9.seconds)
        fixture.report("a0", "a1", "a2", "a3")
        expectThat(fixture.after(1.95.seconds).refused()).containsExactly("b")
        expectThat(fixture.queued()).isEmpty()
    }

    @Test
    fun `the release of a queued request takes it out of the queue`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("b", patience = 10.seconds)
        expectThat(fixture.release("b")).isEmpty()
        expectThat(fixture.release("a0")).isEmpty()
        expectThat(fixture.free()).isEqualTo(1)
    }

    @Test
    fun `an unknown server is refused with a retry time after the next configuration`() {
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
