/*
 * What happens during a measured run.
 */
package org.arbutusnotch.testing.bench

import org.arbutusnotch.testing.load.Demand
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Names a scenario.
 *
 * @property loadShare mean demand as a share of what the engines carry
 */
public enum class Scenario(public val code: String, public val loadShare: Double) {
    /** Demand stays the same and nothing fails. */
    STEADY("steady", 0.6),

    /** Demand rises to three times the mean within two seconds, above what the engines carry. */
    CREST("crest", 0.5),

    /** A quarter of the engines is slowed five times for 1 to 5 s at a time. */
    STRAGGLERS("stragglers", 0.5),

    /** One request crashes each engine that runs it, and its caller sends it again and again. */
    POISON("poison", 0.4),

    /** One instance is killed and restarted, another one is paused and resumed. */
    INSTANCE_LOSS("instance-loss", 0.4),
    ;

    /** Returns the demand over [duration] for a mean of [perSecond]. */
    public fun demand(perSecond: Double, duration: Duration): Demand = when (this) {
        CREST -> Demand.Crest(perSecond, start = duration / CREST_PARTS, top = duration / CREST_PARTS)
        else -> Demand.Steady(perSecond)
    }

    private companion object {
        const val CREST_PARTS = 4
    }
}

/** Slows [engines] from [start] for [duration]. */
internal data class Slowdown(val start: Duration, val duration: Duration, val engines: List<String>)

/** Draws the slowdowns of a run; the same seed gives the same ones for every policy. */
internal fun drawSlowdowns(engines: List<String>, total: Duration, seed: Long): List<Slowdown> {
    val random = SplittableRandom(seed)
    val slowdowns = mutableListOf<Slowdown>()
    var start = FIRST_SLOWDOWN
    while (start < total) {
        val duration = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS + 1).milliseconds
        val order = engines.map { it to random.nextLong() }.sortedBy { it.second }.map { it.first }
        slowdowns += Slowdown(start, duration, order.take((engines.size + QUARTER - 1) / QUARTER))
        start += duration + random.nextLong(LONGEST_PAUSE_MILLIS).milliseconds
    }
    return slowdowns
}

internal const val SLOWDOWN_FACTOR: Double = 5.0
private val FIRST_SLOWDOWN = 500.milliseconds
private const val SHORTEST_MILLIS = 1_000L
private const val LONGEST_MILLIS = 5_000L
private const val LONGEST_PAUSE_MILLIS = 1_000L
private const val QUARTER = 4
