/*
 * The memory that one instance spends on answers which it keeps until they are complete.
 *
 * It answers the load of servers in trouble that send bytes without an end, many at once. While the memory is full, the
 * largest answer is given up first: usual answers are small, so that requests of sound servers go on.
 */
package org.arbutusnotch.core.forwarding

/** Is implemented by the receivers of answers. */
public fun interface KeptAnswer {
    /** Drops what was received; called when the memory is needed for smaller answers. */
    public fun giveUp()
}

/** Shares [maximumBytes] between all answers that an instance keeps. */
public class AnswerMemory(private val maximumBytes: Int) {
    private val kept = LinkedHashMap<KeptAnswer, Int>()

    /** Bytes of all answers that are kept. */
    public var usedBytes: Int = 0
        private set

    /**
     * Records that [answer] takes [bytes] now. Larger answers are given up while the memory is full.
     *
     * @return whether the answer may be kept; if not, it has been forgotten here and must be dropped
     */
    public fun resize(answer: KeptAnswer, bytes: Int): Boolean {
        forget(answer)
        if (bytes == 0) return true
        while (usedBytes + bytes > maximumBytes) {
            val largest = kept.entries.maxByOrNull { it.value }
            if (largest == null || largest.value <= bytes) return false
            val dropped = largest.key
            forget(dropped)
            dropped.giveUp()
        }
        kept[answer] = bytes
        usedBytes += bytes
        return true
    }

    /** Records that [answer] takes no memory any more. */
    public fun forget(answer: KeptAnswer) {
        usedBytes -= kept.remove(answer) ?: 0
    }
}
