/*
 * Tracks the health of a backend server by the outcomes of its requests.
 *
 * A server that is unreachable or stops responding gets no work until a pause has ended, then one request at a time
 * until one completes. A server whose answers fail or break far more often than those of its peers also gets one
 * request at a time, separately for each failure domain of callers, because a fault may affect only some of them.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tells how much work a server may get. */
public enum class Admission {
    /** As many requests as it has places for. */
    FULL,

    /** One request at a time. */
    PROBE,

    /** No requests. */
    NONE,
}

internal class ServerHealth {
    private var consecutiveFaults = 0
    private var pausedUntil = Timestamp(0)

    /** Whether the server has answered since it was last found unreachable or unresponsive. */
    val isReachable: Boolean
        get() = consecutiveFaults == 0
    private val failureShares = HashMap<FailureDomainId, FailureShare>()

    fun record(outcome: PlaceOutcome, callerDomain: FailureDomainId, now: Timestamp) {
        when (outcome) {
            PlaceOutcome.COMPLETED -> {
                consecutiveFaults = 0
                pausedUntil = Timestamp(0)
                share(callerDomain).observe(failed = false, now)
            }

            PlaceOutcome.SERVER_FAILED -> share(callerDomain).observe(failed = true, now)

            PlaceOutcome.BROKEN -> share(callerDomain).observe(failed = true, now)

            PlaceOutcome.UNREACHABLE, PlaceOutcome.SILENT -> {
                consecutiveFaults += 1
                pausedUntil = now + pauseDuration()
            }

            PlaceOutcome.NOT_RUN, PlaceOutcome.UNUSED -> Unit
        }
    }

    /** Returns how much work callers of [domain] may send; [medianFailureShare] is the median of the server's stage. */
    fun admission(domain: FailureDomainId, medianFailureShare: Double, now: Timestamp): Admission = when {
        now < pausedUntil -> Admission.NONE
        consecutiveFaults > 0 -> Admission.PROBE
        share(domain).isAbove(medianFailureShare + TOLERATED_EXCESS, now) -> Admission.PROBE
        else -> Admission.FULL
    }

    fun failureShare(domain: FailureDomainId): Double = share(domain).value

    private fun share(domain: FailureDomainId) = failureShares.getOrPut(domain) { FailureShare() }

    private fun pauseDuration(): Duration =
        minOf(FIRST_PAUSE * (1 shl minOf(consecutiveFaults - 1, MAXIMUM_DOUBLINGS)), MAXIMUM_PAUSE)

    private class FailureShare {
        var value = 0.0
        private var samples = 0
        private var observedAt = Timestamp(0)

        fun observe(failed: Boolean, now: Timestamp) {
            if (now - observedAt > FAILURE_WINDOW) samples = 0
            if (samples == 0) value = 0.0
            value += SAMPLE_WEIGHT * ((if (failed) 1.0 else 0.0) - value)
            samples += 1
            observedAt = now
        }

        fun isAbove(limit: Double, now: Timestamp) =
            samples >= MINIMUM_SAMPLES && value > limit && now - observedAt <= FAILURE_WINDOW
    }

    private companion object {
        /** Pause after the first fault; longer than the delay that one lost packet causes. */
        val FIRST_PAUSE = 400.milliseconds
        val MAXIMUM_PAUSE = 2.seconds
        const val MAXIMUM_DOUBLINGS = 4

        /** Time after which earlier answers no longer count. */
        val FAILURE_WINDOW = 4.seconds
        const val SAMPLE_WEIGHT = 0.2
        const val MINIMUM_SAMPLES = 4

        /** Excess over the median failure share above which a server gets only probes. */
        const val TOLERATED_EXCESS = 0.25
    }
}
