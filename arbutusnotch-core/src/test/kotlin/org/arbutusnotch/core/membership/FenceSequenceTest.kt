/*
 * Numbers of orders over instances whose clocks differ.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class FenceSequenceTest {
    private val behind = FenceSequence()
    private val ahead = FenceSequence()

    /** Guards against an order of a new dispatcher that lies below those of one whose clock was ahead. */
    @Test
    fun `number lies above every known one`() {
        val earlier = ahead.next(Timestamp(6_000))
        behind.observe(ahead.highest, Timestamp(1_000))
        expectThat(behind.next(Timestamp(1_000))).isGreaterThan(earlier)
        expectThat(behind.next(Timestamp(1_000))).isEqualTo(earlier + 2)
    }

    /** Guards against one malformed message after which no number is left. */
    @Test
    fun `number that no clock gives is ignored`() {
        behind.observe(Long.MAX_VALUE, Timestamp(1_000))
        expectThat(behind.next(Timestamp(1_000))).isEqualTo(1_000)
    }

    @Test
    fun `number follows the clock where nothing higher is known`() {
        behind.observe(10, Timestamp(1_000))
        expectThat(behind.next(Timestamp(1_000))).isEqualTo(1_000)
    }
}
