/*
 * Tracks the prompt prefixes that each prefill server has cached, from the cache events of the engines.
 *
 * Cache events arrive late and with gaps. A wrong entry costs only time: the engine recomputes the prefix.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest

/** Lists the changes of a prefix in an engine's cache. */
public enum class CacheEventKind(public val code: String) {
    STORED("stored"),
    EVICTED("evicted"),
}

/** Describes one cache event; engines number their events without gaps. */
public data class CacheEvent(
    public val sequence: Long,
    public val kind: CacheEventKind,
    public val digest: ContentDigest,
)

/**
 * Stores the cached prefix digests of each prefill server, least recently stored first.
 *
 * @param capacity maximum number of digests across all servers
 */
public class PrefixTable(private val capacity: Int = DEFAULT_CAPACITY) {
    private val prefixesByServer = HashMap<BackendServerId, ServerPrefixes>()

    /** Number of digests across all servers. */
    public val size: Int
        get() = prefixesByServer.values.sumOf { it.digests.size }

    /** Removes the servers that are not in [servers] and adds the new ones. */
    public fun retainServers(servers: Set<BackendServerId>) {
        prefixesByServer.keys.retainAll(servers)
        servers.forEach { prefixesByServer.getOrPut(it) { ServerPrefixes() } }
        prefixesByServer.values.forEach { it.evictTo(capacityPerServer()) }
    }

    /** Removes all digests of [server] after its restart. */
    public fun clear(server: BackendServerId) {
        prefixesByServer[server]?.let { it.digests.clear() }
    }

    /** Returns the sequence number of the last event applied for [server]; the next poll continues after it. */
    public fun lastSequence(server: BackendServerId): Long = prefixesByServer[server]?.lastSequence ?: 0

    /**
     * Applies [events] of [server]; events that were already applied are ignored. For each missing event one digest is
     * evicted, the least recently stored first, since it may have been an eviction and engines evict in that order.
     *
     * @param latestSequence sequence number of the engine's latest event; a value below [lastSequence] means that the
     * engine was restarted
     */
    public fun apply(server: BackendServerId, events: List<CacheEvent>, latestSequence: Long) {
        val prefixes = prefixesByServer.getOrPut(server) { ServerPrefixes() }
        if (latestSequence < prefixes.lastSequence) prefixes.restart()
        events.sortedBy { it.sequence }.forEach { event -> prefixes.apply(event) }
        prefixes.advanceTo(latestSequence)
        prefixes.evictTo(capacityPerServer())
    }

    /** Records that [server] finished a prefill of a prompt with the prefix [digests]. */
    public fun recordPrefill(server: BackendServerId, digests: List<ContentDigest>) {
        val prefixes = prefixesByServer.getOrPut(server) { ServerPrefixes() }
        digests.forEach { prefixes.store(it) }
        prefixes.evictTo(capacityPerServer())
    }

    /** Returns the length, in blocks, of the longest cached prefix of [server] among [digests], shortest first. */
    public fun cachedBlocks(server: BackendServerId, digests: List<ContentDigest>): Int {
        val known = prefixesByServer[server]?.digests ?: return 0
        return digests.indexOfLast { it in known } + 1
    }

    private fun capacityPerServer() = capacity / prefixesByServer.size.coerceAtLeast(1)

    private class ServerPrefixes {
        val digests = LinkedHashSet<ContentDigest>()
        var lastSequence = 0L

        fun restart() {
            digests.clear()
            lastSequence = 0
        }

        fun apply(event: CacheEvent) {
            if (event.sequence <= lastSequence) return
            advanceTo(event.sequence - 1)
            lastSequence = event.sequence
            when (event.kind) {
                CacheEventKind.STORED -> store(event.digest)
                CacheEventKind.EVICTED -> digests.remove(event.digest)
            }
        }

        fun advanceTo(sequence: Long) {
            if (sequence <= lastSequence) return
            val missing = sequence - lastSequence
            if (lastSequence > 0) evictTo((digests.size - missing).coerceAtLeast(0).toInt())
            lastSequence = sequence
        }

        fun store(digest: ContentDigest) {
            digests.remove(digest)
            digests.add(digest)
        }

        fun evictTo(size: Int) {
            val iterator = digests.iterator()
            while (digests.size > size && iterator.hasNext()) {
                iterator.next()
                iterator.remove()
            }
        }
    }

    private companion object {
        /** Limits the table to about 10 MB, a third of the memory that an instance may use. */
        const val DEFAULT_CAPACITY = 65_536
    }
}
