/*
 * Request digests that were running on a backend server when it crashed.
 *
 * After a first crash a digest may run only on the instance that reported the crash, one run at a time. Any other rule
 * would let two instances try it on two further servers before they hear of each other. A second, different crash
 * quarantines the digest everywhere until its reports expire. A run that completes shows that the request did not cause
 * the crash, and withdraws the reports.
 */
package org.arbutusnotch.core.quarantine

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.membership.RendezvousHash
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Tells an entry whether a request may run. */
public sealed interface RunDecision {
    /** No crash is on record; the request may run without limit. */
    public data object Unrestricted : RunDecision

    /** One crash is on record; this run is the only one in the fleet until [QuarantineTable.endRun]. */
    public data object Exclusive : RunDecision

    /** The request must not run here before [retryAt]. */
    public data class Refused(public val retryAt: Timestamp) : RunDecision
}

/** Describes a digest that is not free to run. */
public data class QuarantinedDigest(
    public val digest: ContentDigest,
    public val reports: List<QuarantineEntry>,
    public val quarantined: Boolean,
    public val until: Timestamp,
)

/**
 * Keeps crash reports and decides which requests may run.
 *
 * @param self peer address of this instance
 * @param retention time from a crash to the expiry of its report
 * @param capacity number of digests, above which the digest whose reports expire first is dropped
 */
public class QuarantineTable(
    private val self: InstanceAddress,
    private val retention: Duration = DEFAULT_RETENTION,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val digests = LinkedHashMap<ContentDigest, DigestReports>()
    private val runs = HashMap<ContentDigest, Int>()
    private val urgent = LinkedHashSet<QuarantineEntry>()

    /**
     * Records that [digest] was running on [server] when it crashed, and returns the report.
     *
     * @param startedAt start of the server's process in epoch milliseconds, by which reports of one crash from several
     * instances count once; 0 when it is not known
     */
    public fun report(
        digest: ContentDigest,
        server: BackendServerId,
        now: Timestamp,
        startedAt: Long = 0,
    ): QuarantineEntry {
        val entry = QuarantineEntry(digest, server, now, self, startedAt = startedAt)
        if (merge(entry, now)) urgent += entry
        return entry
    }

    /** Takes over the reports of another instance; expired reports and reports from far ahead are ignored. */
    public fun merge(entries: List<QuarantineEntry>, now: Timestamp) {
        entries.forEach { merge(it, now) }
    }

    /** Returns whether [digest] must not run anywhere. */
    public fun isQuarantined(digest: ContentDigest, now: Timestamp): Boolean = quarantinedUntil(digest, now) != null

    /** Returns the time until which [digest] must not run anywhere; null when it may run at [now]. */
    public fun quarantinedUntil(digest: ContentDigest, now: Timestamp): Timestamp? =
        reportsOf(digest, now).takeIf { it.size >= CRASHES_TO_QUARANTINE }?.let { expiryOf(it) }

    /** Withdraws every report of [digest], here and through gossip on every instance. */
    public fun withdraw(digest: ContentDigest, now: Timestamp): Unit = withdraw(reportsOf(digest, now), now)

    /**
     * Decides whether [digest] may run now, and counts the run if it may. Each permitted run must end with [endRun].
     *
     * @param live addresses of the live instances, this one included
     */
    public fun beginRun(digest: ContentDigest, now: Timestamp, live: Collection<InstanceAddress>): RunDecision {
        val reports = reportsOf(digest, now)
        val decision = when {
            reports.isEmpty() -> RunDecision.Unrestricted
            reports.size >= CRASHES_TO_QUARANTINE -> RunDecision.Refused(expiryOf(reports))
            runnerOf(reports.single(), live) != self -> RunDecision.Refused(expiryOf(reports))
            runs.containsKey(digest) -> RunDecision.Refused(now + RETRY_WHILE_RUNNING)
            else -> RunDecision.Exclusive
        }
        if (decision !is RunDecision.Refused) runs.merge(digest, 1, Int::plus)
        return decision
    }

    /**
     * Ends a run that [beginRun] permitted.
     *
     * @param startedAt time of the [beginRun]
     * @param completed whether the backend server returned a complete answer; reports of earlier crashes are withdrawn
     */
    public fun endRun(digest: ContentDigest, startedAt: Timestamp, completed: Boolean, now: Timestamp) {
        runs.computeIfPresent(digest) { _, count -> (count - 1).takeIf { it > 0 } }
        if (completed && !isQuarantined(digest, now)) {
            withdraw(reportsOf(digest, now).filter { it.reporter == self && it.crashedAt <= startedAt }, now)
        }
    }

    /**
     * Returns the reports, at most [limit], that gossip sends next: changed ones first, then least recently sent.
     *
     * @param sendings number of times after which a report is not sent again, unless its digest is quarantined
     */
    public fun entriesToGossip(
        now: Timestamp,
        limit: Int = GOSSIP_LIMIT,
        sendings: Int = Int.MAX_VALUE,
    ): List<QuarantineEntry> {
        tick(now)
        val due = digests.filter { (digest, reports) ->
            reports.reports.values.any { it.sendings < sendings } || isQuarantined(digest, now)
        }
        val known = due.values.flatMap { it.reports.values }.sortedBy { it.sentAt.epochMillis }.take(limit)
        known.forEach {
            it.sentAt = now
            it.sendings += 1
        }
        return known.map { it.entry }
    }

    /** Returns, once, the reports that must be sent to every live instance at once instead of with the next gossip. */
    public fun takeUrgent(): List<QuarantineEntry> = urgent.toList().also { urgent.clear() }

    /** Returns the digests with reports that count at [now]. */
    public fun list(now: Timestamp): List<QuarantinedDigest> = digests.keys.mapNotNull { digest ->
        val reports = reportsOf(digest, now)
        if (reports.isEmpty()) {
            null
        } else {
            QuarantinedDigest(digest, reports, reports.size >= CRASHES_TO_QUARANTINE, expiryOf(reports))
        }
    }

    /** Withdraws every report, here and through gossip on every instance, and returns the number of digests freed. */
    public fun clear(now: Timestamp): Int {
        val freed = list(now)
        withdraw(freed.flatMap { it.reports }, now)
        return freed.size
    }

    /** Removes expired reports. */
    public fun tick(now: Timestamp) {
        digests.values.removeIf { reports ->
            reports.reports.values.removeIf { expiryOf(it.entry) <= now }
            reports.reports.isEmpty()
        }
    }

    private fun merge(entry: QuarantineEntry, now: Timestamp): Boolean {
        if (expiryOf(entry) <= now || entry.crashedAt > now + retention) return false
        val reports = digests.getOrPut(entry.digest) { DigestReports() }
        val changed = reports.merge(entry)
        if (digests.size > capacity) dropFirstExpiring()
        return changed
    }

    private fun withdraw(entries: List<QuarantineEntry>, now: Timestamp) {
        entries.map { it.copy(withdrawn = true) }.forEach { if (merge(it, now)) urgent += it }
    }

    private fun dropFirstExpiring() {
        val first = digests.entries.minBy { (_, reports) -> reports.reports.values.maxOf { it.entry.crashedAt } }
        digests.remove(first.key)
    }

    private fun reportsOf(digest: ContentDigest, now: Timestamp): List<QuarantineEntry> =
        digests[digest]?.reports?.values.orEmpty()
            .map { it.entry }
            .filter { !it.withdrawn && expiryOf(it) > now }

    private fun runnerOf(report: QuarantineEntry, live: Collection<InstanceAddress>): InstanceAddress? {
        val reporter = report.reporter
        if (reporter != null && (reporter == self || reporter in live)) return reporter
        return RendezvousHash.select(report.digest.value, live) { it.value }
    }

    private fun expiryOf(entry: QuarantineEntry): Timestamp = entry.crashedAt + retention

    private fun expiryOf(entries: List<QuarantineEntry>): Timestamp = entries.maxOf { expiryOf(it) }

    /** Default retention, capacity and gossip limit. */
    public companion object {
        /** Time for which a crash report counts. */
        public val DEFAULT_RETENTION: Duration = 10.minutes

        /** Number of digests kept. */
        public const val DEFAULT_CAPACITY: Int = 4_096

        /** Number of reports in one gossip message. */
        public const val GOSSIP_LIMIT: Int = 16

        private const val CRASHES_TO_QUARANTINE = 2
        private val RETRY_WHILE_RUNNING = 1.seconds
    }
}

/** Identifies a crash: by the process that ended if its start is known, by the time of the report otherwise. */
private data class CrashKey(val server: BackendServerId, val startedAt: Long, val crashedAt: Timestamp?)

private class KnownReport(val entry: QuarantineEntry) {
    var sentAt: Timestamp = Timestamp(0)
    var sendings = 0
}

private class DigestReports {
    val reports = LinkedHashMap<CrashKey, KnownReport>()

    /** Adds [entry] and returns whether it was new; a withdrawal overrides the report that it withdraws. */
    fun merge(entry: QuarantineEntry): Boolean {
        val key = CrashKey(entry.server, entry.startedAt, entry.crashedAt.takeIf { entry.startedAt == 0L })
        val known = reports[key]
        if (known != null && (known.entry.withdrawn || !entry.withdrawn)) {
            // The sender has not heard of the withdrawal.
            if (known.entry.withdrawn != entry.withdrawn) known.sendings = 0
            return false
        }
        if (known == null && !entry.withdrawn && countingReports() >= MAXIMUM_REPORTS) return false
        reports[key] = KnownReport(entry)
        return true
    }

    private fun countingReports(): Int = reports.values.count { !it.entry.withdrawn }

    private companion object {
        /** Two reports quarantine a digest; more of them would only be sent and stored. */
        const val MAXIMUM_REPORTS = 4
    }
}
