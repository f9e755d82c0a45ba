/*
 * Open-loop arrivals: every arrival time is drawn before the load starts and does not depend on response times.
 */
package org.arbutusnotch.testing.load

import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Represents a request with its arrival time.
 *
 * @property number number of the request, part of its idempotency token
 * @property arrival time from the start of the load to the arrival
 */
public class ScheduledRequest(public val number: Long, public val arrival: Duration, public val request: PlannedRequest)

/** Describes the request rate of a load over time. */
public sealed class Demand {
    /** Highest rate, in requests per second. */
    public abstract val peakRate: Double

    /** Returns the rate at [time] from the start of the load, in requests per second. */
    public abstract fun rateAt(time: Duration): Double

    /** Keeps a constant rate. */
    public data class Steady(public val requestsPerSecond: Double) : Demand() {
        override val peakRate: Double get() = requestsPerSecond

        override fun rateAt(time: Duration): Double = requestsPerSecond
    }

    /**
     * Rises at [start] from [requestsPerSecond] to [factor] times that rate within [rampDuration], stays there for
     * [peakDuration], and falls back within [rampDuration].
     */
    public data class Crest(
        public val requestsPerSecond: Double,
        public val start: Duration,
        public val peakDuration: Duration,
        public val factor: Double = 3.0,
        public val rampDuration: Duration = 2.seconds,
    ) : Demand() {
        override val peakRate: Double get() = requestsPerSecond * factor

        override fun rateAt(time: Duration): Double {
            val rampUp = ((time - start) / rampDuration).coerceIn(0.0, 1.0)
            val rampDown = ((time - start - rampDuration - peakDuration) / rampDuration).coerceIn(0.0, 1.0)
            return requestsPerSecond * (1 + (factor - 1) * (rampUp - rampDown))
        }
    }
}

/** Holds the scheduled requests of one load. */
public class LoadPlan(public val requests: List<ScheduledRequest>) {
    public companion object {
        /** Draws Poisson arrivals of [mix] over [duration]; the same [seed] gives the same plan. */
        public fun draw(mix: RequestMix, demand: Demand, duration: Duration, seed: Long): LoadPlan {
            val random = SplittableRandom(seed)
            val requests = mutableListOf<ScheduledRequest>()
            var time = Duration.ZERO
            while (true) {
                time += (-ln(1 - random.nextDouble()) / demand.peakRate).seconds
                if (time >= duration) return LoadPlan(requests)
                // Thinning: of the arrivals at the highest rate, the share that the current rate requires is kept.
                if (random.nextDouble() * demand.peakRate < demand.rateAt(time)) {
                    val number = seed * NUMBERS_PER_SEED + requests.size
                    requests += ScheduledRequest(number, time, mix.draw(random, number))
                }
            }
        }

        private const val NUMBERS_PER_SEED = 1_000_000L
    }
}
