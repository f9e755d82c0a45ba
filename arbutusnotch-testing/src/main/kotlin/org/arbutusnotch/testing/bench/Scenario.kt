/*
 * Scenarios of a measured run: the demand and the injected faults.
 */
package org.arbutusnotch.testing.bench

import org.arbutusnotch.testing.load.Demand
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Identifies a scenario.
 *
 * @property code value of the option `--scenario`
 * @property loadShare mean demand as a share of the capacity of the engines
 */
public enum class Scenario(public val code: String, public val loadShare: Double) {
    /** Demand is constant and nothing fails. */
    STEADY("steady", 0.6),

    /** Demand rises to three times the mean within two seconds, above the capacity of the engines. */
    CREST("crest", 0.5),

    /** A quarter of the engines runs five times slower, for 1 to 5 s at a time. */
    STRAGGLERS("stragglers", 0.5),

    /** One request crashes every engine that runs it, and its caller sends it repeatedly. */
    POISON("poison", 0.4),

    /** One instance is killed and restarted, then another one is paused and resumed. */
    INSTANCE_LOSS("instance-loss", 0.4),
    ;

    /** Returns the demand over [duration] for a base rate of [requestsPerSecond]. */
    public fun demand(requestsPerSecond: Double, duration: Duration): Demand = when (this) {
        CREST -> Demand.Crest(requestsPerSecond, start = duration / RUN_PARTS, peakDuration = duration / RUN_PARTS)
        else -> Demand.Steady(requestsPerSecond)
    }

    private companion object {
        const val RUN_PARTS = 4
    }
}

/** Describes that [engines] run slowly from [start] for [duration]. */
internal data class Slowdown(val start: Duration, val duration: Duration, val engines: List<String>)

/** Draws the slowdowns of a run; equal seeds give equal slowdowns, so that they are the same for every policy. */
internal fun drawSlowdowns(engines: List<String>, total: Duration, seed: Long): List<Slowdown> {
    val random = SplittableRandom(seed)
    val slowdowns = mutableListOf<Slowdown>()
    var start = FIRST_SLOWDOWN_START
    while (start < total) {
        val duration = random.nextLong(SHORTEST_SLOWDOWN_MILLIS, LONGEST_SLOWDOWN_MILLIS + 1).milliseconds
        val shuffled = engines.map { it to random.nextLong() }.sortedBy { it.second }.map { it.first }
        slowdowns += Slowdown(start, duration, shuffled.take((engines.size + QUARTER - 1) / QUARTER))
        start += duration + random.nextLong(LONGEST_PAUSE_MILLIS).milliseconds
    }
    return slowdowns
}

internal const val SLOWDOWN_FACTOR: Double = 5.0
private val FIRST_SLOWDOWN_START = 500.milliseconds
private const val SHORTEST_SLOWDOWN_MILLIS = 1_000L
private const val LONGEST_SLOWDOWN_MILLIS = 5_000L
private const val LONGEST_PAUSE_MILLIS = 1_000L
private const val QUARTER = 4
