/*
 * Spaces the runs for an engine that has rejected one.
 *
 * An engine that rejects a run has less capacity than its dispatcher assumes: another dispatcher has placed runs there,
 * or has ordered it to change its stage and stopped before the next one learned of it. Such an engine rejects for
 * seconds, and each rejected run has had its prompt processed for nothing.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.time.backoff
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tracks the rejections of one engine. */
internal class RejectionBackoff {
    private var consecutiveRejections = 0
    private var lastRejectedAt = Timestamp(0)
    private var closedUntil = Timestamp(0)

    /** Whether the engine may get a run at [now]. */
    fun admits(now: Timestamp): Boolean = now >= closedUntil

    /** Records a rejection; each further one doubles the time without runs. */
    fun recordRejection(now: Timestamp) {
        if (now >= lastRejectedAt + MEMORY) consecutiveRejections = 0
        closedUntil = maxOf(closedUntil, now + FIRST_PAUSE.backoff(consecutiveRejections, MAXIMUM_PAUSE))
        consecutiveRejections += 1
        lastRejectedAt = now
    }

    /** Records that a run was placed; after a rejection, the next one waits until it shows whether it is accepted. */
    fun recordPlacement(now: Timestamp) {
        if (consecutiveRejections > 0 && now < lastRejectedAt + MEMORY) closedUntil = now + DECISION_TIME
    }

    /** Records the completion of a run that was placed at [placedAt]. */
    fun recordCompletion(placedAt: Timestamp) {
        if (placedAt <= lastRejectedAt) return
        consecutiveRejections = 0
        closedUntil = Timestamp(0)
    }

    private companion object {
        val FIRST_PAUSE = 300.milliseconds
        val MAXIMUM_PAUSE = 2_400.milliseconds

        /** Time in which a run reaches its engine: it is sent there only after its prompt was processed elsewhere. */
        val DECISION_TIME = 600.milliseconds

        /** Time without a rejection after which earlier ones are forgotten. */
        val MEMORY = 4.seconds
    }
}
