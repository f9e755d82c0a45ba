/*
 * Explains what a dispatcher would decide about a request, and why.
 *
 * The reasons are derived from [PlaceSelection] itself: a server could take the request if the selection places it
 * while the other servers of the same role are excluded.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/** Names the reason for or against a server. */
public enum class CandidateReason {
    /** The request would run here. */
    SELECTED_FOR_RUN,

    /** The prompt would be prefilled here. */
    SELECTED_FOR_PREFILL,

    /** The server could take the request now, but another one is preferred. */
    OTHER_PREFERRED,

    /** The request needs another software version. */
    OTHER_VERSION,

    /** The server has asked this holder for a pause. */
    PAUSED,

    /** The server, or its path from the holder, has failed recently. */
    UNHEALTHY,

    /** The server limits its requests, and the limit is used up. */
    LIMITED,

    /** The server has just rejected a request. */
    REJECTED_RECENTLY,

    /** The server is switching to another stage. */
    SWITCHING_STAGE,

    /** The server has no free capacity for the request. */
    FULL,
}

/** Explains the role of [server], [placesInUse] of which are taken. */
public data class CandidateExplanation(
    public val server: BackendServer,
    public val placesInUse: Int,
    public val reason: CandidateReason,
)

/** Tells what would happen to a request now. */
public sealed class ExplainedDecision {
    /** The request gets a place at once. */
    public data object Send : ExplainedDecision()

    /** The request waits behind [position] others. */
    public data class Wait(public val position: Int) : ExplainedDecision()

    /** The request is refused for [reason]; a new one is likely to get a place after [retryAfter]. */
    public data class Refuse(public val reason: DispatchRefusal, public val retryAfter: Duration) : ExplainedDecision()
}

/** Explains a [decision] of a dispatcher with [queueLength] waiting requests. */
public data class PlaceExplanation(
    public val decision: ExplainedDecision,
    public val queueLength: Int,
    public val candidates: List<CandidateExplanation>,
)

/** Finds the reasons for and against the [trackedServers] of a pool. */
internal class CandidateExplainer(
    private val trackedServers: Map<BackendServerId, TrackedServer>,
    private val selection: PlaceSelection,
) {
    /** Explains all servers for [entry], which would get [places]; null if it would get none. */
    fun explain(entry: WaitingRequest, places: PlacedRequest?, now: Timestamp): List<CandidateExplanation> =
        trackedServers.values.map {
            CandidateExplanation(it.server, it.places.size, reason(it, entry, places, now))
        }

    private fun reason(
        tracked: TrackedServer,
        entry: WaitingRequest,
        places: PlacedRequest?,
        now: Timestamp,
    ): CandidateReason = when {
        tracked === places?.run?.tracked -> CandidateReason.SELECTED_FOR_RUN
        tracked === places?.prefill?.tracked -> CandidateReason.SELECTED_FOR_PREFILL
        !entry.accepts(tracked.server) -> CandidateReason.OTHER_VERSION
        tracked.pausedUntil(entry.holder, now) != null -> CandidateReason.PAUSED
        !selection.isEligible(tracked, entry, now) -> CandidateReason.UNHEALTHY
        isPlaceable(tracked, entry, now) -> CandidateReason.OTHER_PREFERRED
        !tracked.limit.admits(now) -> CandidateReason.LIMITED
        now < tracked.fullUntil || !tracked.rejections.admits(now) -> CandidateReason.REJECTED_RECENTLY
        now < tracked.stageSwitchUntil -> CandidateReason.SWITCHING_STAGE
        else -> CandidateReason.FULL
    }

    private fun isPlaceable(tracked: TrackedServer, entry: WaitingRequest, now: Timestamp): Boolean {
        val isPrefill = tracked.server.stage == ServerStage.PREFILL
        val others = trackedServers.values
            .filter { it !== tracked && (it.server.stage == ServerStage.PREFILL) == isPrefill }
            .map { it.server.id }
        val alone = entry.copy(excluded = entry.excluded + others)
        val placed = selection.place(alone, Reservations(), now) ?: return false
        return tracked === if (isPrefill) placed.prefill?.tracked else placed.run.tracked
    }
}
