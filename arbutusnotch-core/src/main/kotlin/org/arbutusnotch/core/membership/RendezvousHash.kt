/*
 * Rendezvous hashing: every node has a weight for each key, and the node with the highest weight is selected. When a
 * node leaves, only the keys that were assigned to it move.
 */
package org.arbutusnotch.core.membership

import org.apache.commons.codec.digest.MurmurHash3

/** Selects and orders nodes by the MurmurHash3 of the key and the node name. */
public object RendezvousHash {
    /** Returns the node with the highest weight for [key], or null when [nodes] is empty. */
    public fun <T : Any> select(key: String, nodes: Collection<T>, name: (T) -> String): T? =
        nodes.maxWithOrNull(comparator(key, name))

    /** Returns [nodes] ordered by weight for [key], highest first. */
    public fun <T : Any> order(key: String, nodes: Collection<T>, name: (T) -> String): List<T> = nodes
        .map { Weighted(it, name(it), weight(key, name(it))) }
        .sortedWith(compareByDescending<Weighted<T>> { it.weight }.thenBy { it.name })
        .map { it.node }

    /** Returns the weight of [node] for [key]. */
    public fun weight(key: String, node: String): ULong {
        val bytes = "$key$SEPARATOR$node".encodeToByteArray()
        return MurmurHash3.hash128x64(bytes).first().toULong()
    }

    private fun <T : Any> comparator(key: String, name: (T) -> String): Comparator<T> =
        compareBy<T> { weight(key, name(it)) }.thenByDescending { name(it) }

    private class Weighted<T>(val node: T, val name: String, val weight: ULong)

    private const val SEPARATOR = '|'
}
