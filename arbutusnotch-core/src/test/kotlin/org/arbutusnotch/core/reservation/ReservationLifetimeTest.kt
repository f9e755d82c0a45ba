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

/** Guards against slots that stay taken after their holder is gone, and against lost slots of running streams. */
internal class ReservationLifetimeTest {
    private val fixture = ReservationFixture()

    @Test
    fun `a reservation ends two seconds after the last word of its holder`() {
        fixture.reserve("a")
        fixture.after(1_999.milliseconds)
        expectThat(fixture.held()).containsExactly("a")
        fixture.after(1.milliseconds)
        expectThat(fixture.held()).isEmpty()
    }

    @Test
    fun `a report renews the reservation`() {
        fixture.reserve("a")
        repeat(20) {
            fixture.after(250.milliseconds)
            fixture.report("a")
        }
        expectThat(fixture.held()).containsExactly("a")
    }

    @Test
    fun `a new owner adopts the attempts that are reported to it`() {
        fixture.report("a", "b")
        expectThat(fixture.held()).containsExactly("a", "b")
        expectThat(fixture.free()).isEqualTo(2)
    }

    @Test
    fun `adopted attempts beyond the slots prevent grants until enough of them end`() {
        fixture.report("a", "b", "c", "d", "e")
        expectThat(fixture.free()).isEqualTo(0)
        fixture.reserve("waiting", patience = 10.seconds)
        expectThat(fixture.release("a")).isEmpty()
        expectThat(fixture.release("b").granted()).containsExactly("waiting")
    }

    @Test
    fun `a late report does not bring a released attempt back`() {
        fixture.reserve("a")
        fixture.release("a")
        fixture.report("a")
        expectThat(fixture.held()).isEmpty()
    }

    @Test
    fun `a request that arrives after its release holds nothing`() {
        fixture.release("a")
        expectThat(fixture.reserve("a")).isA<ReservationDecision.Refused>()
        expectThat(fixture.free()).isEqualTo(4)
    }

    @Test
    fun `a finished attempt frees its slot for a waiting request`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("waiting", patience = 10.seconds)
        expectThat(fixture.report("a0", finished = true).decisions.granted()).containsExactly("waiting")
    }

    @Test
    fun `an attempt that runs although it is queued is counted and its request answered`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("direct", patience = 10.seconds)
        expectThat(fixture.report("direct").decisions.granted()).containsExactly("direct")
        expectThat(fixture.queued()).isEmpty()
    }

    @Test
    fun `the reservations of a terminated incarnation end and its queued requests are dropped`() {
        repeat(4) { fixture.reserve("a$it", holder = instance(it)) }
        fixture.reserve("dead", patience = 10.seconds, holder = instance(0))
        fixture.reserve("alive", patience = 11.seconds, holder = instance(1))
        val decisions = fixture.table.removeTerminated(instance(0), fixture.now)
        expectThat(decisions.granted()).containsExactly("alive")
        expectThat(fixture.held()).containsExactly("a1", "a2", "a3", "alive")
    }

    @Test
    fun `messages of an earlier incarnation have no effect once a later one was seen`() {
        fixture.reserve("new", holder = instance(1, incarnation = 2))
        expectThat(fixture.report("old", holder = instance(1, incarnation = 1)).summary).isNull()
        expectThat(fixture.reserve("older", holder = instance(1, incarnation = 1))).isA<ReservationDecision.Refused>()
        expectThat(fixture.held()).containsExactly("new")
    }

    @Test
    fun `a leaving server gets no new reservation and keeps the running ones`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("waiting", patience = 10.seconds)
        val decisions = fixture.table.configure(deployment(slots = 4, leaving = setOf(decodeServer(0))), fixture.now)
        expectThat(decisions.refused()).containsExactly("waiting")
        expectThat(fixture.release("a0")).isEmpty()
        expectThat(fixture.reserve("b")).isA<ReservationDecision.Refused>().get { refusal }
            .isEqualTo(ReservationRefusal.LEAVING)
        expectThat(fixture.held()).containsExactly("a1", "a2", "a3")
        expectThat(fixture.free()).isEqualTo(0)
    }

    @Test
    fun `a server that the configuration removes refuses its queue`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("waiting", patience = 10.seconds)
        val decisions = fixture.table.configure(deployment(decodeServers = 0), fixture.now)
        expectThat(decisions.refused()).containsExactly("waiting")
        expectThat(fixture.report("a0").summary).isNull()
    }

    @Test
    fun `a server of another owner is refused and its reservations are dropped`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.reserve("waiting", patience = 10.seconds)
        val decisions = fixture.table.setOwned(setOf(decodeServer(1)), fixture.now)
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
    fun `an excluded server takes a request that has no other server`() {
        fixture.table.setExcluded(decodeServer(0), true, START)
        repeat(2) { fixture.reserve("probe-$it") }
        val request = fixture.request("last", lastResort = true)
        expectThat(fixture.table.reserve(request, START)).isA<ReservationDecision.Granted>()
    }

    @Test
    fun `a request that has no other server does not wait behind those that an excluded server refuses`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.after(10.milliseconds)
        fixture.table.setExcluded(decodeServer(0), true, fixture.now)
        fixture.table.reserve(fixture.request("last", patience = 19.seconds, lastResort = true), fixture.now)
        repeat(3) { fixture.reserve("b$it", priority = 4, patience = 10.seconds) }
        val decisions = (0..2).flatMap { fixture.release("a$it") }
        expectThat(decisions.granted()).containsExactly("b0", "b1", "last")
        expectThat(decisions.refused()).containsExactly("b2")
    }

    @Test
    fun `an ended attempt is forgotten after five seconds, so that the memory stays bounded`() {
        fixture.release("a")
        fixture.after(5.seconds)
        fixture.report("a")
        expectThat(fixture.table.reservations(fixture.server).map { it.attempt }).containsExactly(AttemptId("a"))
    }
}
