/*
 * A smoothed measurement of the time that a backend server needs for one unit of work.
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
     * Prompt tokens that take as long as the fixed cost of a prefill. Without it the time for 1,000 tokens, measured on
     * short prompts, is many times that of long ones.
     */
    private const val PREFILL_OVERHEAD_TOKENS = 200

    private const val TOKENS_PER_PREFILL_UNIT = 1_000.0

    fun of(kind: ReservationKind, work: Int): Double = when (kind) {
        ReservationKind.DECODE -> work.toDouble()
        ReservationKind.PREFILL -> (work + PREFILL_OVERHEAD_TOKENS) / TOKENS_PER_PREFILL_UNIT
        ReservationKind.SERVICE -> 1.0
    }

    /** Returns the time that [work] takes at [perUnit]. */
    fun time(kind: ReservationKind, work: Int, perUnit: Duration): Duration = perUnit * of(kind, work)
}

/**
 * Smooths the time for one unit of work exponentially.
 *
 * @param weight part of the estimate that one sample replaces, between 0 and 1
 */
internal class SpeedEstimate(private val weight: Double) {
    private var microsPerUnit = 0.0

    /** Number of samples observed. */
    var samples: Int = 0
        private set

    /** Time of the latest sample. */
    var observedAt: Timestamp? = null
        private set

    /** The smoothed time for one unit; null before the first sample. */
    val perUnit: Duration?
        get() = if (samples == 0) null else microsPerUnit.microseconds

    /** Adds a measurement of [units] that took [elapsed], with the weight of [count] samples. */
    fun observe(units: Double, elapsed: Duration, count: Int, now: Timestamp) {
        if (units <= 0.0 || count <= 0 || elapsed.isNegative()) return
        val sample = elapsed.inWholeMicroseconds / units
        if (!isFresh(LIFETIME, now)) samples = 0
        microsPerUnit = if (samples == 0) sample else blended(sample, count)
        samples += count
        observedAt = now
    }

    /** Returns the estimate as it would be after [count] further samples of [sample], without recording them. */
    fun with(sample: Duration, count: Int): Duration =
        if (samples == 0) sample else blended(sample.inWholeMicroseconds.toDouble(), count).microseconds

    private fun blended(sample: Double, count: Int): Double {
        val kept = (1.0 - weight).pow(count)
        return microsPerUnit * kept + sample * (1.0 - kept)
    }

    /** Tells whether the latest sample is at most [age] old. */
    fun isFresh(age: Duration, now: Timestamp): Boolean = observedAt?.let { now - it <= age } ?: false

    internal companion object {
        /** Age after which samples say nothing about the present; slowdowns last up to this long. */
        val LIFETIME: Duration = 5.seconds

        /**
         * Weight of one output token. One interval of five times the usual one leaves the estimate below twice the
         * usual value, two in a row raise it above.
         */
        const val TOKEN_WEIGHT: Double = 0.2

        /** Weight of one prefill or service call, which are rarer than tokens. */
        const val CALL_WEIGHT: Double = 0.4

        fun forKind(kind: ReservationKind): SpeedEstimate =
            SpeedEstimate(if (kind == ReservationKind.DECODE) TOKEN_WEIGHT else CALL_WEIGHT)
    }
}
