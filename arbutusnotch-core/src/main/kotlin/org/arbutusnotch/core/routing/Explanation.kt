/*
 * What the operators' tool shows of a placement decision.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Describes how a request would be placed now.
 *
 * @property chosen servers that would be asked first: a prefill and a decode server, or a service replica
 * @property refusal reason for which the request would be refused; null when it would be placed
 * @property predictedFirstToken predicted time to first token, or to the answer of a service call; null on refusal
 */
public data class Explanation(
    public val policy: RoutingPolicy,
    public val chosen: List<BackendServerId>,
    public val refusal: RefusalReason?,
    public val retryAt: Timestamp?,
    public val predictedFirstToken: Duration?,
    public val candidates: List<ExplainedServer>,
)

/**
 * Describes one server of a pool that was considered.
 *
 * @property skipped reason for which the server is not a candidate; null when it is one
 * @property uncachedTokens predicted prompt tokens to compute, for prefill servers
 * @property predictedWork time for the prefill, the interval between tokens, or the call time
 */
public data class ExplainedServer(
    public val server: BackendServerId,
    public val kind: ReservationKind,
    public val skipped: SkipReason?,
    public val freeSlots: Int,
    public val queuedWork: Int,
    public val uncachedTokens: Int?,
    public val predictedWait: Duration,
    public val predictedWork: Duration,
)

/** Names why a server is not a candidate. */
public enum class SkipReason(public val code: String) {
    LEAVING("leaving"),
    FAILED("failed"),
    SLOW("slow"),
    EXCLUDED_BY_REQUEST("excluded_by_request"),
}
