/*
 * The revisions of the operators' file that one instance knows.
 *
 * The active revision never decreases. A newly read revision is a candidate until every reachable peer has it too, or
 * until its activation window ends. The window is longer than gossip needs to reach every connected instance, so a
 * conflict between two contents of the same revision is detected before either is active. A content that is active on a
 * peer is adopted at once, even after a conflict, so that all connected instances converge on it.
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

/** Lists the errors that make an operators' file invalid, one message for each error. */
public data class ConfigurationErrors(public val messages: List<String>)

/**
 * Describes the revisions that an instance reports in its gossip row.
 *
 * @property active the active content; null before the first one
 * @property candidate the content that waits for its activation; null when there is none
 * @property conflicted highest revision known to have different contents; null when there is none
 */
public data class RevisionReport(
    public val active: RevisionMark? = null,
    public val candidate: RevisionMark? = null,
    public val conflicted: RevisionNumber? = null,
)

/** Returns the revisions that the row reports. */
public val InstanceRow.revisionReport: RevisionReport
    get() = RevisionReport(active, candidate, conflicted)

/** Describes a change of the revisions that an instance knows, or an action that its daemon must take. */
public sealed interface RevisionEvent {
    /** [content] is now active, and requests are routed by it. */
    public data class Activated(public val content: RevisionContent) : RevisionEvent

    /** The content with [digest] is invalid because of [errors]. */
    public data class Rejected(public val digest: ContentDigest, public val errors: ConfigurationErrors) : RevisionEvent

    /** A revision lower than the [active] one was read; it is ignored. */
    public data class StaleRevision(public val mark: RevisionMark, public val active: RevisionNumber) : RevisionEvent

    /** The revision of [mark] has another content, with the digest [other]; null when only a peer knows it. */
    public data class Conflict(public val mark: RevisionMark, public val other: ContentDigest?) : RevisionEvent

    /** The bytes of [mark] must be fetched from [peer]. */
    public data class FetchRequired(public val peer: InstanceAddress, public val mark: RevisionMark) : RevisionEvent

    /**
     * The [report] of this instance changed; gossip sends it at once, so that conflicts are detected within the
     * activation window.
     */
    public data class ReportChanged(public val report: RevisionReport) : RevisionEvent
}

/**
 * Decides which revision is active.
 *
 * @param activationWindow time from reading a revision to its activation unless all reachable peers report it earlier
 * @param parse parses an operators' file; a pure function of the bytes
 */
public class RevisionTable(
    private val activationWindow: Duration = ACTIVATION_WINDOW,
    private val parse: (ByteArray) -> Result<DeploymentConfiguration, ConfigurationErrors>,
) {
    private val reports = LinkedHashMap<InstanceAddress, RevisionReport>()
    private val rejectedDigests = LinkedHashSet<ContentDigest>()
    private val conflictedRevisions = LinkedHashSet<RevisionNumber>()
    private val nextFetchAt = HashMap<RevisionMark, Timestamp>()
    private var pending: Candidate? = null
    private var lastTick: Timestamp? = null
    private var highestConflictedRevision: RevisionNumber? = null
    private var lastReport = RevisionReport()

    /** The active content; null before the first one. */
    public var active: RevisionContent? = null
        private set

    /** The content that waits for its activation; null when there is none. */
    public val candidate: RevisionContent?
        get() = pending?.content

    /** Number of revisions for which different contents were seen. */
    public var conflictCount: Int = 0
        private set

    /** The revisions that the gossip row of this instance reports. */
    public val ownReport: RevisionReport
        get() = RevisionReport(active?.mark, pending?.content?.mark, highestConflictedRevision)

    /** Handles [bytes] that were read from the platform or fetched from a peer. */
    public fun offer(bytes: ByteArray, now: Timestamp): List<RevisionEvent> {
        val digest = ContentDigest(DigestUtils.sha256Hex(bytes))
        if (digest in rejectedDigests) return emptyList()
        if (digest == active?.mark?.digest || digest == candidate?.mark?.digest) return emptyList()
        return parse(bytes).fold(
            success = { offerValid(RevisionContent(RevisionMark(it.revision, digest), bytes, it), now) },
            failure = { reject(digest, it) },
        )
    }

    /** Merges the [report] in the gossip row of [peer], which must not be the address of this instance. */
    public fun merge(peer: InstanceAddress, report: RevisionReport): List<RevisionEvent> {
        reports[peer] = report
        val events = mutableListOf<RevisionEvent>()
        listOfNotNull(report.active, report.candidate).forEach { detectConflict(it, events) }
        report.conflicted?.let { mergeConflict(it, events) }
        adoptFromPeers(events)
        return events + reportChange()
    }

    /** Removes the report of [peer], whose row was removed. */
    public fun removePeer(peer: InstanceAddress) {
        reports.remove(peer)
    }

    /**
     * Activates the candidate when all [reachablePeers] have it or its activation window has ended, and requests
     * contents that a reachable peer has and this instance lacks. Without reachable peers the candidate waits for the
     * end of the window, because a starting instance does not know its peers yet.
     */
    public fun tick(now: Timestamp, reachablePeers: Collection<InstanceAddress>): List<RevisionEvent> {
        val events = mutableListOf<RevisionEvent>()
        restartWindowAfterPause(now)
        pending?.let { if (mayActivate(it, now, reachablePeers)) activate(it.content, events) }
        adoptFromPeers(events)
        requestFetches(now, reachablePeers, events)
        return events + reportChange()
    }

    /** Returns the bytes of [mark] if this instance has them. */
    public fun bytesOf(mark: RevisionMark): ByteArray? =
        listOfNotNull(active, candidate).firstOrNull { it.mark == mark }?.bytes

    /** Returns whether there is an active revision and none of [reachablePeers] has a higher one active. */
    public fun mayServe(reachablePeers: Collection<InstanceAddress>): Boolean {
        val own = active?.mark?.revision ?: return false
        return reachablePeers.all { peer -> reports[peer]?.active?.let { it.revision <= own } ?: true }
    }

    private fun offerValid(content: RevisionContent, now: Timestamp): List<RevisionEvent> {
        val events = mutableListOf<RevisionEvent>()
        val known = highestKnownMark()
        detectConflict(content.mark, events)
        when {
            known == null || content.mark.revision > known.revision -> propose(content, now, events)
            content.mark.revision < known.revision -> reportStaleRevision(content, events)
        }
        if (active?.mark != content.mark && isActiveOnPeer(content.mark)) adopt(content, events)
        return events + reportChange()
    }

    private fun propose(content: RevisionContent, now: Timestamp, events: MutableList<RevisionEvent>) {
        val revision = content.mark.revision
        val other = reports.values
            .flatMap { listOfNotNull(it.active, it.candidate) }
            .firstOrNull { it.revision == revision && it.digest != content.mark.digest }
        when {
            other != null -> {
                recordConflict(content.mark, other.digest, events)
                raiseConflictedRevision(revision)
            }

            highestConflictedRevision == revision || reports.values.any { it.conflicted == revision } ->
                raiseConflictedRevision(revision)

            else -> pending = Candidate(content, now + activationWindow)
        }
    }

    private fun reportStaleRevision(content: RevisionContent, events: MutableList<RevisionEvent>) {
        val activeRevision = active?.mark?.revision ?: return
        if (content.mark.revision < activeRevision) {
            events += RevisionEvent.StaleRevision(content.mark, activeRevision)
        }
    }

    /** Records a conflict of [mark] with a content of this instance; a candidate is dropped, an active one is kept. */
    private fun detectConflict(mark: RevisionMark, events: MutableList<RevisionEvent>) {
        active?.mark?.let { if (isConflict(it, mark)) recordConflict(it, mark.digest, events) }
        val own = pending?.content?.mark ?: return
        if (!isConflict(own, mark)) return
        recordConflict(own, mark.digest, events)
        dropCandidate(own)
    }

    /** Handles a peer's report that [revision] has different contents. */
    private fun mergeConflict(revision: RevisionNumber, events: MutableList<RevisionEvent>) {
        val own = pending?.content?.mark
        if (own?.revision == revision) {
            recordConflict(own, null, events)
            dropCandidate(own)
        }
        val current = active?.mark?.revision
        if (current == null || current < revision) raiseConflictedRevision(revision)
    }

    private fun dropCandidate(own: RevisionMark) {
        if (isActiveOnPeer(own)) return
        pending = null
        raiseConflictedRevision(own.revision)
    }

    private fun raiseConflictedRevision(revision: RevisionNumber) {
        highestConflictedRevision = maxOf(highestConflictedRevision ?: revision, revision)
    }

    private fun recordConflict(own: RevisionMark, other: ContentDigest?, events: MutableList<RevisionEvent>) {
        if (!conflictedRevisions.add(own.revision)) return
        if (conflictedRevisions.size > MAXIMUM_TRACKED_ENTRIES) conflictedRevisions.remove(conflictedRevisions.first())
        conflictCount += 1
        events += RevisionEvent.Conflict(own, other)
    }

    private fun isConflict(first: RevisionMark, second: RevisionMark): Boolean =
        first.revision == second.revision && first.digest != second.digest

    private fun isActiveOnPeer(mark: RevisionMark): Boolean = reports.values.any { it.active == mark }

    private fun adoptFromPeers(events: MutableList<RevisionEvent>) {
        val content = pending?.content ?: return
        if (isActiveOnPeer(content.mark)) activate(content, events)
    }

    private fun adopt(content: RevisionContent, events: MutableList<RevisionEvent>) {
        val current = active?.mark?.revision
        if (current == null || current < content.mark.revision) activate(content, events)
    }

    private fun activate(content: RevisionContent, events: MutableList<RevisionEvent>) {
        active = content
        val remaining = pending
        if (remaining != null && remaining.content.mark.revision <= content.mark.revision) pending = null
        events += RevisionEvent.Activated(content)
    }

    private fun mayActivate(pending: Candidate, now: Timestamp, reachable: Collection<InstanceAddress>): Boolean =
        now >= pending.deadline || (reachable.isNotEmpty() && reachable.all { isIn(reports[it], pending.content.mark) })

    private fun isIn(report: RevisionReport?, mark: RevisionMark): Boolean =
        report != null && (report.candidate == mark || report.active == mark)

    /** Restarts the activation window after a pause of the process, which has missed the reports of its peers. */
    private fun restartWindowAfterPause(now: Timestamp) {
        val previous = lastTick
        lastTick = now
        if (previous != null && now - previous > TICK_GAP_LIMIT) pending?.deadline = now + activationWindow
    }

    private fun requestFetches(
        now: Timestamp,
        reachable: Collection<InstanceAddress>,
        events: MutableList<RevisionEvent>,
    ) {
        nextFetchAt.values.removeIf { it <= now }
        reachable
            .flatMap { peer -> marksToFetch(reports[peer]).map { RevisionEvent.FetchRequired(peer, it) } }
            .groupBy { it.mark }
            .filterKeys { it !in nextFetchAt }
            .forEach { (mark, offers) ->
                nextFetchAt[mark] = now + FETCH_INTERVAL
                events += offers[(now.epochMillis.mod(offers.size.toLong())).toInt()]
            }
    }

    private fun marksToFetch(report: RevisionReport?): List<RevisionMark> {
        if (report == null) return emptyList()
        val own = active?.mark?.revision
        val activeOnPeer = report.active?.takeIf { (own == null || it.revision > own) && it != candidate?.mark }
        val known = highestKnownMark()?.revision
        val candidateOnPeer = report.candidate
            ?.takeIf { (known == null || it.revision > known) && it.revision != highestConflictedRevision }
        return listOfNotNull(activeOnPeer, candidateOnPeer).filter { it.digest !in rejectedDigests }
    }

    private fun highestKnownMark(): RevisionMark? = candidate?.mark ?: active?.mark

    private fun reject(digest: ContentDigest, errors: ConfigurationErrors): List<RevisionEvent> {
        rejectedDigests += digest
        if (rejectedDigests.size > MAXIMUM_TRACKED_ENTRIES) rejectedDigests.remove(rejectedDigests.first())
        return listOf(RevisionEvent.Rejected(digest, errors))
    }

    private fun reportChange(): List<RevisionEvent> {
        if (ownReport == lastReport) return emptyList()
        lastReport = ownReport
        return listOf(RevisionEvent.ReportChanged(ownReport))
    }

    /** Time limits and capacities of the table. */
    public companion object {
        /** Time from reading a revision to its activation unless all reachable peers report it earlier. */
        public val ACTIVATION_WINDOW: Duration = 1_500.milliseconds

        private val FETCH_INTERVAL = 500.milliseconds
        private val TICK_GAP_LIMIT = 500.milliseconds
        private const val MAXIMUM_TRACKED_ENTRIES = 64
    }
}

private class Candidate(val content: RevisionContent, var deadline: Timestamp)
