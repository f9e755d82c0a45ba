/*
 * Tests how runs are placed on decode servers of different speed.
 */
package org.arbutusnotch.core.dispatch

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ServerSpeedDispatchTest {
    private val speeds = listOf(1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.55, 0.55)

    private fun play(policy: DispatchPolicy, perSecond: Double): List<PlayedRequest> =
        LoadSimulation(speeds, policy).load(perSecond, from = Duration.ZERO, to = 40.seconds).play()

    /** Guards against long runs on slow servers, which hold memory until their callers give up without an answer. */
    @Test
    fun `more requests are complete on time if long runs avoid slow servers`() {
        listOf(NEAR_CAPACITY, ABOVE_CAPACITY).forEach { perSecond ->
            val before = play(DispatchPolicy(usesServerSpeeds = false), perSecond).count { it.isOnTime }
            expectThat(play(DispatchPolicy(), perSecond).count { it.isOnTime }).isGreaterThan(before)
        }
    }

    /** Guards against slow servers that get as many and as long runs as others although there is room elsewhere. */
    @Test
    fun `slow server gets fewer and shorter runs`() {
        val (slow, normal) = play(DispatchPolicy(), BELOW_CAPACITY)
            .filter { it.at > 10.seconds && it.server != null }
            .partition { it.server?.value in setOf("d6", "d7") }
        expectThat(slow.size / 2.0).isLessThan(normal.size / 6.0 * 0.8)
        expectThat(slow.map { it.work.expectedOutputTokens }.average())
            .isLessThan(normal.map { it.work.expectedOutputTokens }.average())
    }

    private companion object {
        /** Requests per second; the decode memory of the pool suffices for about 24. */
        const val BELOW_CAPACITY = 14.0
        const val NEAR_CAPACITY = 24.0
        const val ABOVE_CAPACITY = 38.0
    }
}
