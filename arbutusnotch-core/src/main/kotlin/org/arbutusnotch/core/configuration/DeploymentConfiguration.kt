/*
 * The parsed content of an operators' file: the routing configuration of one client deployment.
 *
 * The settings module builds it from TOML; a value of this type has passed validation.
 */
package org.arbutusnotch.core.configuration

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.WorkspaceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Describes a client deployment at one revision. */
public data class DeploymentConfiguration(
    public val revision: RevisionNumber,
    public val deployment: String,
    public val targets: LatencyTargets = LatencyTargets(),
    public val clients: List<ClientDefinition> = emptyList(),
    public val workspaces: List<WorkspaceDefinition> = emptyList(),
    public val callers: List<CallerDefinition> = emptyList(),
    public val models: List<ModelDefinition> = emptyList(),
    public val pools: List<PoolDefinition> = emptyList(),
    public val servers: List<ServerDefinition> = emptyList(),
    public val services: List<ServiceDefinition> = emptyList(),
)

/**
 * Holds the latency targets of a deployment.
 *
 * @property firstToken target for the time to first token
 * @property betweenTokens target for the time between tokens
 */
public data class LatencyTargets(
    public val firstToken: Duration = 320.milliseconds,
    public val betweenTokens: Duration = 26.milliseconds,
)

/** Describes a client and the maximum number of its requests that one instance runs concurrently. */
public data class ClientDefinition(public val name: ClientId, public val concurrentRequests: Int = 1_000)

/** Describes a workspace of a client. */
public data class WorkspaceDefinition(public val name: WorkspaceId, public val client: ClientId)

/**
 * Describes a group of callers that share a key.
 *
 * @property priority 0 (lowest) to 9
 * @property keySha256 lower-case hexadecimal SHA-256 of the bearer key
 */
public data class CallerDefinition(
    public val name: String,
    public val workspace: WorkspaceId,
    public val priority: Int,
    public val keySha256: ContentDigest,
)

/** Describes a model and the pools that serve its prefill and its decode. */
public data class ModelDefinition(
    public val name: ModelId,
    public val prefillPool: PoolId,
    public val decodePool: PoolId,
)

/** Names the kind of work that the servers of a pool do. */
public enum class PoolKind(public val code: String) {
    PREFILL("prefill"),
    DECODE("decode"),
    SERVICE("service"),
}

/** Describes a pool of backend servers. */
public data class PoolDefinition(public val name: PoolId, public val kind: PoolKind)

/** Names whether a backend server accepts new work. */
public enum class ServerState(public val code: String) {
    LIVE("live"),
    LEAVING("leaving"),
}

/**
 * Describes a backend server.
 *
 * @property slots number of requests that the server runs concurrently
 * @property fencing whether the server rejects an order with an outdated fencing number
 */
public data class ServerDefinition(
    public val address: BackendServerId,
    public val pool: PoolId,
    public val failureDomain: FailureDomainId,
    public val slots: Int,
    public val fencing: Boolean = false,
    public val state: ServerState = ServerState.LIVE,
)

/** Describes a service whose requests are plain calls, without prefill and decode. */
public data class ServiceDefinition(
    public val name: String,
    public val pool: PoolId,
    public val operations: List<OperationDefinition>,
)

/**
 * Describes an operation of a plain service.
 *
 * @property idempotent whether the operation may run more than once
 * @property timeout maximum duration of the whole call
 */
public data class OperationDefinition(
    public val name: String,
    public val idempotent: Boolean,
    public val timeout: Duration,
)
