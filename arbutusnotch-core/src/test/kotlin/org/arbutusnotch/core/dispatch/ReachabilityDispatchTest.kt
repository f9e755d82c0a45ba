/*
 * Places of instances of which some do not reach the servers.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlaceOutcome
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

class ReachabilityDispatchTest {
    private val fixture = DispatchFixture(listOf(server("a", slots = 6), server("b", slots = 6)))

    private fun holder(number: Int) = InstanceId(InstanceAddress("10.0.0.$number:1"), Incarnation(1))

    private fun submit(holder: InstanceId) = fixture.submit(fixture.request(DispatchWork.Call, holder = holder))

    private fun completeCall(holder: InstanceId) = fixture.release(submit(holder).granted().single())

    private fun failCalls(holder: InstanceId, count: Int) = repeat(count) {
        submit(holder).granted().forEach { fixture.release(it, outcome = PlaceOutcome.UNREACHABLE) }
    }

    /** Guards against servers that get no work from any instance because one cannot reach them. */
    @Test
    fun `unreachable servers of one instance get the work of the others`() {
        completeCall(holder(1))
        failCalls(holder(2), count = 4)
        val granted = (1..8).flatMap { submit(holder(1)) }.granted()
        expectThat(granted).hasSize(8)
        expectThat(granted.map { it.server }.distinct()).hasSize(2)
    }

    /** Guards against a queue that stands still behind the requests of an instance that reaches no server. */
    @Test
    fun `requests that no server may take do not hold up the others`() {
        val single = DispatchFixture(listOf(server("a", slots = 1)))
        fun submit(holder: InstanceId) = single.submit(single.request(DispatchWork.Call, holder = holder))
        submit(holder(2)).granted().forEach { single.release(it, outcome = PlaceOutcome.UNREACHABLE) }
        val probes = (1..4).flatMap { submit(holder(2)) }.granted()
        expectThat(submit(holder(1)).granted()).hasSize(1)
        expectThat(probes.size).isLessThanOrEqualTo(1)
    }

    /** Guards against the same for a part of the fleet whose instances fail one after the other, at low load. */
    @Test
    fun `servers that some instances reach are open to them however many do not`() {
        (1..20).forEach { round ->
            (2..9).forEach { failCalls(holder(it), count = 2) }
            fixture.advance(2.seconds)
            val granted = (1..2).flatMap { submit(holder(1)) }.granted().onEach { fixture.release(it) }
            if (round > 2) expectThat(granted).hasSize(2)
        }
    }

    /** Guards against a dead server that every instance has to find out about by itself. */
    @Test
    fun `server that two instances cannot reach gets no work from others`() {
        val dead = DispatchFixture(listOf(server("a"), server("b", slots = 50)))
        listOf(holder(2), holder(3)).forEach { holder ->
            val calls = (1..4).flatMap { dead.submit(dead.request(DispatchWork.Call, holder = holder)) }.granted()
            calls.forEach { call ->
                val isDead = call.server.value == "a"
                dead.release(call, outcome = if (isDead) PlaceOutcome.UNREACHABLE else PlaceOutcome.COMPLETED)
            }
        }
        val others = (4..9).flatMap { dead.submit(dead.request(DispatchWork.Call, holder = holder(it))) }.granted()
        expectThat(others.map { it.server.value }.distinct()).isEqualTo(listOf("b"))
    }

    /** Guards against callers that wait at an instance that reaches no server, and against places that it occupies. */
    @Test
    fun `instance that reaches no server is refused at once and finds the way back by single requests`() {
        completeCall(holder(1))
        failCalls(holder(2), count = 3)
        (1..4).flatMap { submit(holder(1)) }.granted().forEach { fixture.release(it) }
        val refused = submit(holder(2)).refused()
        expectThat(refused.single().reason).isEqualTo(DispatchRefusal.SERVERS_UNREACHABLE)
        fixture.advance(3.seconds)
        val probes = (1..6).flatMap { submit(holder(2)) }.granted()
        expectThat(probes.size).isLessThanOrEqualTo(2)
        probes.forEach { fixture.release(it) }
        expectThat(submit(holder(2)).refused()).isEmpty()
        expectThat((1..4).flatMap { submit(holder(2)) }.granted()).hasSize(4)
    }
}
