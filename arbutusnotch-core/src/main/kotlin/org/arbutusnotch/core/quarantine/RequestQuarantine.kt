/*
 * Refuses requests that were running on several servers when these crashed.
 *
 * Callers retry a request under a new id and on any instance, so that only the digest of its content identifies it.
 * Instances share their crash reports by gossip; an instance that starts receives them from the others.
 *
 * This protects against a request that crashes every server that starts to run it. Many harmless requests run on the
 * same servers at that time; a harmless request is recognized by a completed run, before or after a crash.
 */
package org.arbutusnotch.core.quarantine

import org.arbutusnotch.core.collection.BoundedMap
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.time.Timestamp

/**
 * Tracks the requests that were running on servers that crashed, by content digest.
 *
 * @param self peer address of this instance
 */
public class RequestQuarantine(private val self: InstanceAddress) {
    private val table = QuarantineTable(self)
    private val completedAt = BoundedMap<ContentDigest, Timestamp>(COMPLETED_DIGEST_LIMIT)

    /** Returns the time until which requests with [digest] are refused; null when they are not refused at [now]. */
    public fun refusedUntil(digest: ContentDigest, now: Timestamp): Timestamp? = table.quarantinedUntil(digest, now)

    /** Returns the digests that are refused at [now]. */
    public fun refusedDigests(now: Timestamp): List<QuarantinedDigest> = table.list(now).filter { it.quarantined }

    /**
     * Records that [server] crashed while it executed a request with [digest], and returns whether [digest] is refused
     * from now on as a result.
     *
     * @param startedAt start of the crashed process, as in [QuarantineTable.report]
     */
    public fun recordCrash(digest: ContentDigest, server: BackendServerId, startedAt: Long, now: Timestamp): Boolean {
        if (hasCompletedRecently(digest, now)) return false
        val before = refusedUntil(digest, now)
        table.report(digest, server, now, startedAt)
        return before == null && refusedUntil(digest, now) != null
    }

    /** Records that a request with [digest] completed, which shows that it does not crash servers. */
    public fun recordCompletion(digest: ContentDigest, now: Timestamp) {
        completedAt.remove(digest)
        completedAt[digest] = now
        table.withdraw(digest, now)
    }

    /** Merges the reports of another instance and returns the digests that are refused from now on as a result. */
    public fun merge(entries: List<QuarantineEntry>, now: Timestamp): List<ContentDigest> {
        val digests = entries.map { it.digest }.distinct()
        val before = digests.filter { refusedUntil(it, now) != null }
        table.merge(entries, now)
        digests.filter { hasCompletedRecently(it, now) }.forEach { table.withdraw(it, now) }
        return digests.filter { it !in before && refusedUntil(it, now) != null }
    }

    /** Returns the reports for the next gossip message. */
    public fun entriesToGossip(now: Timestamp): List<QuarantineEntry> {
        // Gossip is fast enough for a single report; once a digest is refused, the instances that observed a crash
        // send its reports to all others.
        table.drainUrgentReports()
        return table.entriesToGossip(now, maximumSends = MAXIMUM_SENDS_PER_REPORT)
    }

    /** Returns whether [digest] is refused and this instance reported one of its crashes itself. */
    public fun hasObservedCrash(digest: ContentDigest, now: Timestamp): Boolean =
        entriesOf(digest, now).any { it.reporter == self }

    /** Returns the reports by which other instances refuse [digest] too; empty when it is not refused. */
    public fun entriesOf(digest: ContentDigest, now: Timestamp): List<QuarantineEntry> =
        refusedDigests(now).firstOrNull { it.digest == digest }?.reports.orEmpty()

    /** Returns the reports for an instance that was not running or not reachable when they were first sent. */
    public fun entriesForNewPeer(now: Timestamp): List<QuarantineEntry> =
        refusedDigests(now).sortedByDescending { it.until }.flatMap { it.reports }.take(NEW_PEER_REPORT_LIMIT)

    /** Returns whether a request with [digest] completed within the retention time of crash reports. */
    public fun hasCompletedRecently(digest: ContentDigest, now: Timestamp): Boolean =
        completedAt[digest]?.let { now < it + QuarantineTable.DEFAULT_RETENTION } ?: false

    private companion object {
        /** Maximum number of completed digests; frequent requests complete again before their digest is evicted. */
        const val COMPLETED_DIGEST_LIMIT = 2_048

        /** Maximum number of gossip messages that carry a report whose digest is not refused. */
        const val MAXIMUM_SENDS_PER_REPORT = 10

        /** Maximum number of reports sent to an instance that became reachable; this many fit into one datagram. */
        const val NEW_PEER_REPORT_LIMIT = 64
    }
}
