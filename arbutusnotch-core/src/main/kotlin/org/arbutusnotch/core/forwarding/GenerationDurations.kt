/*
 * Observes how long generations take, to predict whether another one ends within the time that is left.
 *
 * Routes of one pool share its engines, so a route with little traffic is predicted from the generations of all routes.
 * The lengths of generations differ widely: what the engines have in common is the time for each token.
 *
 * There are two predictions. The expected duration follows the caller's estimate of the length. However often estimates
 * were right, the next one may be off by any factor, so it bounds nothing. The longest duration follows the declared
 * maximum and the time between events, which does not depend on what callers declare.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.collection.RecentValues
import org.arbutusnotch.core.id.PoolId
import kotlin.time.Duration

/**
 * Holds the length of a generation as its caller declares it, in tokens.
 *
 * @property estimate length that the caller expects; null if it declares none
 * @property maximum maximum length; 0 if none is declared
 */
public data class DeclaredLength(public val estimate: Int?, public val maximum: Int) {
    /** Length to plan with: the estimate, or the maximum without one. It is not a bound. */
    public val expected: Int
        get() = estimate?.coerceAtMost(maximum) ?: maximum
}

/**
 * Describes a generation that has ended.
 *
 * @property promptTokens declared length of the prompt
 * @property events number of events that were received, each of which contains one token or more
 * @property firstEventAfter time from the arrival of the request to its first event
 * @property elapsed time from the arrival of the request to its end
 */
public data class GenerationObservation(
    public val promptTokens: Int,
    public val length: DeclaredLength,
    public val events: Int,
    public val firstEventAfter: Duration,
    public val elapsed: Duration,
)

public class GenerationDurations {
    private val recent = RecentValues<PoolId, GenerationObservation>(MAXIMUM_POOLS, OBSERVATIONS)

    /** Records a generation in [pool]. One without a declared length tells nothing about others. */
    public fun record(pool: PoolId, observation: GenerationObservation) {
        if (observation.length.expected > 0) recent.add(pool, observation)
    }

    /**
     * Returns how long a generation in [pool] of [length] may take if its estimate is as good as those of others and
     * its first event is expected within [objective]. Null when that is not known, because it declares no length or few
     * have ended yet.
     */
    public fun expected(pool: PoolId, length: DeclaredLength, objective: Duration): Duration? {
        val observations = recent[pool]
        if (observations.size < MINIMUM_OBSERVATIONS || length.expected <= 0) return null
        val firstEventAfter = maxOf(objective, observations.maxOf { it.firstEventAfter })
        val timePerToken = observations.maxOf { it.timeAfterFirstEvent / it.length.expected }
        return firstEventAfter + timePerToken * length.expected * HEADROOM
    }

    /**
     * Returns how long a generation in [pool] takes at most, from the time when it has a place, that has a
     * prompt of [promptTokens] tokens and the maximum of [length]. Its first event is expected within [objective] if
     * only shorter prompts were observed. Null when that is not known, because it declares no maximum or few have ended
     * yet.
     */
    public fun longest(pool: PoolId, promptTokens: Int, length: DeclaredLength, objective: Duration): Duration? {
        // A single event shows no time between events.
        val observations = recent[pool].filter { it.events > 1 }
        if (observations.size < MINIMUM_OBSERVATIONS || length.maximum <= 0) return null
        val hasLongerPrompt = observations.any { it.promptTokens >= promptTokens }
        // The longest ones have waited for a place. A shutdown sends a generation only while the whole time is left.
        val firstEventAfter = maxOf(
            if (hasLongerPrompt) Duration.ZERO else objective,
            observations.map { it.firstEventAfter }.sorted()[observations.size / 2],
        )
        val timePerEvent = observations.maxOf { it.timeAfterFirstEvent / (it.events - 1) }
        return firstEventAfter + timePerEvent * (length.maximum / tokensPerEvent(observations)) * LENGTH_HEADROOM
    }

    /**
     * Returns a low value of the tokens that an event contains: the lower quartile by the estimates, which are right at
     * the median. An observed generation that would exceed its maximum shows that events contain fewer tokens.
     */
    private fun tokensPerEvent(observations: List<GenerationObservation>): Double {
        val byEstimate = observations
            .mapNotNull { observation -> observation.length.estimate?.let { it.toDouble() / observation.events } }
            .sorted()
        if (byEstimate.size < MINIMUM_OBSERVATIONS) return 1.0
        val byMaximum = observations.minOf { it.length.maximum.toDouble() / it.events }
        return minOf(byEstimate[byEstimate.size / QUARTERS - 1], byMaximum).coerceAtLeast(1.0)
    }

    private val GenerationObservation.timeAfterFirstEvent: Duration
        get() = elapsed - firstEventAfter

    private companion object {
        /** Latest generations of a pool that are considered. */
        const val OBSERVATIONS = 16

        /** Fewer generations do not show how far the estimates are off or how slow an engine may be. */
        const val MINIMUM_OBSERVATIONS = 8
        const val QUARTERS = 4

        /** Limit of observed pools; those of removed configurations are evicted first. */
        const val MAXIMUM_POOLS = 256

        /** Engines generate more slowly the more they run at once, as while other instances stop too. */
        const val HEADROOM = 1.25

        /** The same beside the slowest of the latest generations if the length is a maximum, which few reach. */
        const val LENGTH_HEADROOM = 1.1
    }
}
