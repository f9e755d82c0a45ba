/*
 * Requests for a placement and the router's answers.
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
 * Describes a completion that needs a prefill and a decode server.
 *
 * @property prefixDigests digests of the prompt's prefixes, shortest first; see [PromptDigests]
 * @property firstTokenDeadline time at which the target for the first token ends
 * @property excludedServers servers that an earlier attempt failed on
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
 * Describes a call of a plain service.
 *
 * @property startDeadline latest time at which the call is of use
 * @property excludedServers servers that an earlier attempt failed on
 */
public data class ServiceRequest(
    public val service: String,
    public val operation: String,
    public val priority: Int,
    public val startDeadline: Timestamp,
    public val excludedServers: Set<BackendServerId> = emptySet(),
)

/**
 * Describes a decode server that can take the request.
 *
 * @property freeSlots free slots as this instance knows them
 * @property predictedWait time until a slot is free
 * @property perToken expected time between tokens
 * @property probe whether the server is excluded as slow
 * @property lastResort whether every usable server is excluded; its owner has to be told
 */
public data class DecodeCandidate(
    public val server: BackendServerId,
    public val failureDomain: FailureDomainId,
    public val freeSlots: Int,
    public val predictedWait: Duration,
    public val perToken: Duration,
    public val probe: Boolean,
    public val lastResort: Boolean,
)

/**
 * Describes a prefill server that can take the request.
 *
 * @property uncachedTokens predicted prompt tokens that the server has to compute
 * @property predictedWait time until the work ahead is finished
 * @property predictedPrefill time for the prefill itself
 * @property predictedFirstToken time to first token with the first decode candidate, from the placement on
 * @property probe whether the server is excluded as slow
 * @property lastResort whether every usable server is excluded; its owner has to be told
 */
public data class PrefillCandidate(
    public val server: BackendServerId,
    public val failureDomain: FailureDomainId,
    public val uncachedTokens: Int,
    public val predictedWait: Duration,
    public val predictedPrefill: Duration,
    public val predictedFirstToken: Duration,
    public val probe: Boolean,
    public val lastResort: Boolean,
)

/**
 * Describes a replica of a plain service that can take the call.
 *
 * @property freeSlots free slots as this instance knows them
 * @property predictedWait time until a slot is free
 * @property predictedCall time of the call itself
 * @property probe whether the server is excluded as slow
 * @property lastResort whether every usable server is excluded; its owner has to be told
 */
public data class ServiceCandidate(
    public val server: BackendServerId,
    public val failureDomain: FailureDomainId,
    public val freeSlots: Int,
    public val predictedWait: Duration,
    public val predictedCall: Duration,
    public val probe: Boolean,
    public val lastResort: Boolean,
)

/** Answers a [CompletionRequest]. */
public sealed class Placement {
    /**
     * The request can run; candidates are in the order in which they are to be asked.
     *
     * @property secondPrefillAt time after which a prefill on the second candidate is expected to finish before the
     * first; null when there is no second candidate
     */
    public data class Placed(
        public val decode: List<DecodeCandidate>,
        public val prefill: List<PrefillCandidate>,
        public val secondPrefillAt: Timestamp?,
    ) : Placement()

    /** The request is not started; another try can succeed at [retryAt]. */
    public data class Refused(public val reason: RefusalReason, public val retryAt: Timestamp) : Placement()
}

/** Answers a [ServiceRequest]. */
public sealed class ServicePlacement {
    /** The call can run; candidates are in the order in which they are to be asked. */
    public data class Placed(public val candidates: List<ServiceCandidate>) : ServicePlacement()

    /** The call is not started; another try can succeed at [retryAt]. */
    public data class Refused(public val reason: RefusalReason, public val retryAt: Timestamp) : ServicePlacement()
}
