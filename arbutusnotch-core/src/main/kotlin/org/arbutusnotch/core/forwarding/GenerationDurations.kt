/*
 * Observes how long generations take, to predict whether another one ends within the time that is left.
 *
 * Routes of one pool share its engines, so a route with little traffic is predicted from the generations of all routes.
 * The lengths of generations differ widely: what the engines have in common is the time for each token.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.collection.RecentValues
import org.arbutusnotch.core.id.PoolId
import kotlin.time.Duration

public class GenerationDurations {
    private val recent = RecentValues<PoolId, Observation>(keyLimit = MAXIMUM_POOLS, valueLimit = OBSERVATIONS)

    /**
     * Records that a generation in [pool] that declared [outputTokens] tokens was answered after [elapsed], with its
     * first event after [firstEventAfter]. A generation without a declared length tells nothing about others.
     */
    public fun record(pool: PoolId, outputTokens: Int, firstEventAfter: Duration, elapsed: Duration) {
        if (outputTokens <= 0) return
        recent.add(pool, Observation(firstEventAfter, perToken = (elapsed - firstEventAfter) / outputTokens))
    }

    /**
     * Returns how long a generation in [pool] that declares [outputTokens] tokens may take if its first event is
     * expected within [objective]; null when that is not known, because it declares no length or few have ended yet.
     */
    public fun expected(pool: PoolId, outputTokens: Int, objective: Duration): Duration? {
        val observations = recent[pool]
        if (observations.size < MINIMUM_OBSERVATIONS || outputTokens <= 0) return null
        val firstEventAfter = maxOf(objective, observations.maxOf { it.firstEventAfter })
        return firstEventAfter + observations.maxOf { it.perToken } * outputTokens * HEADROOM
    }

    private class Observation(val firstEventAfter: Duration, val perToken: Duration)

    private companion object {
        /** Latest generations of a pool that are considered. */
        const val OBSERVATIONS = 16

        /** Fewer generations do not show how far the declared lengths are off. */
        const val MINIMUM_OBSERVATIONS = 8

        /** Limit of observed pools; those of removed configurations are evicted first. */
        const val MAXIMUM_POOLS = 256

        /** Engines generate more slowly the more they run at once, as while other instances stop too. */
        const val HEADROOM = 1.25
    }
}
