/*
 * JSON messages of the operator port, with only the keys that the tool reads. Unknown keys are ignored, so that the
 * tool works with later versions of the daemon.
 */
package org.arbutusnotch.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber

/** Describes the status that an instance reports of itself: the body of `GET /operator/status`. */
@Serializable
internal data class InstanceStatus(
    val instance: InstanceAddress,
    val incarnation: Incarnation,
    @SerialName("entry_address") val entryAddress: String,
    @SerialName("operator_address") val operatorAddress: String,
    @SerialName("failure_domain") val failureDomain: FailureDomainId,
    val state: String,
    val revision: RevisionNumber? = null,
    val digest: ContentDigest? = null,
    @SerialName("candidate_revision") val candidateRevision: RevisionNumber? = null,
    val conflicts: Long = 0,
    val peers: List<PeerStatus> = emptyList(),
    val servers: List<ServerStatus> = emptyList(),
)

/** Describes a peer in the view of the responding instance. */
@Serializable
internal data class PeerStatus(
    val instance: InstanceAddress,
    @SerialName("operator_address") val operatorAddress: String,
    @SerialName("failure_domain") val failureDomain: FailureDomainId,
    val state: String,
    val revision: RevisionNumber? = null,
    val digest: ContentDigest? = null,
    val reachable: Boolean,
)

/** Describes a backend server in the view of the responding instance. */
@Serializable
internal data class ServerStatus(
    val server: BackendServerId,
    val pool: PoolId,
    val state: String,
    @SerialName("free_slots") val freeSlots: Int? = null,
    @SerialName("token_interval_micros") val tokenIntervalMicros: Long? = null,
    val excluded: Boolean = false,
)

internal val OPERATOR_JSON: Json = Json {
    ignoreUnknownKeys = true
    prettyPrint = true
}
