/*
 * The backend servers that are registered for the pools, and which of them may get new work.
 *
 * An entry that is removed without notice belongs to a server that is about to stop, or lapsed because the registry was
 * in trouble. Both are served for a short grace time: the first kind still answers, the second registers again.
 *
 * What a server says in its own answers goes before its entry, which may be older.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the registered servers of all pools.
 *
 * @param grace time for which a server whose entry disappeared still gets work
 * @param troubledGrace the same while the registry is in trouble or has just recovered
 */
public class ServerRegistry(private val grace: Duration, private val troubledGrace: Duration) {
    private val registered = LinkedHashMap<BackendServerId, BackendServer>()
    private val removed = LinkedHashMap<BackendServerId, RemovedServer>()
    private val announcements = ServerAnnouncements()
    private var troubledUntil = Timestamp(0)

    /** Takes over the complete list of entries at [now]. An entry of an earlier start than the known one is ignored. */
    public fun replaceAll(servers: Collection<BackendServer>, now: Timestamp) {
        val listed = servers.associateBy { it.id }
        registered.keys.filter { it !in listed }.forEach { remove(it, now) }
        servers.forEach { put(it, now) }
    }

    /** Takes over one entry. */
    public fun put(server: BackendServer, now: Timestamp) {
        val known = registered[server.id] ?: removed[server.id]?.server
        if (known != null && known.startedAt > server.startedAt) return
        removed.remove(server.id)
        registered[server.id] = server
        forgetExpired(now)
    }

    /** Records that the entry of [id] disappeared. */
    public fun remove(id: BackendServerId, now: Timestamp) {
        val server = registered.remove(id) ?: return
        if (!server.leaving) removed[id] = RemovedServer(server, removedAt = now)
    }

    /**
     * Records that the process of [id] that started at [startedAt] says that it leaves. No entry of this process makes
     * it usable again, only one of a later start. Returns whether this was not known.
     */
    public fun noteLeaving(id: BackendServerId, startedAt: Long): Boolean = announcements.noteLeaving(id, startedAt)

    /** Records that the server with [id] wants no request from this instance before [until]. */
    public fun pause(id: BackendServerId, until: Timestamp): Unit = announcements.pause(id, until)

    /** Returns the time from which the server with [id] wants requests again; null when it wants them at [now]. */
    public fun pausedUntil(id: BackendServerId, now: Timestamp): Timestamp? = announcements.pausedUntil(id, now)

    /** Records that the registry failed at [now]; entries may have lapsed although their servers live. */
    public fun noteTrouble(now: Timestamp) {
        troubledUntil = maxOf(troubledUntil, now + troubledGrace)
    }

    /** Returns the servers that may get new work at [now], those that want none from this instance for a while too. */
    public fun usable(now: Timestamp): List<BackendServer> {
        forgetExpired(now)
        return (registered.values.filter { !it.leaving } + removed.values.map { it.server })
            .filterNot { announcements.isLeaving(it) }
    }

    /** Returns the server with [id] if this instance may send it new work at [now]. */
    public fun findUsable(id: BackendServerId, now: Timestamp): BackendServer? {
        forgetExpired(now)
        if (announcements.pausedUntil(id, now) != null) return null
        val known = registered[id]?.takeUnless { it.leaving } ?: removed[id]?.server
        return known?.takeUnless { announcements.isLeaving(it) }
    }

    private fun forgetExpired(now: Timestamp) {
        if (removed.isEmpty()) return
        removed.values.removeIf {
            now >= it.removedAt + grace && now >= minOf(troubledUntil, it.removedAt + LAPSE_LIMIT)
        }
    }

    private class RemovedServer(val server: BackendServer, val removedAt: Timestamp)

    private companion object {
        /** Longest time for which an entry that lapsed during trouble is believed. */
        val LAPSE_LIMIT = 30.seconds
    }
}
