/*
 * The workspaces of a deployment: who may send requests, with which priority and how many.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.WorkspaceId

/**
 * Limits the requests of a workspace over all instances together.
 *
 * @property perSecond units that become available each second
 * @property burst units that may be used at once after a time without requests
 */
public data class WorkspaceQuota(public val perSecond: Double, public val burst: Double)

/**
 * Describes a workspace.
 *
 * @property keys SHA-256 digests of the keys of its callers
 * @property priority priority of its requests, which takes precedence over that of the route; null for the latter
 * @property quota limit of its requests; null for no limit
 * @property countsTokens whether the quota counts tokens; if not, each request counts as one unit
 * @property plainRequestTokens tokens of a request that declares none
 */
public data class Workspace(
    public val id: WorkspaceId,
    public val keys: Set<ContentDigest>,
    public val priority: Int? = null,
    public val quota: WorkspaceQuota? = null,
    public val countsTokens: Boolean = true,
    public val plainRequestTokens: Int = 0,
)
