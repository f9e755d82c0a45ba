/*
 * The revisions of the operators' file that one instance knows.
 *
 * The revision in force never goes back. A newly read revision is a candidate until every reachable peer has it too, or
 * until its activation window ends. The window is longer than gossip needs to reach every connected instance, so two
 * different contents of one revision meet before either is in force. A content that a peer has in force is adopted at
 * once, also after a conflict: then every connected instance ends on it.
 */
package org.arbutusnotch.core.configuration

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Holds the bytes of an operators' file, their digest and the configuration that they describe. */
public class RevisionContent(
    public val mark: RevisionMark,
    public val bytes: ByteArray,
    public val configuration: DeploymentConfiguration,
) {
    override fun toString(): String = "$mark"
}

/** Describes why the bytes of an operators' file are not valid, one message for each error. */
public data class ConfigurationFault(public val messages: List<String>)

/** Names the revisions that a peer has reported in its gossip row. */
public data class PeerMarks(
    public val inForce: RevisionMark? = null,
    public val candidate: RevisionMark? = null,
    public val conflicted: RevisionNumber? = null,
)

/** Returns what the row says of revisions. */
public val InstanceRow.marks: PeerMarks
    get() = PeerMarks(active, candidate, conflicted)

/** Reports a change of the revisions that an instance knows, or something that its daemon has to do. */
public sealed interface RevisionEvent {
    /** [content] is in force; requests are routed by it from now on. */
    public data class BecameActive(public val content: RevisionContent) : RevisionEvent

    /** The content with [digest] is not valid. */
    public data class Rejected(public val digest: ContentDigest, public val fault: ConfigurationFault) : RevisionEvent

    /** An older revision than the one in force was read. */
    public data class OlderRefused(public val mark: RevisionMark, public val active: RevisionNumber) : RevisionEvent

    /** Another content of [mark]'s revision is known; [other] is its digest, or null when only a peer has seen it. */
    public data class Conflict(public val mark: RevisionMark, public val other: ContentDigest?) : RevisionEvent

    /** The bytes of [mark] are wanted from [peer]. */
    public data class FetchWanted(public val peer: InstanceAddress, public val mark: RevisionMark) : RevisionEvent

    /** The own marks changed; gossip sends them at once, so that conflicting contents meet within the window. */
    public data class MarksChanged(public val marks: PeerMarks) : RevisionEvent
}

/**
 * Decides which revision is in force.
 *
 * @param window time from reading a revision to its activation when peers do not report it
 * @param parse reads an operators' file; a pure function of the bytes
 */
public class RevisionTable(
    private val window: Duration = ACTIVATION_WINDOW,
    private val parse: (ByteArray) -> Result<DeploymentConfiguration, ConfigurationFault>,
) {
    private val peers = LinkedHashMap<InstanceAddress, PeerMarks>()
    private val rejected = LinkedHashSet<ContentDigest>()
    private val conflicts = LinkedHashSet<RevisionNumber>()
    private val nextFetch = HashMap<RevisionMark, Timestamp>()
    private var pending: Candidate? = null
    private var lastTick: Timestamp? = null
    private var conflictedRevision: RevisionNumber? = null
    private var reported = PeerMarks()

    /** The content in force; null before the first one. */
    public var active: RevisionContent? = null
        private set

    /** The content that waits for its activation; null when there is none. */
    public val candidate: RevisionContent?
        get() = pending?.content

    /** Number of revisions for which different contents were seen. */
    public var conflictCount: Int = 0
        private set

    /** What the own gossip row says. */
    public val marks: PeerMarks
        get() = PeerMarks(active?.mark, pending?.content?.mark, conflictedRevision)

    /** Takes [bytes] that were read from the platform or fetched from a peer. */
    public fun offer(bytes: ByteArray, now: Timestamp): List<RevisionEvent> {
        val digest = ContentDigest(DigestUtils.sha256Hex(bytes))
        if (digest in rejected) return emptyList()
        if (digest == active?.mark?.digest || digest == candidate?.mark?.digest) return emptyList()
        return parse(bytes).fold(
            success = { offerValid(RevisionContent(RevisionMark(it.revision, digest), bytes, it), now) },
            failure = { reject(digest, it) },
        )
    }

    /** Takes what the gossip row of [peer] says; reports of the own address must not be passed. */
    public fun merge(peer: InstanceAddress, marks: PeerMarks): List<RevisionEvent> {
        peers[peer] = marks
        val events = mutableListOf<RevisionEvent>()
        listOfNotNull(marks.inForce, marks.candidate).forEach { compareWith(it, events) }
        marks.conflicted?.let { takeConflict(it, events) }
        adoptFromPeers(events)
        return events + changedMarks()
    }

    /** Forgets the reports of [peer], whose row was removed. */
    public fun forget(peer: InstanceAddress) {
        peers.remove(peer)
    }

    /**
     * Activates the candidate when every one of [reachablePeers] has it or its window has ended, and asks for contents
     * that a reachable peer has and this instance lacks. Without reachable peers the window decides, because a starting
     * instance does not know its peers yet.
     */
    public fun tick(now: Timestamp, reachablePeers: Collection<InstanceAddress>): List<RevisionEvent> {
        val events = mutableListOf<RevisionEvent>()
        extendWindowAfterPause(now)
        pending?.let { if (mayActivate(it, now, reachablePeers)) activate(it.content, events) }
        adoptFromPeers(events)
        wantedFetches(now, reachablePeers, events)
        return events + changedMarks()
    }

    /** Returns the bytes of [mark] if this instance has them. */
    public fun bytesOf(mark: RevisionMark): ByteArray? =
        listOfNotNull(active, candidate).firstOrNull { it.mark == mark }?.bytes

    /** Returns whether the revision in force is at least as high as that of every one of [reachablePeers]. */
    public fun mayServe(reachablePeers: Collection<InstanceAddress>): Boolean {
        val own = active?.mark?.revision ?: return false
        return reachablePeers.all { peer -> peers[peer]?.inForce?.let { it.revision <= own } ?: true }
    }

    private fun offerValid(content: RevisionContent, now: Timestamp): List<RevisionEvent> {
        val events = mutableListOf<RevisionEvent>()
        val known = highestKnown()
        compareWith(content.mark, events)
        when {
            known == null || content.mark.revision > known.revision -> propose(content, now, events)
            content.mark.revision < known.revision -> refuseOlder(content, events)
        }
        if (active?.mark != content.mark && isActiveAtPeer(content.mark)) adopt(content, events)
        return events + changedMarks()
    }

    private fun propose(content: RevisionContent, now: Timestamp, events: MutableList<RevisionEvent>) {
        val revision = content.mark.revision
        val other = peers.values
            .flatMap { listOfNotNull(it.inForce, it.candidate) }
            .firstOrNull { it.revision == revision && it.digest != content.mark.digest }
        when {
            other != null -> {
                conflict(content.mark, other.digest, events)
                markConflicted(revision)
            }

            conflictedRevision == revision || peers.values.any { it.conflicted == revision } -> markConflicted(revision)

            else -> pending = Candidate(content, now + window)
        }
    }

    private fun refuseOlder(content: RevisionContent, events: MutableList<RevisionEvent>) {
        val activeRevision = active?.mark?.revision ?: return
        if (content.mark.revision < activeRevision) {
            events += RevisionEvent.OlderRefused(content.mark, activeRevision)
        }
    }

    /** Counts a conflict of [mark] with the own content of its revision; a candidate is dropped, an active one kept. */
    private fun compareWith(mark: RevisionMark, events: MutableList<RevisionEvent>) {
        active?.mark?.let { if (isConflict(it, mark)) conflict(it, mark.digest, events) }
        val own = pending?.content?.mark ?: return
        if (!isConflict(own, mark)) return
        conflict(own, mark.digest, events)
        refuseCandidate(own)
    }

    /** Takes over that a peer knows two contents of [revision]. */
    private fun takeConflict(revision: RevisionNumber, events: MutableList<RevisionEvent>) {
        val own = pending?.content?.mark
        if (own?.revision == revision) {
            conflict(own, null, events)
            refuseCandidate(own)
        }
        val current = active?.mark?.revision
        if (current == null || current < revision) markConflicted(revision)
    }

    private fun refuseCandidate(own: RevisionMark) {
        if (isActiveAtPeer(own)) return
        pending = null
        markConflicted(own.revision)
    }

    private fun markConflicted(revision: RevisionNumber) {
        conflictedRevision = maxOf(conflictedRevision ?: revision, revision)
    }

    private fun conflict(own: RevisionMark, other: ContentDigest?, events: MutableList<RevisionEvent>) {
        if (!conflicts.add(own.revision)) return
        if (conflicts.size > MAXIMUM_REMEMBERED) conflicts.remove(conflicts.first())
        conflictCount += 1
        events += RevisionEvent.Conflict(own, other)
    }

    private fun isConflict(first: RevisionMark, second: RevisionMark): Boolean =
        first.revision == second.revision && first.digest != second.digest

    private fun isActiveAtPeer(mark: RevisionMark): Boolean = peers.values.any { it.inForce == mark }

    private fun adoptFromPeers(events: MutableList<RevisionEvent>) {
        val content = pending?.content ?: return
        if (isActiveAtPeer(content.mark)) activate(content, events)
    }

    private fun adopt(content: RevisionContent, events: MutableList<RevisionEvent>) {
        val current = active?.mark?.revision
        if (current == null || current < content.mark.revision) activate(content, events)
    }

    private fun activate(content: RevisionContent, events: MutableList<RevisionEvent>) {
        active = content
        val remaining = pending
        if (remaining != null && remaining.content.mark.revision <= content.mark.revision) pending = null
        events += RevisionEvent.BecameActive(content)
    }

    private fun mayActivate(waiting: Candidate, now: Timestamp, reachable: Collection<InstanceAddress>): Boolean =
        now >= waiting.deadline || (reachable.isNotEmpty() && reachable.all { has(peers[it], waiting.content.mark) })

    private fun has(marks: PeerMarks?, mark: RevisionMark): Boolean =
        marks != null && (marks.candidate == mark || marks.inForce == mark)

    /** A paused process missed what its peers reported meanwhile, so the window starts again. */
    private fun extendWindowAfterPause(now: Timestamp) {
        val previous = lastTick
        lastTick = now
        if (previous != null && now - previous > TICK_GAP_LIMIT) pending?.deadline = now + window
    }

    private fun wantedFetches(
        now: Timestamp,
        reachable: Collection<InstanceAddress>,
        events: MutableList<RevisionEvent>,
    ) {
        nextFetch.values.removeIf { it <= now }
        reachable
            .flatMap { peer -> wantedMarks(peers[peer]).map { RevisionEvent.FetchWanted(peer, it) } }
            .groupBy { it.mark }
            .filterKeys { it !in nextFetch }
            .forEach { (mark, offers) ->
                nextFetch[mark] = now + FETCH_INTERVAL
                events += offers[(now.epochMillis.mod(offers.size.toLong())).toInt()]
            }
    }

    private fun wantedMarks(marks: PeerMarks?): List<RevisionMark> {
        if (marks == null) return emptyList()
        val own = active?.mark?.revision
        val inForce = marks.inForce?.takeIf { (own == null || it.revision > own) && it != candidate?.mark }
        val known = highestKnown()?.revision
        val waiting = marks.candidate
            ?.takeIf { (known == null || it.revision > known) && it.revision != conflictedRevision }
        return listOfNotNull(inForce, waiting).filter { it.digest !in rejected }
    }

    private fun highestKnown(): RevisionMark? = candidate?.mark ?: active?.mark

    private fun reject(digest: ContentDigest, fault: ConfigurationFault): List<RevisionEvent> {
        rejected += digest
        if (rejected.size > MAXIMUM_REMEMBERED) rejected.remove(rejected.first())
        return listOf(RevisionEvent.Rejected(digest, fault))
    }

    private fun changedMarks(): List<RevisionEvent> {
        if (marks == reported) return emptyList()
        reported = marks
        return listOf(RevisionEvent.MarksChanged(marks))
    }

    /** Default times. */
    public companion object {
        /** Time from reading a revision to its activation when peers do not report it. */
        public val ACTIVATION_WINDOW: Duration = 1_500.milliseconds

        private val FETCH_INTERVAL = 500.milliseconds
        private val TICK_GAP_LIMIT = 500.milliseconds
        private const val MAXIMUM_REMEMBERED = 64
    }
}

private class Candidate(val content: RevisionContent, var deadline: Timestamp)
