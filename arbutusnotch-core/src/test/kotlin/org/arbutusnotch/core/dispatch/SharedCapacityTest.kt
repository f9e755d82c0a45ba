/*
 * Guards against deployments without workspaces whose requests are ordered and refused differently than before.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlacePart
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class SharedCapacityTest {
    private val servers =
        listOf(server("p", ServerStage.PREFILL, slots = 16), server("d", ServerStage.DECODE, slots = 2))

    /** Returns whether a request that can be on time is refused while late ones fill the queue. */
    private fun isRefusedBehindLateRequests(sharesCapacity: Boolean): Boolean {
        val fixture = DispatchFixture(servers, EngineProfile(slots = 2, memoryTokens = 7_000))
        fixture.dispatcher.shareCapacity(sharesCapacity)
        val work = DispatchWork.Generation(promptTokens = 3_000, expectedOutputTokens = 70)
        repeat(4) {
            fixture.submit(fixture.request(work, objective = 2.seconds, remaining = 14.seconds)).granted().forEach {
                fixture.release(it, PlacePart.PREFILL)
                fixture.advance(3.seconds)
                fixture.release(it, elapsed = 3.seconds)
            }
        }
        repeat(30) { fixture.submit(fixture.request(work, objective = (-1).seconds, remaining = 14.seconds)) }
        val onTime = fixture.request(work, objective = 4.seconds, remaining = 8.seconds)
        return fixture.submit(onTime).refused().any { it.ticket == onTime.ticket }
    }

    @Test
    fun `late requests in the queue count against others unless capacity is shared`() {
        expectThat(isRefusedBehindLateRequests(sharesCapacity = false)).isTrue()
        expectThat(isRefusedBehindLateRequests(sharesCapacity = true)).isFalse()
    }
}
