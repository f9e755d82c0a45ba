/*
 * Tests when an instance concludes from its peers that it has missed a change of the store.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds

class MissedChangesTest {
    private val missed = MissedChanges()
    private val start = Timestamp(1_000_000)
    private val deadline = start + 400.milliseconds

    private fun position(revision: Long, era: Long = 1) = StorePosition(era, revision)

    /** Guards against an instance that waits for an answer that was lost although its peers know the change. */
    @Test
    fun `change that a peer knows is overdue after the time of delivery`() {
        missed.onPeerKnows(position(9), own = position(8), now = start)
        missed.onPeerKnows(position(10), own = position(8), now = start + 300.milliseconds)
        expectThat(missed.isOverdue(own = position(8), now = deadline - 1.milliseconds)).isFalse()
        expectThat(missed.isOverdue(own = position(8), now = deadline)).isTrue()
        expectThat(missed.isOverdue(own = position(8), now = deadline)).isFalse()
    }

    /** Guards against calls to the store for changes that arrive a moment later than at a peer. */
    @Test
    fun `change that arrives in time is not overdue`() {
        missed.onPeerKnows(position(9), own = position(8), now = start)
        expectThat(missed.isOverdue(own = position(9), now = start + 100.milliseconds)).isFalse()
        missed.onPeerKnows(position(9), own = position(9), now = deadline)
        missed.onPeerKnows(position(7), own = position(9), now = deadline)
        expectThat(missed.isOverdue(own = position(9), now = deadline + 400.milliseconds)).isFalse()
    }

    /** Guards against revisions of a store before its restoration that count as changes that were missed. */
    @Test
    fun `change of an earlier era is not expected`() {
        missed.onPeerKnows(position(90, era = 1), own = position(8, era = 2), now = start)
        expectThat(missed.isOverdue(own = position(8, era = 2), now = deadline)).isFalse()
        missed.onPeerKnows(position(3, era = 2), own = position(90, era = 1), now = start)
        expectThat(missed.isOverdue(own = position(90, era = 1), now = deadline)).isTrue()
    }
}
