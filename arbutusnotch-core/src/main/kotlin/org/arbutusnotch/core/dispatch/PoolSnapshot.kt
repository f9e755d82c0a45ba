/*
 * Values that many decisions of one pass over the waiting requests have in common.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Computes values of the servers of a pool once for a pass at [now].
 *
 * Health, speeds and request limits of the servers do not change during a pass. Places in use and the credit of limits
 * do, and are not part of the snapshot.
 */
internal class PoolSnapshot(
    private val trackedServers: Map<BackendServerId, TrackedServer>,
    private val now: Timestamp,
) {
    private val stages: Map<ServerStage, List<TrackedServer>> by unsynchronized {
        trackedServers.values.groupBy { it.server.stage }
    }
    private val medians = HashMap<ServerStage, Duration?>()
    private val healths = HashMap<Path, Map<ServerStage, StageHealth>>()
    private val options = HashMap<OptionsKey, RunOptions>()

    /** Servers that prefill prompts for others. */
    val prefillServers: List<TrackedServer> by unsynchronized { stages[ServerStage.PREFILL].orEmpty() }

    /** Servers that run requests. */
    val runServers: List<TrackedServer> by unsynchronized {
        trackedServers.values.filter { it.server.stage != ServerStage.PREFILL }
    }

    /** Time per output token of the servers that run requests, relative to their median; empty until it is known. */
    val relativeTimes: Map<TrackedServer, Double> by unsynchronized { OutputTime.relativeTimes(runServers) }

    /** Whether the answer to which servers may get a request depends on the instance that holds it. */
    private val dependsOnHolder: Boolean by unsynchronized {
        runServers.any { it.isPaused || it.health.hasFaultyPaths }
    }

    /** Request limits of [prefillServers]. */
    val prefillLimits: RateLimits by unsynchronized { RateLimits(prefillServers) }

    /** Request limits of [runServers]. */
    val runLimits: RateLimits by unsynchronized { RateLimits(runServers) }

    private val prefillVersions: Set<SoftwareVersion> by unsynchronized {
        prefillServers.map { it.server.version }.toSet()
    }

    /** Returns whether a prefill server accepts [entry]. */
    fun hasPrefillServer(entry: WaitingRequest): Boolean = if (entry.excluded.isEmpty()) {
        if (entry.version == null) prefillServers.isNotEmpty() else entry.version in prefillVersions
    } else {
        prefillServers.any { entry.accepts(it.server) }
    }

    /** Returns the median time per unit of work of the servers of [stage]; null when none is known. */
    fun medianTimePerUnit(stage: ServerStage): Duration? = medians.getOrPut(stage) {
        val known = stages[stage].orEmpty().mapNotNull { it.speed.timePerUnit }.sorted()
        known.getOrNull(known.size / 2)
    }

    /** Returns the health of the servers of each stage for requests of the holder and failure domain of [entry]. */
    fun healthOf(entry: WaitingRequest): Map<ServerStage, StageHealth> =
        healths.getOrPut(Path(entry.holder.address, entry.domain)) {
            stages.mapValues { (stage, servers) -> StageHealth(stage, servers, entry, now) }
        }

    /** Returns which servers could run [entry], regardless of their load. */
    fun optionsOf(entry: WaitingRequest): RunOptions {
        val holder = if (dependsOnHolder) entry.holder.address else null
        return options.getOrPut(OptionsKey(holder, entry.version, entry.excluded)) { RunOptions(entry) }
    }

    /** Describes the servers that could run [entry] and other requests of its holder, version and exclusions. */
    inner class RunOptions(private val entry: WaitingRequest) {
        /** The servers, regardless of their pauses and load. */
        val servers: List<TrackedServer> = runServers.filter { entry.accepts(it.server) }

        /** Whether every server of the pool is excluded. */
        val areAllExcluded: Boolean by unsynchronized { trackedServers.keys.all { it in entry.excluded } }

        /** Earliest time at which one of [servers] is not paused for the holder. */
        val earliestUnpaused: Timestamp by unsynchronized {
            servers.minOfOrNull { it.pausedUntil(entry.holder, now) ?: now } ?: now
        }

        /**
         * Whether the holder reaches none of the servers that could run the request while other instances reach some,
         * and none is due to be tried again.
         */
        val isCutOff: Boolean by unsynchronized {
            val holder = entry.holder.address
            val candidates = runServers.filter { entry.version == null || it.server.version == entry.version }
            candidates.any { it.health.isPathDown(holder) } && candidates.all { it.health.isPathFaulty(holder) } &&
                candidates.none {
                    it.server.id !in entry.excluded && it.health.mayTryPath(holder, now) && it.mayProbe(holder)
                }
        }
    }

    /** Adds up the capacity of [servers], of which some limit their requests. */
    class RateLimits(servers: List<TrackedServer>) {
        private val limits = servers.mapNotNull { it.limit.perSecond }
        private val unlimited = servers.size - limits.size

        /** Whether every server limits its requests; true when there are none. */
        val areAllLimited: Boolean = unlimited == 0

        /** Returns the requests per second of all servers if each could take [capacity] requests per second. */
        fun restrict(capacity: Double): Double =
            (if (unlimited == 0) 0.0 else unlimited * capacity) + limits.sumOf { minOf(it, capacity) }
    }

    private data class Path(val holder: InstanceAddress, val domain: FailureDomainId)

    private data class OptionsKey(
        val holder: InstanceAddress?,
        val version: SoftwareVersion?,
        val excluded: Set<BackendServerId>,
    )
}

private fun <T> unsynchronized(initializer: () -> T): Lazy<T> = lazy(LazyThreadSafetyMode.NONE, initializer)
