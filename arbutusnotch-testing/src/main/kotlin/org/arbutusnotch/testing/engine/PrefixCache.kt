/*
 * The prefix cache of an engine, in blocks of 1,024 tokens, and the events that describe its changes late and with
 * gaps.
 */
package org.arbutusnotch.testing.engine

import java.util.SplittableRandom

private const val MAX_EVENTS = 10_000

/** Holds the digests of cached prefixes; the least recently used block is evicted first. */
internal class PrefixCache(private val capacityBlocks: Int, private val journal: CacheJournal) {
    private val blocks = LinkedHashMap<String, Unit>(capacityBlocks, LOAD_FACTOR, true)

    /** Returns the number of leading blocks of the prompt that are cached, and marks them as used. */
    fun cachedBlocks(prefixDigests: List<String>): Int = prefixDigests.takeWhile { blocks[it] != null }.size

    /** Stores every whole block of a prompt. */
    fun store(prefixDigests: List<String>, nowNanos: Long) {
        prefixDigests.forEach { digest ->
            if (blocks.put(digest, Unit) == null) journal.add("stored", digest, nowNanos)
        }
        while (blocks.size > capacityBlocks) {
            val oldest = blocks.keys.first()
            blocks.remove(oldest)
            journal.add("evicted", oldest, nowNanos)
        }
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
    }
}

/** Publishes cache events [lagNanos] late and loses a share of them, whose sequence numbers stay unused. */
internal class CacheJournal(private val lagNanos: Long, private val lostShare: Double, seed: Long) {
    private class Entry(val visibleAtNanos: Long, val event: CacheEvent)

    private val random = SplittableRandom(seed)
    private val entries = ArrayDeque<Entry>()
    private var sequence = 0L

    fun add(kind: String, digest: String, nowNanos: Long) {
        sequence++
        if (random.nextDouble() < lostShare) return
        entries.addLast(Entry(nowNanos + lagNanos, CacheEvent(sequence, kind, digest)))
        if (entries.size > MAX_EVENTS) entries.removeFirst()
    }

    fun after(last: Long, nowNanos: Long): CacheEvents {
        val visible = entries.filter { it.event.sequence > last && it.visibleAtNanos <= nowNanos }.map { it.event }
        return CacheEvents(visible.lastOrNull()?.sequence ?: last, visible)
    }
}
