/*
 * A backend server as its entry in the registry describes it.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.PoolId

/** Names the work that a backend server takes. */
public enum class ServerStage {
    /** Reads prompts and hands their memory on. */
    PREFILL,

    /** Generates tokens; it can read prompts too, but slowly. */
    DECODE,

    /** Runs whole requests. */
    WHOLE,
}

/**
 * Describes a registered backend server.
 *
 * @property startedAt start of the server's process by its own account, in epoch milliseconds; a later start under the
 * same id is another process that knows nothing of earlier requests
 * @property slots requests that the server runs at once
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
)
