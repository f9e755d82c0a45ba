/*
 * The JSON responses of the operator interface.
 */
package org.arbutusnotch.daemon.operator

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.time.Timestamp

/**
 * Describes the state of an instance.
 *
 * @property state `starting`, `serving` or `draining`
 * @property revision active revision; null before the first activation
 * @property candidateRevision revision that was received and is not active yet; null when there is none
 */
@Serializable
public data class StatusReply(
    public val instance: InstanceAddress,
    public val incarnation: Incarnation,
    @SerialName("entry_address") public val entryAddress: String,
    @SerialName("operator_address") public val operatorAddress: String,
    @SerialName("failure_domain") public val failureDomain: FailureDomainId,
    public val state: String,
    public val revision: RevisionNumber?,
    public val digest: ContentDigest?,
    @SerialName("candidate_revision") public val candidateRevision: RevisionNumber?,
    public val conflicts: Long,
    public val peers: List<PeerStatus>,
    public val servers: List<ServerStatus>,
)

/** Describes a peer as the instance knows it. */
@Serializable
public data class PeerStatus(
    public val instance: InstanceAddress,
    @SerialName("operator_address") public val operatorAddress: String,
    @SerialName("failure_domain") public val failureDomain: FailureDomainId,
    public val state: String,
    public val revision: RevisionNumber?,
    public val digest: ContentDigest?,
    public val reachable: Boolean,
)

/** Describes a backend server as the instance knows it. */
@Serializable
public data class ServerStatus(
    public val server: BackendServerId,
    public val pool: PoolId,
    public val state: String,
    @SerialName("free_slots") public val freeSlots: Int,
    @SerialName("token_interval_micros") public val tokenIntervalMicros: Long,
    public val excluded: Boolean,
)

/** Describes how a request would be routed; [decision] lists the selected servers or gives the reason of a refusal. */
@Serializable
public data class ExplainReply(public val decision: String, public val candidates: List<CandidateStatus>)

/**
 * Describes a backend server that was considered.
 *
 * @property predictedMillis sum of the predicted wait and work time
 * @property note reason for which the server was skipped; empty when it was not
 */
@Serializable
public data class CandidateStatus(
    public val server: BackendServerId,
    public val pool: PoolId,
    @SerialName("free_slots") public val freeSlots: Int,
    @SerialName("cached_tokens") public val cachedTokens: Int = 0,
    @SerialName("predicted_millis") public val predictedMillis: Long? = null,
    public val excluded: Boolean = false,
    public val selected: Boolean = false,
    public val note: String = "",
)

/** Describes a digest that is refused until [until] and the servers that crashed while running it. */
@Serializable
public data class QuarantinedDigest(
    public val digest: ContentDigest,
    public val servers: List<BackendServerId>,
    @SerialName("until_epoch_millis") public val until: Timestamp,
)

@Serializable
internal data class QuarantineReply(val quarantined: List<QuarantinedDigest>)

@Serializable
internal data class QuarantineClearedReply(val cleared: Int)

@Serializable
internal data class DrainReply(val state: String)

@Serializable
internal data class HealthReply(val status: String)

@Serializable
internal data class ErrorReply(val error: ErrorDetail)

@Serializable
internal data class ErrorDetail(val reason: String, val outcome: String, val message: String)
