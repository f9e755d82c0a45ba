/*
 * Explanations of placement decisions for the operator command-line tool.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Describes how a request would be placed at the current time.
 *
 * @property selectedServers servers that would be tried first: a prefill and a decode server, or a service replica;
 * empty on refusal
 * @property refusal reason for which the request would be refused; null when it would be placed
 * @property retryAt earliest time at which a retry of a refused request can succeed; null when it would be placed
 * @property predictedTimeToFirstToken time to first token, or to the response of a service call; null when no server is
 * usable
 */
public data class PlacementExplanation(
    public val policy: RoutingPolicy,
    public val selectedServers: List<BackendServerId>,
    public val refusal: RefusalReason?,
    public val retryAt: Timestamp?,
    public val predictedTimeToFirstToken: Duration?,
    public val candidates: List<ExplainedServer>,
)

/**
 * Describes one server that was considered for a placement.
 *
 * @property skipReason reason for which the server is not a candidate; null when it is one
 * @property queuedWork prefill tokens that are not finished, or reservations that wait for a slot
 * @property uncachedTokens prompt tokens that a prefill server is predicted to compute; null for other servers
 * @property predictedWait time until the server is predicted to start the request
 * @property predictedWorkTime duration of the prefill, interval between tokens, or duration of the call
 */
public data class ExplainedServer(
    public val server: BackendServerId,
    public val kind: ReservationKind,
    public val skipReason: SkipReason?,
    public val freeSlots: Int,
    public val queuedWork: Int,
    public val uncachedTokens: Int?,
    public val predictedWait: Duration,
    public val predictedWorkTime: Duration,
)

/** Lists the reasons for which a server is not a candidate. */
public enum class SkipReason(public val code: String) {
    LEAVING("leaving"),
    FAILED("failed"),
    SLOW("slow"),
    EXCLUDED_BY_REQUEST("excluded_by_request"),
}
