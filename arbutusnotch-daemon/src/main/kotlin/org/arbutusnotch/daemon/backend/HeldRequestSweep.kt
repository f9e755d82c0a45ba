/*
 * Decides which prefill results and decode streams of an engine belong to nobody any more.
 */
package org.arbutusnotch.daemon.backend

import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.telemetry.HeldCancellation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Describes an entry of an engine's list that nobody waits for. */
internal data class CancelledRequest(val request: HeldRequest, val reason: HeldCancellation)

/** Remembers since when each holder has been unreachable. */
internal class HeldRequestSweep {
    private val unreachableSince = HashMap<InstanceId, Timestamp>()
    private val unreportedSince = HashMap<AttemptId, Timestamp>()

    /**
     * Returns the entries of [held] that are to be cancelled at [now], each with its reason.
     *
     * @param reported attempts whose entries report progress to this owner
     */
    fun toCancel(
        held: List<HeldRequest>,
        reported: Set<AttemptId>,
        instances: InstanceTable,
        now: Timestamp,
    ): List<CancelledRequest> {
        unreachableSince.values.removeIf { now - it > FORGET_AFTER }
        unreportedSince.values.removeIf { now - it > FORGET_AFTER }
        unreportedSince.keys.removeAll(reported)
        return held.mapNotNull { request ->
            reason(request, reported, instances, now)?.let { CancelledRequest(request, it) }
        }
    }

    private fun reason(
        request: HeldRequest,
        reported: Set<AttemptId>,
        instances: InstanceTable,
        now: Timestamp,
    ): HeldCancellation? {
        val holder = InstanceId(request.instance, request.incarnation)
        return when {
            now - request.deadline > DEADLINE_MARGIN -> HeldCancellation.PAST_DEADLINE
            instances.isReplaced(holder) -> HeldCancellation.TERMINATED_INCARNATION
            isGone(holder, instances, now) -> HeldCancellation.TERMINATED_INCARNATION
            isAbandoned(request, reported, now) -> HeldCancellation.CALLER_GONE
            else -> null
        }
    }

    /**
     * A reachable holder reports every running attempt several times a second. An attempt that it does not report was
     * cancelled, and the cancellation arrived before the request that it should have ended.
     */
    private fun isAbandoned(request: HeldRequest, reported: Set<AttemptId>, now: Timestamp): Boolean {
        if (request.attempt in reported) return false
        return now - unreportedSince.getOrPut(request.attempt) { now } > UNREPORTED_LIMIT
    }

    /**
     * An unreachable holder may be alive behind a partition; its stream then resumes elsewhere, which costs efficiency
     * only. Memory of a dead holder must not wait for the deadline of a long stream.
     */
    private fun isGone(holder: InstanceId, instances: InstanceTable, now: Timestamp): Boolean {
        val known = instances.find(holder.address)
        if (known != null && known.reachable && known.instance == holder) {
            unreachableSince.remove(holder)
            return false
        }
        val since = unreachableSince.getOrPut(holder) { now }
        return now - since > UNREACHABLE_LIMIT
    }

    private companion object {
        /** Time for the holder's own cancellation to arrive. */
        val DEADLINE_MARGIN: Duration = 1.seconds
        val UNREACHABLE_LIMIT: Duration = 4.seconds
        val UNREPORTED_LIMIT: Duration = 4.seconds
        val FORGET_AFTER: Duration = 60.seconds
    }
}
