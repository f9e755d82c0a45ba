/*
 * Queueing and placing of plain calls.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlace
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.retry.RetryBudget
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallDispatchTest {
    /** Guards against a server that is sent more calls than it has slots and one on its way. */
    @Test
    fun `calls beyond the places wait`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        val granted = (1..8).flatMap { fixture.submitCall() }.granted()
        expectThat(granted.groupBy { it.server }.mapValues { it.value.size })
            .isEqualTo(mapOf(BackendServerId("a") to 3, BackendServerId("b") to 3))
        expectThat(fixture.dispatcher.queueLength).isEqualTo(2)
        expectThat(fixture.release(granted.first()).granted()).hasSize(1)
    }

    /** Guards against late calls that take the places of those that can still be on time. */
    @Test
    fun `call that can be on time goes before a late one`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        val running = (1..2).flatMap { fixture.submitCall() }.granted()
        val late = fixture.request(DispatchWork.Call, objective = (-100).milliseconds)
        val onTime = fixture.request(DispatchWork.Call, objective = 300.milliseconds)
        fixture.submit(late)
        fixture.submit(onTime)
        expectThat(fixture.release(running[0]).granted().single().ticket).isEqualTo(onTime.ticket)
        expectThat(fixture.release(running[1]).granted().single().ticket).isEqualTo(late.ticket)
    }

    /** Guards against a pause that binds other holders than the one that was asked for it, or none. */
    @Test
    fun `paused server takes calls of other holders only`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        val other = InstanceId(InstanceAddress("127.0.0.1:9"), Incarnation(1))
        fixture.dispatcher.pause(BackendServerId("a"), DispatchFixture.HOLDER, fixture.now + 2.seconds, fixture.now)
        expectThat((1..3).flatMap { fixture.submitCall() }.granted().map { it.server.value }.distinct())
            .isEqualTo(listOf("b"))
        val ofOther = fixture.submit(fixture.request(DispatchWork.Call, holder = other)).granted()
        expectThat(ofOther.single().server.value).isEqualTo("a")
        fixture.release(ofOther.single())
        fixture.pass(2.seconds)
        expectThat(fixture.submitCall().granted().single().server.value).isEqualTo("a")
    }

    /** Guards against waiting requests that stay queued although nothing will take them before they are refused. */
    @Test
    fun `waiting call is refused when every server pauses for longer than it can wait`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        val waiting = fixture.request(DispatchWork.Call, begin = 1.seconds)
        fixture.submit(waiting)
        val until = fixture.now + 1_500.milliseconds
        val refused = fixture.dispatcher.pause(
            BackendServerId("a"),
            DispatchFixture.HOLDER,
            until,
            fixture.now,
        ).refused()
        expectThat(refused.map { it.ticket to it.reason })
            .isEqualTo(listOf(waiting.ticket to DispatchRefusal.SERVERS_PAUSED))
        expectThat(refused.single().retryAfter).isEqualTo(1_500.milliseconds)
    }

    /** Guards against waiting requests of a pool that has lost its last server. */
    @Test
    fun `waiting call is refused when no server is left`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        fixture.submitCall()
        fixture.dispatcher.configure(emptyList(), engine = null)
        expectThat(fixture.dispatcher.tick(fixture.now).refused().map { it.reason })
            .isEqualTo(listOf(DispatchRefusal.NO_SERVER))
    }

    @Test
    fun `more urgent call goes first`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        val running = (1..2).flatMap { fixture.submitCall() }.granted()
        fixture.submit(fixture.request(DispatchWork.Call, priority = 2))
        val urgent = fixture.request(DispatchWork.Call, priority = 1)
        fixture.submit(urgent)
        expectThat(fixture.release(running.first()).granted().single().ticket).isEqualTo(urgent.ticket)
    }

    /** Guards against a lost reply that costs a request a second place. */
    @Test
    fun `repeated question gets the same answer`() {
        val fixture = DispatchFixture(listOf(server("a")))
        val request = fixture.request(DispatchWork.Call)
        val first = fixture.submit(request).granted().single()
        expectThat(fixture.submit(request).granted().single()).isEqualTo(first)
        expectThat(fixture.dispatcher.placesInUse).isEqualTo(1)
    }

    /** Guards against callers who wait for what cannot be served before they leave. */
    @Test
    fun `hopeless call is refused at once`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(12) {
            fixture.submitCall().granted().forEach { granted -> fixture.release(granted, elapsed = 400.milliseconds) }
        }
        repeat(2) { fixture.submitCall() }
        val refused = fixture.submit(fixture.request(DispatchWork.Call, remaining = 100.milliseconds)).refused()
        expectThat(refused.single().reason).isEqualTo(DispatchRefusal.OVERLOADED)
    }

    /** Guards against places that stay taken after their holder ended. */
    @Test
    fun `place without reports becomes free`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        fixture.submit(fixture.request(DispatchWork.Call, remaining = 10.seconds))
        repeat(6) {
            fixture.pass(300.milliseconds)
            fixture.dispatcher.tick(fixture.now)
        }
        expectThat(fixture.dispatcher.placesInUse).isEqualTo(0)
    }

    /** Guards against a new dispatcher that gives out places that are in use. */
    @Test
    fun `reported place of another dispatcher counts`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        val held = (1..2).map {
            HeldPlace(TicketId("old$it"), BackendServerId("a"), PlacePart.RUN, 0)
        }
        fixture.dispatcher.renew(HeldPlaces(DispatchFixture.HOLDER, DispatchFixture.POOL, held), fixture.now)
        expectThat(fixture.submitCall().granted()).isEmpty()
    }

    /** Guards against work for a server that has stopped to answer, and against one that is never tried again. */
    @Test
    fun `silent server gets one call at a time after a pause`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b", slots = 1), server("c", slots = 1)))
        fun callsAt(id: String, count: Int) =
            (1..count).flatMap { fixture.submitCall() }.granted().filter { it.server == BackendServerId(id) }
        callsAt("a", count = 1).forEach {
            fixture.release(it, outcome = PlaceOutcome.SILENT)
            fixture.release(it, outcome = PlaceOutcome.UNUSED)
        }
        expectThat(callsAt("a", count = 4)).isEmpty()
        fixture.pass(450.milliseconds)
        val probe = callsAt("a", count = 2).single()
        fixture.release(probe)
        expectThat(callsAt("a", count = 2).isNotEmpty()).isEqualTo(true)
    }

    /** Guards against one long call, or one lost answer, that keeps all other calls from its server. */
    @Test
    fun `long call does not stop the work of its server`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 2)))
        fixture.submitCall()
        repeat(20) {
            fixture.pass(50.milliseconds)
            fixture.submitCall().granted().forEach { fixture.release(it) }
        }
        expectThat(fixture.submitCall().granted()).hasSize(1)
    }

    /** Guards against more work for a server that answers nothing at all. */
    @Test
    fun `server that answers nothing gets no more calls`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 4), server("b", slots = 4)))
        repeat(2) { fixture.submitCall() }
        fixture.pass(500.milliseconds)
        expectThat(fixture.submitCall().granted()).isEmpty()
    }

    /** Guards against a pool that is shut out as a whole by the health of its servers. */
    @Test
    fun `last server of a pool keeps its work`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 4)))
        fixture.submitCall().granted().forEach {
            fixture.release(it, outcome = PlaceOutcome.SILENT)
            fixture.release(it, outcome = PlaceOutcome.UNUSED)
        }
        val probe = fixture.submitCall().granted().single()
        fixture.release(probe)
        expectThat((1..3).flatMap { fixture.submitCall() }.granted()).hasSize(3)
    }

    /** Guards against callers who are kept until they leave although they could come again. */
    @Test
    fun `call that gets no place by its time is refused`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        val waiting = fixture.request(DispatchWork.Call, remaining = 1.seconds, begin = 700.milliseconds)
        expectThat(fixture.submit(waiting).refused()).isEmpty()
        fixture.pass(690.milliseconds)
        expectThat(fixture.dispatcher.tick(fixture.now).refused().single().ticket).isEqualTo(waiting.ticket)
    }

    /** Guards against a prediction that takes a low load for a low capacity, and refuses beside free servers. */
    @Test
    fun `short queue after a quiet time is not refused`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 2)))
        repeat(10) {
            fixture.submitCall().granted().forEach { fixture.release(it) }
            fixture.pass(200.milliseconds)
        }
        val decisions = (1..7).flatMap {
            fixture.submit(fixture.request(DispatchWork.Call, remaining = 600.milliseconds, begin = 420.milliseconds))
        }
        expectThat(decisions.refused()).isEmpty()
    }

    /** Guards against a server that fails most of its calls while its peers do not. */
    @Test
    fun `failing server gets only probes`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 4), server("b", slots = 4)))
        repeat(40) {
            fixture.submitCall().granted().forEach { granted ->
                val failed = granted.server == BackendServerId("a")
                val outcome = if (failed) PlaceOutcome.SERVER_FAILED else PlaceOutcome.COMPLETED
                fixture.release(granted, outcome = outcome)
            }
        }
        val spread = (1..4).flatMap { fixture.submitCall() }.granted().groupBy { it.server }.mapValues { it.value.size }
        expectThat(spread.getOrDefault(BackendServerId("a"), 0)).isNotEqualTo(2)
        expectThat(spread.getValue(BackendServerId("b")) >= 3).isEqualTo(true)
    }

    /** Guards against places of an earlier process that count for its successor under the same id. */
    @Test
    fun `restarted server begins with free places`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        fixture.dispatcher.configure(listOf(server("a", slots = 1, startedAt = 2)), engine = null)
        expectThat(fixture.submitCall().granted()).hasSize(1)
    }

    @Test
    fun `repetitions end with their budget`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 50)), budget = RetryBudget(10, 2))
        val decisions = (1..5).flatMap { fixture.submitCall(repeated = true) }
        expectThat(decisions.granted()).hasSize(2)
        expectThat(decisions.refused().map { it.reason }.toSet()).isEqualTo(setOf(DispatchRefusal.RETRY_BUDGET))
    }

    /**
     * Guards against repeats beyond the limit of the fleet, which is two allowances of a dispatcher, when instances end
     * or are passed over and one dispatcher follows the other.
     */
    @Test
    fun `dispatchers that follow one another give out no more repeats than the fleet may make`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 500)), budget = RetryBudget(10, 64))
        var granted = takeRepeats(fixture)
        expectThat(granted).isEqualTo(64)
        repeat(4) {
            val next = DispatchFixture(listOf(server("a", slots = 500)), budget = RetryBudget(10, 64), informed = false)
            repeat(4) {
                granted += takeRepeats(next)
                next.pass(500.milliseconds)
            }
        }
        expectThat(granted).isLessThanOrEqualTo(2 * 64)
    }

    private fun takeRepeats(fixture: DispatchFixture): Int =
        (1..100).flatMap { fixture.submitCall(repeated = true) }.granted().size

    /** Guards against instances that are cut off from each other and give out a whole allowance each. */
    @Test
    fun `dispatcher that reaches a part of the instances gives out that part of the repeats`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 500)), budget = RetryBudget(10, 64))
        fixture.dispatcher.limitRepeats(0.25)
        expectThat(takeRepeats(fixture)).isEqualTo(16)
    }

    /** Guards against a budget that grows each time a request asks again because its server was not reached. */
    @Test
    fun `request that asks again is not counted as another one`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 200)), budget = RetryBudget(10, 0))
        repeat(9) { fixture.submitCall() }
        repeat(50) { fixture.submit(fixture.request(DispatchWork.Call).copy(askedBefore = true)) }
        expectThat(fixture.dispatcher.repeatsLeft(fixture.now)).isEqualTo(0)
        fixture.submitCall()
        expectThat(fixture.dispatcher.repeatsLeft(fixture.now)).isEqualTo(1)
    }

    @Test
    fun `pool without servers refuses`() {
        val fixture = DispatchFixture(emptyList())
        expectThat(fixture.submitCall().refused().single().reason).isEqualTo(DispatchRefusal.NO_SERVER)
    }

    @Test
    fun `excluded server is not used`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        val granted = (1..3).flatMap {
            fixture.submit(fixture.request(DispatchWork.Call, excluded = listOf(BackendServerId("a"))))
        }.granted()
        expectThat(granted.map { it.server }.toSet()).isEqualTo(setOf(BackendServerId("b")))
    }
}
