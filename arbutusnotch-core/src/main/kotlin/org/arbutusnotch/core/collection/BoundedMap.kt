/*
 * A map with a size limit, so that keys from external sources cannot exhaust the memory of an instance.
 */
package org.arbutusnotch.core.collection

/** Holds at most [limit] entries and evicts the entry that was inserted first when a new one exceeds the limit. */
internal class BoundedMap<K, V>(private val limit: Int) : LinkedHashMap<K, V>() {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>?): Boolean = size > limit
}
