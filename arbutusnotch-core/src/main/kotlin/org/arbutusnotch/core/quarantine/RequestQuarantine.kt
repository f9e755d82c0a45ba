/*
 * Refuses requests that crash the servers that run them.
 *
 * Callers retry a request under a new id and on any instance, so that only its content identifies it; and requests that
 * are otherwise different may share the part of their prompts that crashes servers. Content and parts are suspects of
 * the same kind: each crash is reported for every suspect of every request that was running on the server. Instances
 * share their reports by gossip; an instance that starts receives them from the others.
 *
 * Many harmless requests run on the same servers when these crash. Only a complete successful answer shows that a
 * suspect is harmless. It withdraws the reports of crashes before its run began. If the run began after the first
 * reported crash, it also withdraws those of crashes during the run, since a suspect that crashes every server would
 * have crashed its server too. Errors, rejections, prefilled prompts and incomplete answers show nothing.
 *
 * Two parts whose reports name the same crashes cannot be distinguished. Requests that contain both are refused, while
 * those with only one of them run: such a request either completes, which clears its part, or crashes its server,
 * which the other part then cannot explain. Crashes of one request that its caller repeats are no evidence against its
 * parts: other requests with these run.
 */
package org.arbutusnotch.core.quarantine

import org.arbutusnotch.core.collection.BoundedMap
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.seconds

/**
 * Describes a server that crashed while it executed a request.
 *
 * @property startedAt start of the crashed process, as in [QuarantineTable.report]
 * @property runBegunAt time at which the request was sent to the server
 */
public data class ServerCrash(
    public val server: BackendServerId,
    public val startedAt: Long,
    public val crashedAt: Timestamp,
    public val runBegunAt: Timestamp,
)

/**
 * Tracks the requests that were running on servers that crashed, by their suspects.
 *
 * @param self peer address of this instance
 */
public class RequestQuarantine(self: InstanceAddress) {
    private val table = QuarantineTable(self)
    private val answers = BoundedMap<ContentDigest, KnownAnswer>(KNOWN_ANSWER_LIMIT)

    /** Returns the time until which requests with [suspects] are refused; null when they are not refused at [now]. */
    public fun refusedUntil(suspects: Suspects, now: Timestamp): Timestamp? {
        val reasons = suspects.all.filter { isSuspicious(it, now) }.filter { !hasOtherExplanation(it, suspects, now) }
        return reasons.maxOfOrNull { table.expiryOf(table.activeReports(it, now)) }
    }

    /** Returns the digests with so many crashes at [now] that requests with them are refused. */
    public fun suspiciousDigests(now: Timestamp): List<ContentDigest> =
        table.digestsWithReports(CONTENT_THRESHOLD).filter { isSuspicious(it, now) }

    /** Records [crash] of a server during a request with [suspects]; returns the digests that are suspicious now. */
    public fun recordCrash(suspects: Suspects, crash: ServerCrash, now: Timestamp): List<ContentDigest> =
        newlySuspicious(suspects.all, now) {
            suspects.all.forEach { digest ->
                table.report(
                    digest = digest,
                    server = crash.server,
                    now = now,
                    startedAt = crash.startedAt,
                    crashedAt = crash.crashedAt,
                    runBegunAt = crash.runBegunAt,
                    runContent = suspects.content.takeIf { Suspects.isPart(digest) },
                )
                applyKnownAnswer(digest, now)
            }
        }

    /**
     * Records that a request with [suspects] got a complete successful answer by a run that began at [runBegunAt]. This
     * shows that none of the suspects crashes servers.
     */
    public fun recordAnswer(suspects: Suspects, runBegunAt: Timestamp, now: Timestamp): Unit =
        suspects.all.forEach { digest ->
            val firstCrash = table.activeReports(digest, now).firstOrNull()?.crashedAt
            val clearedUntil = if (firstCrash != null && runBegunAt > firstCrash) now else runBegunAt
            val known = answers.remove(digest)
            answers[digest] = KnownAnswer(maxOf(clearedUntil, known?.clearedUntil ?: clearedUntil), answeredAt = now)
            applyKnownAnswer(digest, now)
        }

    private fun applyKnownAnswer(digest: ContentDigest, now: Timestamp) {
        val answer = answers[digest]?.takeIf { now < it.answeredAt + QuarantineTable.DEFAULT_RETENTION } ?: return
        table.withdraw(digest, answer.clearedUntil, now)
        table.markAnswered(digest, now)
    }

    /** Merges the reports of another instance and returns the digests that are suspicious from now on as a result. */
    public fun merge(entries: List<QuarantineEntry>, now: Timestamp): List<ContentDigest> {
        val digests = entries.map { it.digest }.distinct()
        return newlySuspicious(digests, now) {
            table.merge(entries, now)
            digests.forEach { applyKnownAnswer(it, now) }
        }
    }

    private fun newlySuspicious(digests: List<ContentDigest>, now: Timestamp, change: () -> Unit): List<ContentDigest> {
        val before = digests.filter { isSuspicious(it, now) }
        change()
        return digests.filter { it !in before && isSuspicious(it, now) }
    }

    /** Returns the reports for the next gossip message. */
    public fun entriesToGossip(now: Timestamp): List<QuarantineEntry> =
        table.entriesToGossip(now, maximumSends = MAXIMUM_SENDS_PER_REPORT) { isSuspicious(it, now) }

    /** Removes and returns the reports that have changed at this instance and that all others must know at once. */
    public fun drainUrgentReports(): List<QuarantineEntry> = table.drainUrgentReports()

    /** Returns the active reports of [digest] in the order of their crashes. */
    public fun reportsOf(digest: ContentDigest, now: Timestamp): List<QuarantineEntry> =
        table.activeReports(digest, now)

    /**
     * Returns the reports for an instance that was not running or not reachable when they were first sent: those of
     * suspicious digests and of recent crashes.
     */
    public fun entriesForNewPeer(now: Timestamp): List<QuarantineEntry> {
        val suspicious = suspiciousDigests(now)
        val recent = (table.digestsWithReports(1) - suspicious.toSet()).flatMap { table.activeReports(it, now) }
            .filter { now - it.crashedAt < RECENT_CRASH_AGE }.sortedByDescending { it.crashedAt.epochMillis }
        return (suspicious.flatMap { table.activeReports(it, now) } + recent).take(NEW_PEER_REPORT_LIMIT)
    }

    private fun isSuspicious(digest: ContentDigest, now: Timestamp): Boolean {
        val reports = table.activeReports(digest, now)
        return reports.size >= CONTENT_THRESHOLD && successiveCrashes(reports) >= thresholdOf(digest, now)
    }

    /** A digest that was answered before needs more crashes: it is one of many that ran on these servers. */
    private fun thresholdOf(digest: ContentDigest, now: Timestamp): Int = when {
        table.isAnswered(digest, now) -> ANSWERED_THRESHOLD
        Suspects.isPart(digest) -> PART_THRESHOLD
        else -> CONTENT_THRESHOLD
    }

    /**
     * Returns how many of the crashes each interrupted a run that had begun after the one before. Servers that crash
     * together, as with the rack that they share, say no more about a suspect than one of them.
     */
    private fun successiveCrashes(reports: List<QuarantineEntry>): Int {
        var count = 0
        var latest: Timestamp? = null
        reports.forEach { report ->
            val begunAt = report.runBegunAt
            val previous = latest
            if (previous == null || begunAt == null || begunAt >= previous) {
                count += 1
                latest = report.crashedAt
            }
        }
        return count
    }

    /**
     * Returns whether something else than [digest] may be the reason for its crashes: a few parts that [suspects] do
     * not include or, for a part, the content of one request that was sent repeatedly.
     */
    private fun hasOtherExplanation(digest: ContentDigest, suspects: Suspects, now: Timestamp): Boolean {
        val otherParts = table.digestsWithReports(PART_THRESHOLD)
            .filter { it != digest && it !in suspects.parts && Suspects.isPart(it) && isSuspicious(it, now) }
            .map { crashesOf(it, now) }
        val unexplained = (1..MAXIMUM_EXPLAINING_PARTS).fold(crashesOf(digest, now)) { crashes, _ ->
            crashes - otherParts.maxByOrNull { explained -> explained.count { it in crashes } }.orEmpty()
        }
        if (!Suspects.isPart(digest)) return unexplained.isEmpty()
        return unexplained.size - crashesOfRepeatedContent(digest, unexplained, now) <= UNRELATED_CRASHES
    }

    /** Returns how many of [crashes] under [part] one repeated request with it explains; 0 if there is none. */
    private fun crashesOfRepeatedContent(part: ContentDigest, crashes: Set<Crash>, now: Timestamp): Int =
        table.activeReports(part, now).mapNotNull { it.runContent }.distinct()
            .map { content -> crashesOf(content, now).count { it in crashes } }
            .filter { it >= CONTENT_THRESHOLD }.maxOrNull() ?: 0

    private fun crashesOf(digest: ContentDigest, now: Timestamp): Set<Crash> =
        table.activeReports(digest, now).map { Crash(it.server, it.startedAt) }.toSet()

    /** Identifies a crash by the process that ended. */
    private data class Crash(val server: BackendServerId, val startedAt: Long)

    /**
     * Holds what an answer says about a suspect.
     *
     * @property clearedUntil time of the latest crash of which the answer shows that the suspect did not cause it
     */
    private class KnownAnswer(val clearedUntil: Timestamp, val answeredAt: Timestamp)

    private companion object {
        /** Crashes after which a request is refused, if its content was not answered before. */
        const val CONTENT_THRESHOLD = 2

        /** The same for a part: more than for a content, since a part is shared by many harmless requests. */
        const val PART_THRESHOLD = 3

        /** The same for a content or a part that was answered before. */
        const val ANSWERED_THRESHOLD = 5

        /** Crashes of a part that nothing else need explain: servers also crash for other reasons meanwhile. */
        const val UNRELATED_CRASHES = 1

        /** Parts that together may explain crashes; many parts explain any, since most requests have one of them. */
        const val MAXIMUM_EXPLAINING_PARTS = 2

        /** Maximum number of digests with a known answer; frequent ones are answered again before their eviction. */
        const val KNOWN_ANSWER_LIMIT = 4_096

        /** Maximum number of gossip messages that carry a report whose digest is not suspicious. */
        const val MAXIMUM_SENDS_PER_REPORT = 10

        /** Age up to which the reports of a digest that is not suspicious are sent to new peers. */
        val RECENT_CRASH_AGE = 30.seconds

        /** Maximum number of reports sent to an instance that became reachable; this many fit into one datagram. */
        const val NEW_PEER_REPORT_LIMIT = 256
    }
}
