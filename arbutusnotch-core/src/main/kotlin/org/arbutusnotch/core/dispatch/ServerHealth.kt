/*
 * Tracks the health of a backend server by the outcomes of its requests.
 *
 * Whether a server is reachable is a fact of the path between an instance and the server. An instance that finds it
 * unreachable or silent gets no place there until a pause has ended, then one at a time until one completes. The same
 * holds for all instances once two of them agree and no other one has had an answer since.
 *
 * A server whose answers fail or break far more often than those of its peers also gets one request at a time,
 * separately for each failure domain of callers, because a fault may affect only some of them. After each failure it
 * gets none for a time that doubles from failure to failure: a server that fails at once is always free for the next
 * request, which another server would answer.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.time.backoff
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
    /** Paths on which the server was found unreachable or silent; null stands for an instance that is not known. */
    private val faultyPaths = LinkedHashMap<InstanceAddress?, FaultyPath>()

    /** Whether the server has answered since it was last found unreachable or unresponsive. */
    val isReachable: Boolean
        get() = suspicions().isEmpty()
    private val failureShares = HashMap<FailureDomainId, FailureShare>()

    /** Records the [outcome] of a request of [holder] for a caller in [callerDomain]. */
    fun record(outcome: PlaceOutcome, holder: InstanceAddress?, callerDomain: FailureDomainId, now: Timestamp) {
        when (outcome) {
            PlaceOutcome.COMPLETED -> {
                faultyPaths.remove(holder)
                faultyPaths.values.forEach { it.othersReachServer = true }
                share(callerDomain).observe(failed = false, now)
            }

            PlaceOutcome.SERVER_FAILED -> share(callerDomain).observe(failed = true, now)

            PlaceOutcome.BROKEN -> share(callerDomain).observe(failed = true, now)

            PlaceOutcome.UNREACHABLE, PlaceOutcome.SILENT -> {
                faultyPaths.values.removeIf { now >= it.pausedUntil + FAULT_LIFETIME }
                faultyPaths.getOrPut(holder) { FaultyPath() }.recordFault(now)
            }

            PlaceOutcome.NOT_RUN, PlaceOutcome.UNUSED -> Unit
        }
    }

    /**
     * Returns how much work [holder] may send for callers of [domain]; [medianFailureShare] is the median of the
     * server's stage.
     */
    fun admission(
        holder: InstanceAddress,
        domain: FailureDomainId,
        medianFailureShare: Double,
        now: Timestamp,
    ): Admission {
        val shared = suspicions().takeIf { it.size >= AGREEING_INSTANCES }.orEmpty()
        val pausedUntil = (shared + listOfNotNull(faultyPaths[holder])).maxOfOrNull { it.pausedUntil }
        return when {
            pausedUntil != null -> if (now < pausedUntil) Admission.NONE else Admission.PROBE
            else -> share(domain).admission(medianFailureShare, now)
        }
    }

    /** Whether callers of [domain] have seen far more failures than [medianFailureShare], the median of the stage. */
    fun failsTooOften(domain: FailureDomainId, medianFailureShare: Double, now: Timestamp): Boolean =
        failureShares[domain]?.isAbove(medianFailureShare, now) ?: false

    /** Failure domains whose callers have seen failures, as far as these are remembered. */
    val domainsWithFailures: Set<FailureDomainId>
        get() = failureShares.filterValues { it.value > 0 }.keys

    fun failures(domain: FailureDomainId): FailureSummary = share(domain).summary()

    /** Whether the path of any instance to the server is faulty. */
    val hasFaultyPaths: Boolean
        get() = faultyPaths.isNotEmpty()

    /** Whether the latest request of [holder] did not reach the server or got no answer. */
    fun isPathFaulty(holder: InstanceAddress): Boolean = holder in faultyPaths

    /** Whether [holder] does not reach the server although other instances do. */
    fun isPathDown(holder: InstanceAddress): Boolean = faultyPaths[holder]?.othersReachServer ?: false

    /** Whether the pause of the path of [holder] has ended. */
    fun mayTryPath(holder: InstanceAddress, now: Timestamp): Boolean =
        faultyPaths[holder].let { it == null || now >= it.pausedUntil }

    /** Returns the faulty paths that may be due to the server, since nobody else has had an answer since. */
    private fun suspicions(): List<FaultyPath> = faultyPaths.values.filterNot { it.othersReachServer }

    fun failureShare(domain: FailureDomainId): Double = share(domain).value

    private fun share(domain: FailureDomainId) = failureShares.getOrPut(domain) { FailureShare() }

    private class FaultyPath {
        private var consecutiveFaults = 0
        var pausedUntil = Timestamp(0)
            private set

        /** Whether another instance has had an answer since the first fault, so that the path is at fault. */
        var othersReachServer = false

        fun recordFault(now: Timestamp) {
            pausedUntil = now + FIRST_PAUSE.backoff(consecutiveFaults, MAXIMUM_PAUSE)
            consecutiveFaults += 1
        }
    }

    private class FailureShare {
        var value = 0.0
        private var samples = 0
        private var observedAt = Timestamp(0)
        private var consecutiveFailures = 0

        /** Time before which a server that fails too often gets no request. */
        private var nextProbeAt = Timestamp(0)

        fun observe(failed: Boolean, now: Timestamp) {
            if (isForgotten(now)) samples = 0
            if (samples == 0) value = 0.0
            value += SAMPLE_WEIGHT * ((if (failed) 1.0 else 0.0) - value)
            samples += 1
            observedAt = now
            nextProbeAt = if (failed) now + FIRST_PROBE_INTERVAL.backoff(consecutiveFailures, MAXIMUM_PAUSE) else now
            consecutiveFailures = if (failed) consecutiveFailures + 1 else 0
        }

        /** Whether the share is known and exceeds [median], that of the stage, by more than is tolerated. */
        fun isAbove(median: Double, now: Timestamp): Boolean =
            samples >= MINIMUM_SAMPLES && value > median + TOLERATED_EXCESS && !isForgotten(now)

        /** Whether the answers are too old to tell how the server is; a failure counts for longer than an answer. */
        private fun isForgotten(now: Timestamp): Boolean =
            now - observedAt > if (consecutiveFailures > 0) FAULT_LIFETIME else FAILURE_WINDOW

        /** Returns how much work the server may get, given the [median] share of the stage. */
        fun admission(median: Double, now: Timestamp): Admission = when {
            !isAbove(median, now) -> Admission.FULL
            now < nextProbeAt -> Admission.NONE
            else -> Admission.PROBE
        }

        fun summary() = FailureSummary(value, samples, answeredAt = observedAt, nextProbeAt)
    }

    private companion object {
        /** Pause after the first fault; longer than the delay that one lost packet causes. */
        val FIRST_PAUSE = 400.milliseconds

        /** Pause after a single failure; short, so that a server that loses some of its answers goes on working. */
        val FIRST_PROBE_INTERVAL = 50.milliseconds

        /** Time after which a server that has recovered gets a request at the latest. */
        val MAXIMUM_PAUSE = 2.seconds

        /** Instances that must find a server unreachable before it counts as that for all. */
        const val AGREEING_INSTANCES = 2

        /**
         * Time for which a fault is remembered if no request follows; for a faulty path, after its pause. Until then a
         * request at a time shows whether it has ended, which costs a server that has recovered little.
         */
        val FAULT_LIFETIME = 10.seconds

        /** Time after which earlier answers no longer count if the latest one did not fail. */
        val FAILURE_WINDOW = 4.seconds
        const val SAMPLE_WEIGHT = 0.2
        const val MINIMUM_SAMPLES = 4

        /** Excess over the median failure share above which a server gets only probes. */
        const val TOLERATED_EXCESS = 0.25
    }
}
