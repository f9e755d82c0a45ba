/*
 * A backend server as described by its entry in the registry.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion

/** Names the part of the work on a request that a backend server does. */
public enum class ServerStage {
    /** Prefills prompts and hands over their key-value cache. */
    PREFILL,

    /** Decodes tokens; it can prefill prompts too, but slowly. */
    DECODE,

    /** Runs whole requests. */
    WHOLE,
}

/**
 * Describes a registered backend server.
 *
 * @property startedAt start of the server's process as the server reports it, in epoch milliseconds; a later start with
 * the same id is a new process without any state of earlier requests
 * @property slots number of requests that the server runs concurrently
 * @property leaving whether the server is about to stop and must get no new work
 * @property version software of the server, not the weights of its models
 */
public data class BackendServer(
    public val id: BackendServerId,
    public val pool: PoolId,
    public val address: String,
    public val failureDomain: FailureDomainId,
    public val stage: ServerStage,
    public val slots: Int,
    public val leaving: Boolean,
    public val startedAt: Long,
    public val version: SoftwareVersion,
)
