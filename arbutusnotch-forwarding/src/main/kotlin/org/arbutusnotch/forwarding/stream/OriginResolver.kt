/*
 * Finds the origin of a stream that its caller takes up, from the most certain source to the least: the instances that
 * keep it, then the versions that can have begun it at all.
 */
package org.arbutusnotch.forwarding.stream

import org.arbutusnotch.core.forwarding.PublishedHistory
import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.stream.OriginLookup
import org.arbutusnotch.core.stream.StreamOrigin
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration.Companion.seconds

/**
 * Resolves the origins of streams.
 *
 * @property origins the origins that instances keep
 * @param readHistory reads the history of the store; calls its argument with null when it cannot be read
 */
internal class OriginResolver(
    val origins: StreamOrigins,
    private val registry: ServerRegistry,
    private val readHistory: ((PublishedHistory?) -> Unit) -> Unit,
    private val now: () -> Timestamp,
) {
    private val log = EventLog("streams")
    private var earlier: EarlierHistory? = null
    private val waitingForHistory = mutableListOf<() -> Unit>()

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
        origins.find(stream) { origin ->
            if (origin != null) {
                finish(OriginLookup.Known(origin), "instances")
            } else {
                resolveFromVersions(route) { finish(it, "versions") }
            }
        }
    }

    /** A stream whose origin nobody knows began at the only version that has served while its caller waits, if any. */
    private fun resolveFromVersions(route: Route, onResult: (OriginLookup) -> Unit) {
        val since = now() - (route.timeLimit + LIFETIME_MARGIN)
        val completeSince = registry.completeSince
        when {
            completeSince == null -> onResult(OriginLookup.Unavailable)

            completeSince <= since -> onResult(lookup(route) { registry.versions(it, since) })

            earlier?.until == completeSince -> onResult(lookupInHistory(route, since))

            else -> {
                waitingForHistory += { onResult(lookupInHistory(route, since)) }
                if (waitingForHistory.size == 1) readEarlierHistory(until = completeSince)
            }
        }
    }

    private fun readEarlierHistory(until: Timestamp) = readHistory { read ->
        earlier = read?.let { EarlierHistory(it, until) }
        val waiting = waitingForHistory.toList()
        waitingForHistory.clear()
        waiting.forEach { it() }
    }

    private fun lookupInHistory(route: Route, since: Timestamp): OriginLookup {
        val published = earlier?.published ?: return OriginLookup.Unavailable
        return lookup(route) { pool -> published.versions(pool, since)?.plus(registry.versions(pool, since)) }
    }

    /** Returns the origin if [versions], null if they cannot be told, leave a single one for the pools of [route]. */
    private fun lookup(route: Route, versions: (PoolId) -> Set<SoftwareVersion>?): OriginLookup {
        val candidates = route.targets.map { it.pool }.distinct().flatMap { pool ->
            val inPool = versions(pool) ?: return OriginLookup.Unknown
            inPool.map { StreamOrigin(pool, it) }
        }
        return candidates.singleOrNull()?.let { OriginLookup.Known(it) } ?: OriginLookup.Unknown
    }

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
