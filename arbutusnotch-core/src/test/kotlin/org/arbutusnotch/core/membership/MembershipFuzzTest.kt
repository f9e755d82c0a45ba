/*
 * Guards against membership views that do not converge after failures have ended.
 */
package org.arbutusnotch.core.membership

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import org.arbutusnotch.core.fuzz.ANNOTATED_SEED
import org.arbutusnotch.core.fuzz.seeded
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.HeartbeatRow
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.time.Timestamp
import kotlin.random.Random

internal class MembershipFuzzTest {
    @Property(seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `after failures exactly the running instances are reachable in every view`(@ForAll("seeds") seed: Long) {
        val fleet = GossipingFleet(Random(seed))
        fleet.injectFailures()
        fleet.converge()
        fleet.checkViews()
    }

    /**
     * Guards against instances whose rows are ignored for the rest of the day because the wall clock stepped back
     * before they restarted. In a trial, each half of a fleet of 21 instances saw only 8 to 11 of them.
     */
    @Property(seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `clock steps between starts do not split the fleet`(@ForAll("seeds") seed: Long) {
        val fleet = GossipingFleet(Random(seed), clockSteps = true)
        fleet.injectFailures()
        fleet.converge()
        fleet.checkViews()
    }

    @Provide
    fun seeds(): Arbitrary<Long> = Arbitraries.longs().withDistribution(RandomDistribution.uniform()).seeded()
}

/** Simulates gossip while messages are lost, delayed and duplicated, and instances stop, pause and restart. */
private class GossipingFleet(private val random: Random, private val clockSteps: Boolean = false) {
    private val size = random.nextInt(2, MAXIMUM_INSTANCES + 1)
    private val members = MutableList(size) { newTable(it + 1, incarnation = 1) }
    private val stopped = mutableSetOf<Int>()
    private val paused = mutableSetOf<Int>()
    private val network = mutableListOf<Delivery>()
    private val partitionIndex = random.nextInt(size)
    private var partitioned = false
    private var nowMillis = 1_000_000L
    private var incarnations = 1L

    fun injectFailures() {
        repeat(FAILURE_ROUNDS) {
            applyRandomChange()
            nowMillis += GOSSIP_INTERVAL_MILLIS
            running().forEach { gossip(it) }
            deliver(lossPercent = 30)
        }
    }

    fun converge() {
        paused.clear()
        partitioned = false
        repeat(CONVERGENCE_ROUNDS) {
            nowMillis += GOSSIP_INTERVAL_MILLIS
            running().forEach { gossip(it) }
            deliver(lossPercent = 0)
        }
    }

    fun checkViews() {
        val expected = running().map { members[it].self }.toSet()
        running().forEach { index ->
            val live = members[index].live().map { it.instance }.toSet()
            check(live == expected) { "instance $index sees $live instead of $expected" }
            check(members[index].successor == null) { "instance $index considers itself replaced" }
        }
    }

    private fun applyRandomChange() {
        val index = random.nextInt(size)
        when (random.nextInt(CHANGE_OPTIONS)) {
            0 -> restart(index)
            1 -> if (!paused.remove(index)) paused += index
            2 -> if (stopped.size < size - 1) stopped += index
            3 -> partitioned = !partitioned
        }
    }

    private fun restart(index: Int) {
        incarnations += 1
        stopped -= index
        paused -= index
        val incarnation = if (clockSteps) random.nextLong(1, HIGHEST_INCARNATION) else incarnations
        members[index] = newTable(index + 1, incarnation)
    }

    private fun gossip(index: Int) {
        val table = members[index]
        table.tick(Timestamp(nowMillis))
        table.incrementHeartbeat()
        val rows = table.rowsToSend()
        check(rows.size <= InstanceTable.ROW_LIMIT && rows.first() == table.ownRow) { "own row missing or too many" }
        val heartbeats = table.heartbeatsToSend()
        table.gossipTargets(random).forEach { network += Delivery(index, table.self, it, rows, heartbeats) }
    }

    private fun deliver(lossPercent: Int) {
        val (delivered, delayed) = network.toList().partition { random.nextInt(100) < DELIVERED_PERCENT }
        network.clear()
        network += delayed
        delivered.shuffled(random).forEach { deliver(it, lossPercent) }
    }

    private fun deliver(delivery: Delivery, lossPercent: Int) {
        val receiver = members.indexOfFirst { it.self.address == delivery.receiver }
        if (random.nextInt(100) < lossPercent || isPartitioned(delivery.sender, receiver)) return
        if (receiver !in running()) return
        members[receiver].merge(delivery.rows, Timestamp(nowMillis))
        members[receiver].mergeHeartbeats(delivery.heartbeats, Timestamp(nowMillis))
        if (clockSteps) sendLaterRow(delivery, receiver)
        if (random.nextInt(100) < DUPLICATED_PERCENT) network += delivery
    }

    private fun sendLaterRow(delivery: Delivery, receiver: Int) {
        val later = members[receiver].rowOfLaterIncarnation(delivery.instance) ?: return
        network += Delivery(receiver, members[receiver].self, delivery.instance.address, listOf(later), emptyList())
    }

    private fun isPartitioned(sender: Int, receiver: Int) =
        partitioned && (sender < partitionIndex) != (receiver < partitionIndex)

    private fun running(): List<Int> = (0 until size).filter { it !in stopped && it !in paused }

    private fun newTable(number: Int, incarnation: Long) = InstanceTable(
        own = rowOf(number, incarnation = incarnation),
        seeds = (1..size).map { addressOf(it) },
        reclaimsAddress = clockSteps,
    )

    private class Delivery(
        val sender: Int,
        val instance: InstanceId,
        val receiver: InstanceAddress,
        val rows: List<InstanceRow>,
        val heartbeats: List<HeartbeatRow>,
    )

    private companion object {
        const val MAXIMUM_INSTANCES = 8
        const val FAILURE_ROUNDS = 60
        const val CONVERGENCE_ROUNDS = 60
        const val GOSSIP_INTERVAL_MILLIS = 250L
        const val CHANGE_OPTIONS = 10

        /** Far above the number of restarts, so that random incarnations rarely follow the order of the restarts. */
        const val HIGHEST_INCARNATION = 1_000L
        const val DELIVERED_PERCENT = 80
        const val DUPLICATED_PERCENT = 10
    }
}
