/*
 * Open-loop arrivals: every request has its arrival time before the load starts, whatever the answers take.
 */
package org.arbutusnotch.testing.load

import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Is a request with its arrival, counted from the start of the load. */
public class ScheduledRequest(public val number: Long, public val arrival: Duration, public val request: PlannedRequest)

/** Describes requests per second over time. */
public sealed class Demand {
    /** Highest rate at any time. */
    public abstract val highest: Double

    /** Returns requests per second at [time]. */
    public abstract fun at(time: Duration): Double

    /** Keeps one rate. */
    public data class Steady(public val perSecond: Double) : Demand() {
        override val highest: Double get() = perSecond

        override fun at(time: Duration): Double = perSecond
    }

    /** Rises from [perSecond] to [factor] times as much within [rise], stays there for [top], and falls as fast. */
    public data class Crest(
        public val perSecond: Double,
        public val start: Duration,
        public val top: Duration,
        public val factor: Double = 3.0,
        public val rise: Duration = 2.seconds,
    ) : Demand() {
        override val highest: Double get() = perSecond * factor

        override fun at(time: Duration): Double {
            val rising = ((time - start) / rise).coerceIn(0.0, 1.0)
            val falling = ((time - start - rise - top) / rise).coerceIn(0.0, 1.0)
            return perSecond * (1 + (factor - 1) * (rising - falling))
        }
    }
}

/** Holds the arrivals of one load. */
public class LoadPlan(public val requests: List<ScheduledRequest>) {
    public companion object {
        /** Draws Poisson arrivals of [mix] over [duration]; the same [seed] gives the same plan. */
        public fun draw(mix: RequestMix, demand: Demand, duration: Duration, seed: Long): LoadPlan {
            val random = SplittableRandom(seed)
            val requests = mutableListOf<ScheduledRequest>()
            var time = Duration.ZERO
            while (true) {
                time += (-ln(1 - random.nextDouble()) / demand.highest).seconds
                if (time >= duration) return LoadPlan(requests)
                // Thinning: arrivals at the highest rate are kept in proportion to the rate of the moment.
                if (random.nextDouble() * demand.highest < demand.at(time)) {
                    val number = seed * NUMBERS_PER_SEED + requests.size
                    requests += ScheduledRequest(number, time, mix.draw(random, number))
                }
            }
        }

        private const val NUMBERS_PER_SEED = 1_000_000L
    }
}
