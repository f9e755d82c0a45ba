/*
 * Guards against running instances of a large fleet that suspect one another.
 *
 * In a fleet of 104 instances, a new configuration raised the version of every row. Heartbeats of the new versions were
 * ignored until the full rows had spread, which took longer than the suspicion time: nearly all instances suspected one
 * another, and several of them dispatched for one pool.
 */
package org.arbutusnotch.forwarding.membership

import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.quarantine.RequestQuarantine
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.quarantine.CrashReporter
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class FleetViewSimulationTest {
    /** Guards against heartbeats that a new configuration makes useless. */
    @ParameterizedTest
    @ValueSource(ints = [20, 104, 300])
    fun `no running instance is suspected after a start and changes of the configuration`(size: Int) {
        val fleet = SimulatedMembers(size, lossPercent = 1)
        fleet.run(until = 8.seconds)
        fleet.observe = true
        fleet.run(until = 9.seconds)
        fleet.publish(revision = 2)
        fleet.run(until = 11.seconds)
        fleet.publish(revision = 3)
        fleet.run(until = 20.seconds)
        expectThat(fleet.suspicions).isEmpty()
    }

    /** Guards against suspicions of instances whose processors are busy, which made a burst a collapse. */
    @Test
    fun `no instance is suspected while a quarter of the fleet has little processor time and messages are lost`() {
        val fleet = SimulatedMembers(size = 104, lossPercent = 3)
        fleet.run(until = 8.seconds)
        fleet.observe = true
        fleet.publish(revision = 2)
        fleet.busyMembers = { it % 4 == 0 }
        fleet.run(until = 14.seconds)
        fleet.busyMembers = { false }
        fleet.run(until = 18.seconds)
        expectThat(fleet.suspicions).isEmpty()
    }

    /** Guards against failed instances that stay in use because suspicion became too slow. */
    @ParameterizedTest
    @ValueSource(ints = [20, 104])
    fun `instances that stop are suspected by all others`(size: Int) {
        val fleet = SimulatedMembers(size, lossPercent = 1)
        fleet.run(until = 8.seconds)
        val stopped = (0 until size / 4).toSet()
        fleet.stop(stopped)
        fleet.run(until = 8.seconds + InstanceSuspicion.allowedFor(size))
        expectThat(fleet.reachableStoppedMembers()).isLessThanOrEqualTo(0)
    }

    /** Guards against instances that disagree for seconds on who serves, so that several dispatch for one pool. */
    @ParameterizedTest
    @ValueSource(ints = [20, 104, 300])
    fun `all instances learn within a second that an instance begins to serve`(size: Int) {
        val fleet = SimulatedMembers(size, lossPercent = 0)
        fleet.run(until = 8.seconds)
        fleet.restart(3)
        fleet.run(until = 9.seconds)
        fleet.serve(3)
        fleet.run(until = 10.seconds)
        expectThat(fleet.membersThatMiss(3)).isEmpty()
        expectThat(fleet.missedBy(3)).isEmpty()
    }

    /** Guards against a second instance that orders stage changes because it has found no other one (review case 6). */
    @Test
    fun `an instance whose seeds are down reaches no majority until it finds the others`() {
        val fleet = SimulatedMembers(size = 8, lossPercent = 0)
        val added = 7
        fleet.stop(setOf(added))
        fleet.run(until = 8.seconds)
        fleet.stop(setOf(0, 1, 2))
        fleet.resume(added)
        fleet.run(until = 20.seconds)
        expectThat(fleet.membersWithMajority()).isEqualTo(listOf(3, 4, 5, 6))
        fleet.resume(0)
        fleet.run(until = 24.seconds)
        expectThat(fleet.membersWithMajority()).isEqualTo(listOf(0, 3, 4, 5, 6, added))
    }
}

/** Time for which a failure may stay unnoticed. */
private object InstanceSuspicion {
    /** Time in which the last heartbeat of a failed instance may still spread, and in which questions are answered. */
    private val SPREAD_TIME = 3.seconds
    private const val INSTANCES_PER_MESSAGE = InstanceTable.ROW_LIMIT + InstanceTable.HEARTBEAT_LIMIT

    fun allowedFor(size: Int): Duration =
        InstanceTable.SUSPICION * maxOf(1.0, size.toDouble() / INSTANCES_PER_MESSAGE) + SPREAD_TIME
}

/** Runs the membership of [size] instances over a network that loses [lossPercent] of the messages. */
private class SimulatedMembers(private val size: Int, private val lossPercent: Int) {
    private val random = Random(7)
    private var now = Timestamp(1_000_000)
    private val start = now
    private var inFlight = ArrayList<Delivery>()
    private val members = MutableList(size) { Member(it, incarnation = 1) }
    private val stopped = mutableSetOf<Int>()
    var observe = false
    var busyMembers: (Int) -> Boolean = { false }

    /** Members and the number of reachable instances that they saw when it was too low. */
    val suspicions = linkedMapOf<Int, Int>()

    init {
        members.forEach { it.begin() }
    }

    fun run(until: Duration) {
        while (now < start + until) {
            now += TICK
            val due = inFlight
            inFlight = ArrayList()
            due.forEach { delivery -> running(delivery.target)?.receive(delivery) }
            members.filter { it.number !in stopped && mayRun(it) }.forEach { it.tick() }
            if (observe) members.forEach { recordSuspicion(it) }
        }
    }

    fun publish(revision: Long) = members.forEach { member ->
        member.membership.updateOwnRow(active = RevisionMark(RevisionNumber(revision), ContentDigest("")))
    }

    fun stop(numbers: Set<Int>) {
        stopped += numbers
    }

    /** Lets a stopped instance run on; one that was stopped from the start has just been added. */
    fun resume(number: Int) {
        stopped -= number
    }

    fun membersWithMajority(): List<Int> =
        members.filter { it.number !in stopped && it.membership.reachesMajority() }.map { it.number }

    fun restart(number: Int) {
        members[number] = Member(number, incarnation = 2)
    }

    fun serve(number: Int) = members[number].begin()

    fun reachableStoppedMembers(): Int = members.filter { it.number !in stopped }.sumOf { member ->
        member.membership.reachablePeers().count { numberOf(it.address) in stopped }
    }

    fun membersThatMiss(number: Int): List<Int> = members.filter { member ->
        member.number != number && member.membership.serving().none { numberOf(it.address) == number }
    }.map { it.number }

    fun missedBy(number: Int): List<Int> {
        val seen = members[number].membership.serving().map { numberOf(it.address) }.toSet()
        return (0 until size).filter { it !in seen }
    }

    private fun recordSuspicion(member: Member) {
        val reachable = member.membership.counts().reachable
        if (reachable < size) suspicions.putIfAbsent(member.number, reachable)
    }

    /** A busy instance gets the processor once in [BUSY_TICKS] ticks. */
    private fun mayRun(member: Member) =
        !busyMembers(member.number) || ((now - start) / TICK).toInt() % BUSY_TICKS == member.number % BUSY_TICKS

    private fun running(number: Int): Member? = members[number].takeIf { number !in stopped }

    private inner class Member(val number: Int, incarnation: Long) {
        val membership = Membership(
            own = rowOf(number, incarnation),
            send = { target, message -> send(number, target, message) },
            random = Random(number + size.toLong() * incarnation),
            crashReporter = CrashReporter(
                quarantine = RequestQuarantine(addressOf(number)),
                now = { now },
                probe = { _, _ -> },
                hasEnded = { false },
            ),
            latestServerChange = { null },
            heardServerChange = { null },
        ).also { membership -> membership.replaceSeeds((0 until SEEDS).map { addressOf(it) }) }

        fun begin() = membership.updateOwnRow(
            state = InstanceState.SERVING,
            active = RevisionMark(RevisionNumber(1), ContentDigest("")),
        )

        fun tick() = membership.tick(now)

        fun receive(delivery: Delivery) {
            val message = delivery.message
            membership.onMessageFrom(addressOf(delivery.sender), now)
            if (message is Gossip) membership.onGossip(message, now)
        }
    }

    private fun send(sender: Int, target: InstanceAddress, message: PeerMessage) {
        val lost = random.nextInt(PERCENT) < lossPercent
        if (!lost) inFlight += Delivery(sender, numberOf(target), message)
    }

    private class Delivery(val sender: Int, val target: Int, val message: PeerMessage)

    private companion object {
        val TICK = 25.milliseconds
        const val BUSY_TICKS = 16
        const val SEEDS = 3
        const val DOMAINS = 4
        const val PERCENT = 100
        const val HOSTS_PER_NETWORK = 200

        fun addressOf(number: Int) =
            InstanceAddress("10.0.${number / HOSTS_PER_NETWORK}.${number % HOSTS_PER_NETWORK}:7600")

        fun numberOf(address: InstanceAddress): Int {
            val parts = address.value.substringBefore(':').split('.')
            return parts[2].toInt() * HOSTS_PER_NETWORK + parts[3].toInt()
        }

        fun rowOf(number: Int, incarnation: Long) = InstanceRow(
            instance = InstanceId(addressOf(number), Incarnation(incarnation)),
            entryAddress = "entry-$number",
            operatorAddress = "operator-$number",
            failureDomain = FailureDomainId("domain-${number % DOMAINS}"),
            state = InstanceState.STARTING,
            heartbeat = 0,
        )
    }
}
