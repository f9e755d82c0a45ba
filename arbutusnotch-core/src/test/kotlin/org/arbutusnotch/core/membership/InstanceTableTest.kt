/*
 * Guards against failed instances that stay reachable, running ones that become unreachable, and rows that are never
 * sent.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.HeartbeatRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.PublishedInstance
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.first
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

internal class InstanceTableTest {
    private val start = Timestamp(1_000_000)
    private val table = InstanceTable(rowOf(1), seeds = listOf(addressOf(1), addressOf(9)))

    @Test
    fun `only a higher heartbeat extends the suspicion deadline`() {
        table.merge(listOf(rowOf(2, heartbeat = 5)), start)
        tickUntil(1_400)
        table.merge(listOf(rowOf(2, heartbeat = 5)), start + 1_400.milliseconds)
        expectThat(tickUntil(1_500)).containsExactly(MembershipEvent.BecameUnreachable(rowOf(2).instance))
        val events = table.merge(listOf(rowOf(2, heartbeat = 6)), start + 1_500.milliseconds)
        expectThat(events).containsExactly(MembershipEvent.BecameReachable(rowOf(2).instance))
    }

    /** Guards against a successor that takes an instance for ended which others still reach. */
    @Test
    fun `a serving instance counts as recently lost from its suspicion on for a limited time`() {
        table.merge(listOf(rowOf(2), rowOf(3, state = InstanceState.DRAINING)), start)
        tickUntil(1_400)
        expectThat(table.recentlyLost(start + 1_400.milliseconds)).isEmpty()
        tickUntil(1_500)
        val suspectedAt = start + InstanceTable.SUSPICION
        val lost = table.recentlyLost(suspectedAt + InstanceTable.RECENTLY_LOST_TIME - 1.milliseconds)
        expectThat(lost.map { it.instance }).containsExactly(rowOf(2).instance)
        expectThat(table.recentlyLost(suspectedAt + InstanceTable.RECENTLY_LOST_TIME)).isEmpty()
    }

    /** Guards against seeds that were lost for good and count as unknown, so that those that remain lack a majority. */
    @Test
    fun `a seed is unknown until its row arrives and is not unknown again after the row is removed`() {
        expectThat(table.unknownSeedCount).isEqualTo(1)
        table.merge(listOf(rowOf(9)), start)
        expectThat(table.unknownSeedCount).isEqualTo(0)
        table.tick(start + InstanceTable.REMOVAL)
        expectThat(table.find(addressOf(9))).isNull()
        expectThat(table.unknownSeedCount).isEqualTo(0)
        table.seeds = listOf(addressOf(8), addressOf(9))
        expectThat(table.unknownSeedCount).isEqualTo(1)
    }

    @Test
    fun `the suspicion deadline grows with the size of a large fleet`() {
        val instancesPerMessage = InstanceTable.ROW_LIMIT + InstanceTable.HEARTBEAT_LIMIT
        table.merge((2..(2 * instancesPerMessage)).map { rowOf(it) }, start)
        table.merge(listOf(rowOf(2, heartbeat = 2)), start)
        tickUntil(2_900)
        expectThat(table.find(addressOf(2))?.reachable).isEqualTo(true)
        table.tick(start + 3_000.milliseconds)
        expectThat(table.find(addressOf(2))?.reachable).isEqualTo(false)
    }

    @Test
    fun `a later incarnation replaces an earlier one regardless of its heartbeat`() {
        table.merge(listOf(rowOf(2, incarnation = 1, heartbeat = 900)), start)
        val events = table.merge(listOf(rowOf(2, incarnation = 2, heartbeat = 1)), start)
        val replaced = MembershipEvent.Replaced(idOf(2, 1), idOf(2, 2))
        expectThat(events).containsExactly(replaced, MembershipEvent.BecameReachable(idOf(2, 2)))
        expectThat(table.isReplaced(idOf(2, 1))).isTrue()
        expectThat(table.isReplaced(idOf(2, 2))).isFalse()
        expectThat(table.merge(listOf(rowOf(2, incarnation = 1, heartbeat = 901)), start)).isEmpty()
    }

    @Test
    fun `a later incarnation at the own address is reported once`() {
        val row = rowOf(1, incarnation = 2)
        expectThat(table.merge(listOf(row), start)).containsExactly(MembershipEvent.OwnAddressTaken(row.instance))
        expectThat(table.merge(listOf(row), start)).isEmpty()
        expectThat(table.successor).isEqualTo(row.instance)
        expectThat(table.ownRow.instance).isEqualTo(idOf(1, 1))
    }

    /** Guards against a process that stops or is ignored by its peers because the clock stepped back. */
    @Test
    fun `a table that reclaims its address adopts a higher incarnation than the known one`() {
        val reclaiming = InstanceTable(rowOf(1, incarnation = 5), reclaimsAddress = true)
        val peer = InstanceTable(rowOf(2))
        peer.merge(listOf(rowOf(1, incarnation = 9)), start)
        val later = listOfNotNull(peer.rowOfLaterIncarnation(reclaiming.self))
        val changesBefore = reclaiming.changeCount
        expectThat(reclaiming.merge(later, start))
            .containsExactly(MembershipEvent.IncarnationRaised(idOf(1, 5), idOf(1, 10)))
        expectThat(reclaiming.changeCount).isEqualTo(changesBefore + 1)
        expectThat(reclaiming.successor).isNull()
        peer.merge(listOf(reclaiming.ownRow), start)
        expectThat(peer.find(addressOf(1))?.instance).isEqualTo(idOf(1, 10))
        expectThat(peer.rowOfLaterIncarnation(reclaiming.self)).isNull()
    }

    @Test
    fun `a row of an earlier incarnation at the own address is ignored`() {
        expectThat(table.merge(listOf(rowOf(1, incarnation = 0, heartbeat = 99)), start)).isEmpty()
        expectThat(table.successor).isNull()
    }

    @Test
    fun `a failed connection makes an instance unreachable until its heartbeat rises`() {
        table.merge(listOf(rowOf(2, heartbeat = 1)), start)
        table.markUnreachable(addressOf(2))
        expectThat(table.reachablePeers()).isEmpty()
        table.merge(listOf(rowOf(2, heartbeat = 2)), start)
        expectThat(table.reachablePeers()).hasSize(1)
    }

    @Test
    fun `peers do not become unreachable right after a pause of this process`() {
        table.merge(listOf(rowOf(2)), start)
        table.tick(start)
        table.tick(start + 5_000.milliseconds)
        expectThat(table.reachablePeers()).hasSize(1)
    }

    @Test
    fun `an instance whose removal time has passed is removed`() {
        table.merge(listOf(rowOf(2)), start)
        val events = table.tick(start + 10.minutes)
        expectThat(events).containsExactly(MembershipEvent.Removed(idOf(2, 1)))
        expectThat(table.find(addressOf(2))).isNull()
    }

    @Test
    fun `every row of a large fleet is sent before one is repeated, even when rows are updated`() {
        val peers = (2..100)
        val rounds = (peers.count() + InstanceTable.ROW_LIMIT - 2) / (InstanceTable.ROW_LIMIT - 1)
        val sent = (1L..rounds).flatMap { round ->
            table.merge(peers.map { rowOf(it, heartbeat = round) }, start)
            val rows = table.rowsToSend()
            expectThat(rows).hasSize(InstanceTable.ROW_LIMIT).first().isEqualTo(table.ownRow)
            rows.drop(1).map { it.instance.address }
        }
        expectThat(sent.take(99)).containsExactlyInAnyOrder(peers.map { addressOf(it) })
    }

    @Test
    fun `every heartbeat of a large fleet is sent before one is repeated`() {
        val peers = (2..57)
        table.merge(peers.map { rowOf(it) }, start)
        val sent = (1..2).flatMap { table.heartbeatsToSend() }.map { it.address }
        expectThat(sent).containsExactlyInAnyOrder(peers.map { addressOf(it) })
    }

    @Test
    fun `a heartbeat without its row keeps an instance reachable`() {
        table.merge(listOf(rowOf(2, heartbeat = 1)), start)
        table.tick(start + 1_000.milliseconds)
        table.mergeHeartbeats(listOf(HeartbeatRow(addressOf(2), Incarnation(1), 0, 2)), start + 1_000.milliseconds)
        table.tick(start + 1_499.milliseconds)
        table.tick(start + 1_998.milliseconds)
        expectThat(table.reachablePeers()).hasSize(1)
    }

    @Test
    fun `a heartbeat of another incarnation or of an unknown instance is ignored`() {
        table.merge(listOf(rowOf(2, heartbeat = 1)), start)
        val other = listOf(
            HeartbeatRow(addressOf(2), Incarnation(2), 0, 9),
            HeartbeatRow(addressOf(3), Incarnation(1), 0, 9),
        )
        expectThat(table.mergeHeartbeats(other, start)).isEqualTo(emptyList())
        expectThat(table.find(addressOf(2))?.row?.heartbeat).isEqualTo(1L)
        expectThat(table.find(addressOf(3))).isNull()
    }

    /** Guards against running instances that are suspected because their rows spread more slowly than heartbeats. */
    @Test
    fun `a heartbeat of a later version shows that the instance runs and what its state is`() {
        table.merge(listOf(rowOf(2, heartbeat = 1)), start)
        tickUntil(1_400)
        val later = HeartbeatRow(addressOf(2), Incarnation(1), version = 3, heartbeat = 9, InstanceState.DRAINING)
        table.mergeHeartbeats(listOf(later), start + 1_400.milliseconds)
        table.tick(start + 1_600.milliseconds)
        expectThat(table.find(addressOf(2))?.reachable).isEqualTo(true)
        expectThat(table.find(addressOf(2))?.row?.state).isEqualTo(InstanceState.DRAINING)
        table.merge(listOf(rowOf(2, heartbeat = 10).copy(version = 2)), start + 1_600.milliseconds)
        expectThat(table.find(addressOf(2))?.row?.state).isEqualTo(InstanceState.DRAINING)
        table.merge(listOf(rowOf(2, heartbeat = 10).copy(version = 3)), start + 1_600.milliseconds)
        expectThat(table.heartbeatsToSend().single().version).isEqualTo(3L)
    }

    /** Guards against instances that are suspected although they answer. */
    @Test
    fun `a silent instance is suspected only after it has not answered questions`() {
        val asking = InstanceTable(rowOf(1), questionsBeforeSuspicion = 2)
        asking.merge(listOf(rowOf(2)), start)
        val asked = (0..2_800L step 50).filter { millis ->
            val now = start + millis.milliseconds
            asking.tick(now)
            if (millis == 1_350L) asking.recordMessage(addressOf(2), now)
            asking.peersToAsk(now, limit = 8).isNotEmpty()
        }
        expectThat(asked).containsExactly(1_000L, 1_200L, 2_350L, 2_550L, 2_750L)
        asking.tick(start + 2_900.milliseconds)
        expectThat(asking.reachablePeers()).hasSize(1)
        asking.tick(start + 2_950.milliseconds)
        expectThat(asking.reachablePeers()).isEmpty()
        expectThat(asking.recordMessage(addressOf(2), start + 2_960.milliseconds))
            .containsExactly(MembershipEvent.BecameReachable(rowOf(2).instance))
    }

    @Test
    fun `a changed row is merged even if a later heartbeat of the previous version is known`() {
        table.merge(listOf(rowOf(2, heartbeat = 9)), start)
        val changed = rowOf(2, heartbeat = 5).copy(state = InstanceState.DRAINING, version = 1)
        table.merge(listOf(changed), start)
        expectThat(table.find(addressOf(2))?.row).isEqualTo(changed.copy(heartbeat = 9))
    }

    @Test
    fun `rows of unreachable instances are not sent`() {
        table.merge(listOf(rowOf(2), rowOf(3)), start)
        table.markUnreachable(addressOf(2))
        expectThat(table.rowsToSend().map { it.instance.address }).containsExactly(addressOf(1), addressOf(3))
    }

    @Test
    fun `gossip goes to reachable peers and to one address that is not reachable`() {
        table.merge(listOf(rowOf(2), rowOf(3), rowOf(4)), start)
        table.mergePublished(listOf(published(1), published(2), published(8)))
        val targets = List(50) { table.gossipTargets(Random(it)) }
        expectThat(targets.flatten().toSet()).containsExactlyInAnyOrder(listOf(2, 3, 4, 8, 9).map { addressOf(it) })
        expectThat(targets.map { it.size }.toSet()).containsExactly(3)
    }

    @Test
    fun `an unreachable instance is still contacted so that a healed partition merges`() {
        val alone = InstanceTable(rowOf(1))
        alone.merge(listOf(rowOf(2)), start)
        alone.markUnreachable(addressOf(2))
        expectThat(alone.gossipTargets(Random(1))).containsExactly(addressOf(2))
    }

    @Test
    fun `a published instance without a gossip row is known but not reachable`() {
        table.mergePublished(listOf(published(1), published(2), published(3, leaving = true)))
        table.merge(listOf(rowOf(3)), start)
        expectThat(table.publishedWithoutRow().map { it.address }).containsExactly(addressOf(2))
        expectThat(table.live().map { it.address }).containsExactly(addressOf(1), addressOf(3))
        expectThat(table.find(addressOf(3))?.acceptsNewWork).isEqualTo(false)
    }

    @Test
    fun `an instance that gossips but is not published accepts new work`() {
        table.mergePublished(emptyList())
        table.merge(listOf(rowOf(2)), start)
        expectThat(table.find(addressOf(2))?.acceptsNewWork).isEqualTo(true)
    }

    @Test
    fun `a change of the own row raises its heartbeat so that peers accept it`() {
        val before = table.ownRow
        table.updateOwnRow(state = InstanceState.DRAINING)
        expectThat(table.ownRow.heartbeat).isEqualTo(before.heartbeat + 1)
        expectThat(table.ownRow.state).isEqualTo(InstanceState.DRAINING)
    }

    private fun tickUntil(millis: Int): List<MembershipEvent> =
        (0..millis step 100).flatMap { table.tick(start + it.milliseconds) }

    private fun idOf(number: Int, incarnation: Long) = InstanceId(addressOf(number), Incarnation(incarnation))

    private fun published(number: Int, leaving: Boolean = false) =
        PublishedInstance(addressOf(number), "entry", "operator", FailureDomainId("a"), leaving)
}
