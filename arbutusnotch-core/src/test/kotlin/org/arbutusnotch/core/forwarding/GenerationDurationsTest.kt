/*
 * Tests how long a generation is expected to take.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.PoolId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GenerationDurationsTest {
    private val durations = GenerationDurations()
    private val pool = PoolId("engines")
    private val objective = 900.milliseconds

    private fun record(count: Int, tokens: Int, elapsed: Duration, pool: PoolId = this.pool) =
        repeat(count) { durations.record(pool, tokens, firstEventAfter = 100.milliseconds, elapsed = elapsed) }

    /** Guards against a short objective that passes for the duration of streams of which few were observed. */
    @Test
    fun `duration is unknown until enough generations of the pool were observed`() {
        expectThat(durations.expected(pool, outputTokens = 100, objective)).isNull()
        record(count = 8, tokens = 100, elapsed = 1.seconds, pool = PoolId("other"))
        record(count = 8, tokens = 0, elapsed = 1.seconds)
        record(count = 7, tokens = 100, elapsed = 1.seconds)
        expectThat(durations.expected(pool, outputTokens = 100, objective)).isNull()
        record(count = 1, tokens = 100, elapsed = 1.seconds)
        expectThat(durations.expected(pool, outputTokens = 100, objective)).isNotNull()
        expectThat(durations.expected(pool, outputTokens = 0, objective)).isNull()
    }

    /** Guards against short observed streams that hide how long a long one takes. */
    @Test
    fun `duration grows with the declared length`() {
        record(count = 8, tokens = 10, elapsed = 1_100.milliseconds)
        expectThat(durations.expected(pool, outputTokens = 50, objective)).isNotNull()
            .isGreaterThanOrEqualTo(5_900.milliseconds)
        expectThat(durations.expected(pool, outputTokens = 5, objective)).isNotNull().isLessThan(2.seconds)
    }

    /** Guards against one slow generation that lets an instance refuse generations for the rest of its life. */
    @Test
    fun `slowest of the latest generations is expected`() {
        record(count = 1, tokens = 100, elapsed = 8_100.milliseconds)
        record(count = 15, tokens = 100, elapsed = 1_100.milliseconds)
        expectThat(durations.expected(pool, outputTokens = 100, objective)).isEqualTo(10_900.milliseconds)
        record(count = 1, tokens = 100, elapsed = 1_100.milliseconds)
        expectThat(durations.expected(pool, outputTokens = 100, objective)).isEqualTo(2_150.milliseconds)
    }
}
