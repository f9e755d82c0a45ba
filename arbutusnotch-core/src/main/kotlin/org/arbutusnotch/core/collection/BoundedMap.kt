/*
 * A map that cannot outgrow the memory of an instance, whatever keys arrive from outside.
 */
package org.arbutusnotch.core.collection

/** Forgets the keys that were put first above [limit]. */
internal class BoundedMap<K, V>(private val limit: Int) : LinkedHashMap<K, V>() {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>?): Boolean = size > limit
}
