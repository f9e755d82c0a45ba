/*
 * Records what backend servers announce about themselves in their answers to this instance.
 *
 * A server that is leaving says so in every answer, while its entry in the registry may be stale or wrong. A server
 * that rejects a request may ask this instance to pause for some time; the pause does not apply to other instances.
 * An overloaded server names in every answer the rate of requests that it takes from all instances together.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.collection.BoundedMap
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp

internal class ServerAnnouncements {
    private val leaving = BoundedMap<BackendServerId, Long>(MAXIMUM_SERVERS)
    private val pauses = BoundedMap<BackendServerId, Timestamp>(MAXIMUM_SERVERS)
    private val limits = BoundedMap<BackendServerId, LimitObservation>(MAXIMUM_SERVERS)

    /** Records that the process that started at [startedAt] is leaving. Returns whether this was not yet known. */
    fun recordLeaving(id: BackendServerId, startedAt: Long): Boolean {
        val known = leaving[id]
        if (known != null && known >= startedAt) return false
        leaving[id] = startedAt
        return true
    }

    /** Whether the process that [server] describes has announced that it is leaving. */
    fun isLeaving(server: BackendServer): Boolean = leaving[server.id]?.let { server.startedAt <= it } ?: false

    /** Extends the pause of the server with [id] to [until]; an earlier time has no effect. */
    fun pause(id: BackendServerId, until: Timestamp) {
        val known = pauses[id]
        if (known == null || known < until) pauses[id] = until
    }

    /** Returns the end of the pause of the server with [id]; null when it is not paused at [now]. */
    fun pausedUntil(id: BackendServerId, now: Timestamp): Timestamp? {
        val until = pauses[id] ?: return null
        if (now < until) return until
        pauses.remove(id)
        return null
    }

    /** Records [observation] as the latest one of its server. Returns whether the limit differs from the known one. */
    fun recordLimit(observation: LimitObservation): Boolean {
        val known = limitOf(observation.server, observation.startedAt)
        limits[observation.server] = observation
        return known?.perSecond != observation.perSecond
    }

    /** Whether any server has named a limit in its latest answer. */
    val hasLimits: Boolean
        get() = limits.values.any { it.perSecond != null }

    /** Returns the latest observation of the process of [id] that started at [startedAt]; null when there is none. */
    fun limitOf(id: BackendServerId, startedAt: Long): LimitObservation? =
        limits[id]?.takeIf { it.startedAt == startedAt }

    private companion object {
        /** Limit of stored servers; more than are replaced while an outdated entry may still be listed. */
        const val MAXIMUM_SERVERS = 4_096
    }
}
