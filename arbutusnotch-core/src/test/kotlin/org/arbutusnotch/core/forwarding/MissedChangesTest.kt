/*
 * Tests when an instance concludes from its peers that it has missed a change of the store.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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

    /** Guards against a change that spreads only as fast as the instances that have it can name it. */
    @Test
    fun `change that a peer names is passed on at once and until the store is asked`() {
        expectThat(missed.onPeerKnows(position(9), own = position(8), now = start)).isTrue()
        expectThat(missed.heard(own = position(8), now = start)).isEqualTo(position(9))
        expectThat(missed.onPeerKnows(position(10), own = position(8), now = start)).isFalse()
        expectThat(missed.heard(own = position(8), now = start)).isEqualTo(position(10))
        expectThat(missed.isOverdue(own = position(8), now = deadline)).isTrue()
        expectThat(missed.heard(own = position(8), now = deadline)).isNull()
    }

    /** Guards against a change that is passed on as missed by an instance that has it. */
    @Test
    fun `change that this instance has is not passed on`() {
        expectThat(missed.onPeerKnows(position(9), own = position(9), now = start)).isFalse()
        expectThat(missed.onPeerKnows(position(9), own = null, now = start)).isFalse()
        missed.onPeerKnows(position(10), own = position(9), now = start)
        expectThat(missed.heard(own = position(10), now = start)).isNull()
    }

    /** Guards against messages that grow in number with the changes that are named in a short time. */
    @Test
    fun `changes are passed on at once only from time to time`() {
        val relays = (0 until 1_000).count { elapsed ->
            val now = start + elapsed.milliseconds
            val own = position(elapsed.toLong())
            missed.isOverdue(own, now)
            missed.onPeerKnows(position(elapsed + 1L), own, now)
        }
        expectThat(relays).isEqualTo(2)
    }

    /** Guards against a change that is not noticed because a later one was named and arrived late too. */
    @Test
    fun `later change has its own time of delivery`() {
        missed.onPeerKnows(position(9), own = position(8), now = start)
        missed.onPeerKnows(position(10), own = position(8), now = start + 300.milliseconds)
        expectThat(missed.isOverdue(own = position(9), now = deadline)).isFalse()
        expectThat(missed.isOverdue(own = position(9), now = deadline + 299.milliseconds)).isFalse()
        expectThat(missed.isOverdue(own = position(9), now = deadline + 300.milliseconds)).isTrue()
    }

    /** Guards against a wrong change of a peer that is asked for again and again, or that hides a real one. */
    @Test
    fun `change that the store does not confirm is ignored while others count`() {
        val wrong = position(Long.MAX_VALUE, era = 7)
        missed.onPeerKnows(wrong, own = position(8), now = start)
        expectThat(missed.isOverdue(own = position(8), now = deadline)).isTrue()
        val later = deadline + 2.seconds
        expectThat(missed.onPeerKnows(wrong, own = position(8), now = later)).isFalse()
        expectThat(missed.isOverdue(own = position(8), now = later + 400.milliseconds)).isFalse()
        expectThat(missed.onPeerKnows(position(9), own = position(8), now = later)).isTrue()
        expectThat(missed.isOverdue(own = position(8), now = later + 400.milliseconds)).isTrue()
    }

    /** Guards against wrong changes that delay the query for a real one after the store has confirmed another. */
    @Test
    fun `confirmed change ends the delay of queries`() {
        missed.onPeerKnows(position(9), own = position(8), now = start)
        expectThat(missed.isOverdue(own = position(8), now = deadline)).isTrue()
        expectThat(missed.isOverdue(own = position(9), now = deadline + 50.milliseconds)).isFalse()
        missed.onPeerKnows(position(10), own = position(9), now = deadline + 50.milliseconds)
        expectThat(missed.isOverdue(own = position(9), now = deadline + 450.milliseconds)).isTrue()
    }

    /** Guards against a restoration that goes unnoticed because changes of the era before it were asked for. */
    @Test
    fun `change of a later era counts although later revisions were not confirmed`() {
        missed.onPeerKnows(position(95), own = position(90), now = start)
        expectThat(missed.isOverdue(own = position(90), now = deadline)).isTrue()
        val later = deadline + 1.seconds
        expectThat(missed.onPeerKnows(position(3, era = 2), own = position(90), now = later)).isTrue()
        expectThat(missed.isOverdue(own = position(90), now = later + 400.milliseconds)).isTrue()
        val restored = position(3, era = 2)
        expectThat(missed.isOverdue(own = restored, now = later + 450.milliseconds)).isFalse()
        expectThat(missed.onPeerKnows(position(95), own = restored, now = later + 450.milliseconds)).isFalse()
        expectThat(missed.onPeerKnows(position(4, era = 2), own = restored, now = later + 450.milliseconds)).isFalse()
        expectThat(missed.heard(restored, now = later + 450.milliseconds)).isEqualTo(position(4, era = 2))
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
