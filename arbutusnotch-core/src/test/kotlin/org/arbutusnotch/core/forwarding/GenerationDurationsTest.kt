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

    private fun length(tokens: Int) = DeclaredLength(estimate = tokens, maximum = tokens)

    private fun record(
        count: Int,
        tokens: Int,
        elapsed: Duration,
        pool: PoolId = this.pool,
        length: DeclaredLength = length(tokens),
        events: Int = tokens,
    ) = repeat(count) {
        val observation = GenerationObservation(
            promptTokens = 1_000,
            length = length,
            events = events,
            firstEventAfter = 100.milliseconds,
            elapsed = elapsed,
        )
        durations.record(pool, observation)
    }

    private fun longest(maximum: Int, promptTokens: Int = 1_000) =
        durations.longest(pool, promptTokens, DeclaredLength(estimate = 1, maximum), objective)

    /** Guards against a short objective that passes for the duration of streams of which few were observed. */
    @Test
    fun `duration is unknown until enough generations of the pool were observed`() {
        expectThat(durations.expected(pool, length(100), objective)).isNull()
        record(count = 8, tokens = 100, elapsed = 1.seconds, pool = PoolId("other"))
        record(count = 8, tokens = 0, elapsed = 1.seconds)
        record(count = 7, tokens = 100, elapsed = 1.seconds)
        expectThat(durations.expected(pool, length(100), objective)).isNull()
        record(count = 1, tokens = 100, elapsed = 1.seconds)
        expectThat(durations.expected(pool, length(100), objective)).isNotNull()
        expectThat(durations.expected(pool, length(0), objective)).isNull()
    }

    /** Guards against short observed streams that hide how long a long one takes. */
    @Test
    fun `duration grows with the declared length`() {
        record(count = 8, tokens = 10, elapsed = 1_100.milliseconds)
        expectThat(durations.expected(pool, length(50), objective)).isNotNull()
            .isGreaterThanOrEqualTo(5_900.milliseconds)
        expectThat(durations.expected(pool, length(5), objective)).isNotNull().isLessThan(2.seconds)
    }

    /** Guards against one slow generation that lets an instance refuse generations for the rest of its life. */
    @Test
    fun `slowest of the latest generations is expected`() {
        record(count = 1, tokens = 100, elapsed = 8_100.milliseconds)
        record(count = 15, tokens = 100, elapsed = 1_100.milliseconds)
        expectThat(durations.expected(pool, length(100), objective)).isEqualTo(10_900.milliseconds)
        record(count = 1, tokens = 100, elapsed = 1_100.milliseconds)
        expectThat(durations.expected(pool, length(100), objective)).isEqualTo(2_150.milliseconds)
    }

    /** Guards against estimates that pass for a bound: a stream that is longer is cut (review case 7). */
    @Test
    fun `longest duration follows the declared maximum and the time between events`() {
        record(count = 8, tokens = 11, elapsed = 1_100.milliseconds)
        expectThat(longest(maximum = 40)).isEqualTo(4_500.milliseconds)
        expectThat(durations.expected(pool, DeclaredLength(estimate = 4, maximum = 40), objective)).isNotNull()
            .isLessThan(2.seconds)
    }

    /** Guards against wrong estimates and loose maxima that make engines look slower or faster than they are. */
    @Test
    fun `longest duration does not depend on the declared lengths of others`() {
        val loose = DeclaredLength(estimate = 5, maximum = 1_000)
        record(count = 8, tokens = 11, elapsed = 1_100.milliseconds, length = loose)
        expectThat(longest(maximum = 40)).isEqualTo(4_500.milliseconds)
    }

    /** Guards against maxima in tokens that count as events, so that all late streams are refused. */
    @Test
    fun `longest duration counts the tokens of an event`() {
        val length = DeclaredLength(estimate = 110, maximum = 200)
        record(count = 8, tokens = 110, elapsed = 1_100.milliseconds, length = length, events = 11)
        expectThat(longest(maximum = 400)).isEqualTo(4_500.milliseconds)
    }

    /** Guards against events that seem to contain many tokens because callers declare far more than they get. */
    @Test
    fun `maximum of an observed generation bounds the tokens of an event`() {
        val overestimated = DeclaredLength(estimate = 110, maximum = 110)
        record(count = 8, tokens = 110, elapsed = 600.milliseconds, length = overestimated, events = 6)
        record(count = 1, tokens = 12, elapsed = 1_200.milliseconds, length = length(12), events = 12)
        expectThat(longest(maximum = 40)).isEqualTo(4_500.milliseconds)
    }

    /** Guards against short prompts that hide how long a long one takes to read. */
    @Test
    fun `first event of a longer prompt is expected within the objective`() {
        record(count = 8, tokens = 11, elapsed = 1_100.milliseconds)
        expectThat(longest(maximum = 40, promptTokens = 1_001)).isEqualTo(5_300.milliseconds)
    }

    /** Guards against one generation that waited for its place, and lets an instance refuse all late ones. */
    @Test
    fun `single late first event does not count`() {
        record(count = 8, tokens = 11, elapsed = 1_100.milliseconds)
        val waited = GenerationObservation(1_000, length(11), 11, firstEventAfter = 3.seconds, elapsed = 4.seconds)
        durations.record(pool, waited)
        expectThat(longest(maximum = 40)).isEqualTo(4_500.milliseconds)
    }

    /** Guards against a guess where there is no maximum, or nothing was observed that shows the time between events. */
    @Test
    fun `longest duration is unknown without a maximum or enough observations`() {
        record(count = 7, tokens = 11, elapsed = 1_100.milliseconds)
        record(count = 1, tokens = 1, elapsed = 100.milliseconds)
        expectThat(longest(maximum = 40)).isNull()
        record(count = 1, tokens = 11, elapsed = 1_100.milliseconds)
        expectThat(longest(maximum = 40)).isNotNull()
        expectThat(longest(maximum = 0)).isNull()
    }
}
