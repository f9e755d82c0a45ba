/*
 * The number of connections of clients that an instance keeps open.
 */
package org.arbutusnotch.forwarding

/**
 * Derives the bounds from [descriptors], the open files and connections that the machine allows; 0 sets no bounds.
 *
 * Each request of a caller takes a connection to a server besides its own. The auxiliary endpoints have bounds of their
 * own, so that a crowd at one endpoint does not close the others.
 */
internal class ConnectionBounds(descriptors: Int) {
    private val available = (descriptors - RESERVED_DESCRIPTORS).coerceAtLeast(MINIMUM_CONNECTIONS)
    private val isKnown = descriptors > 0

    /** Connections of callers. */
    val front: Int = if (isKnown) (available * FRONT_SHARE).toInt() else Int.MAX_VALUE

    /** Connections at each other endpoint. */
    val auxiliary: Int = if (isKnown) (available * AUXILIARY_SHARE).toInt() else Int.MAX_VALUE

    private companion object {
        /** Descriptors for files, listeners, peers, the store and the runtime. */
        const val RESERVED_DESCRIPTORS = 200

        /** Connections that are allowed however few descriptors the machine has. */
        const val MINIMUM_CONNECTIONS = 100
        const val FRONT_SHARE = 0.4
        const val AUXILIARY_SHARE = 0.05
    }
}
