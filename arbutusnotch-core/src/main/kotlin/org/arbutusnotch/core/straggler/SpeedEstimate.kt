/*
 * A smoothed estimate of the time that a backend server needs for one unit of work.
 */
package org.arbutusnotch.core.straggler

import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.time.Timestamp
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Converts work into the units in which speeds are compared: output tokens for decode, thousands of prompt tokens for
 * prefill, calls for services.
 */
internal object WorkUnits {
    /**
     * Fixed cost of a prefill, in prompt tokens. Without it, the time for 1,000 tokens measured on short prompts would
     * be many times the time measured on long prompts.
     */
    private const val PREFILL_OVERHEAD_TOKENS = 200

    private const val TOKENS_PER_PREFILL_UNIT = 1_000.0

    fun of(kind: ReservationKind, work: Int): Double = when (kind) {
        ReservationKind.DECODE -> work.toDouble()
        ReservationKind.PREFILL -> (work + PREFILL_OVERHEAD_TOKENS) / TOKENS_PER_PREFILL_UNIT
        ReservationKind.SERVICE -> 1.0
    }

    /** Returns the time that [work] takes at [timePerUnit]. */
    fun time(kind: ReservationKind, work: Int, timePerUnit: Duration): Duration = timePerUnit * of(kind, work)
}

/**
 * Estimates the time for one unit of work by exponential smoothing.
 *
 * @param weight fraction of the estimate that one sample replaces, between 0 and 1
 */
internal class SpeedEstimate(private val weight: Double) {
    private var microsPerUnit = 0.0

    /** Number of samples in the estimate. */
    var samples: Int = 0
        private set

    /** Time of the latest sample. */
    var observedAt: Timestamp? = null
        private set

    /** Smoothed time for one unit; null before the first sample. */
    val timePerUnit: Duration?
        get() = if (samples == 0) null else microsPerUnit.microseconds

    /** Adds a measurement of [units] that took [elapsed], with the weight of [count] samples. */
    fun observe(units: Double, elapsed: Duration, count: Int, now: Timestamp) {
        if (units <= 0.0 || count <= 0 || elapsed.isNegative()) return
        val sample = elapsed.inWholeMicroseconds / units
        if (!isFresh(LIFETIME, now)) samples = 0
        microsPerUnit = if (samples == 0) sample else smoothed(sample, count)
        samples += count
        observedAt = now
    }

    /** Returns the estimate that would result from [count] further samples of [sample], without recording them. */
    fun withSamples(sample: Duration, count: Int): Duration =
        if (samples == 0) sample else smoothed(sample.inWholeMicroseconds.toDouble(), count).microseconds

    private fun smoothed(sample: Double, count: Int): Double {
        val oldWeight = (1.0 - weight).pow(count)
        return microsPerUnit * oldWeight + sample * (1.0 - oldWeight)
    }

    /** Returns whether the latest sample is at most [age] old. */
    fun isFresh(age: Duration, now: Timestamp): Boolean = observedAt?.let { now - it <= age } ?: false

    internal companion object {
        /** Age at which samples become obsolete; slowdowns last up to this long. */
        val LIFETIME: Duration = 5.seconds

        /**
         * Weight of one output token. A single interval of five times the normal length leaves the estimate below twice
         * the normal value; two consecutive ones raise it above.
         */
        const val TOKEN_WEIGHT: Double = 0.2

        /** Weight of one prefill or service call, which are rarer than tokens. */
        const val CALL_WEIGHT: Double = 0.4

        fun forKind(kind: ReservationKind): SpeedEstimate =
            SpeedEstimate(if (kind == ReservationKind.DECODE) TOKEN_WEIGHT else CALL_WEIGHT)
    }
}
