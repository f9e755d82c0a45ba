/*
 * Finds the origin of a stream that its caller takes up, from the most certain source to the least: the instances that
 * keep it, then the versions that can have begun it at all.
 *
 * What this instance knows of the versions may be older than the stream: it may have been paused or cut off while
 * servers of another version registered. So it concludes from the versions only after the store has told it what
 * changed until the stream was taken up.
 */
package org.arbutusnotch.forwarding.stream

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.PublishedHistory
import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.stream.OriginLookup
import org.arbutusnotch.core.stream.StreamOrigin
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.registry.ServerHistory
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration.Companion.seconds

/**
 * Resolves the origins of streams.
 *
 * @property origins the origins that instances keep
 * @param history reads the store, which the registry may lag behind
 */
internal class OriginResolver(
    val origins: StreamOrigins,
    private val registry: ServerRegistry,
    private val history: ServerHistory,
    private val now: () -> Timestamp,
) {
    private val log = EventLog("streams")
    private var earlier: EarlierHistory? = null
    private val pending = mutableListOf<PendingLookup>()
    private var isReading = false

    /** Calls [onResult] with the origin of [stream], which is taken up on [route]; null when it was not named. */
    fun resolve(stream: RequestId?, route: Route, onResult: (OriginLookup) -> Unit) {
        val finish = { lookup: OriginLookup, source: String ->
            log.info("stream_origin") {
                field("stream", stream)
                field("source", source)
                field("result", lookup)
            }
            onResult(lookup)
        }
        if (stream == null) return resolveFromVersions(route) { finish(it, "versions") }
        origins.find(stream) { kept ->
            when (kept) {
                is OriginLookup.Known -> finish(kept, "instances")

                // An instance that has not answered may know what the versions leave open.
                OriginLookup.Unknown, OriginLookup.Unavailable ->
                    resolveFromVersions(route) { finish(if (it == OriginLookup.Unknown) kept else it, "versions") }
            }
        }
    }

    /** A stream whose origin nobody knows began at the only version that has served while its caller waits, if any. */
    private fun resolveFromVersions(route: Route, onResult: (OriginLookup) -> Unit) {
        pending += PendingLookup(route, since = now() - (route.timeLimit + LIFETIME_MARGIN), onResult)
        if (!isReading) readStore()
    }

    /** Reads the store for the lookups that wait now; later ones need a reading that begins later. */
    private fun readStore() {
        val lookups = pending.toList()
        pending.clear()
        val completeSince = registry.completeSince ?: return complete(lookups, recent = null)
        isReading = true
        if (earlier?.until == completeSince || lookups.all { it.since >= completeSince }) {
            history.readRecent { complete(lookups, recent = it) }
        } else {
            history.read { read ->
                earlier = read?.let { EarlierHistory(it, until = completeSince) }
                complete(lookups, recent = read?.servers)
            }
        }
    }

    /** Ends [lookups] with what the store told, null if it did not answer, of the servers written until now. */
    private fun complete(lookups: List<PendingLookup>, recent: List<BackendServer>?) {
        isReading = false
        lookups.forEach { it.onResult(if (recent == null) OriginLookup.Unavailable else lookup(it, recent)) }
        if (pending.isNotEmpty() && !isReading) readStore()
    }

    private fun lookup(pending: PendingLookup, recent: List<BackendServer>): OriginLookup {
        val completeSince = registry.completeSince ?: return OriginLookup.Unavailable
        val known = { pool: PoolId ->
            registry.versions(pool, pending.since) + recent.filter { it.pool == pool }.map { it.version }
        }
        if (pending.since >= completeSince) return lookup(pending.route, known)
        // Without the matching history, the registry was listed anew while the store was read.
        val published = earlier?.takeIf { it.until == completeSince }?.published ?: return OriginLookup.Unavailable
        return lookup(pending.route) { pool -> published.versions(pool, pending.since)?.plus(known(pool)) }
    }

    /** Returns the origin if [versions], null if they cannot be told, leave a single one for the pools of [route]. */
    private fun lookup(route: Route, versions: (PoolId) -> Set<SoftwareVersion>?): OriginLookup {
        val candidates = route.targets.map { it.pool }.distinct().flatMap { pool ->
            val inPool = versions(pool) ?: return OriginLookup.Unknown
            inPool.map { StreamOrigin(pool, it) }
        }
        return candidates.singleOrNull()?.let { OriginLookup.Known(it) } ?: OriginLookup.Unknown
    }

    private class PendingLookup(val route: Route, val since: Timestamp, val onResult: (OriginLookup) -> Unit)

    /**
     * Holds what the store tells of the time before this instance followed it.
     *
     * @property until time since which the registry knows all changes itself
     */
    private class EarlierHistory(val published: PublishedHistory, val until: Timestamp)

    private companion object {
        /** Time by which a caller may outlive the time limit of its route. */
        val LIFETIME_MARGIN = 1.seconds
    }
}
