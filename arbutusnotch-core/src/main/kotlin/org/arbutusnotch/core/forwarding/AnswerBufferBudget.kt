/*
 * Limits the memory of one instance for answers that it buffers until they are complete.
 *
 * Faulty servers may send endless answers, many of them at once. When the memory is full, the largest answer is evicted
 * first: normal answers are small, so that requests to healthy servers continue.
 */
package org.arbutusnotch.core.forwarding

/** Releases a buffered answer when the [AnswerBufferBudget] is exceeded; implemented by the receivers of answers. */
public fun interface BufferedAnswer {
    /** Drops the received bytes; called when the memory is needed for smaller answers. */
    public fun evict()
}

/** Shares [maximumBytes] between all answers that an instance buffers. */
public class AnswerBufferBudget(private val maximumBytes: Int) {
    private val buffered = LinkedHashMap<BufferedAnswer, Int>()

    /** Bytes of all buffered answers. */
    public var usedBytes: Int = 0
        private set

    /**
     * Records that [answer] now takes [bytes]. Larger answers are evicted while the memory is full.
     *
     * @return whether the answer may stay buffered; if not, it has been released and must be dropped
     */
    public fun resize(answer: BufferedAnswer, bytes: Int): Boolean {
        if (buffered[answer] == bytes) return true
        release(answer)
        if (bytes == 0) return true
        while (usedBytes + bytes > maximumBytes) {
            val largest = buffered.entries.maxByOrNull { it.value }
            if (largest == null || largest.value <= bytes) return false
            val evicted = largest.key
            release(evicted)
            evicted.evict()
        }
        buffered[answer] = bytes
        usedBytes += bytes
        return true
    }

    /** Releases the memory of [answer]. */
    public fun release(answer: BufferedAnswer) {
        usedBytes -= buffered.remove(answer) ?: 0
    }
}
