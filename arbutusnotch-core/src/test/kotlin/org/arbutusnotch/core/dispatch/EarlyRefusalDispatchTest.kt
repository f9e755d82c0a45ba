/*
 * Tests what callers get while a burst exceeds the capacity of a pool.
 */
package org.arbutusnotch.core.dispatch

import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EarlyRefusalDispatchTest {
    private val burstEnd = 24.seconds

    /** Plays bursts of 2.1 times the mean, which is the capacity of the pool, with several seeds. */
    private fun play(refusesEarly: Boolean): List<PlayedRequest> = (1..SEEDS).flatMap { seed ->
        LoadSimulation(List(4) { 1.0 }, DispatchPolicy(refusesEarly = refusesEarly), seed = seed)
            .load(MEAN, Duration.ZERO, 20.seconds)
            .load(MEAN * BURST, 20.seconds, burstEnd)
            .load(MEAN * AFTER_BURST, burstEnd, 40.seconds)
            .play()
    }

    private fun List<PlayedRequest>.refusals() = filter { it.refused != null }

    private fun List<PlayedRequest>.refusedWaits(): List<Duration> =
        refusals().mapNotNull { request -> request.refusedAt?.let { it - request.at } }.sorted()

    /**
     * Guards against late requests that wait for seconds before they are refused, and against refusals at the expense
     * of requests that can be on time. A request that has a chance when it becomes late may lose it during the burst.
     */
    @Test
    fun `late requests beyond the capacity are refused as soon as they are late`() {
        val before = play(refusesEarly = false)
        val after = play(refusesEarly = true)
        val waits = after.refusedWaits()
        expectThat(waits).isNotEmpty()
        expectThat(waits[waits.size * 3 / 4]).isLessThanOrEqualTo(OBJECTIVE + TICK * 2)
        expectThat(waits.last()).isLessThan(before.refusedWaits().last())
        expectThat(after.count { it.isOnTime }).isGreaterThanOrEqualTo(before.count { it.isOnTime })
    }

    /** Guards against requests that count as having a chance when they become late, and are refused much later. */
    @Tag("known-red")
    @Test
    fun `nine of ten refused requests are refused as soon as they are late`() {
        val waits = play(refusesEarly = true).refusedWaits()
        expectThat(waits[waits.size * 9 / 10]).isLessThanOrEqualTo(OBJECTIVE + TICK * 2)
    }

    /** Guards against callers that come back at once or long after the queue has room again. */
    @Test
    fun `refusal names the time at which the queue has room`() {
        val delays = play(refusesEarly = true).refusals().mapNotNull { it.refused?.retryAfter }
        expectThat(delays).all { isGreaterThanOrEqualTo(200.milliseconds) }
        expectThat(delays).all { isLessThanOrEqualTo(REMAINING) }
    }

    private companion object {
        const val SEEDS = 4

        /** Requests per second; the decode memory of the pool suffices for about 13. */
        const val MEAN = 13.0
        const val BURST = 2.1
        const val AFTER_BURST = 0.8

        val OBJECTIVE = 900.milliseconds
        val REMAINING = 8.seconds
        val TICK = 20.milliseconds
    }
}
