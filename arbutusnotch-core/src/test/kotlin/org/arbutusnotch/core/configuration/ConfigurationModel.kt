/*
 * Drives the revision tables and membership views of several instances through a sequence of failures.
 *
 * Each instance reads from the platform, which may return any content that was ever published, gossips, and fetches
 * contents from peers. A message stays in the network until it is delivered or lost.
 */
package org.arbutusnotch.core.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.arbutusnotch.core.fuzz.Choice
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.membership.MembershipEvent
import org.arbutusnotch.core.message.ConfigurationContent
import org.arbutusnotch.core.message.ConfigurationFetch
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.time.Timestamp
import kotlin.random.Random

/** Returns the bytes of a test file: a revision number and a text that distinguishes contents of one revision. */
internal fun contentOf(revision: Long, text: String): ByteArray = "$revision $text".encodeToByteArray()

/** Parses a test file; a file without a revision number is invalid. */
internal fun parseContent(bytes: ByteArray): Result<DeploymentConfiguration, ConfigurationErrors> {
    val revision = bytes.decodeToString().substringBefore(' ').toLongOrNull()
        ?: return Err(ConfigurationErrors(listOf("no revision")))
    return Ok(DeploymentConfiguration(RevisionNumber(revision), "test"))
}

internal class ConfigurationModel(size: Int, private val mayConflict: Boolean) {
    val instances: List<ConfigurationInstance>
    private val network = mutableListOf<ConfigurationPacket>()
    private val published = mutableListOf(contentOf(1, "first"))
    private val partitions = mutableSetOf<Set<InstanceAddress>>()
    private var time = START_MILLIS
    private var incarnations = size.toLong()

    init {
        val addresses = List(size) { InstanceAddress("10.0.0.${it + 1}:7000") }
        instances = addresses.mapIndexed { index, address ->
            ConfigurationInstance(address, addresses, index + 1L, network::add)
        }
    }

    fun publish(choice: Choice) {
        val next = published.size + 1L
        when {
            choice.chance(oneIn = 6) -> published += "not valid $next".encodeToByteArray()
            mayConflict && choice.chance(oneIn = 2) -> published += contentOf(next - 1, "other")
            else -> published += contentOf(next, "first")
        }
    }

    fun readContent(choice: Choice) {
        val instance = choice.of(running().ifEmpty { return })
        val content = if (choice.chance(oneIn = 3)) choice.of(published) else published.last()
        instance.offer(content, Timestamp(time))
    }

    fun deliverMessage(choice: Choice) {
        val packet = choice.of(deliverable().ifEmpty { return })
        if (!choice.chance(oneIn = 8)) network.remove(packet)
        receiverOf(packet).receive(packet, Timestamp(time))
    }

    fun deliverBurst(choice: Choice) {
        repeat(BURST_SIZE) { deliverMessage(choice) }
    }

    fun loseMessage(choice: Choice) {
        if (network.isNotEmpty()) network.remove(choice.of(network))
    }

    fun advanceTime(choice: Choice) {
        time += choice.of(TIME_STEPS_MILLIS)
        running().forEach { it.tick(Timestamp(time)) }
    }

    fun pauseOrResume(choice: Choice) {
        val instance = choice.of(instances)
        instance.paused = !instance.paused
    }

    fun restart(choice: Choice) {
        incarnations += 1
        choice.of(instances).start(incarnations)
    }

    fun partitionOrHeal(choice: Choice) {
        if (choice.chance(oneIn = 3)) {
            partitions.clear()
        } else {
            partitions += setOf(choice.of(instances).address, choice.of(instances).address)
        }
    }

    /** Ends all failures and lets the instances exchange messages until their state no longer changes. */
    fun settle() {
        partitions.clear()
        instances.forEach { it.paused = false }
        repeat(SETTLING_ROUNDS) {
            time += GOSSIP_INTERVAL_MILLIS
            instances.forEach { it.tick(Timestamp(time)) }
            val sent = network.toList()
            network.clear()
            sent.forEach { receiverOf(it).receive(it, Timestamp(time)) }
        }
    }

    fun checkSameRevision() {
        val revisions = instances.map { it.revisions.active?.mark?.revision }.toSet()
        check(revisions.size == 1) { "instances have different active revisions: $revisions" }
        check(instances.all { it.revisions.candidate == null }) { "an instance still has a candidate" }
        check(instances.all { it.mayServe() || it.revisions.active == null }) { "an instance may not serve" }
    }

    fun checkSameContent() {
        val marks = instances.map { it.revisions.active?.mark }.toSet()
        check(marks.size == 1) { "instances have different active contents: $marks" }
        val highestAccepted = instances.mapNotNull { it.highestAccepted }.maxOrNull()
        val finalRevision = marks.single()?.revision
        check(highestAccepted == null || (finalRevision != null && finalRevision >= highestAccepted)) {
            "final revision $finalRevision is below $highestAccepted"
        }
    }

    private fun running(): List<ConfigurationInstance> = instances.filterNot { it.paused }

    private fun deliverable(): List<ConfigurationPacket> = network.filter {
        setOf(it.sender, it.receiver) !in partitions && !receiverOf(it).paused
    }

    private fun receiverOf(packet: ConfigurationPacket): ConfigurationInstance =
        instances.first { it.address == packet.receiver }

    private companion object {
        const val START_MILLIS = 1_000_000L
        const val BURST_SIZE = 6
        const val GOSSIP_INTERVAL_MILLIS = 250L
        const val SETTLING_ROUNDS = 60
        val TIME_STEPS_MILLIS = listOf(50L, 250L, 250L, 250L, 1_600L)
    }
}

internal class ConfigurationPacket(
    val sender: InstanceAddress,
    val receiver: InstanceAddress,
    val message: PeerMessage,
)

/** Connects a revision table with a membership view, as the daemon does. */
internal class ConfigurationInstance(
    val address: InstanceAddress,
    private val seeds: List<InstanceAddress>,
    incarnation: Long,
    private val send: (ConfigurationPacket) -> Unit,
) {
    var paused = false
    var revisions = RevisionTable(parse = ::parseContent)
        private set
    var members = newMembers(incarnation)
        private set

    /** Highest revision that this process has accepted as its candidate. */
    var highestAccepted: RevisionNumber? = null
        private set
    private var random = Random(incarnation)
    private var lastActive: RevisionMark? = null

    fun start(incarnation: Long) {
        revisions = RevisionTable(parse = ::parseContent)
        members = newMembers(incarnation)
        random = Random(incarnation)
        lastActive = null
        highestAccepted = null
        paused = false
    }

    fun mayServe(): Boolean = revisions.mayServe(reachable())

    fun offer(bytes: ByteArray, now: Timestamp) {
        handle(revisions.offer(bytes, now))
        highestAccepted = listOfNotNull(highestAccepted, revisions.candidate?.mark?.revision).maxOrNull()
    }

    fun tick(now: Timestamp) {
        members.tick(now).forEach { if (it is MembershipEvent.Removed) revisions.removePeer(it.instance.address) }
        handle(revisions.tick(now, reachable()))
        gossip()
    }

    fun gossip() {
        members.incrementHeartbeat()
        val message = Gossip(members.self, members.rowsToSend(), members.heartbeatsToSend())
        members.gossipTargets(random).forEach { send(ConfigurationPacket(address, it, message)) }
    }

    fun receive(packet: ConfigurationPacket, now: Timestamp) {
        when (val message = packet.message) {
            is Gossip -> receive(message, now)

            is ConfigurationFetch -> {
                val content = ConfigurationContent(message.mark, revisions.bytesOf(message.mark))
                send(ConfigurationPacket(address, packet.sender, content))
            }

            is ConfigurationContent -> message.bytes?.let { offer(it, now) }

            else -> error("unexpected message $message")
        }
    }

    private fun receive(gossip: Gossip, now: Timestamp) {
        members.merge(gossip.rows, now)
        members.mergeHeartbeats(gossip.heartbeats, now)
        gossip.rows
            .mapNotNull { members.find(it.instance.address) }
            .filter { it.address != address }
            .forEach { handle(revisions.merge(it.address, it.row.revisionReport)) }
    }

    private fun handle(events: List<RevisionEvent>) {
        events.forEach {
            when (it) {
                is RevisionEvent.Activated -> checkActivated(it.content.mark)

                is RevisionEvent.FetchRequired ->
                    send(ConfigurationPacket(address, it.peer, ConfigurationFetch(it.mark)))

                is RevisionEvent.ReportChanged -> announce(it.report)

                is RevisionEvent.Rejected, is RevisionEvent.StaleRevision, is RevisionEvent.Conflict -> Unit
            }
        }
    }

    private fun checkActivated(mark: RevisionMark) {
        val previous = lastActive
        check(previous == null || previous.revision < mark.revision) { "revision went from $previous to $mark" }
        check(revisions.active?.mark == mark) { "the event reports $mark and the table has ${revisions.active?.mark}" }
        lastActive = mark
    }

    private fun announce(report: RevisionReport) {
        members.updateOwnRow(active = report.active, candidate = report.candidate, conflicted = report.conflicted)
        val message = Gossip(members.self, listOf(members.ownRow))
        reachable().forEach { send(ConfigurationPacket(address, it, message)) }
    }

    private fun reachable(): List<InstanceAddress> = members.reachablePeers().map { it.address }

    private fun newMembers(incarnation: Long): InstanceTable {
        val id = InstanceId(address, Incarnation(incarnation))
        val row = InstanceRow(id, "entry", "operator", FailureDomainId("one"), InstanceState.SERVING, heartbeat = 0)
        return InstanceTable(row, seeds)
    }
}
