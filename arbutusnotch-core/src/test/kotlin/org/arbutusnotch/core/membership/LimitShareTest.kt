/*
 * Tests how instances split a limit that applies to all of them together.
 */
package org.arbutusnotch.core.membership

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class LimitShareTest {
    /** Guards against a limit that shrinks because a few instances are down, and is then wasted. */
    @Test
    fun `dispatcher that sees a majority uses the whole limit`() {
        expectThat(LimitShare.of(InstanceCounts(known = 21, reachable = 11), DispatchRole.Dispatcher) { 3 })
            .isEqualTo(1.0)
    }

    /** Guards against the parts of a partition that together use several times the limit. */
    @Test
    fun `dispatchers of all parts of a partition use at most one and a half limits`() {
        for (known in 1..30) {
            for (firstPart in 0..known) {
                val parts = listOf(firstPart, known - firstPart).filter { it > 0 }
                val shares = parts.map { LimitShare.of(InstanceCounts(known, it), DispatchRole.Dispatcher) { it } }
                expectThat(shares.sum()).isLessThanOrEqualTo(1.5)
            }
        }
    }

    /** Guards against two dispatchers that both use the whole limit, since one wrongly holds the other for lost. */
    @Test
    fun `dispatcher and its successor use at most one and a half limits`() {
        for (known in 2..30) {
            val counts = InstanceCounts(known = known, reachable = known - 1)
            val shares = (1..known).map { holders -> LimitShare.of(counts, DispatchRole.Successor) { holders } }
            expectThat(1.0 + shares.max()).isLessThanOrEqualTo(1.5)
        }
    }

    /** Guards against instances that each decide for themselves and together use the limit many times. */
    @Test
    fun `instances that decide for themselves use one limit together`() {
        val counts = InstanceCounts(known = 21, reachable = 21)
        val share = LimitShare.of(counts, DispatchRole.Substitute) { 1 }
        expectThat(share * 21).isLessThanOrEqualTo(1.0 + 1e-9)
    }

    @Test
    fun `instance that decides for all others uses the whole limit`() {
        val counts = InstanceCounts(known = 3, reachable = 3)
        expectThat(LimitShare.of(counts, DispatchRole.Substitute) { 4 }).isEqualTo(1.0)
    }

    /** Guards against an instance that fills the servers although it does not know the places of the other holders. */
    @Test
    fun `substitute grants places in proportion to its holders, and a successor all`() {
        val counts = InstanceCounts(known = 100, reachable = 100)
        expectThat(LimitShare.ofPlaces(counts, DispatchRole.Substitute) { 5 }).isEqualTo(0.05)
        expectThat(LimitShare.ofPlaces(counts, DispatchRole.Successor) { 5 }).isEqualTo(1.0)
    }
}
