/*
 * Tracks the registered backend servers of the pools and which of them may get new work.
 *
 * An entry that disappears without notice belongs to a server that is about to stop, or it expired during an outage of
 * the registry. In both cases the server keeps getting work for a short grace time: the former still answers, and the
 * latter registers again. Only an outage that lasts can let an entry expire: a removal that was heard before it, or
 * around a call that failed for a moment, is certain.
 *
 * What a server announces in its own answers takes precedence over its entry, which may be older. So does what its
 * entry said before the registry was restored from a copy: a process that was leaving or gone does not become usable
 * again because the copy is older.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.collection.BoundedMap
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the registered servers of all pools.
 *
 * @param grace time for which a server whose entry disappeared still gets work
 * @param outageGrace the same during an outage of the registry and shortly after it
 */
public class ServerRegistry(private val grace: Duration, private val outageGrace: Duration) {
    private val registered = LinkedHashMap<BackendServerId, BackendServer>()
    private val removed = LinkedHashMap<BackendServerId, RemovedServer>()
    private val announcements = ServerAnnouncements()

    /** Start times of the latest processes whose entries were removed. */
    private val ended = BoundedMap<BackendServerId, Long>(MAXIMUM_ENDED_SERVERS)

    /** Servers that a copy lists although their processes were leaving or gone, and when they may get work again. */
    private val doubtful = HashMap<BackendServerId, Timestamp>()
    private var outageSince: Timestamp? = null
    private var outageGraceUntil = Timestamp(0)
    private val versionsInUse = LinkedHashMap<PoolVersion, Timestamp>()

    /** Time since which every change of the entries is known; null before the first listing. */
    public var completeSince: Timestamp? = null
        private set

    /** Replaces all entries by [servers]. An entry of a process that started before the known one is ignored. */
    public fun replaceAll(servers: Collection<BackendServer>, now: Timestamp): Unit =
        replace(servers, now) { remove(it, now) }

    private fun replace(servers: Collection<BackendServer>, now: Timestamp, onMissing: (BackendServerId) -> Unit) {
        completeSince = now
        val listed = servers.associateBy { it.id }
        registered.keys.filter { it !in listed }.forEach(onMissing)
        servers.forEach { register(it, now) }
    }

    /**
     * Replaces all entries by [servers], those of a registry that was restored from a copy. A server that the copy
     * lacks may be about to register again. A process that was leaving or whose entry was removed gets no work until
     * the registry would have noticed its end, unless its server writes its entry again.
     */
    public fun restore(servers: Collection<BackendServer>, now: Timestamp) {
        outageGraceUntil = maxOf(outageGraceUntil, now + outageGrace)
        val unusable = registered.values.filter { it.leaving || isDoubtful(it.id, now) }
            .associate { it.id to it.startedAt }
        replace(servers, now) { expire(it, now) }
        servers.filter { ended[it.id] == it.startedAt || unusable[it.id] == it.startedAt }
            .forEach { doubtful[it.id] = now + DOUBT_AFTER_RESTORATION }
    }

    /** Adds or updates one entry, unless its process started before the known one. */
    public fun put(server: BackendServer, now: Timestamp) {
        doubtful.remove(server.id)
        ended.remove(server.id)
        register(server, now)
    }

    private fun register(server: BackendServer, now: Timestamp) {
        val known = registered[server.id] ?: removed[server.id]?.server
        if (known != null && known.startedAt > server.startedAt) return
        removed.remove(server.id)
        registered[server.id]?.let { recordUse(it, now) }
        registered[server.id] = server
        removeExpired(now)
    }

    /** Records that the entry of [id] was removed. */
    public fun remove(id: BackendServerId, now: Timestamp) {
        expire(id, now)?.let { ended[id] = it.startedAt }
    }

    /** Removes the entry of [id], whose server may still run and gets work for the grace time if it got any before. */
    private fun expire(id: BackendServerId, now: Timestamp): BackendServer? {
        val server = registered.remove(id) ?: return null
        recordUse(server, now)
        if (!server.leaving && !isDoubtful(id, now)) removed[id] = RemovedServer(server, now, mayHaveExpired(now))
        return server
    }

    /**
     * Records that the process of [id] that started at [startedAt] has announced that it is leaving. Only an entry of a
     * process that started later makes the server usable again. Returns whether this was not yet known.
     */
    public fun recordLeaving(id: BackendServerId, startedAt: Long): Boolean = announcements.recordLeaving(id, startedAt)

    /** Records that the server with [id] has asked for no requests from this instance before [until]. */
    public fun pause(id: BackendServerId, until: Timestamp): Unit = announcements.pause(id, until)

    /** Returns the end of the pause of the server with [id]; null when it is not paused at [now]. */
    public fun pausedUntil(id: BackendServerId, now: Timestamp): Timestamp? = announcements.pausedUntil(id, now)

    /** Records what a server said about its request limit. Returns whether the limit differs from the known one. */
    public fun recordLimit(observation: LimitObservation): Boolean = announcements.recordLimit(observation)

    /** Returns what [server] last said about its request limit in an answer to this instance; null before that. */
    public fun limitOf(server: BackendServer): LimitObservation? = announcements.limitOf(server.id, server.startedAt)

    /** Returns the request limits that the usable servers of [pool] have last named to this instance, newest first. */
    public fun limits(pool: PoolId, now: Timestamp): List<LimitObservation> {
        if (!announcements.hasLimits) return emptyList()
        return usable(now).filter { it.pool == pool }.mapNotNull { limitOf(it) }.filter { it.perSecond != null }
            .sortedByDescending { it.observedAt }
    }

    /** Records that the registry still fails at [now], and has done so since [since] at the earliest. */
    public fun recordOutage(now: Timestamp, since: Timestamp = now) {
        outageSince = minOf(outageSince ?: since, since)
        extendOutageGrace(now)
    }

    /** Records that the registry answers again at [now]. */
    public fun recordRecovery(now: Timestamp) {
        extendOutageGrace(now)
        outageSince = null
    }

    private fun extendOutageGrace(now: Timestamp) {
        if (hasLastingOutage(now)) outageGraceUntil = maxOf(outageGraceUntil, now + outageGrace)
    }

    private fun hasLastingOutage(now: Timestamp) = outageSince.let { it != null && now >= it + SHORTEST_LIFETIME }

    /** Returns whether an entry that disappears at [now] may have expired although its server is running. */
    private fun mayHaveExpired(now: Timestamp) = now < outageGraceUntil || hasLastingOutage(now)

    /** Returns the servers that may get new work at [now], including those that are paused for this instance. */
    public fun usable(now: Timestamp): List<BackendServer> =
        usableByEntry(now).filterNot { announcements.isLeaving(it) }

    /** Returns the servers of [pool] that have announced that they are leaving although their entries do not say so. */
    public fun leavingDespiteEntry(pool: PoolId, now: Timestamp): List<BackendServer> =
        usableByEntry(now).filter { it.pool == pool && announcements.isLeaving(it) }

    /** Returns the pools with servers for which [limits] or [leavingDespiteEntry] returns something. */
    public fun poolsWithAnnouncements(now: Timestamp): Set<PoolId> = usableByEntry(now)
        .filter { announcements.isLeaving(it) || limitOf(it)?.perSecond != null }
        .map { it.pool }.toSet()

    private fun usableByEntry(now: Timestamp): List<BackendServer> {
        removeExpired(now)
        return registered.values.filter { !it.leaving && !isDoubtful(it.id, now) } + removed.values.map { it.server }
    }

    /** Returns the versions that servers of [pool] have had since [since], as far as this registry knows. */
    public fun versions(pool: PoolId, since: Timestamp): Set<SoftwareVersion> {
        val current = registered.values + removed.values.map { it.server }
        val earlier = versionsInUse.filter { (key, usedUntil) -> key.pool == pool && usedUntil >= since }
        return current.filter { it.pool == pool }.map { it.version }.toSet() + earlier.keys.map { it.version }
    }

    /** Records that [server] may have got work until [now]. */
    private fun recordUse(server: BackendServer, now: Timestamp) {
        versionsInUse.remove(PoolVersion(server.pool, server.version))
        versionsInUse[PoolVersion(server.pool, server.version)] = now
        if (versionsInUse.size > MAXIMUM_VERSIONS) versionsInUse.remove(versionsInUse.keys.first())
    }

    /** Returns the server with [id] if this instance may send it new work at [now]. */
    public fun findUsable(id: BackendServerId, now: Timestamp): BackendServer? {
        removeExpired(now)
        if (announcements.pausedUntil(id, now) != null) return null
        val known = registered[id]?.takeUnless { it.leaving || isDoubtful(id, now) } ?: removed[id]?.server
        return known?.takeUnless { announcements.isLeaving(it) }
    }

    /**
     * Returns whether the process of [server] has ended without notice: a later one is registered under its id or at
     * its address, or its entry disappeared other than by an outage of the registry.
     */
    public fun hasEnded(server: BackendServer, now: Timestamp): Boolean {
        val known = registered[server.id]
        return when {
            known?.leaving == true || announcements.isLeaving(server) -> false
            known == null -> now >= outageGraceUntil
            known.startedAt > server.startedAt -> true
            else -> registered.values.any { it.address == server.address && it.startedAt > server.startedAt }
        }
    }

    private fun isDoubtful(id: BackendServerId, now: Timestamp): Boolean {
        val until = doubtful[id] ?: return false
        if (now >= until) doubtful.remove(id)
        return now < until
    }

    private fun removeExpired(now: Timestamp) {
        if (removed.isEmpty()) return
        removed.values.removeIf {
            val usableUntil = if (it.mayHaveExpired) outageGraceUntil else it.removedAt
            val isOver = now >= it.removedAt + grace && now >= minOf(usableUntil, it.removedAt + MAXIMUM_OUTAGE_GRACE)
            if (isOver) recordUse(it.server, now)
            isOver
        }
    }

    private class RemovedServer(val server: BackendServer, val removedAt: Timestamp, val mayHaveExpired: Boolean)

    private data class PoolVersion(val pool: PoolId, val version: SoftwareVersion)

    private companion object {
        /** Limit of stored versions; a pool has few at a time. */
        const val MAXIMUM_VERSIONS = 4_096

        /** Entries are renewed, and do not expire, for at least this long after the registry has failed. */
        val SHORTEST_LIFETIME = 1.seconds

        /** Longest time for which a server stays usable after its entry expired during an outage. */
        val MAXIMUM_OUTAGE_GRACE = 30.seconds

        /** Time after a restoration within which the registry removes the entries of servers that no longer run. */
        val DOUBT_AFTER_RESTORATION = 5.seconds

        /** Limit of stored processes; more than end between the time of the copy and the restoration. */
        const val MAXIMUM_ENDED_SERVERS = 4_096
    }
}
