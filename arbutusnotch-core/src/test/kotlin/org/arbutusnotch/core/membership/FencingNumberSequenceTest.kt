/*
 * Tests fencing numbers across instances whose clocks differ.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class FencingNumberSequenceTest {
    private val behind = FencingNumberSequence()
    private val ahead = FencingNumberSequence()

    /** Guards against a new dispatcher whose numbers are lower than those of a predecessor whose clock was ahead. */
    @Test
    fun `a number is higher than every known number`() {
        val earlier = ahead.next(Timestamp(6_000))
        behind.observe(ahead.highest, Timestamp(1_000))
        expectThat(behind.next(Timestamp(1_000))).isGreaterThan(earlier)
        expectThat(behind.next(Timestamp(1_000))).isEqualTo(earlier + 2)
    }

    /** Guards against a single malformed message that uses up the whole number range. */
    @Test
    fun `a number that is too far ahead of the clock is ignored`() {
        behind.observe(Long.MAX_VALUE, Timestamp(1_000))
        expectThat(behind.next(Timestamp(1_000))).isEqualTo(1_000)
    }

    @Test
    fun `a number follows the clock when no higher number is known`() {
        behind.observe(10, Timestamp(1_000))
        expectThat(behind.next(Timestamp(1_000))).isEqualTo(1_000)
    }
}
