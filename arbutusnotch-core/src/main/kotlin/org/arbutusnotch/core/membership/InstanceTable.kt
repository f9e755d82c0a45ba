/*
 * The local view of all instances, built from gossip and from the platform's published list.
 *
 * A row is replaced by one with a higher incarnation, or by one with a higher heartbeat or version of the same
 * incarnation. An instance whose heartbeat does not rise before its suspicion deadline, and which does not answer
 * questions where such are asked, counts as unreachable. That an instance runs and what its row contains are separate
 * facts: a rising heartbeat counts whatever version of the row is known, because new rows take longer to spread. The
 * published list lags behind, so it is used only for addresses to contact and to learn which instances are leaving.
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
import kotlin.time.Duration.Companion.seconds

/** Reports a change of the local view. */
public sealed interface MembershipEvent {
    /** An instance became reachable. */
    public data class BecameReachable(public val instance: InstanceId) : MembershipEvent

    /** The heartbeat of an instance did not rise before its deadline, or a connection to it failed. */
    public data class BecameUnreachable(public val instance: InstanceId) : MembershipEvent

    /** A later incarnation runs at the address of [previous], so the previous process has ended. */
    public data class Replaced(public val previous: InstanceId, public val current: InstanceId) : MembershipEvent

    /** The row of an instance was removed after its heartbeat had not risen for the removal time. */
    public data class Removed(public val instance: InstanceId) : MembershipEvent

    /** A later incarnation runs at this process's address; this process must stop serving. */
    public data class OwnAddressTaken(public val current: InstanceId) : MembershipEvent

    /** A later incarnation was known at this process's address; this process now runs as [current]. */
    public data class IncarnationRaised(public val previous: InstanceId, public val current: InstanceId) :
        MembershipEvent
}

/**
 * Holds one row per instance address.
 *
 * @param own the row of this process
 * @param seeds addresses to contact in addition to the published list
 * @param suspicion time without a heartbeat rise after which an instance is unreachable; it grows in proportion
 * to the size of a fleet of more than [ROW_LIMIT] + [HEARTBEAT_LIMIT] instances
 * @param removal time without a heartbeat rise after which a row is removed
 * @param reclaimsAddress whether this process adopts a higher incarnation when its address is known under a later one.
 * The wall clock may step back between two starts, which gives the running process a lower incarnation than its
 * predecessor. Must be false for a process that issues permits under its incarnation
 * @param questionsBeforeSuspicion number of unanswered questions, returned by [peersToAsk], without which a silent
 * instance is not suspected; 0 if no questions are asked
 */
public class InstanceTable(
    own: InstanceRow,
    seeds: Collection<InstanceAddress> = emptyList(),
    private val suspicion: Duration = SUSPICION,
    private val removal: Duration = REMOVAL,
    private val reclaimsAddress: Boolean = false,
    private val questionsBeforeSuspicion: Int = 0,
) {
    private val peers = LinkedHashMap<InstanceAddress, KnownInstance>()

    /** Addresses to contact in addition to the published list. */
    public var seeds: Collection<InstanceAddress> = seeds

    /** Seeds whose rows were known and have been removed. */
    private val removedSeeds = HashSet<InstanceAddress>()

    /** Number of seeds, other than this process, of whose instances this process has never known a row. */
    public val unknownSeedCount: Int
        get() = seeds.toSet().count { it != self.address && it !in peers && it !in removedSeeds }

    private var rowRound = 0L
    private var heartbeatRound = 0L
    private var lastTick: Timestamp? = null
    private var published = emptyMap<InstanceAddress, PublishedInstance>()

    /** The row of this process. */
    public var ownRow: InstanceRow = own
        private set

    private val asksQuestions = questionsBeforeSuspicion > 0

    /** Number of changes of the view so far, other than risen heartbeats. */
    public var changeCount: Long = 0
        private set

    /** Address and incarnation of this process. */
    public val self: InstanceId
        get() = ownRow.instance

    /** The later incarnation that was seen at this process's address; null when there is none. */
    public var successor: InstanceId? = null
        private set

    /** Increments the heartbeat of this process; called before each gossip round. */
    public fun incrementHeartbeat() {
        ownRow = ownRow.copy(heartbeat = ownRow.heartbeat + 1)
    }

    /** Updates the row of this process and raises its heartbeat and version if anything changed. */
    public fun updateOwnRow(
        state: InstanceState = ownRow.state,
        active: RevisionMark? = ownRow.active,
        candidate: RevisionMark? = ownRow.candidate,
        conflicted: RevisionNumber? = ownRow.conflicted,
    ) {
        val changed = ownRow.copy(state = state, active = active, candidate = candidate, conflicted = conflicted)
        if (changed == ownRow) return
        ownRow = changed.copy(heartbeat = ownRow.heartbeat + 1, version = ownRow.version + 1)
        changeCount += 1
    }

    /** Merges every row of [rows] that is newer than the known one, and returns the changes of the view. */
    public fun merge(rows: List<InstanceRow>, now: Timestamp): List<MembershipEvent> =
        rows.flatMap { if (it.instance.address == self.address) mergeOwn(it) else merge(it, now) }

    /**
     * Merges every heartbeat of [heartbeats] that is higher than the known one or belongs to a later version of the
     * known row, and returns the changes of the view. A heartbeat of another incarnation than the known row is ignored.
     */
    public fun mergeHeartbeats(heartbeats: List<HeartbeatRow>, now: Timestamp): List<MembershipEvent> =
        heartbeats.flatMap { heartbeat ->
            val known = peers[heartbeat.address]?.takeIf { it.row.instance.incarnation == heartbeat.incarnation }
            if (known == null) emptyList() else merge(heartbeat, known, now)
        }

    private fun merge(heartbeat: HeartbeatRow, known: KnownInstance, now: Timestamp): List<MembershipEvent> {
        val state = heartbeat.state
        if (heartbeat.version > known.statedVersion && state != null) {
            known.row = known.row.copy(state = state, active = heartbeat.active)
            known.statedVersion = heartbeat.version
            changeCount += 1
        }
        if (heartbeat.heartbeat <= known.row.heartbeat) return emptyList()
        known.row = known.row.copy(heartbeat = heartbeat.heartbeat)
        return recordLife(known, now, isHearsay = asksQuestions)
    }

    /** Returns those of [heartbeats] whose instances or incarnations are not known, so that their rows are needed. */
    public fun unknownAmong(heartbeats: List<HeartbeatRow>): List<InstanceAddress> = heartbeats.filter {
        val known = peers[it.address]?.row?.instance
        it.address != self.address && (known == null || known.incarnation < it.incarnation)
    }.map { it.address }

    /** Returns the rows of those of [addresses] that are reachable, for an instance that asks for them. */
    public fun rowsOf(addresses: List<InstanceAddress>): List<InstanceRow> =
        addresses.mapNotNull { address -> peers[address]?.takeIf { it.reachable }?.row }

    /** Records that a message from [address] arrived, which shows that its instance runs. */
    public fun recordMessage(address: InstanceAddress, now: Timestamp): List<MembershipEvent> =
        peers[address]?.let { recordLife(it, now, isHearsay = false) }.orEmpty()

    /**
     * Records a sign of life of [known]. Once an instance was asked whether it runs, a sign that [isHearsay] no longer
     * counts: heartbeats from before its end may still spread, and others may reach it although this process does not.
     */
    private fun recordLife(known: KnownInstance, now: Timestamp, isHearsay: Boolean): List<MembershipEvent> {
        known.removeAt = now + removal
        if (isHearsay && !known.reachable) known.isHeardOf = true
        if (isHearsay && (known.questions > 0 || !known.reachable)) return emptyList()
        known.suspectAt = suspectAt(now)
        known.questions = 0
        if (known.reachable) return emptyList()
        known.reachable = true
        changeCount += 1
        return listOf(MembershipEvent.BecameReachable(known.row.instance))
    }

    /** Brings forward the questions to the instance at [address], which somebody has found silent. */
    public fun verify(address: InstanceAddress, now: Timestamp) {
        val known = peers[address]?.takeIf { it.reachable } ?: return
        known.suspectAt = minOf(known.suspectAt, now + QUESTION_LEAD)
    }

    /**
     * Returns the instances that must be asked now whether they run, at most [limit]: silent ones that are about to be
     * suspected, and suspected ones of which others have heard again. Each counts as asked. A silent instance that is
     * not among them because of the limit is not suspected yet.
     */
    public fun peersToAsk(now: Timestamp, limit: Int): List<InstanceAddress> {
        val due = peers.values.filter { now >= it.nextQuestionAt && mustBeAsked(it, now) }
            .sortedBy { it.suspectAt }
            .take(limit)
        due.forEach {
            it.questions += 1
            it.isHeardOf = false
            it.nextQuestionAt = now + QUESTION_INTERVAL
        }
        return due.map { it.row.instance.address }
    }

    private fun mustBeAsked(known: KnownInstance, now: Timestamp) =
        if (known.reachable) known.suspectAt - QUESTION_LEAD <= now else known.isHeardOf

    /** Replaces the local copy of the platform's published list. */
    public fun mergePublished(list: List<PublishedInstance>) {
        published = list.associateBy { it.address }
        changeCount += 1
    }

    /** Marks the instance at [address] unreachable until its heartbeat rises, after a connection to it failed. */
    public fun markUnreachable(address: InstanceAddress): List<MembershipEvent> =
        listOfNotNull(peers[address]).filter { it.reachable }.map { setUnreachable(it) }

    /** Marks instances unreachable whose suspicion deadline has passed, and removes rows that have expired. */
    public fun tick(now: Timestamp): List<MembershipEvent> {
        extendSuspicionAfterPause(now)
        val removed = peers.values.filter { it.removeAt <= now }
        removed.map { it.row.instance.address }.forEach { address ->
            peers.remove(address)
            if (address in seeds) removedSeeds += address
        }
        if (removed.isNotEmpty()) changeCount += 1
        val silent = peers.values.filter { it.reachable && it.suspectAt <= now && isUnanswered(it, now) }
        return removed.map { MembershipEvent.Removed(it.row.instance) } + silent.map { setUnreachable(it) }
    }

    private fun isUnanswered(known: KnownInstance, now: Timestamp) =
        known.questions >= questionsBeforeSuspicion && now >= known.nextQuestionAt

    /** Returns the view of this process first, then that of every other known instance. */
    public fun views(): List<InstanceView> =
        listOf(view(ownRow, true)) + peers.values.map { view(it.row, it.reachable) }

    /** Returns the reachable instances, including this one. */
    public fun live(): List<InstanceView> = views().filter { it.reachable }

    /** Returns the reachable instances, excluding this one. */
    public fun reachablePeers(): List<InstanceView> = live().drop(1)

    /** Returns the serving instances that became unreachable within [RECENTLY_LOST_TIME] before [now]. */
    public fun recentlyLost(now: Timestamp): List<InstanceView> = peers.values
        .filter { !it.reachable && now < it.suspectAt + RECENTLY_LOST_TIME }
        .map { view(it.row, it.reachable) }
        .filter { it.row.state == InstanceState.SERVING && !it.publishedLeaving }

    /** Returns the published instances from which no gossip row has arrived. */
    public fun publishedWithoutRow(): List<PublishedInstance> =
        published.values.filter { it.address != self.address && it.address !in peers }

    /** Returns the instance that is known at [address], or null. */
    public fun find(address: InstanceAddress): InstanceView? =
        if (address == self.address) view(ownRow, true) else peers[address]?.let { view(it.row, it.reachable) }

    /** Returns all rows of reachable instances, the row of this process first. */
    public fun allRows(): List<InstanceRow> = listOf(ownRow) + peers.values.filter { it.reachable }.map { it.row }

    /** Returns whether a later incarnation than [instance] was seen at its address, which means that it has ended. */
    public fun isReplaced(instance: InstanceId): Boolean =
        find(instance.address)?.let { it.instance.incarnation > instance.incarnation } ?: false

    /**
     * Returns the full rows for the next gossip message, at most [limit]: the row of this process, then the least
     * recently sent ones. Rows of unreachable instances are not sent, so that they do not reappear at instances that
     * have already removed them.
     */
    public fun rowsToSend(limit: Int = ROW_LIMIT): List<InstanceRow> {
        val due = peers.values.filter { it.reachable }.sortedBy { it.lastRowRound }.take(limit - 1)
        rowRound += 1
        due.forEach { it.lastRowRound = rowRound }
        return listOf(ownRow) + due.map { it.row }
    }

    /**
     * Returns the known row of a later incarnation at the address of [sender], or null. The row is sent back to
     * [sender], so that it learns why its own rows are ignored.
     */
    public fun rowOfLaterIncarnation(sender: InstanceId): InstanceRow? =
        peers[sender.address]?.row?.takeIf { it.instance.incarnation > sender.incarnation }

    /** Returns the heartbeats for the next gossip message, at most [limit], least recently sent first. */
    public fun heartbeatsToSend(limit: Int = HEARTBEAT_LIMIT): List<HeartbeatRow> {
        val due = peers.values.filter { it.reachable }.sortedBy { it.lastHeartbeatRound }.take(limit)
        heartbeatRound += 1
        due.forEach { it.lastHeartbeatRound = heartbeatRound }
        return due.map {
            HeartbeatRow(
                address = it.row.instance.address,
                incarnation = it.row.instance.incarnation,
                version = it.statedVersion,
                heartbeat = it.row.heartbeat,
                state = it.row.state,
                active = it.row.active,
            )
        }
    }

    /**
     * Returns the recipients of the next gossip message: [count] random reachable peers, and one random address that is
     * published, a seed or a known peer, but not reachable. Without the latter, the two sides of a healed network
     * partition would not rediscover each other.
     */
    public fun gossipTargets(random: Random, count: Int = GOSSIP_TARGETS): List<InstanceAddress> {
        val reachable = peers.values.filter { it.reachable }.map { it.row.instance.address }
        return reachable.shuffled(random).take(count) + listOfNotNull(randomUnreachableAddress(random))
    }

    /**
     * Returns the recipients of the next gossip message, with [sameDomainCount] peers in the failure domain of this
     * process and [otherDomainCount] peers in others. Traffic between failure domains is billed, and once a heartbeat
     * has reached a domain it spreads there without further traffic between domains.
     */
    public fun gossipTargets(random: Random, sameDomainCount: Int, otherDomainCount: Int): List<InstanceAddress> {
        val (sameDomain, otherDomains) = peers.values.filter { it.reachable }
            .partition { it.row.failureDomain == ownRow.failureDomain }
        val selected = sameDomain.shuffled(random).take(sameDomainCount) +
            otherDomains.shuffled(random).take(otherDomainCount)
        return selected.map { it.row.instance.address } + listOfNotNull(randomUnreachableAddress(random))
    }

    /**
     * Returns the recipients of a message that is to reach all instances within moments if each recipient sends it on:
     * random reachable peers, [RELAY_TARGETS] in number, [OTHER_DOMAIN_RELAY_TARGETS] of them in other failure domains.
     * Peers of the other kind replace those that a small fleet lacks.
     */
    public fun relayTargets(random: Random): List<InstanceAddress> {
        val (sameDomain, otherDomains) = peers.values.filter { it.reachable }
            .shuffled(random)
            .partition { it.row.failureDomain == ownRow.failureDomain }
        val first = otherDomains.take(OTHER_DOMAIN_RELAY_TARGETS)
        val ordered = first + sameDomain + otherDomains.drop(first.size)
        return ordered.take(RELAY_TARGETS).map { it.row.instance.address }
    }

    private fun randomUnreachableAddress(random: Random): InstanceAddress? {
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
        changeCount += 1
        return MembershipEvent.IncarnationRaised(previous, self)
    }

    private fun merge(received: InstanceRow, now: Timestamp): List<MembershipEvent> {
        val known = peers[received.instance.address] ?: return add(received, previous = null, now)
        if (!isNewer(received, known.row)) return emptyList()
        if (received.instance != known.row.instance) return add(received, previous = known, now)
        val row = combine(received, known)
        if (row.copy(heartbeat = known.row.heartbeat) != known.row) changeCount += 1
        known.row = row
        known.statedVersion = maxOf(row.version, known.statedVersion)
        return recordLife(known, now, isHearsay = asksQuestions)
    }

    /** Adds the first row of an incarnation, which replaces the [previous] one at its address. */
    private fun add(row: InstanceRow, previous: KnownInstance?, now: Timestamp): List<MembershipEvent> {
        changeCount += 1
        peers[row.instance.address] = KnownInstance(
            row = row,
            statedVersion = row.version,
            suspectAt = suspectAt(now),
            removeAt = now + removal,
            lastRowRound = previous?.lastRowRound ?: 0L,
            lastHeartbeatRound = previous?.lastHeartbeatRound ?: 0L,
        )
        return listOfNotNull(
            previous?.let { MembershipEvent.Replaced(it.row.instance, row.instance) },
            MembershipEvent.BecameReachable(row.instance),
        )
    }

    private fun setUnreachable(known: KnownInstance): MembershipEvent {
        known.reachable = false
        changeCount += 1
        return MembershipEvent.BecameUnreachable(known.row.instance)
    }

    /**
     * Returns the suspicion deadline for a heartbeat that rose at [now]. When the fleet does not fit into one gossip
     * message, a heartbeat takes longer to spread, in proportion to the number of messages that all instances fill.
     */
    private fun suspectAt(now: Timestamp): Timestamp =
        now + suspicion * maxOf(1.0, (peers.size + 1.0) / (ROW_LIMIT + HEARTBEAT_LIMIT))

    /** Renews the suspicion deadlines after this process was paused, because it received no gossip in the meantime. */
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

    /**
     * Returns the later version of [row] and the row of [known], with the higher heartbeat. The state and the active
     * revision of a later version may be known from a heartbeat alone.
     */
    private fun combine(row: InstanceRow, known: KnownInstance): InstanceRow {
        val previous = known.row
        val latest = if (row.version >= previous.version) row else previous
        val heartbeat = maxOf(row.heartbeat, previous.heartbeat)
        if (row.version >= known.statedVersion) return latest.copy(heartbeat = heartbeat)
        return latest.copy(state = previous.state, active = previous.active, heartbeat = heartbeat)
    }

    private fun view(row: InstanceRow, reachable: Boolean): InstanceView =
        InstanceView(row, reachable, published[row.instance.address]?.leaving == true)

    /** Default times and limits. */
    public companion object {
        /** Time without a heartbeat rise after which an instance is unreachable. */
        public val SUSPICION: Duration = 1_500.milliseconds

        /** Time without a heartbeat rise after which a row is removed. */
        public val REMOVAL: Duration = 10.minutes

        /** Time for which an unreachable instance may be running and reachable for others. */
        public val RECENTLY_LOST_TIME: Duration = 5.seconds

        /** Maximum number of full rows in one gossip message. */
        public const val ROW_LIMIT: Int = 4

        /** Maximum number of heartbeats in one gossip message that are sent without their rows. */
        public const val HEARTBEAT_LIMIT: Int = 28

        /** Number of reachable peers that receive each gossip message. */
        public const val GOSSIP_TARGETS: Int = 2

        /**
         * Number of peers to which a message is passed on at once. With six, the first passing on misses about 1 in 400
         * instances (e^-6), whatever the size of the fleet; regular gossip reaches those.
         */
        public const val RELAY_TARGETS: Int = 6

        /** Number of those peers in other failure domains. */
        private const val OTHER_DOMAIN_RELAY_TARGETS = 2

        /** Time between two ticks above which this process counts as paused. */
        private val TICK_GAP_LIMIT = 500.milliseconds

        /** Time before its suspicion deadline from which a silent instance is asked whether it runs. */
        private val QUESTION_LEAD = 500.milliseconds

        /** Time between two questions to an instance: several round trips. */
        private val QUESTION_INTERVAL = 200.milliseconds
    }
}

/**
 * Holds the latest row of a peer together with its deadlines and the gossip rounds in which it was last sent.
 *
 * @property statedVersion version of the row to which its state and active revision belong; the other properties may be
 * those of an earlier version
 */
private class KnownInstance(
    var row: InstanceRow,
    var statedVersion: Long,
    var suspectAt: Timestamp,
    var removeAt: Timestamp,
    var lastRowRound: Long,
    var lastHeartbeatRound: Long,
) {
    var reachable = true

    /** Questions that the instance has not answered since it last showed that it runs. */
    var questions = 0

    /** Whether others have heard of the instance since it was suspected. */
    var isHeardOf = false
    var nextQuestionAt = Timestamp(0)
}
