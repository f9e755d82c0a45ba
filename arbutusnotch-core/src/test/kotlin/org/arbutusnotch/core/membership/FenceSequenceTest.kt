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
        behind.observe(ahead.highest)
        expectThat(behind.next(Timestamp(1_000))).isGreaterThan(earlier)
        expectThat(behind.next(Timestamp(1_000))).isEqualTo(earlier + 2)
    }

    @Test
    fun `number follows the clock where nothing higher is known`() {
        behind.observe(10)
        expectThat(behind.next(Timestamp(1_000))).isEqualTo(1_000)
    }
}
