/*
 * Decides which prefill results and decode streams of an engine are orphaned, so that they are cancelled.
 */
package org.arbutusnotch.daemon.backend

import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.telemetry.CancellationReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Describes engine memory that no request needs any longer. */
internal data class OrphanedAllocation(val allocation: EngineAllocation, val reason: CancellationReason)

/** Tracks since when each holder has been unreachable and each attempt unreported. */
internal class OrphanDetector {
    private val unreachableSince = HashMap<InstanceId, Timestamp>()
    private val unreportedSince = HashMap<AttemptId, Timestamp>()

    /**
     * Returns those of [allocations] that are orphaned at [now], each with the reason.
     *
     * @param reportedAttempts attempts whose progress an entry reports to this slot owner
     */
    fun findOrphans(
        allocations: List<EngineAllocation>,
        reportedAttempts: Set<AttemptId>,
        instances: InstanceTable,
        now: Timestamp,
    ): List<OrphanedAllocation> {
        unreachableSince.values.removeIf { now - it > OBSERVATION_RETENTION }
        unreportedSince.values.removeIf { now - it > OBSERVATION_RETENTION }
        unreportedSince.keys.removeAll(reportedAttempts)
        return allocations.mapNotNull { allocation ->
            orphanReason(allocation, reportedAttempts, instances, now)?.let { OrphanedAllocation(allocation, it) }
        }
    }

    private fun orphanReason(
        allocation: EngineAllocation,
        reportedAttempts: Set<AttemptId>,
        instances: InstanceTable,
        now: Timestamp,
    ): CancellationReason? {
        val holder = InstanceId(allocation.instance, allocation.incarnation)
        return when {
            now - allocation.deadline > DEADLINE_MARGIN -> CancellationReason.PAST_DEADLINE
            instances.isReplaced(holder) -> CancellationReason.TERMINATED_INCARNATION
            isUnreachable(holder, instances, now) -> CancellationReason.TERMINATED_INCARNATION
            isUnreported(allocation, reportedAttempts, now) -> CancellationReason.CALLER_GONE
            else -> null
        }
    }

    /**
     * A reachable holder reports every running attempt several times a second. An attempt that it does not report was
     * cancelled, but the cancellation reached the engine before the request.
     */
    private fun isUnreported(allocation: EngineAllocation, reportedAttempts: Set<AttemptId>, now: Timestamp): Boolean {
        if (allocation.attempt in reportedAttempts) return false
        return now - unreportedSince.getOrPut(allocation.attempt) { now } > UNREPORTED_LIMIT
    }

    /**
     * An unreachable holder may still run behind a network partition. Its stream then resumes elsewhere, which only
     * costs efficiency. The memory of a crashed holder must not stay allocated until the deadline of a long stream.
     */
    private fun isUnreachable(holder: InstanceId, instances: InstanceTable, now: Timestamp): Boolean {
        val known = instances.find(holder.address)
        if (known != null && known.reachable && known.instance == holder) {
            unreachableSince.remove(holder)
            return false
        }
        val since = unreachableSince.getOrPut(holder) { now }
        return now - since > UNREACHABLE_LIMIT
    }

    private companion object {
        /** Leaves time for the cancellation by the holder itself to arrive. */
        val DEADLINE_MARGIN: Duration = 1.seconds
        val UNREACHABLE_LIMIT: Duration = 4.seconds
        val UNREPORTED_LIMIT: Duration = 4.seconds
        val OBSERVATION_RETENTION: Duration = 60.seconds
    }
}
