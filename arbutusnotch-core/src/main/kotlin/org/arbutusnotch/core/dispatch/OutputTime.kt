/*
 * The time that one decode server needs for an output token, and its relation to the other servers of the pool.
 *
 * The number of output tokens is an estimate that is often far off for a single run, so that many runs are averaged.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/** Averages the time per expected output token of the completed runs of one server. */
internal class OutputTime {
    private var microsPerToken = 0.0
    private var observedAt = Timestamp(0)
    private var samples = 0

    /** Average time per token; null until enough runs have completed. */
    val perToken: Duration?
        get() = if (samples < MINIMUM_SAMPLES) null else microsPerToken.microseconds

    /** Adds a run of [tokens] expected tokens that took [elapsed]. */
    fun observe(tokens: Int, elapsed: Duration, now: Timestamp) {
        if (tokens <= 0 || !elapsed.isPositive()) return
        if (now - observedAt > LIFETIME) samples = 0
        samples += 1
        val weight = maxOf(SAMPLE_WEIGHT, 1.0 / samples)
        microsPerToken += weight * (elapsed.inWholeMicroseconds.toDouble() / tokens - microsPerToken)
        observedAt = now
    }

    companion object {
        /** Runs before an average is used; with fewer, differences in length look like differences in speed. */
        private const val MINIMUM_SAMPLES = 4
        private const val SAMPLE_WEIGHT = 0.1

        /** Time without a completed run after which earlier runs no longer count. */
        private val LIFETIME = 30.seconds

        /** Range of relative times; a faulty average must neither exclude a server nor attract every request. */
        private val RELATIVE_TIMES = 0.6..3.0

        /** Number of servers with a known time from which a comparison is meaningful. */
        private const val MINIMUM_SERVERS = 2

        /**
         * Returns the time per output token of each of [servers] relative to their median; a server whose time is not
         * known is missing.
         */
        fun relativeTimes(servers: List<TrackedServer>): Map<TrackedServer, Double> {
            val known = servers.mapNotNull { server -> server.outputTime.perToken?.let { server to it } }
            if (known.size < MINIMUM_SERVERS) return emptyMap()
            val median = known.map { it.second }.sorted()[(known.size - 1) / 2]
            return known.associate { (server, time) -> server to (time / median).coerceIn(RELATIVE_TIMES) }
        }
    }
}
