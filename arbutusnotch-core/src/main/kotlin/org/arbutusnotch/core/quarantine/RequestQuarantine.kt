/*
 * Which requests get no server any more, because servers ended while they ran them.
 *
 * A caller sends its request again under another id and to any instance, so that only the content of the request tells
 * that it is the same one. Instances share what they saw by gossip; an instance that starts is told by the others.
 *
 * The load it answers is one request that ends each server that begins to run it, beside many sound requests on the
 * same servers. A sound request is recognized by its completion, before or after a server ended under it.
 */
package org.arbutusnotch.core.quarantine

import org.arbutusnotch.core.collection.BoundedMap
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.time.Timestamp

/**
 * Holds what this instance knows of requests under which servers ended.
 *
 * @param self peer address of this instance
 */
public class RequestQuarantine(private val self: InstanceAddress) {
    private val table = QuarantineTable(self)
    private val completedAt = BoundedMap<ContentDigest, Timestamp>(MAXIMUM_COMPLETED)

    /** Returns the time until which no server must get a request with [content]; null when one may at [now]. */
    public fun refusedUntil(content: ContentDigest, now: Timestamp): Timestamp? = table.quarantinedUntil(content, now)

    /** Returns the contents that are refused at [now]. */
    public fun refused(now: Timestamp): List<QuarantinedDigest> = table.list(now).filter { it.quarantined }

    /**
     * Records that the process of [server] that started at [startedAt] ended while it worked for a request with
     * [content]. Returns whether the content is refused from now on.
     */
    public fun noteServerEnded(
        content: ContentDigest,
        server: BackendServerId,
        startedAt: Long,
        now: Timestamp,
    ): Boolean {
        if (hasCompleted(content, now)) return false
        val before = refusedUntil(content, now)
        table.report(content, server, now, startedAt)
        return before == null && refusedUntil(content, now) != null
    }

    /** Records that a server ran a request with [content] to its end, which shows that it does not end servers. */
    public fun noteCompleted(content: ContentDigest, now: Timestamp) {
        completedAt.remove(content)
        completedAt[content] = now
        table.withdraw(content, now)
    }

    /** Takes over what another instance saw, and returns the contents that are refused from now on. */
    public fun merge(entries: List<QuarantineEntry>, now: Timestamp): List<ContentDigest> {
        val contents = entries.map { it.digest }.distinct()
        val before = contents.filter { refusedUntil(it, now) != null }
        table.merge(entries, now)
        contents.filter { hasCompleted(it, now) }.forEach { table.withdraw(it, now) }
        return contents.filter { it !in before && refusedUntil(it, now) != null }
    }

    /** Returns what the next gossip carries. */
    public fun entriesToGossip(now: Timestamp): List<QuarantineEntry> {
        // A single report need not travel faster than gossip; who saw a server end spreads what is refused.
        table.takeUrgent()
        return table.entriesToGossip(now, sendings = SENDINGS)
    }

    /** Returns whether this instance saw a server end under [content], and not only heard of it. */
    public fun hasSeen(content: ContentDigest, now: Timestamp): Boolean =
        entriesOf(content, now).any { it.reporter == self }

    /** Returns what makes other instances refuse [content] too. */
    public fun entriesOf(content: ContentDigest, now: Timestamp): List<QuarantineEntry> =
        refused(now).firstOrNull { it.digest == content }?.reports.orEmpty()

    /** Returns what an instance must know that was not there, or not reachable, when it was spread. */
    public fun entriesForNewcomer(now: Timestamp): List<QuarantineEntry> =
        refused(now).sortedByDescending { it.until }.flatMap { it.reports }.take(NEWCOMER_LIMIT)

    /** Returns whether a server ran a request with [content] to its end lately. */
    public fun hasCompleted(content: ContentDigest, now: Timestamp): Boolean =
        completedAt[content]?.let { now < it + QuarantineTable.DEFAULT_RETENTION } ?: false

    private companion object {
        /** Completed contents that are remembered; a content that is sent again and again returns within them. */
        const val MAXIMUM_COMPLETED = 2_048

        /** Gossips in which a report is sent whose content is not refused. */
        const val SENDINGS = 10

        /** Reports in the message to an instance that became reachable; they fit into one datagram. */
        const val NEWCOMER_LIMIT = 64
    }
}
