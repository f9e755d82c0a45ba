/*
 * Decides when a running prefill is late and another one is worth its cost.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Watches one prefill.
 *
 * @property startedAt time at which the prefill was sent
 * @property predictedEnd time at which it was expected to end
 * @property lateAt time after which it counts as late
 */
public data class PrefillWatch(
    public val startedAt: Timestamp,
    public val predictedEnd: Timestamp,
    public val lateAt: Timestamp,
) {
    /** Tells whether the prefill is late at [now]. */
    public fun isLate(now: Timestamp): Boolean = now >= lateAt

    /**
     * Decides whether a second prefill that takes [secondTime] is started now: the first is late and the second can end
     * before [deadline].
     */
    public fun decide(now: Timestamp, secondTime: Duration, deadline: Timestamp): PrefillAction = when {
        !isLate(now) -> PrefillAction.Wait
        now + secondTime > deadline -> PrefillAction.Wait
        else -> PrefillAction.StartSecond
    }

    public companion object {
        /** A prefill at five times its predicted time has most of its work left when it counts as late. */
        private const val LATE_FACTOR = 1.5

        private val SHORTEST_DELAY: Duration = 30.milliseconds

        /** Returns the time after which a prefill that was predicted to take [predicted] counts as late. */
        public fun lateAfter(predicted: Duration): Duration = maxOf(predicted * LATE_FACTOR, predicted + SHORTEST_DELAY)

        /** Starts to watch a prefill that is sent at [now] and predicted to take [predicted]. */
        public fun start(predicted: Duration, now: Timestamp): PrefillWatch =
            PrefillWatch(now, now + predicted, now + lateAfter(predicted))
    }
}

/** Describes what is to be done about a running prefill. */
public sealed class PrefillAction {
    /** Nothing is to be done. */
    public data object Wait : PrefillAction()

    /** The prefill is started once more on another server; the slower one is cancelled. */
    public data object StartSecond : PrefillAction()
}
