/*
 * The latest values that were observed for each of several keys.
 */
package org.arbutusnotch.core.collection

/**
 * Holds the latest values of each key.
 *
 * @param keyLimit number of keys; the key that was added first is evicted when a new one exceeds it
 * @param valueLimit number of values of one key
 */
internal class RecentValues<K, V>(keyLimit: Int, private val valueLimit: Int) {
    private val values = BoundedMap<K, ArrayDeque<V>>(keyLimit)

    /** Adds [value] as the latest one of [key]. */
    fun add(key: K, value: V) {
        val recent = values.getOrPut(key) { ArrayDeque() }
        recent.addLast(value)
        if (recent.size > valueLimit) recent.removeFirst()
    }

    /** Returns the values of [key], the oldest first. */
    operator fun get(key: K): List<V> = values[key].orEmpty()
}
