/*
 * Detects late prefills and decides when to start a second one on another server.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Monitors one prefill.
 *
 * @property startedAt time at which the prefill was sent
 * @property predictedEnd time at which it is predicted to finish
 * @property lateAt time from which it counts as late
 */
public data class PrefillMonitor(
    public val startedAt: Timestamp,
    public val predictedEnd: Timestamp,
    public val lateAt: Timestamp,
) {
    /** Returns whether the prefill is late at [now]. */
    public fun isLate(now: Timestamp): Boolean = now >= lateAt

    /**
     * Decides whether to start a second prefill at [now]: only if the first is late and the second, which takes
     * [secondPrefillTime], can finish by [deadline].
     */
    public fun decide(now: Timestamp, secondPrefillTime: Duration, deadline: Timestamp): PrefillAction = when {
        !isLate(now) -> PrefillAction.Wait
        now + secondPrefillTime > deadline -> PrefillAction.Wait
        else -> PrefillAction.StartSecondPrefill
    }

    public companion object {
        /** A prefill that runs at a fifth of its predicted speed has most of its work left when it counts as late. */
        private const val LATE_FACTOR = 1.5

        private val MINIMUM_LATENESS: Duration = 30.milliseconds

        /** Returns the time after which a prefill that was predicted to take [predicted] counts as late. */
        public fun lateThreshold(predicted: Duration): Duration =
            maxOf(predicted * LATE_FACTOR, predicted + MINIMUM_LATENESS)

        /** Creates the monitor of a prefill that is sent at [now] and predicted to take [predicted]. */
        public fun start(predicted: Duration, now: Timestamp): PrefillMonitor =
            PrefillMonitor(now, now + predicted, now + lateThreshold(predicted))
    }
}

/** Represents the action to take on a running prefill. */
public sealed class PrefillAction {
    /** Keeps waiting for the first prefill. */
    public data object Wait : PrefillAction()

    /** Starts the prefill on another server as well; the slower of the two is cancelled. */
    public data object StartSecondPrefill : PrefillAction()
}
