/*
 * The interface through which operators read and change the state of the daemon.
 */
package org.arbutusnotch.daemon.operator

import com.github.michaelbull.result.Result
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.daemon.telemetry.CounterValue

/** Describes a request whose routing is to be explained. */
public sealed interface ExplainQuery {
    /** Describes a completion of [model] with a prompt of [promptTokens] tokens. */
    public data class Completion(public val model: ModelId, public val promptTokens: Int, public val priority: Int) :
        ExplainQuery

    /** Describes a call of [operation] of [service]. */
    public data class Service(public val service: String, public val operation: String) : ExplainQuery
}

/** Gives the operator interface access to the state of the daemon. Functions may be called from any thread. */
public interface OperatorView {
    /** Returns whether the control loop is responsive. */
    public suspend fun isHealthy(): Boolean

    /** Returns whether the instance accepts requests. */
    public suspend fun isReady(): Boolean

    /** Returns the state of the instance and its view of peers and servers. */
    public suspend fun status(): StatusReply

    /** Returns how a request would be routed now, without reserving anything. */
    public suspend fun explain(query: ExplainQuery): Result<ExplainReply, RefusalReason>

    /** Starts to drain the instance; has no effect when it is already draining. */
    public suspend fun drain()

    /** Returns the quarantined digests. */
    public suspend fun quarantine(): List<QuarantinedDigest>

    /** Clears the quarantine of this instance and returns the number of removed digests. */
    public suspend fun clearQuarantine(): Int

    /** Returns the value of every metric. */
    public suspend fun counters(): List<CounterValue>

    /** Returns the metrics in the Prometheus text format. */
    public suspend fun metrics(): String
}
