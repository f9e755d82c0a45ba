/*
 * Placement requests and their results.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Describes a completion request that needs a prefill and a decode server.
 *
 * @property prefixDigests digests of the prompt's prefixes, shortest first; see [PromptDigests]
 * @property firstTokenDeadline time by which the first token has to arrive to meet its target
 * @property excludedServers servers on which an earlier attempt failed
 */
public data class CompletionRequest(
    public val model: ModelId,
    public val prefixDigests: List<ContentDigest>,
    public val promptTokens: Int,
    public val maxTokens: Int,
    public val priority: Int,
    public val firstTokenDeadline: Timestamp,
    public val excludedServers: Set<BackendServerId> = emptySet(),
)

/**
 * Describes a call to a plain service.
 *
 * @property startDeadline latest time at which the call may start
 * @property excludedServers servers on which an earlier attempt failed
 */
public data class ServiceRequest(
    public val service: String,
    public val operation: String,
    public val priority: Int,
    public val startDeadline: Timestamp,
    public val excludedServers: Set<BackendServerId> = emptySet(),
)

/**
 * Describes a decode server that can run the request.
 *
 * @property freeSlots free slots according to the local view of this instance
 * @property predictedWait predicted time until a slot is free
 * @property tokenInterval expected time between output tokens
 * @property probe whether the server is excluded as slow, so that the request acts as a probe
 * @property lastResort whether all usable servers are excluded as slow; the reservation request has to pass this on to
 * the owner of the server
 */
public data class DecodeCandidate(
    public val server: BackendServerId,
    public val failureDomain: FailureDomainId,
    public val freeSlots: Int,
    public val predictedWait: Duration,
    public val tokenInterval: Duration,
    public val probe: Boolean,
    public val lastResort: Boolean,
)

/**
 * Describes a prefill server that can run the request.
 *
 * @property uncachedTokens prompt tokens that the server is predicted to compute
 * @property predictedWait predicted time until the queued work is finished
 * @property predictedPrefillTime predicted duration of the prefill, without the wait
 * @property predictedTimeToFirstToken predicted time from placement to first token, with the first decode candidate
 * @property probe whether the server is excluded as slow, so that the request acts as a probe
 * @property lastResort whether all usable servers are excluded as slow; the reservation request has to pass this on to
 * the owner of the server
 */
public data class PrefillCandidate(
    public val server: BackendServerId,
    public val failureDomain: FailureDomainId,
    public val uncachedTokens: Int,
    public val predictedWait: Duration,
    public val predictedPrefillTime: Duration,
    public val predictedTimeToFirstToken: Duration,
    public val probe: Boolean,
    public val lastResort: Boolean,
)

/**
 * Describes a replica of a plain service that can run the call.
 *
 * @property freeSlots free slots according to the local view of this instance
 * @property predictedWait predicted time until a slot is free
 * @property predictedCallTime predicted duration of the call, without the wait
 * @property probe whether the server is excluded as slow, so that the request acts as a probe
 * @property lastResort whether all usable servers are excluded as slow; the reservation request has to pass this on to
 * the owner of the server
 */
public data class ServiceCandidate(
    public val server: BackendServerId,
    public val failureDomain: FailureDomainId,
    public val freeSlots: Int,
    public val predictedWait: Duration,
    public val predictedCallTime: Duration,
    public val probe: Boolean,
    public val lastResort: Boolean,
)

/** Represents the result of placing a [CompletionRequest]. */
public sealed class Placement {
    /**
     * Accepts the request; candidates are listed in the order in which they are tried.
     *
     * @property secondPrefillAt time from which a second, hedged prefill on another candidate is expected to finish
     * before the first; null when there is no other candidate or the policy does not hedge prefills
     */
    public data class Placed(
        public val decode: List<DecodeCandidate>,
        public val prefill: List<PrefillCandidate>,
        public val secondPrefillAt: Timestamp?,
    ) : Placement()

    /** Refuses the request; a retry can succeed from [retryAt] on. */
    public data class Refused(public val reason: RefusalReason, public val retryAt: Timestamp) : Placement()
}

/** Represents the result of placing a [ServiceRequest]. */
public sealed class ServicePlacement {
    /** Accepts the call; candidates are listed in the order in which they are tried. */
    public data class Placed(public val candidates: List<ServiceCandidate>) : ServicePlacement()

    /** Refuses the call; a retry can succeed from [retryAt] on. */
    public data class Refused(public val reason: RefusalReason, public val retryAt: Timestamp) : ServicePlacement()
}
