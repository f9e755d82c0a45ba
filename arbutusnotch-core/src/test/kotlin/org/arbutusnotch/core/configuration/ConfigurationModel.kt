/*
 * Drives the revision tables and membership views of several instances through a sequence of failures.
 *
 * Each instance reads the platform, which may return any content that was ever published, gossips, and fetches contents
 * from peers. A message stays in the network until it is delivered or lost.
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

/** Returns the bytes of a test file: a revision number and a text that makes contents differ. */
internal fun contentOf(revision: Long, text: String): ByteArray = "$revision $text".encodeToByteArray()

/** Reads a test file; a file without a revision number is not valid. */
internal fun parseContent(bytes: ByteArray): Result<DeploymentConfiguration, ConfigurationFault> {
    val revision = bytes.decodeToString().substringBefore(' ').toLongOrNull()
        ?: return Err(ConfigurationFault(listOf("no revision")))
    return Ok(DeploymentConfiguration(RevisionNumber(revision), "test"))
}

internal class ConfigurationModel(size: Int, private val mayConflict: Boolean) {
    val instances: List<ConfigurationInstance>
    private val network = mutableListOf<ConfigurationPacket>()
    private val published = mutableListOf(contentOf(1, "first"))
    private val cut = mutableSetOf<Set<InstanceAddress>>()
    private var time = START
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

    fun read(choice: Choice) {
        val instance = choice.of(running().ifEmpty { return })
        val content = if (choice.chance(oneIn = 3)) choice.of(published) else published.last()
        instance.offer(content, Timestamp(time))
    }

    fun deliver(choice: Choice) {
        val packet = choice.of(deliverable().ifEmpty { return })
        if (!choice.chance(oneIn = 8)) network.remove(packet)
        receiverOf(packet).receive(packet, Timestamp(time))
    }

    fun deliverMany(choice: Choice) {
        repeat(BURST) { deliver(choice) }
    }

    fun lose(choice: Choice) {
        if (network.isNotEmpty()) network.remove(choice.of(network))
    }

    fun passTime(choice: Choice) {
        time += choice.of(STEPS)
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

    fun cutOrHeal(choice: Choice) {
        if (choice.chance(oneIn = 3)) {
            cut.clear()
        } else {
            cut += setOf(choice.of(instances).address, choice.of(instances).address)
        }
    }

    /** Ends every failure and lets the instances exchange messages until nothing can change any more. */
    fun settle() {
        cut.clear()
        instances.forEach { it.paused = false }
        repeat(SETTLING_ROUNDS) {
            time += GOSSIP_INTERVAL
            instances.forEach { it.tick(Timestamp(time)) }
            val sent = network.toList()
            network.clear()
            sent.forEach { receiverOf(it).receive(it, Timestamp(time)) }
        }
    }

    fun checkSameRevision() {
        val revisions = instances.map { it.revisions.active?.mark?.revision }.toSet()
        check(revisions.size == 1) { "instances end on different revisions: $revisions" }
        check(instances.all { it.revisions.candidate == null }) { "an instance ends with a candidate" }
        check(instances.all { it.mayServe() || it.revisions.active == null }) { "an instance may not serve" }
    }

    fun checkSameContent() {
        val marks = instances.map { it.revisions.active?.mark }.toSet()
        check(marks.size == 1) { "instances end on different contents: $marks" }
        val highestSeen = instances.mapNotNull { it.highestOffered }.maxOrNull()
        val end = marks.single()?.revision
        check(highestSeen == null || (end != null && end >= highestSeen)) { "revision $end ends below $highestSeen" }
    }

    private fun running(): List<ConfigurationInstance> = instances.filterNot { it.paused }

    private fun deliverable(): List<ConfigurationPacket> = network.filter {
        setOf(it.sender, it.receiver) !in cut && !receiverOf(it).paused
    }

    private fun receiverOf(packet: ConfigurationPacket): ConfigurationInstance =
        instances.first { it.address == packet.receiver }

    private companion object {
        const val START = 1_000_000L
        const val BURST = 6
        const val GOSSIP_INTERVAL = 250L
        const val SETTLING_ROUNDS = 60
        val STEPS = listOf(50L, 250L, 250L, 250L, 1_600L)
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

    /** Highest valid revision that this process was offered and took as its candidate. */
    var highestOffered: RevisionNumber? = null
        private set
    private var random = Random(incarnation)
    private var lastActive: RevisionMark? = null

    fun start(incarnation: Long) {
        revisions = RevisionTable(parse = ::parseContent)
        members = newMembers(incarnation)
        random = Random(incarnation)
        lastActive = null
        highestOffered = null
        paused = false
    }

    fun mayServe(): Boolean = revisions.mayServe(reachable())

    fun offer(bytes: ByteArray, now: Timestamp) {
        handle(revisions.offer(bytes, now))
        highestOffered = listOfNotNull(highestOffered, revisions.candidate?.mark?.revision).maxOrNull()
    }

    fun tick(now: Timestamp) {
        members.tick(now).forEach { if (it is MembershipEvent.Removed) revisions.forget(it.instance.address) }
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
            .forEach { handle(revisions.merge(it.address, it.row.marks)) }
    }

    private fun handle(events: List<RevisionEvent>) {
        events.forEach {
            when (it) {
                is RevisionEvent.BecameActive -> becameActive(it.content.mark)
                is RevisionEvent.FetchWanted -> send(ConfigurationPacket(address, it.peer, ConfigurationFetch(it.mark)))
                is RevisionEvent.MarksChanged -> announce(it.marks)
                is RevisionEvent.Rejected, is RevisionEvent.OlderRefused, is RevisionEvent.Conflict -> Unit
            }
        }
    }

    private fun becameActive(mark: RevisionMark) {
        val previous = lastActive
        check(previous == null || previous.revision < mark.revision) { "revision went from $previous to $mark" }
        check(revisions.active?.mark == mark) { "the event says $mark and the table ${revisions.active?.mark}" }
        lastActive = mark
    }

    private fun announce(marks: PeerMarks) {
        members.updateOwnRow(active = marks.inForce, candidate = marks.candidate, conflicted = marks.conflicted)
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
