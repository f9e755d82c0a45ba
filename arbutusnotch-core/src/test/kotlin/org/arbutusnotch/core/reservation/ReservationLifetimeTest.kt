package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.instance
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.message.ReservationRefusal
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against slots that leak when their holder terminates, and against running streams that lose their slots. */
internal class ReservationLifetimeTest {
    private val fixture = ReservationFixture()

    @Test
    fun `a reservation expires two seconds after the last message of its holder`() {
        fixture.reserve("a")
        fixture.advance(1_999.milliseconds)
        expectThat(fixture.reservedAttempts()).containsExactly("a")
        fixture.advance(1.milliseconds)
        expectThat(fixture.reservedAttempts()).isEmpty()
    }

    @Test
    fun `a report renews the reservation`() {
        fixture.reserve("a")
        repeat(20) {
            fixture.advance(250.milliseconds)
            fixture.report("a")
        }
        expectThat(fixture.reservedAttempts()).containsExactly("a")
    }

    @Test
    fun `a new owner adopts the attempts that are reported to it`() {
        fixture.report("a", "b")
        expectThat(fixture.reservedAttempts()).containsExactly("a", "b")
        expectThat(fixture.freeSlots()).isEqualTo(2)
    }

    @Test
    fun `adopted attempts beyond the capacity prevent grants until enough of them end`() {
        fixture.report("a", "b", "c", "d", "e")
        expectThat(fixture.freeSlots()).isEqualTo(0)
        fixture.reserve("waiting", maximumWait = 10.seconds)
        expectThat(fixture.release("a")).isEmpty()
        expectThat(fixture.release("b").granted()).containsExactly("waiting")
    }

    @Test
    fun `a late report does not restore a released attempt`() {
        fixture.reserve("a")
        fixture.release("a")
        fixture.report("a")
        expectThat(fixture.reservedAttempts()).isEmpty()
    }

    @Test
    fun `a request that arrives after its release reserves nothing`() {
        fixture.release("a")
        expectThat(fixture.reserve("a")).isA<ReservationDecision.Refused>()
        expectThat(fixture.freeSlots()).isEqualTo(4)
    }

    @Test
    fun `a finished attempt frees its slot for a queued request`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("waiting", maximumWait = 10.seconds)
        expectThat(fixture.report("a0", finished = true).decisions.granted()).containsExactly("waiting")
    }

    @Test
    fun `a running attempt that is still queued is counted and its request granted`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("direct", maximumWait = 10.seconds)
        expectThat(fixture.report("direct").decisions.granted()).containsExactly("direct")
        expectThat(fixture.queuedAttempts()).isEmpty()
    }

    @Test
    fun `the reservations of a terminated incarnation end and its queued requests are dropped`() {
        repeat(4) { fixture.reserve("a$it", holder = instance(it)) }
        fixture.reserve("terminated", maximumWait = 10.seconds, holder = instance(0))
        fixture.reserve("live", maximumWait = 11.seconds, holder = instance(1))
        val decisions = fixture.table.removeHolder(instance(0), fixture.now)
        expectThat(decisions.granted()).containsExactly("live")
        expectThat(fixture.reservedAttempts()).containsExactly("a1", "a2", "a3", "live")
    }

    @Test
    fun `messages of an earlier incarnation have no effect once a later one was seen`() {
        fixture.reserve("new", holder = instance(1, incarnation = 2))
        expectThat(fixture.report("old", holder = instance(1, incarnation = 1)).summary).isNull()
        expectThat(fixture.reserve("older", holder = instance(1, incarnation = 1))).isA<ReservationDecision.Refused>()
        expectThat(fixture.reservedAttempts()).containsExactly("new")
    }

    @Test
    fun `a leaving server gets no new reservations and keeps its running ones`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("waiting", maximumWait = 10.seconds)
        val decisions = fixture.table.configure(deployment(slots = 4, leaving = setOf(decodeServer(0))), fixture.now)
        expectThat(decisions.refused()).containsExactly("waiting")
        expectThat(fixture.release("a0")).isEmpty()
        expectThat(fixture.reserve("b")).isA<ReservationDecision.Refused>().get { refusal }
            .isEqualTo(ReservationRefusal.LEAVING)
        expectThat(fixture.reservedAttempts()).containsExactly("a1", "a2", "a3")
        expectThat(fixture.freeSlots()).isEqualTo(0)
    }

    @Test
    fun `the queue of a server that the configuration removes is refused`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("waiting", maximumWait = 10.seconds)
        val decisions = fixture.table.configure(deployment(decodeServers = 0), fixture.now)
        expectThat(decisions.refused()).containsExactly("waiting")
        expectThat(fixture.report("a0").summary).isNull()
    }

    @Test
    fun `requests for a server of another owner are refused and its reservations are dropped`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("waiting", maximumWait = 10.seconds)
        val decisions = fixture.table.setOwnedServers(setOf(decodeServer(1)), fixture.now)
        expectThat(decisions.refused()).containsExactly("waiting")
        expectThat(fixture.reserve("b")).isA<ReservationDecision.Refused>().get { refusal }
            .isEqualTo(ReservationRefusal.NOT_OWNER)
        expectThat(fixture.table.summaries(fixture.now).map { it.server }).containsExactly(decodeServer(1))
    }

    @Test
    fun `an excluded server runs a few probes and refuses the rest with a retry time`() {
        fixture.table.setExcluded(decodeServer(0), true, START)
        repeat(2) { expectThat(fixture.reserve("probe-$it")).isA<ReservationDecision.Granted>() }
        expectThat(fixture.reserve("third")).isA<ReservationDecision.Refused>().get { refusal }
            .isEqualTo(ReservationRefusal.EXCLUDED)
        fixture.table.setExcluded(decodeServer(0), false, START)
        expectThat(fixture.reserve("fourth")).isA<ReservationDecision.Granted>()
    }

    @Test
    fun `an excluded server accepts a request that has no other server`() {
        fixture.table.setExcluded(decodeServer(0), true, START)
        repeat(2) { fixture.reserve("probe-$it") }
        val request = fixture.request("last", lastResort = true)
        expectThat(fixture.table.reserve(request, START)).isA<ReservationDecision.Granted>()
    }

    @Test
    fun `a request that has no other server does not wait for requests that an excluded server refuses`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.advance(10.milliseconds)
        fixture.table.setExcluded(decodeServer(0), true, fixture.now)
        fixture.table.reserve(fixture.request("last", maximumWait = 19.seconds, lastResort = true), fixture.now)
        repeat(3) { fixture.reserve("b$it", priority = 4, maximumWait = 10.seconds) }
        val decisions = (0..2).flatMap { fixture.release("a$it") }
        expectThat(decisions.granted()).containsExactly("b0", "b1", "last")
        expectThat(decisions.refused()).containsExactly("b2")
    }

    @Test
    fun `the record of an ended attempt expires after five seconds, so that memory use stays bounded`() {
        fixture.release("a")
        fixture.advance(5.seconds)
        fixture.report("a")
        expectThat(fixture.table.reservations(fixture.server).map { it.attempt }).containsExactly(AttemptId("a"))
    }
}
