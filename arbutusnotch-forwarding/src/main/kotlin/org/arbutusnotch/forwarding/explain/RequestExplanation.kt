/*
 * JSON form of the explanation where a request would go. It names workspaces, but never contains a key.
 */
package org.arbutusnotch.forwarding.explain

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.dispatch.CandidateExplanation
import org.arbutusnotch.core.dispatch.ExplainedDecision
import org.arbutusnotch.core.dispatch.PlaceExplanation
import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.workspace.Workspace

/**
 * Explains a request at one instance.
 *
 * @property refusal reason why the request is rejected before a pool is selected; null if it is not
 * @property pools the pools of the route, one of which is selected at random by weight
 */
@Serializable
internal data class RequestExplanation(
    val instance: String,
    val revision: Long? = null,
    val refusal: String? = null,
    val route: RouteDescription? = null,
    val workspace: WorkspaceDescription? = null,
    val pools: List<PoolDescription> = emptyList(),
)

@Serializable
internal data class RouteDescription(
    val name: String,
    val priority: Int,
    @SerialName("requires_key") val requiresKey: Boolean,
    @SerialName("time_limit_millis") val timeLimitMillis: Long,
    @SerialName("objective_millis") val objectiveMillis: Long,
) {
    companion object {
        fun of(route: Route, requiresKey: Boolean) = RouteDescription(
            name = route.name,
            priority = route.priority,
            requiresKey = requiresKey,
            timeLimitMillis = route.timeLimit.inWholeMilliseconds,
            objectiveMillis = route.objective.inWholeMilliseconds,
        )
    }
}

/** Describes a workspace and its configured quota; null values mean no limit. */
@Serializable
internal data class WorkspaceDescription(
    val name: String,
    val priority: Int?,
    @SerialName("quota_per_second") val quotaPerSecond: Double?,
    @SerialName("quota_burst") val quotaBurst: Double?,
) {
    companion object {
        fun of(workspace: Workspace) = WorkspaceDescription(
            name = workspace.id.value,
            priority = workspace.priority,
            quotaPerSecond = workspace.quota?.perSecond,
            quotaBurst = workspace.quota?.burst,
        )
    }
}

/** Explains the part of a pool; [dispatcher] decides, and [place] is null if it did not respond. */
@Serializable
internal data class PoolDescription(
    val pool: String,
    val weight: Int,
    val dispatcher: String,
    val place: PlaceDescription?,
)

/**
 * Explains the decision of a dispatcher.
 *
 * @property decision `send`, `wait` or `refuse`
 * @property position number of requests ahead of one that waits
 * @property reason reason for a refusal
 */
@Serializable
internal data class PlaceDescription(
    val decision: String,
    val position: Int? = null,
    val reason: String? = null,
    @SerialName("retry_after_millis") val retryAfterMillis: Long? = null,
    @SerialName("queue_length") val queueLength: Int,
    val candidates: List<CandidateDescription>,
) {
    companion object {
        fun of(explanation: PlaceExplanation): PlaceDescription {
            val decision = explanation.decision
            val refusal = decision as? ExplainedDecision.Refuse
            return PlaceDescription(
                decision = when (decision) {
                    ExplainedDecision.Send -> "send"
                    is ExplainedDecision.Wait -> "wait"
                    is ExplainedDecision.Refuse -> "refuse"
                },
                position = (decision as? ExplainedDecision.Wait)?.position,
                reason = refusal?.reason?.name?.lowercase(),
                retryAfterMillis = refusal?.retryAfter?.inWholeMilliseconds,
                queueLength = explanation.queueLength,
                candidates = explanation.candidates.map { CandidateDescription.of(it) },
            )
        }
    }
}

@Serializable
internal data class CandidateDescription(
    val server: String,
    val stage: String,
    @SerialName("failure_domain") val failureDomain: String,
    val version: String,
    @SerialName("places_in_use") val placesInUse: Int,
    val reason: String,
) {
    companion object {
        fun of(candidate: CandidateExplanation) = CandidateDescription(
            server = candidate.server.id.value,
            stage = candidate.server.stage.name.lowercase(),
            failureDomain = candidate.server.failureDomain.value,
            version = candidate.server.version.value,
            placesInUse = candidate.placesInUse,
            reason = candidate.reason.name.lowercase(),
        )
    }
}
