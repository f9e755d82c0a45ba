/*
 * Tracks requests, by digest, that were running on a backend server when it crashed, and quarantines suspect ones.
 *
 * After a first crash, only the instance that reported it may run the digest again, one run at a time. Otherwise two
 * instances could run it on two more servers before each learns of the other's run. A second, distinct crash
 * quarantines the digest on every instance until its reports expire. A completed run shows that the request did not
 * cause the crash and withdraws the reports.
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

/** Represents the decision whether a request may run. */
public sealed interface RunDecision {
    /** Permits the run; no crash is on record, so that concurrent runs are not limited. */
    public data object Unrestricted : RunDecision

    /** Permits the only run across all instances until [QuarantineTable.endRun]; one crash is on record. */
    public data object Exclusive : RunDecision

    /** Refuses the run on this instance until [retryAt]. */
    public data class Refused(public val retryAt: Timestamp) : RunDecision
}

/**
 * Describes a digest with active crash reports.
 *
 * @property quarantined whether the digest must not run on any instance, rather than only on the designated one
 * @property until time at which the last of the reports expires
 */
public data class QuarantinedDigest(
    public val digest: ContentDigest,
    public val reports: List<QuarantineEntry>,
    public val quarantined: Boolean,
    public val until: Timestamp,
)

/**
 * Stores crash reports and decides which requests may run.
 *
 * @param self peer address of this instance
 * @param retention time from a crash until its report expires
 * @param capacity maximum number of digests; above it, a digest with the fewest reports is evicted
 */
public class QuarantineTable(
    private val self: InstanceAddress,
    private val retention: Duration = DEFAULT_RETENTION,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    private val digests = LinkedHashMap<ContentDigest, DigestReports>()
    private val activeRuns = HashMap<ContentDigest, Int>()
    private val urgentReports = LinkedHashSet<QuarantineEntry>()

    /**
     * Records that [digest] was running on [server] when it crashed, and returns the report.
     *
     * @param startedAt start of the server's process in epoch milliseconds, by which reports of the same crash from
     * several instances count once; 0 when unknown
     * @param crashedAt time of the crash, which may have been found out about later
     * @param runBegunAt start of the interrupted run; null when unknown
     * @param runContent content of the request of that run, if [digest] is that of a part of its prompt
     */
    public fun report(
        digest: ContentDigest,
        server: BackendServerId,
        now: Timestamp,
        startedAt: Long = 0,
        crashedAt: Timestamp = now,
        runBegunAt: Timestamp? = null,
        runContent: ContentDigest? = null,
    ): QuarantineEntry {
        val entry = QuarantineEntry(
            digest = digest,
            server = server,
            crashedAt = crashedAt,
            reporter = self,
            startedAt = startedAt,
            runBegunAt = runBegunAt,
            runContent = runContent,
        )
        if (merge(entry, now)) urgentReports += entry
        return entry
    }

    /** Merges reports from another instance; expired reports and reports dated too far in the future are ignored. */
    public fun merge(entries: List<QuarantineEntry>, now: Timestamp) {
        entries.forEach { merge(it, now) }
    }

    /** Returns whether [digest] must not run on any instance at [now]. */
    public fun isQuarantined(digest: ContentDigest, now: Timestamp): Boolean =
        reportsOf(digest, now).size >= QUARANTINE_THRESHOLD

    /** Returns the active reports of [digest] in the order of their crashes. */
    internal fun activeReports(digest: ContentDigest, now: Timestamp): List<QuarantineEntry> =
        reportsOf(digest, now).sortedBy { it.crashedAt.epochMillis }

    /** Returns the digests with at least [minimum] reports, active or not. */
    internal fun digestsWithReports(minimum: Int): List<ContentDigest> =
        digests.filterValues { it.reports.size >= minimum }.keys.toList()

    /** Returns whether an unexpired report of [digest] was withdrawn or says that it was answered before the crash. */
    internal fun isAnswered(digest: ContentDigest, now: Timestamp): Boolean =
        digests[digest]?.reports?.values.orEmpty().map { it.entry }
            .any { (it.withdrawn || it.answeredBefore) && expiryOf(it) > now }

    /** Records in the reports of [digest] that requests with it were answered before, here and on other instances. */
    internal fun markAnswered(digest: ContentDigest, now: Timestamp) {
        reportsOf(digest, now).filter { !it.answeredBefore }
            .forEach { if (merge(it.copy(answeredBefore = true), now)) urgentReports += it.copy(answeredBefore = true) }
    }

    /** Withdraws the reports of [digest] of crashes up to [until], here and through gossip on every other instance. */
    public fun withdraw(digest: ContentDigest, until: Timestamp, now: Timestamp): Unit =
        withdraw(reportsOf(digest, now).filter { it.crashedAt <= until }, now)

    /**
     * Decides whether [digest] may run at [now] and counts the run if so. Each permitted run must end with [endRun].
     *
     * @param liveInstances addresses of the live instances, including this one
     */
    public fun beginRun(
        digest: ContentDigest,
        now: Timestamp,
        liveInstances: Collection<InstanceAddress>,
    ): RunDecision {
        val reports = reportsOf(digest, now)
        val decision = when {
            reports.isEmpty() -> RunDecision.Unrestricted
            reports.size >= QUARANTINE_THRESHOLD -> RunDecision.Refused(expiryOf(reports))
            designatedInstance(reports.single(), liveInstances) != self -> RunDecision.Refused(expiryOf(reports))
            activeRuns.containsKey(digest) -> RunDecision.Refused(now + RUNNING_RETRY_DELAY)
            else -> RunDecision.Exclusive
        }
        if (decision !is RunDecision.Refused) activeRuns.merge(digest, 1, Int::plus)
        return decision
    }

    /**
     * Ends a run that [beginRun] permitted.
     *
     * @param startedAt time of the [beginRun] call
     * @param completed whether the backend server returned a complete response, which withdraws the reports by this
     * instance of earlier crashes
     */
    public fun endRun(digest: ContentDigest, startedAt: Timestamp, completed: Boolean, now: Timestamp) {
        activeRuns.computeIfPresent(digest) { _, count -> (count - 1).takeIf { it > 0 } }
        if (completed && !isQuarantined(digest, now)) {
            withdraw(reportsOf(digest, now).filter { it.reporter == self && it.crashedAt <= startedAt }, now)
        }
    }

    /**
     * Returns at most [limit] reports for the next gossip message: changed ones first, then the least recently sent.
     *
     * @param maximumSends number of times that a report is sent
     * @param isUnlimited returns whether the reports of a digest are sent without that limit
     */
    public fun entriesToGossip(
        now: Timestamp,
        limit: Int = GOSSIP_LIMIT,
        maximumSends: Int = Int.MAX_VALUE,
        isUnlimited: (ContentDigest) -> Boolean = { isQuarantined(it, now) },
    ): List<QuarantineEntry> {
        tick(now)
        val due = digests.filter { (digest, reports) ->
            reports.reports.values.any { it.sendCount < maximumSends } || isUnlimited(digest)
        }
        val selected = due.values.flatMap { it.reports.values }.sortedBy { it.sentAt.epochMillis }.take(limit)
        selected.forEach {
            it.sentAt = now
            it.sendCount += 1
        }
        return selected.map { it.entry }
    }

    /** Removes and returns the reports that must be sent to all live instances before the next gossip. */
    public fun drainUrgentReports(): List<QuarantineEntry> = urgentReports.toList().also { urgentReports.clear() }

    /** Returns the digests that have active reports at [now]. */
    public fun list(now: Timestamp): List<QuarantinedDigest> = digests.keys.mapNotNull { digest ->
        val reports = reportsOf(digest, now)
        if (reports.isEmpty()) {
            null
        } else {
            QuarantinedDigest(digest, reports, reports.size >= QUARANTINE_THRESHOLD, expiryOf(reports))
        }
    }

    /** Withdraws all reports, here and through gossip on every other instance; returns the number of their digests. */
    public fun clear(now: Timestamp): Int {
        val cleared = list(now)
        withdraw(cleared.flatMap { it.reports }, now)
        return cleared.size
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
        if (digests.size > capacity) evictLeastSuspect()
        return changed
    }

    private fun withdraw(entries: List<QuarantineEntry>, now: Timestamp) {
        entries.map { it.copy(withdrawn = true) }.forEach { if (merge(it, now)) urgentReports += it }
    }

    /** Evicts the digest with the fewest active reports, so that many single reports cannot end a quarantine. */
    private fun evictLeastSuspect() {
        val order = compareBy<Map.Entry<ContentDigest, DigestReports>>(
            { it.value.activeReportCount() },
            { entry -> entry.value.reports.values.maxOf { it.entry.crashedAt } },
        )
        digests.remove(digests.entries.minWith(order).key)
    }

    private fun reportsOf(digest: ContentDigest, now: Timestamp): List<QuarantineEntry> =
        digests[digest]?.reports?.values.orEmpty()
            .map { it.entry }
            .filter { !it.withdrawn && expiryOf(it) > now }

    private fun designatedInstance(
        report: QuarantineEntry,
        liveInstances: Collection<InstanceAddress>,
    ): InstanceAddress? {
        val reporter = report.reporter
        if (reporter != null && (reporter == self || reporter in liveInstances)) return reporter
        return RendezvousHash.select(report.digest.value, liveInstances) { it.value }
    }

    private fun expiryOf(entry: QuarantineEntry): Timestamp = entry.crashedAt + retention

    /** Returns the time at which the last of [entries], of which there must be at least one, expires. */
    internal fun expiryOf(entries: List<QuarantineEntry>): Timestamp = entries.maxOf { expiryOf(it) }

    /** Default retention, capacity and gossip limit. */
    public companion object {
        /** Time from a crash until its report expires. */
        public val DEFAULT_RETENTION: Duration = 10.minutes

        /** Maximum number of digests in the table. */
        public const val DEFAULT_CAPACITY: Int = 4_096

        /** Maximum number of reports in one gossip message. */
        public const val GOSSIP_LIMIT: Int = 16

        private const val QUARANTINE_THRESHOLD = 2
        private val RUNNING_RETRY_DELAY = 1.seconds
    }
}

/** Identifies a crash by the start of the crashed process or, when that is unknown, by the time of the crash. */
private data class CrashKey(val server: BackendServerId, val startedAt: Long, val crashedAt: Timestamp?)

private class StoredReport(val entry: QuarantineEntry) {
    var sentAt: Timestamp = Timestamp(0)
    var sendCount = 0
}

private class DigestReports {
    val reports = LinkedHashMap<CrashKey, StoredReport>()

    /** Adds [entry] and returns whether the reports changed; a withdrawal replaces the report that it withdraws. */
    fun merge(entry: QuarantineEntry): Boolean {
        val key = CrashKey(entry.server, entry.startedAt, entry.crashedAt.takeIf { entry.startedAt == 0L })
        val known = reports[key]
        if (known != null && (known.entry.withdrawn || !entry.withdrawn)) {
            // The sender does not know of the withdrawal yet, so gossip has to send it again.
            if (known.entry.withdrawn != entry.withdrawn) known.sendCount = 0
            val merged = known.entry.mergedWith(entry)
            if (merged == known.entry) return false
            reports[key] = StoredReport(merged)
            return true
        }
        if (known == null && !entry.withdrawn && !makeRoomFor(entry)) return false
        reports[key] = StoredReport(entry)
        return true
    }

    /**
     * Removes the oldest active report if there are too many, and returns whether [entry] may be added. The latest
     * reports are kept, because they tell the digest from others that the same crashes accuse.
     */
    private fun makeRoomFor(entry: QuarantineEntry): Boolean {
        val active = reports.filterValues { !it.entry.withdrawn }
        if (active.size < MAXIMUM_REPORTS_PER_DIGEST) return true
        val oldest = active.minBy { it.value.entry.crashedAt }
        if (entry.crashedAt <= oldest.value.entry.crashedAt) return false
        reports.remove(oldest.key)
        return true
    }

    /** Returns this report with what [other], a report of the same crash, says about its run and earlier answers. */
    private fun QuarantineEntry.mergedWith(other: QuarantineEntry): QuarantineEntry {
        val latestRun = maxOf(
            this,
            other,
            compareBy({ it.runBegunAt?.epochMillis ?: Long.MIN_VALUE }, { it.runContent?.value.orEmpty() }),
        )
        return copy(
            runBegunAt = latestRun.runBegunAt,
            runContent = latestRun.runContent,
            answeredBefore = answeredBefore || other.answeredBefore,
        )
    }

    fun activeReportCount(): Int = reports.values.count { !it.entry.withdrawn }

    private companion object {
        /** More reports than any threshold needs would only take up memory and bandwidth. */
        const val MAXIMUM_REPORTS_PER_DIGEST = 8
    }
}
