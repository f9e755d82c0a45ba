/*
 * Guards against a configuration that is reverted, that does not reach every instance, or that is active only on some
 * instances because two contents were published under one revision.
 */
package org.arbutusnotch.core.configuration

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.state.ActionChain
import net.jqwik.api.statistics.Statistics
import org.arbutusnotch.core.fuzz.ANNOTATED_SEED
import org.arbutusnotch.core.fuzz.FuzzStep
import org.arbutusnotch.core.fuzz.seeded
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.time.Timestamp
import java.util.PriorityQueue
import java.util.function.Predicate
import kotlin.random.Random

internal class ConfigurationFuzzTest {
    @Property(seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `no revision decreases and all instances converge on the same content`(
        @ForAll("singleContents") sequence: ActionChain<ConfigurationModel>,
    ) {
        val model = sequence.run()
        model.settle()
        model.checkSameRevision()
        model.checkSameContent()
    }

    @Property(seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `no revision decreases and all instances converge on the same revision when contents conflict`(
        @ForAll("conflictingContents") sequence: ActionChain<ConfigurationModel>,
    ) {
        val model = sequence.run()
        model.settle()
        model.checkSameRevision()
    }

    @Property(seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `a conflicting content is active on all connected instances or on none`(@ForAll("seeds") seed: Long) {
        val activeContent = ConnectedInstances(Random(seed)).publishTwoContents()
        Statistics.label("conflicting content").collect(
            if (activeContent ==
                null
            ) {
                "active nowhere"
            } else {
                "active everywhere"
            },
        )
            .coverage { checker ->
                checker.check("active nowhere").count(Predicate<Int> { it > 0 })
                checker.check("active everywhere").count(Predicate<Int> { it > 0 })
            }
    }

    @Provide
    fun singleContents(): Arbitrary<ActionChain<ConfigurationModel>> = sequences(mayConflict = false)

    @Provide
    fun conflictingContents(): Arbitrary<ActionChain<ConfigurationModel>> = sequences(mayConflict = true)

    @Provide
    fun seeds(): Arbitrary<Long> = Arbitraries.longs().withDistribution(RandomDistribution.uniform()).seeded()

    private fun sequences(mayConflict: Boolean): Arbitrary<ActionChain<ConfigurationModel>> = ActionChain
        .startWith { ConfigurationModel(INSTANCES, mayConflict) }
        .withAction(2, FuzzStep("publish", ConfigurationModel::publish))
        .withAction(4, FuzzStep("read content", ConfigurationModel::readContent))
        .withAction(8, FuzzStep("deliver message", ConfigurationModel::deliverMessage))
        .withAction(4, FuzzStep("deliver burst", ConfigurationModel::deliverBurst))
        .withAction(2, FuzzStep("lose message", ConfigurationModel::loseMessage))
        .withAction(6, FuzzStep("advance time", ConfigurationModel::advanceTime))
        .withAction(1, FuzzStep("pause or resume", ConfigurationModel::pauseOrResume))
        .withAction(1, FuzzStep("restart", ConfigurationModel::restart))
        .withAction(1, FuzzStep("partition or heal", ConfigurationModel::partitionOrHeal))
        .withMaxTransformations(MAXIMUM_STEPS)
        .seeded()

    private companion object {
        const val INSTANCES = 4
        const val MAXIMUM_STEPS = 60
    }
}

/** Runs instances that are all connected; messages are delayed but not lost. */
private class ConnectedInstances(private val random: Random) {
    private val packets = PriorityQueue<Scheduled>(compareBy({ it.at }, { it.number }))
    private val addresses = List(random.nextInt(2, MAXIMUM_INSTANCES + 1)) { InstanceAddress("10.0.0.${it + 1}:7000") }
    private val instances = addresses.mapIndexed { index, address ->
        ConfigurationInstance(address, addresses, index + 1L + random.nextInt(MAXIMUM_INSTANCES), ::schedule)
    }
    private var time = 1_000_000L
    private var scheduled = 0L

    /** Lets each instance read up to two contents of revision 2; returns the content that is active, if any. */
    fun publishTwoContents(): String? {
        instances.forEach { it.offer(contentOf(1, "first"), Timestamp(time)) }
        advance(CONNECTING_MILLIS)
        val start = time
        val spread = random.nextLong(1, MAXIMUM_SPREAD_MILLIS)
        val readings = instances.flatMap { instance ->
            List(random.nextInt(0, 3)) { Reading(start + random.nextLong(spread), instance, CONTENTS.random(random)) }
        }
        readings.sortedBy { it.at }.forEach {
            advance(it.at - time)
            it.instance.offer(contentOf(2, it.text), Timestamp(time))
        }
        advance(SETTLING_MILLIS)
        val activeContents = instances.map { activeContent(it) }.toSet()
        check(activeContents.size == 1) { "a conflicting content is active on only some instances: $activeContents" }
        return activeContents.single()
    }

    private fun advance(millis: Long) {
        val end = time + millis
        while (time < end) {
            time = minOf(end, time + TICK_MILLIS)
            while (packets.isNotEmpty() && packets.peek().at <= time) receive(packets.poll().packet)
            instances.forEach { tick(it) }
            val texts = instances.mapNotNull { activeContent(it) }.toSet()
            check(texts.size <= 1) { "both contents of a revision are active" }
        }
    }

    private fun tick(instance: ConfigurationInstance) {
        instance.tick(Timestamp(time))
    }

    private fun receive(packet: ConfigurationPacket) {
        instances.first { it.address == packet.receiver }.receive(packet, Timestamp(time))
    }

    private fun schedule(packet: ConfigurationPacket) {
        scheduled += 1
        packets += Scheduled(time + random.nextLong(1, MAXIMUM_DELAY_MILLIS), scheduled, packet)
    }

    private fun activeContent(instance: ConfigurationInstance): String? =
        instance.revisions.active?.bytes?.decodeToString()?.takeIf { it.startsWith("2 ") }

    private class Scheduled(val at: Long, val number: Long, val packet: ConfigurationPacket)

    private class Reading(val at: Long, val instance: ConfigurationInstance, val text: String)

    private companion object {
        const val MAXIMUM_INSTANCES = 7
        const val CONNECTING_MILLIS = 4_000L
        const val SETTLING_MILLIS = 6_000L
        const val MAXIMUM_SPREAD_MILLIS = 3_000L
        const val MAXIMUM_DELAY_MILLIS = 300L
        const val TICK_MILLIS = 250L
        val CONTENTS = listOf("first", "other")
    }
}
