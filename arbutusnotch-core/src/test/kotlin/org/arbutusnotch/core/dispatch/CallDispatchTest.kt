/*
 * Tests how the dispatcher queues, places and refuses plain calls.
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
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallDispatchTest {
    /** Guards against sending a server more calls than its slots plus one in transit. */
    @Test
    fun `calls beyond the capacity of all servers wait`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        val granted = (1..8).flatMap { fixture.submitCall() }.granted()
        expectThat(granted.groupBy { it.server }.mapValues { it.value.size })
            .isEqualTo(mapOf(BackendServerId("a") to 3, BackendServerId("b") to 3))
        expectThat(fixture.dispatcher.queueLength).isEqualTo(2)
        expectThat(fixture.release(granted.first()).granted()).hasSize(1)
    }

    /** Guards against late calls that take places from calls that can still meet their objective. */
    @Test
    fun `call that can meet its objective goes before a late one`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        val running = (1..2).flatMap { fixture.submitCall() }.granted()
        val late = fixture.request(DispatchWork.Call, objective = (-100).milliseconds)
        val onTime = fixture.request(DispatchWork.Call, objective = 300.milliseconds)
        fixture.submit(late)
        fixture.submit(onTime)
        expectThat(fixture.release(running[0]).granted().single().ticket).isEqualTo(onTime.ticket)
        expectThat(fixture.release(running[1]).granted().single().ticket).isEqualTo(late.ticket)
    }

    /** Guards against a pause that applies to other holders too, or to no holder. */
    @Test
    fun `paused server takes calls of other holders only`() {
        val fixture = DispatchFixture(listOf(server("a"), server("b")))
        val other = InstanceId(InstanceAddress("127.0.0.1:9"), Incarnation(1))
        fixture.dispatcher.pause(BackendServerId("a"), DispatchFixture.HOLDER, fixture.now + 2.seconds, fixture.now)
        expectThat((1..3).flatMap { fixture.submitCall() }.granted().map { it.server.value }.distinct())
            .isEqualTo(listOf("b"))
        val otherDecisions = fixture.submit(fixture.request(DispatchWork.Call, holder = other)).granted()
        expectThat(otherDecisions.single().server.value).isEqualTo("a")
        fixture.release(otherDecisions.single())
        fixture.advance(2.seconds)
        expectThat(fixture.submitCall().granted().single().server.value).isEqualTo("a")
    }

    /** Guards against requests that stay queued although every server is paused until after their start deadline. */
    @Test
    fun `waiting call is refused when every server pauses for longer than it can wait`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        val waiting = fixture.request(DispatchWork.Call, wait = 1.seconds)
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

    /** Guards against requests that stay queued after their pool has lost its last server. */
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

    /** Guards against a second place for a request that is sent again after its reply was lost. */
    @Test
    fun `repeated request gets the same decision`() {
        val fixture = DispatchFixture(listOf(server("a")))
        val request = fixture.request(DispatchWork.Call)
        val first = fixture.submit(request).granted().single()
        expectThat(fixture.submit(request).granted().single()).isEqualTo(first)
        expectThat(fixture.dispatcher.placesInUse).isEqualTo(1)
    }

    /** Guards against queueing calls that cannot complete before their deadline. */
    @Test
    fun `call that cannot meet its deadline is refused at once`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(12) {
            fixture.submitCall().granted().forEach { granted -> fixture.release(granted, elapsed = 400.milliseconds) }
        }
        repeat(2) { fixture.submitCall() }
        val refused = fixture.submit(fixture.request(DispatchWork.Call, remaining = 100.milliseconds)).refused()
        expectThat(refused.single().reason).isEqualTo(DispatchRefusal.OVERLOADED)
    }

    /** Guards against places that stay in use after their holder has stopped. */
    @Test
    fun `place that its holder no longer reports expires`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        fixture.submit(fixture.request(DispatchWork.Call, remaining = 10.seconds))
        repeat(6) {
            fixture.advance(300.milliseconds)
            fixture.dispatcher.tick(fixture.now)
        }
        expectThat(fixture.dispatcher.placesInUse).isEqualTo(0)
    }

    /** Guards against a new dispatcher that grants places that are already in use. */
    @Test
    fun `reported place of another dispatcher counts`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        val held = (1..2).map {
            HeldPlace(TicketId("old$it"), BackendServerId("a"), PlacePart.RUN, 0)
        }
        fixture.dispatcher.reconcile(HeldPlaces(DispatchFixture.HOLDER, DispatchFixture.POOL, held), fixture.now)
        expectThat(fixture.submitCall().granted()).isEmpty()
    }

    /** Guards against work for a server that has stopped answering, and against never trying it again. */
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
        fixture.advance(450.milliseconds)
        val probe = callsAt("a", count = 2).single()
        fixture.release(probe)
        expectThat(callsAt("a", count = 2).isNotEmpty()).isEqualTo(true)
    }

    /** Guards against one long call, or one lost answer, that blocks all other calls to its server. */
    @Test
    fun `long call does not block other calls to its server`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 2)))
        fixture.submitCall()
        repeat(20) {
            fixture.advance(50.milliseconds)
            fixture.submitCall().granted().forEach { fixture.release(it) }
        }
        expectThat(fixture.submitCall().granted()).hasSize(1)
    }

    /** Guards against further work for a server that answers nothing at all. */
    @Test
    fun `server that answers nothing gets no more calls`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 4), server("b", slots = 4)))
        repeat(2) { fixture.submitCall() }
        fixture.advance(500.milliseconds)
        expectThat(fixture.submitCall().granted()).isEmpty()
    }

    /** Guards against a pool without any admitted server because all of its servers look unhealthy. */
    @Test
    fun `only server of a pool still gets work after a failure`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 4)))
        fixture.submitCall().granted().forEach {
            fixture.release(it, outcome = PlaceOutcome.SILENT)
            fixture.release(it, outcome = PlaceOutcome.UNUSED)
        }
        val probe = fixture.submitCall().granted().single()
        fixture.release(probe)
        expectThat((1..3).flatMap { fixture.submitCall() }.granted()).hasSize(3)
    }

    /** Guards against calls that wait until their deadline although they could be retried earlier. */
    @Test
    fun `call without a place by its start deadline is refused`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        val waiting = fixture.request(DispatchWork.Call, remaining = 1.seconds, wait = 700.milliseconds)
        expectThat(fixture.submit(waiting).refused()).isEmpty()
        fixture.advance(690.milliseconds)
        expectThat(fixture.dispatcher.tick(fixture.now).refused().single().ticket).isEqualTo(waiting.ticket)
    }

    /** Guards against an estimate that mistakes low load for low capacity, and refuses calls while servers are free. */
    @Test
    fun `short queue after a time of low load is not refused`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 2)))
        repeat(10) {
            fixture.submitCall().granted().forEach { fixture.release(it) }
            fixture.advance(200.milliseconds)
        }
        val decisions = (1..7).flatMap {
            fixture.submit(fixture.request(DispatchWork.Call, remaining = 600.milliseconds, wait = 420.milliseconds))
        }
        expectThat(decisions.refused()).isEmpty()
    }

    /** Guards against regular work for a server that fails most of its calls while its peers do not. */
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
        val counts = (1..4).flatMap { fixture.submitCall() }.granted().groupBy { it.server }.mapValues { it.value.size }
        expectThat(counts.getOrDefault(BackendServerId("a"), 0)).isNotEqualTo(2)
        expectThat(counts.getValue(BackendServerId("b")) >= 3).isEqualTo(true)
    }

    /** Guards against a server that fails at once, and so is always free, drawing the requests of the pool. */
    @Test
    fun `server that fails at once gets one request in a hundred after the first second`() {
        val load = FailingServerLoad()
        load.run(requests = 100)
        load.requestsOfFailing = 0
        load.run(requests = 1_000)
        expectThat(load.requestsOfFailing).isLessThanOrEqualTo(10)
    }

    /** Guards against a server that has recovered being kept out of use. */
    @Test
    fun `server that has stopped failing gets its share within three seconds`() {
        val load = FailingServerLoad()
        load.run(requests = 500)
        load.isFailing = false
        load.run(requests = 300)
        load.requestsOfFailing = 0
        load.run(requests = 100)
        expectThat(load.requestsOfFailing).isGreaterThanOrEqualTo(40)
    }

    /** Guards against a server that fails at once and gets several requests after each pause of the callers. */
    @Test
    fun `server that fails at once gets one request after five seconds without requests`() {
        val load = FailingServerLoad()
        load.run(requests = 100)
        load.requestsOfFailing = 0
        load.pause(5.seconds)
        load.run(requests = 20)
        expectThat(load.requestsOfFailing).isLessThanOrEqualTo(1)
    }

    /** Sends a request every 10 ms; one server takes 20 ms for each, and the other one fails at once. */
    private class FailingServerLoad {
        private val fixture = DispatchFixture(listOf(server("a", slots = 4), server("b", slots = 4)))
        private val running = ArrayDeque<DispatchDecision.Granted>()
        var isFailing = true
        var requestsOfFailing = 0

        /** Lets the requests that run end, and sends none for [time]. */
        fun pause(time: Duration) {
            while (running.isNotEmpty()) fixture.release(running.removeFirst(), elapsed = 20.milliseconds)
            fixture.advance(time)
        }

        fun run(requests: Int): Unit = repeat(requests) {
            val granted = fixture.submitCall().granted().single()
            if (granted.server == BackendServerId("a")) requestsOfFailing += 1
            if (granted.server == BackendServerId("a") && isFailing) {
                fixture.release(granted, outcome = PlaceOutcome.SERVER_FAILED, elapsed = Duration.ZERO)
            } else {
                running += granted
            }
            fixture.advance(10.milliseconds)
            if (running.size > 2) fixture.release(running.removeFirst(), elapsed = 20.milliseconds)
        }
    }

    /** Guards against counting the places of an earlier process for its successor with the same id. */
    @Test
    fun `restarted server starts without places in use`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 1)))
        repeat(2) { fixture.submitCall() }
        fixture.dispatcher.configure(listOf(server("a", slots = 1, startedAt = 2)), engine = null)
        expectThat(fixture.submitCall().granted()).hasSize(1)
    }

    @Test
    fun `retries are refused when the retry budget is spent`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 50)), budget = RetryBudget(10, 2))
        val decisions = (1..5).flatMap { fixture.submitCall(retry = true) }
        expectThat(decisions.granted()).hasSize(2)
        expectThat(decisions.refused().map { it.reason }.toSet()).isEqualTo(setOf(DispatchRefusal.RETRY_BUDGET))
    }

    /** Guards against a budget that is spent on retries which are refused, such as those of stalled streams. */
    @Test
    fun `retry that is refused for want of time is not charged`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 50)), budget = RetryBudget(10, 2))
        val refused = fixture.submit(fixture.request(DispatchWork.Call, wait = Duration.ZERO, retry = true)).refused()
        expectThat(refused.map { it.reason }).isEqualTo(listOf(DispatchRefusal.OVERLOADED))
        expectThat(fixture.dispatcher.availableRetries(fixture.now)).isEqualTo(2)
    }

    /**
     * Guards against more retries than the cluster-wide limit, which is twice the budget of one dispatcher, when
     * instances stop or are skipped and several dispatchers take over one after another.
     */
    @Test
    fun `successive dispatchers grant no more retries than the cluster-wide limit`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 500)), budget = RetryBudget(10, 64))
        var granted = grantedRetries(fixture)
        expectThat(granted).isEqualTo(64)
        repeat(4) {
            val next = DispatchFixture(listOf(server("a", slots = 500)), budget = RetryBudget(10, 64), reported = false)
            repeat(4) {
                granted += grantedRetries(next)
                next.advance(500.milliseconds)
            }
        }
        expectThat(granted).isLessThanOrEqualTo(2 * 64)
    }

    private fun grantedRetries(fixture: DispatchFixture): Int =
        (1..100).flatMap { fixture.submitCall(retry = true) }.granted().size

    /** Guards against instances that are partitioned from each other and grant a full budget each. */
    @Test
    fun `dispatcher that reaches a share of the instances grants that share of the retries`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 500)), budget = RetryBudget(10, 64))
        fixture.dispatcher.limitRetries(0.25)
        expectThat(grantedRetries(fixture)).isEqualTo(16)
    }

    /** Guards against a budget that grows each time a request is submitted again after its server was unreachable. */
    @Test
    fun `request that is submitted again is not counted as a first attempt`() {
        val fixture = DispatchFixture(listOf(server("a", slots = 200)), budget = RetryBudget(10, 0))
        repeat(9) { fixture.submitCall() }
        repeat(50) { fixture.submit(fixture.request(DispatchWork.Call).copy(askedBefore = true)) }
        expectThat(fixture.dispatcher.availableRetries(fixture.now)).isEqualTo(0)
        fixture.submitCall()
        expectThat(fixture.dispatcher.availableRetries(fixture.now)).isEqualTo(1)
    }

    @Test
    fun `pool without servers refuses requests`() {
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
