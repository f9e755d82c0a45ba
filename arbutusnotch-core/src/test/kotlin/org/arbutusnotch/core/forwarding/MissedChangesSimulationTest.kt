/*
 * A fleet in simulated time of which a single instance has been told of a change, because the store lost the answers to
 * all others. Membership and the decision about missed changes are the real ones; the schedule is that of an instance.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

internal class MissedChangesSimulationTest {
    /** Guards against a leaving server that gets work for too long, because a change spreads slowly between peers. */
    @ParameterizedTest
    @ValueSource(ints = [6, 20, 40])
    fun `all instances ask the store in time although only one has been told of the change`(size: Int) {
        val lateSeeds = (1..SEEDS).filter { seed ->
            val fleet = MissedChangesSimulation(size, Random(seed))
            fleet.run(LATEST_QUERY_MILLIS)
            fleet.uninformed > 0
        }
        expectThat(
            lateSeeds,
        ).describedAs("${lateSeeds.size} of $SEEDS seeds in which instances asked too late").isEmpty()
    }

    /** Guards against a fleet that asks the store again and again because of a change that does not exist. */
    @Test
    fun `each instance asks the store once for a change that one peer names wrongly`() {
        val fleet = MissedChangesSimulation(size = 40, Random(1), wrongChange = { StorePosition(7, Long.MAX_VALUE) })
        fleet.run(WRONG_CHANGE_MILLIS)
        expectThat(fleet.mostQueries).isLessThanOrEqualTo(1)
    }

    /** Guards against the same with a peer that names another wrong change each time. */
    @Test
    fun `instances ask the store ever more rarely for wrong changes that rise`() {
        val fleet = MissedChangesSimulation(size = 40, Random(1), wrongChange = { StorePosition(1, 1_000_000L + it) })
        fleet.run(WRONG_CHANGE_MILLIS)
        expectThat(fleet.mostQueries).isLessThanOrEqualTo(MOST_WRONG_QUERIES)
    }

    private companion object {
        const val SEEDS = 200

        /** Time for which a peer names changes that do not exist. */
        const val WRONG_CHANGE_MILLIS = 120_000

        /** Without gossip an instance asks every 20 s, so wrong changes may double that, plus five early queries. */
        const val MOST_WRONG_QUERIES = 11

        /**
         * The 2 s within which a leaving server must get no more work, less 400 ms, the time within which a slow store
         * answers.
         */
        const val LATEST_QUERY_MILLIS = 1_600
    }
}

/**
 * Simulates instances of three failure domains.
 *
 * @param wrongChange returns the change that a faulty instance names in a round, while the others are up to date; null
 * for a fleet without one, in which a single instance is up to date
 */
private class MissedChangesSimulation(
    size: Int,
    private val random: Random,
    private val wrongChange: ((round: Int) -> StorePosition)? = null,
) {
    private val start = Timestamp(1_000_000)
    private var now = start
    private val instances = (0 until size).map { SimulatedInstance(it) }
    private val deliveries = HashMap<Timestamp, MutableList<() -> Unit>>()

    /** Number of instances that neither know the change nor have asked the store for it. */
    val uninformed: Int
        get() = instances.count { it.position < CHANGE }

    /** Largest number of queries to the store by one instance. */
    val mostQueries: Int
        get() = instances.maxOf { it.queries }

    init {
        val rows = instances.map { it.table.ownRow }
        instances.forEach { it.table.merge(rows, start) }
        if (wrongChange ==
            null
        ) {
            instances.random(random).position = CHANGE
        } else {
            instances.forEach { it.position = CHANGE }
        }
    }

    fun run(millis: Int) = repeat(millis) { elapsed ->
        now = start + elapsed.milliseconds
        deliveries.remove(now)?.forEach { it() }
        instances.filter { (elapsed + it.phase) % TICK_MILLIS == 0 }.forEach { it.tick() }
    }

    private fun send(target: InstanceAddress, changes: List<StorePosition>) {
        if (random.nextDouble() < LOSS) return
        val receiver = instances.single { it.table.self.address == target }
        val arrival = now + random.nextInt(1, MAXIMUM_LATENCY_MILLIS + 1).milliseconds
        deliveries.getOrPut(arrival) { mutableListOf() } += { receiver.onPeerKnows(changes) }
    }

    private inner class SimulatedInstance(private val number: Int) {
        val table = InstanceTable(
            InstanceRow(
                instance = InstanceId(InstanceAddress("10.0.0.$number:7600"), Incarnation(1)),
                entryAddress = "10.0.0.$number:8000",
                operatorAddress = "10.0.0.$number:8001",
                failureDomain = FailureDomainId("domain-${number % DOMAINS}"),
                state = InstanceState.SERVING,
                heartbeat = 1,
            ),
        )
        val phase = random.nextInt(TICK_MILLIS)
        var position = BEFORE
        var queries = 0
        private val missed = MissedChanges()
        private var nextGossipAt = start + random.nextInt(GOSSIP_MILLIS).milliseconds
        private var gossipCount = random.nextInt(2)

        fun tick() {
            gossip()
            if (!missed.isOverdue(position, now)) return
            queries += 1
            position = CHANGE
        }

        private fun gossip() {
            if (now < nextGossipAt) return
            nextGossipAt = now + GOSSIP_MILLIS.milliseconds
            gossipCount += 1
            table.gossipTargets(random, sameDomainCount = 1, otherDomainCount = 1 - gossipCount % 2)
                .forEach { send(it, namedChanges()) }
        }

        private fun namedChanges(): List<StorePosition> {
            val wrong = wrongChange?.takeIf { number == 0 }?.invoke(gossipCount)
            return listOfNotNull(wrong ?: position, missed.heard(position, now))
        }

        fun onPeerKnows(changes: List<StorePosition>) {
            if (changes.count { missed.onPeerKnows(it, position, now) } == 0) return
            val heard = listOfNotNull(missed.heard(position, now))
            table.relayTargets(random).forEach { send(it, heard) }
        }
    }

    private companion object {
        val BEFORE = StorePosition(era = 1, revision = 9)
        val CHANGE = StorePosition(era = 1, revision = 10)
        const val DOMAINS = 3
        const val TICK_MILLIS = 25
        const val GOSSIP_MILLIS = 250
        const val MAXIMUM_LATENCY_MILLIS = 5

        /** Share of the messages that are lost. */
        const val LOSS = 0.02
    }
}
