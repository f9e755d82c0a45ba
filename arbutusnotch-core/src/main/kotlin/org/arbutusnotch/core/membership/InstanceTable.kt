/*
 * The view of all instances, built from gossip and from the platform's published list.
 *
 * A row is replaced by a higher incarnation, or by a higher heartbeat of the same incarnation. An instance whose
 * heartbeat has not risen before its suspicion deadline is unreachable. The published list lags, so it only adds
 * addresses to contact and says which instances leave.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.message.HeartbeatRow
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.PublishedInstance
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.time.Timestamp
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Reports a change of the view. */
public sealed interface MembershipEvent {
    /** An instance became reachable. */
    public data class BecameReachable(public val instance: InstanceId) : MembershipEvent

    /** The heartbeat of an instance has not risen in time. */
    public data class BecameUnreachable(public val instance: InstanceId) : MembershipEvent

    /** A later incarnation runs at the address of [previous], so that process has ended. */
    public data class Replaced(public val previous: InstanceId, public val current: InstanceId) : MembershipEvent

    /** The row of an instance that has been unreachable for long was removed. */
    public data class Removed(public val instance: InstanceId) : MembershipEvent

    /** A later incarnation runs at the own address; this process must stop serving. */
    public data class OwnAddressTaken(public val current: InstanceId) : MembershipEvent

    /** A later incarnation than the own one was known at the own address; this process is [current] from now on. */
    public data class IncarnationRaised(public val previous: InstanceId, public val current: InstanceId) :
        MembershipEvent
}

/**
 * Holds one row per instance address.
 *
 * @param own the row of this process
 * @param seeds addresses to contact when the published list is not available
 * @param suspicion time without a heartbeat rise after which an instance is unreachable, in a fleet of at most
 * [ROW_LIMIT] instances; it grows in proportion in a larger one
 * @param removal time without a heartbeat rise after which a row is removed
 * @param reclaimsAddress whether this process takes an incarnation above one that is known at its own address. Wall
 * clocks may step back between two starts, so that the process that runs has the lower one. A process that issues
 * permits under its incarnation must not do so
 */
public class InstanceTable(
    own: InstanceRow,
    seeds: Collection<InstanceAddress> = emptyList(),
    private val suspicion: Duration = SUSPICION,
    private val removal: Duration = REMOVAL,
    private val reclaimsAddress: Boolean = false,
) {
    private val peers = LinkedHashMap<InstanceAddress, KnownInstance>()

    /** Addresses to contact while the published list does not name enough instances. */
    public var seeds: Collection<InstanceAddress> = seeds

    private var sendings = 0L
    private var heartbeatSendings = 0L
    private var lastTick: Timestamp? = null
    private var published = emptyMap<InstanceAddress, PublishedInstance>()

    /** The row of this process. */
    public var ownRow: InstanceRow = own
        private set

    /** Address and incarnation of this process. */
    public val self: InstanceId
        get() = ownRow.instance

    /** The later incarnation that was seen at the own address; null when there is none. */
    public var successor: InstanceId? = null
        private set

    /** Raises the own heartbeat; called before each gossip. */
    public fun beat() {
        ownRow = ownRow.copy(heartbeat = ownRow.heartbeat + 1)
    }

    /** Changes what the own row says; the change is sent with the next heartbeat. */
    public fun describeOwn(
        state: InstanceState = ownRow.state,
        inForce: RevisionMark? = ownRow.inForce,
        candidate: RevisionMark? = ownRow.candidate,
        conflicted: RevisionNumber? = ownRow.conflicted,
    ) {
        val changed = ownRow.copy(state = state, inForce = inForce, candidate = candidate, conflicted = conflicted)
        if (changed == ownRow) return
        ownRow = changed.copy(heartbeat = ownRow.heartbeat + 1, version = ownRow.version + 1)
    }

    /** Takes over every row of [rows] that is newer than the known one, and returns what changed. */
    public fun merge(rows: List<InstanceRow>, now: Timestamp): List<MembershipEvent> =
        rows.flatMap { if (it.instance.address == self.address) mergeOwn(it) else merge(it, now) }

    /** Takes over every heartbeat of [heartbeats] that is higher than the known one, and returns what changed. */
    public fun mergeHeartbeats(heartbeats: List<HeartbeatRow>, now: Timestamp): List<MembershipEvent> =
        heartbeats.flatMap { heartbeat ->
            val known = peers[heartbeat.address]?.row
            val matches = known != null && known.instance.incarnation == heartbeat.incarnation &&
                known.version == heartbeat.version
            if (matches) merge(known.copy(heartbeat = heartbeat.heartbeat), now) else emptyList()
        }

    /** Takes over the platform's list. */
    public fun mergePublished(list: List<PublishedInstance>) {
        published = list.associateBy { it.address }
    }

    /** Marks the instance at [address] unreachable until its heartbeat rises, after a connection to it failed. */
    public fun markUnreachable(address: InstanceAddress): List<MembershipEvent> =
        listOfNotNull(peers[address]).filter { it.reachable }.map { unreachable(it) }

    /** Marks instances unreachable whose suspicion deadline has passed, and removes rows that are long gone. */
    public fun tick(now: Timestamp): List<MembershipEvent> {
        extendSuspicionAfterPause(now)
        val removed = peers.values.filter { it.removeAt <= now }
        removed.forEach { peers.remove(it.row.instance.address) }
        val silent = peers.values.filter { it.reachable && it.suspectAt <= now }
        return removed.map { MembershipEvent.Removed(it.row.instance) } + silent.map { unreachable(it) }
    }

    /** Returns the own view first, then every known instance. */
    public fun views(): List<InstanceView> =
        listOf(view(ownRow, true)) + peers.values.map { view(it.row, it.reachable) }

    /** Returns the reachable instances, this one included. */
    public fun live(): List<InstanceView> = views().filter { it.reachable }

    /** Returns the reachable instances without this one. */
    public fun reachablePeers(): List<InstanceView> = live().drop(1)

    /** Returns the published instances that have no gossip row; nothing is known of them but the list. */
    public fun silentPublished(): List<PublishedInstance> =
        published.values.filter { it.address != self.address && it.address !in peers }

    /** Returns the instance that is known at [address], or null. */
    public fun find(address: InstanceAddress): InstanceView? =
        if (address == self.address) view(ownRow, true) else peers[address]?.let { view(it.row, it.reachable) }

    /** Returns whether a later incarnation than [instance] was seen at its address, so that the process has ended. */
    public fun isReplaced(instance: InstanceId): Boolean =
        find(instance.address)?.let { it.instance.incarnation > instance.incarnation } ?: false

    /**
     * Returns the whole rows of the next gossip message, at most [limit]: the own row, then the least recently sent.
     * Rows of unreachable instances are not sent, so that a dead row does not return to instances that removed it.
     */
    public fun rowsToSend(limit: Int = ROW_LIMIT): List<InstanceRow> {
        val due = peers.values.filter { it.reachable }.sortedBy { it.lastSending }.take(limit - 1)
        sendings += 1
        due.forEach { it.lastSending = sendings }
        return listOf(ownRow) + due.map { it.row }
    }

    /**
     * Returns the known row of a later incarnation at the address of [sender], or null. Sent back, it tells a process
     * why its own rows are not believed.
     */
    public fun laterRowThan(sender: InstanceId): InstanceRow? =
        peers[sender.address]?.row?.takeIf { it.instance.incarnation > sender.incarnation }

    /** Returns the heartbeats of the next gossip message, at most [limit], least recently sent first. */
    public fun heartbeatsToSend(limit: Int = HEARTBEAT_LIMIT): List<HeartbeatRow> {
        val due = peers.values.filter { it.reachable }.sortedBy { it.lastHeartbeatSending }.take(limit)
        heartbeatSendings += 1
        due.forEach { it.lastHeartbeatSending = heartbeatSendings }
        return due.map {
            HeartbeatRow(it.row.instance.address, it.row.instance.incarnation, it.row.version, it.row.heartbeat)
        }
    }

    /**
     * Returns the addresses that the next gossip goes to: [count] random reachable peers, and one random address that
     * is published, a seed or silent. Without it the halves of a healed partition would not find each other.
     */
    public fun gossipTargets(random: Random, count: Int = GOSSIP_TARGETS): List<InstanceAddress> {
        val reachable = peers.values.filter { it.reachable }.map { it.row.instance.address }
        return reachable.shuffled(random).take(count) + listOfNotNull(silentTarget(random))
    }

    /**
     * Returns the same with [near] peers in the own failure domain and [far] peers in others. Bytes between failure
     * domains are paid for, and a heartbeat spreads in each domain by itself.
     */
    public fun gossipTargets(random: Random, near: Int, far: Int): List<InstanceAddress> {
        val (own, other) = peers.values.filter { it.reachable }
            .partition { it.row.failureDomain == ownRow.failureDomain }
        val selected = own.shuffled(random).take(near) + other.shuffled(random).take(far)
        return selected.map { it.row.instance.address } + listOfNotNull(silentTarget(random))
    }

    private fun silentTarget(random: Random): InstanceAddress? {
        val reachable = peers.values.filter { it.reachable }.map { it.row.instance.address }.toSet()
        return ((published.keys + seeds + peers.keys) - reachable - self.address).randomOrNull(random)
    }

    private fun mergeOwn(row: InstanceRow): List<MembershipEvent> {
        val known = successor?.incarnation ?: self.incarnation
        if (row.instance.incarnation <= known) return emptyList()
        if (reclaimsAddress) return listOf(raiseIncarnation(row.instance.incarnation))
        successor = row.instance
        return listOf(MembershipEvent.OwnAddressTaken(row.instance))
    }

    private fun raiseIncarnation(known: Incarnation): MembershipEvent {
        val previous = self
        ownRow = ownRow.copy(instance = InstanceId(previous.address, Incarnation(known.value + 1)))
        return MembershipEvent.IncarnationRaised(previous, self)
    }

    private fun merge(received: InstanceRow, now: Timestamp): List<MembershipEvent> {
        val known = peers[received.instance.address]
        if (known != null && !isNewer(received, known.row)) return emptyList()
        val row = if (known == null) received else combined(received, known.row)
        val previous = known?.row?.instance
        val wasReachable = known?.reachable == true && previous == row.instance
        peers[row.instance.address] = KnownInstance(
            row = row,
            suspectAt = suspectAt(now),
            removeAt = now + removal,
            lastSending = known?.lastSending ?: 0L,
            lastHeartbeatSending = known?.lastHeartbeatSending ?: 0L,
        )
        return listOfNotNull(
            previous?.takeIf { it != row.instance }?.let { MembershipEvent.Replaced(it, row.instance) },
            MembershipEvent.BecameReachable(row.instance).takeUnless { wasReachable },
        )
    }

    private fun unreachable(known: KnownInstance): MembershipEvent {
        known.reachable = false
        return MembershipEvent.BecameUnreachable(known.row.instance)
    }

    /**
     * Returns the suspicion deadline of a heartbeat that rose at [now]. In a fleet that does not fit into one gossip
     * message, a heartbeat travels for longer, in proportion to the number of messages that the rows fill.
     */
    private fun suspectAt(now: Timestamp): Timestamp =
        now + suspicion * maxOf(1.0, (peers.size + 1.0) / (ROW_LIMIT + HEARTBEAT_LIMIT))

    /** A paused process received no gossip, so its peers' silence meanwhile means nothing. */
    private fun extendSuspicionAfterPause(now: Timestamp) {
        val previous = lastTick
        lastTick = now
        if (previous == null || now - previous <= TICK_GAP_LIMIT) return
        peers.values.filter { it.reachable }.forEach { it.suspectAt = suspectAt(now) }
    }

    private fun isNewer(row: InstanceRow, known: InstanceRow): Boolean {
        val byIncarnation = row.instance.incarnation.compareTo(known.instance.incarnation)
        if (byIncarnation != 0) return byIncarnation > 0
        return row.heartbeat > known.heartbeat || row.version > known.version
    }

    /** Joins two rows of one instance: the later version with the higher heartbeat. */
    private fun combined(row: InstanceRow, known: InstanceRow): InstanceRow = when {
        row.instance.incarnation != known.instance.incarnation -> row
        row.version >= known.version -> row.copy(heartbeat = maxOf(row.heartbeat, known.heartbeat))
        else -> known.copy(heartbeat = maxOf(row.heartbeat, known.heartbeat))
    }

    private fun view(row: InstanceRow, reachable: Boolean): InstanceView =
        InstanceView(row, reachable, published[row.instance.address]?.leaving == true)

    /** Default times and limits. */
    public companion object {
        /** Time without a heartbeat rise after which an instance is unreachable. */
        public val SUSPICION: Duration = 1_500.milliseconds

        /** Time without a heartbeat rise after which a row is removed. */
        public val REMOVAL: Duration = 10.minutes

        /** Number of whole rows in one gossip message. */
        public const val ROW_LIMIT: Int = 4

        /** Number of heartbeats without their rows in one gossip message. */
        public const val HEARTBEAT_LIMIT: Int = 28

        /** Number of reachable peers that one gossip goes to. */
        public const val GOSSIP_TARGETS: Int = 2

        private val TICK_GAP_LIMIT = 500.milliseconds
    }
}

private class KnownInstance(
    val row: InstanceRow,
    var suspectAt: Timestamp,
    val removeAt: Timestamp,
    var lastSending: Long,
    var lastHeartbeatSending: Long,
) {
    var reachable = true
}
