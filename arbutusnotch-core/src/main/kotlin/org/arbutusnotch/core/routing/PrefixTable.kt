/*
 * The prompt prefixes that each prefill server has cached, as far as this instance knows.
 *
 * Cache events arrive late and with gaps. A wrong entry costs only time: the prompt is computed again.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest

/** Names what happened to a prefix in an engine's cache. */
public enum class CacheEventKind(public val code: String) {
    STORED("stored"),
    EVICTED("evicted"),
}

/** Describes one cache event; an engine numbers its events without gaps. */
public data class CacheEvent(
    public val sequence: Long,
    public val kind: CacheEventKind,
    public val digest: ContentDigest,
)

/**
 * Records prefix digests per prefill server, least recently stored first.
 *
 * @param capacity largest number of digests of all servers together
 */
public class PrefixTable(private val capacity: Int = DEFAULT_CAPACITY) {
    private val rows = HashMap<BackendServerId, Row>()

    /** Number of digests of all servers. */
    public val size: Int
        get() = rows.values.sumOf { it.digests.size }

    /** Forgets the servers that are not in [servers]. */
    public fun retain(servers: Set<BackendServerId>) {
        rows.keys.retainAll(servers)
        servers.forEach { rows.getOrPut(it) { Row() } }
        rows.values.forEach { it.shrinkTo(rowCapacity()) }
    }

    /** Forgets what [server] has cached, after its restart. */
    public fun forget(server: BackendServerId) {
        rows[server]?.let { it.digests.clear() }
    }

    /** Returns the number of the last event that was applied for [server], for the next request of events. */
    public fun lastSequence(server: BackendServerId): Long = rows[server]?.lastSequence ?: 0

    /**
     * Applies [events] of [server]; events that were applied before are ignored. When events are missing, as many
     * digests are dropped as may have been evicted unseen, the least recently stored first, because engines evict in
     * that order.
     *
     * @param next number of the engine's latest event; a number below the last one means that the engine was restarted
     */
    public fun apply(server: BackendServerId, events: List<CacheEvent>, next: Long) {
        val row = rows.getOrPut(server) { Row() }
        if (next < row.lastSequence) row.restart()
        events.sortedBy { it.sequence }.forEach { event -> row.apply(event) }
        row.skipTo(next)
        row.shrinkTo(rowCapacity())
    }

    /** Records that [server] finished a prefill of a prompt with these prefix [digests]. */
    public fun recordPrefill(server: BackendServerId, digests: List<ContentDigest>) {
        val row = rows.getOrPut(server) { Row() }
        digests.forEach { row.store(it) }
        row.shrinkTo(rowCapacity())
    }

    /** Returns how many of the prefix [digests], shortest first, [server] has cached: the number of the longest one. */
    public fun cachedPieces(server: BackendServerId, digests: List<ContentDigest>): Int {
        val known = rows[server]?.digests ?: return 0
        return digests.indexOfLast { it in known } + 1
    }

    private fun rowCapacity() = capacity / rows.size.coerceAtLeast(1)

    private class Row {
        val digests = LinkedHashSet<ContentDigest>()
        var lastSequence = 0L

        fun restart() {
            digests.clear()
            lastSequence = 0
        }

        fun apply(event: CacheEvent) {
            if (event.sequence <= lastSequence) return
            skipTo(event.sequence - 1)
            lastSequence = event.sequence
            when (event.kind) {
                CacheEventKind.STORED -> store(event.digest)
                CacheEventKind.EVICTED -> digests.remove(event.digest)
            }
        }

        fun skipTo(sequence: Long) {
            if (sequence <= lastSequence) return
            val missing = sequence - lastSequence
            if (lastSequence > 0) shrinkTo((digests.size - missing).coerceAtLeast(0).toInt())
            lastSequence = sequence
        }

        fun store(digest: ContentDigest) {
            digests.remove(digest)
            digests.add(digest)
        }

        fun shrinkTo(size: Int) {
            val iterator = digests.iterator()
            while (digests.size > size && iterator.hasNext()) {
                iterator.next()
                iterator.remove()
            }
        }
    }

    private companion object {
        /** Keeps the table near 10 MB, a third of the memory that an instance may use. */
        const val DEFAULT_CAPACITY = 65_536
    }
}
