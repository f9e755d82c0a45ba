/*
 * What backend servers say of themselves in their answers to this instance.
 *
 * A server that leaves says so in every answer, and its entry in the registry may lag behind or lie. A server that
 * turns a request away may ask this instance to stay away for a while; other instances are not bound by that.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.collection.BoundedMap
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp

internal class ServerAnnouncements {
    private val leaving = BoundedMap<BackendServerId, Long>(MAXIMUM_SERVERS)
    private val pauses = BoundedMap<BackendServerId, Timestamp>(MAXIMUM_SERVERS)

    /** Returns whether it was not known that the process that started at [startedAt] leaves. */
    fun noteLeaving(id: BackendServerId, startedAt: Long): Boolean {
        val known = leaving[id]
        if (known != null && known >= startedAt) return false
        leaving[id] = startedAt
        return true
    }

    /** Whether the process that [server] describes has said that it leaves. */
    fun isLeaving(server: BackendServer): Boolean = leaving[server.id]?.let { server.startedAt <= it } ?: false

    /** Extends the pause of the server with [id] to [until]; a shorter one has no effect. */
    fun pause(id: BackendServerId, until: Timestamp) {
        val known = pauses[id]
        if (known == null || known < until) pauses[id] = until
    }

    fun pausedUntil(id: BackendServerId, now: Timestamp): Timestamp? {
        val until = pauses[id] ?: return null
        if (now < until) return until
        pauses.remove(id)
        return null
    }

    private companion object {
        /** Servers that are remembered: more than are replaced in the time for which an old entry may be listed. */
        const val MAXIMUM_SERVERS = 4_096
    }
}
