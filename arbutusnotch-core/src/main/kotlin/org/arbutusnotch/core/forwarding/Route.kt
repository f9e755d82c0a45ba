/*
 * The routes from callers' requests to pools of backend servers.
 *
 * A route is selected by host name and path prefix alone; the body of a request is opaque.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.core.workspace.WorkspaceAccess
import kotlin.random.Random
import kotlin.time.Duration

/** Describes the requests of a route and whether they may run more than once. */
public sealed class RouteKind {
    /** Whether a request may safely run more than once. */
    public abstract val idempotent: Boolean

    /** Calls that may run more than once. */
    public data object IdempotentCall : RouteKind() {
        override val idempotent: Boolean = true
    }

    /** Calls that run at most once. */
    public data object NonIdempotentCall : RouteKind() {
        override val idempotent: Boolean = false
    }

    /**
     * Generations that are answered with a stream of events.
     *
     * @property resumable whether another backend server may continue a broken stream
     * @property eventTimeout time without an event after which callers give up
     */
    public data class Generation(public val resumable: Boolean, public val eventTimeout: Duration) : RouteKind() {
        override val idempotent: Boolean = resumable
    }
}

/** Names a pool to which a route sends a share of its requests in proportion to [weight]. */
public data class RouteTarget(public val pool: PoolId, public val weight: Int)

/**
 * Describes one route.
 *
 * @property host lower-case host name without port
 * @property prefix path prefix, with a slash at both ends
 * @property timeLimit time within which a request must have an answer
 * @property objective latency objective for the answer or the first event of a stream
 * @property maximumServers maximum number of backend servers that may run one request
 * @property priority priority of the route; 0 is the most urgent
 * @property requiresKey whether a caller must send the key of a workspace if the deployment has workspaces
 */
public data class Route(
    public val name: String,
    public val host: String,
    public val prefix: String,
    public val kind: RouteKind,
    public val targets: List<RouteTarget>,
    public val timeLimit: Duration,
    public val objective: Duration,
    public val maximumServers: Int,
    public val priority: Int,
    public val requiresKey: Boolean = true,
) {
    /** Selects the pool of one request in proportion to the weights. */
    public fun selectPool(random: Random): PoolId? {
        val total = targets.sumOf { it.weight }
        if (total <= 0) return targets.firstOrNull()?.pool
        var remaining = random.nextInt(total)
        return targets.firstOrNull { target ->
            remaining -= target.weight
            remaining < 0
        }?.pool
    }
}

/**
 * Describes the engines of a pool that serves language models.
 *
 * @property slots number of requests that one engine runs concurrently
 * @property memoryTokens capacity of one engine's memory, in tokens
 * @property stageSwitchTime time that an engine needs to switch its stage; null when it cannot switch
 */
public data class EngineProfile(
    public val slots: Int,
    public val memoryTokens: Int,
    public val stageSwitchTime: Duration? = null,
)

/** Describes a pool; [engine] is null when it serves plain calls. */
public data class PoolDefinition(public val pool: PoolId, public val engine: EngineProfile?)

/**
 * Limits the size of callers' requests and the time for sending them.
 *
 * @property headBytes largest size of the request line and headers
 * @property bodyBytes largest size of the body
 * @property headTimeout time within which the head of a request must be complete
 * @property idleTimeout time after which an unused connection is closed
 */
public data class CallerLimits(
    public val headBytes: Int,
    public val bodyBytes: Int,
    public val headTimeout: Duration,
    public val idleTimeout: Duration,
)

/**
 * Holds one revision of the published routes.
 *
 * @property workspaces workspaces of the deployment; null when requests need no key
 */
public class RouteTable(
    public val revision: RevisionNumber,
    public val routes: List<Route>,
    public val pools: Map<PoolId, PoolDefinition>,
    public val limits: CallerLimits,
    public val workspaces: List<Workspace>? = null,
) {
    /** Decides on the keys of requests; null when requests need no key. */
    public val access: WorkspaceAccess? = workspaces?.let { WorkspaceAccess(it) }

    private val byHost =
        routes.groupBy { it.host }.mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.prefix.length } }

    /** Returns the route of [host] with the longest prefix of [path], or null. [host] may include a port. */
    public fun find(host: String, path: String): Route? =
        byHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.prefix) }
}
