/*
 * Guards against views that stay different after failures have ended, whatever happened before.
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
    fun `after failures every view holds the running instances and no other is reachable`(
        @ForAll("seeds") seed: Long,
    ) {
        val fleet = GossipingFleet(Random(seed))
        fleet.fail()
        fleet.settle()
        fleet.checkViews()
    }

    /**
     * Guards against instances that are not believed for the rest of the day, because the time of day went back before
     * they started again (trial on belfry-ops: 8 to 11 of 21 instances seen by each half).
     */
    @Property(seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `clocks that step between starts do not split the view`(@ForAll("seeds") seed: Long) {
        val fleet = GossipingFleet(Random(seed), clocksStep = true)
        fleet.fail()
        fleet.settle()
        fleet.checkViews()
    }

    @Provide
    fun seeds(): Arbitrary<Long> = Arbitraries.longs().withDistribution(RandomDistribution.uniform()).seeded()
}

/** Runs instances that gossip while messages are lost, delayed and repeated and instances stop, pause and restart. */
private class GossipingFleet(private val random: Random, private val clocksStep: Boolean = false) {
    private val size = random.nextInt(2, MAXIMUM_INSTANCES + 1)
    private val members = MutableList(size) { newTable(it + 1, incarnation = 1) }
    private val stopped = mutableSetOf<Int>()
    private val paused = mutableSetOf<Int>()
    private val network = mutableListOf<Delivery>()
    private val cutAt = random.nextInt(size)
    private var partitioned = false
    private var time = 1_000_000L
    private var incarnations = 1L

    fun fail() {
        repeat(FAILING_ROUNDS) {
            changeSomething()
            time += GOSSIP_MILLIS
            running().forEach { gossip(it) }
            deliver(lossPercent = 30)
        }
    }

    fun settle() {
        paused.clear()
        partitioned = false
        repeat(SETTLING_ROUNDS) {
            time += GOSSIP_MILLIS
            running().forEach { gossip(it) }
            deliver(lossPercent = 0)
        }
    }

    fun checkViews() {
        val expected = running().map { members[it].self }.toSet()
        running().forEach { index ->
            val live = members[index].live().map { it.instance }.toSet()
            check(live == expected) { "instance $index sees $live and not $expected" }
            check(members[index].successor == null) { "instance $index takes itself for replaced" }
        }
    }

    private fun changeSomething() {
        val index = random.nextInt(size)
        when (random.nextInt(CHANGES)) {
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
        val incarnation = if (clocksStep) random.nextLong(1, HIGHEST_INCARNATION) else incarnations
        members[index] = newTable(index + 1, incarnation)
    }

    private fun gossip(index: Int) {
        val table = members[index]
        table.tick(Timestamp(time))
        table.beat()
        val rows = table.rowsToSend()
        check(rows.size <= InstanceTable.ROW_LIMIT && rows.first() == table.ownRow) { "own row missing" }
        val heartbeats = table.heartbeatsToSend()
        table.gossipTargets(random).forEach { network += Delivery(index, table.self, it, rows, heartbeats) }
    }

    private fun deliver(lossPercent: Int) {
        val (now, later) = network.toList().partition { random.nextInt(100) < DELIVERED_PERCENT }
        network.clear()
        network += later
        now.shuffled(random).forEach { deliver(it, lossPercent) }
    }

    private fun deliver(delivery: Delivery, lossPercent: Int) {
        val receiver = members.indexOfFirst { it.self.address == delivery.receiver }
        if (random.nextInt(100) < lossPercent || isCut(delivery.sender, receiver)) return
        if (receiver !in running()) return
        members[receiver].merge(delivery.rows, Timestamp(time))
        members[receiver].mergeHeartbeats(delivery.heartbeats, Timestamp(time))
        if (clocksStep) answer(delivery, receiver)
        if (random.nextInt(100) < REPEATED_PERCENT) network += delivery
    }

    private fun answer(delivery: Delivery, receiver: Int) {
        val later = members[receiver].laterRowThan(delivery.instance) ?: return
        network += Delivery(receiver, members[receiver].self, delivery.instance.address, listOf(later), emptyList())
    }

    private fun isCut(sender: Int, receiver: Int) = partitioned && (sender < cutAt) != (receiver < cutAt)

    private fun running(): List<Int> = (0 until size).filter { it !in stopped && it !in paused }

    private fun newTable(number: Int, incarnation: Long) = InstanceTable(
        own = rowOf(number, incarnation = incarnation),
        seeds = (1..size).map { addressOf(it) },
        reclaimsAddress = clocksStep,
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
        const val FAILING_ROUNDS = 60
        const val SETTLING_ROUNDS = 60
        const val GOSSIP_MILLIS = 250L
        const val CHANGES = 10

        /** Incarnations above the number of restarts, so that most restarts have another order than their numbers. */
        const val HIGHEST_INCARNATION = 1_000L
        const val DELIVERED_PERCENT = 80
        const val REPEATED_PERCENT = 10
    }
}
