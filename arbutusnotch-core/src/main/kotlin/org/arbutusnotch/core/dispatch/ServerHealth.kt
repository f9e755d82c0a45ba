/*
 * What the answers of a backend server say about its health.
 *
 * A server that cannot be reached, falls silent or breaks its answers gets no work until a pause has ended, then one
 * request at a time until one completes. A server that answers with failures far more often than its peers is treated
 * alike, separately for each failure domain of callers, because a fault may concern only some of them.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Names how much work a server may get. */
public enum class Admission {
    /** As much as it has places. */
    FULL,

    /** One request at a time. */
    PROBE,

    /** None. */
    NONE,
}

internal class ServerHealth {
    private var faults = 0
    private var pausedUntil = Timestamp(0)

    /** Whether the server has answered since it was last found unreachable or silent. */
    val isReachable: Boolean
        get() = faults == 0
    private val failureShares = HashMap<FailureDomainId, FailureShare>()

    fun record(outcome: PlaceOutcome, callerDomain: FailureDomainId, now: Timestamp) {
        when (outcome) {
            PlaceOutcome.COMPLETED -> {
                faults = 0
                pausedUntil = Timestamp(0)
                share(callerDomain).observe(failed = false, now)
            }

            PlaceOutcome.SERVER_FAILED -> share(callerDomain).observe(failed = true, now)

            PlaceOutcome.BROKEN -> share(callerDomain).observe(failed = true, now)

            PlaceOutcome.UNREACHABLE, PlaceOutcome.SILENT -> {
                faults += 1
                pausedUntil = now + pause()
            }

            PlaceOutcome.NOT_RUN, PlaceOutcome.UNUSED -> Unit
        }
    }

    /** Returns how much work callers of [domain] may send; [usualShare] is the failure share of the pool. */
    fun admission(domain: FailureDomainId, usualShare: Double, now: Timestamp): Admission = when {
        now < pausedUntil -> Admission.NONE
        faults > 0 -> Admission.PROBE
        share(domain).isAbove(usualShare + TOLERATED_EXCESS, now) -> Admission.PROBE
        else -> Admission.FULL
    }

    fun failureShare(domain: FailureDomainId): Double = share(domain).value

    private fun share(domain: FailureDomainId) = failureShares.getOrPut(domain) { FailureShare() }

    private fun pause(): Duration = minOf(FIRST_PAUSE * (1 shl minOf(faults - 1, MAXIMUM_DOUBLINGS)), LONGEST_PAUSE)

    private class FailureShare {
        var value = 0.0
        private var samples = 0
        private var observedAt = Timestamp(0)

        fun observe(failed: Boolean, now: Timestamp) {
            if (now - observedAt > MEMORY) samples = 0
            if (samples == 0) value = 0.0
            value += WEIGHT * ((if (failed) 1.0 else 0.0) - value)
            samples += 1
            observedAt = now
        }

        fun isAbove(limit: Double, now: Timestamp) =
            samples >= MINIMUM_SAMPLES && value > limit && now - observedAt <= MEMORY
    }

    private companion object {
        /** Pause after the first fault; longer than the gap that one lost packet causes. */
        val FIRST_PAUSE = 400.milliseconds
        val LONGEST_PAUSE = 2.seconds
        const val MAXIMUM_DOUBLINGS = 4

        /** Time after which answers say nothing about the present. */
        val MEMORY = 4.seconds
        const val WEIGHT = 0.2
        const val MINIMUM_SAMPLES = 4

        /** Failure share above that of the pool at which a server gets only probes. */
        const val TOLERATED_EXCESS = 0.25
    }
}
