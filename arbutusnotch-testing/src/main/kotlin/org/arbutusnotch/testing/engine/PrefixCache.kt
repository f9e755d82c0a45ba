/*
 * Prefix cache of an engine, in blocks of 1,024 tokens, and the log of its events, which are published with a delay and
 * with gaps.
 */
package org.arbutusnotch.testing.engine

import java.util.SplittableRandom

private const val MAX_RETAINED_EVENTS = 10_000

/** Holds the digests of cached prefixes and evicts the least recently used block first. */
internal class PrefixCache(private val capacityBlocks: Int, private val eventLog: CacheEventLog) {
    private val blocks = LinkedHashMap<String, Unit>(capacityBlocks, LOAD_FACTOR, true)

    /** Returns the number of leading blocks of the prompt that are cached, and marks them as recently used. */
    fun cachedBlocks(prefixDigests: List<String>): Int = prefixDigests.takeWhile { blocks[it] != null }.size

    /** Stores all complete blocks of a prompt and evicts blocks beyond the capacity. */
    fun store(prefixDigests: List<String>, nowNanos: Long) {
        prefixDigests.forEach { digest ->
            if (blocks.put(digest, Unit) == null) eventLog.add("stored", digest, nowNanos)
        }
        while (blocks.size > capacityBlocks) {
            val leastRecentlyUsed = blocks.keys.first()
            blocks.remove(leastRecentlyUsed)
            eventLog.add("evicted", leastRecentlyUsed, nowNanos)
        }
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}

/** Publishes cache events with a delay and drops a random share of them, whose sequence numbers stay unused. */
internal class CacheEventLog(private val delayNanos: Long, private val lostEventShare: Double, seed: Long) {
    private class Entry(val publishedAtNanos: Long, val event: CacheEvent)

    private val random = SplittableRandom(seed)
    private val entries = ArrayDeque<Entry>()
    private var lastSequence = 0L

    fun add(kind: String, digest: String, nowNanos: Long) {
        lastSequence++
        if (random.nextDouble() < lostEventShare) return
        entries.addLast(Entry(nowNanos + delayNanos, CacheEvent(lastSequence, kind, digest)))
        if (entries.size > MAX_RETAINED_EVENTS) entries.removeFirst()
    }

    /** Returns the events that are published at [nowNanos] and follow sequence number [lastSeen]. */
    fun eventsAfter(lastSeen: Long, nowNanos: Long): CacheEvents {
        val events = entries
            .filter { it.event.sequence > lastSeen && it.publishedAtNanos <= nowNanos }
            .map { it.event }
        return CacheEvents(events.lastOrNull()?.sequence ?: lastSeen, events)
    }
}
