/*
 * What the operator interface shows and changes.
 */
package org.arbutusnotch.daemon.operator

import com.github.michaelbull.result.Result
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.daemon.telemetry.CounterValue

/** Describes the request that an operator asks about. */
public sealed interface ExplainQuery {
    /** Asks where a completion of [model] with a prompt of [promptTokens] tokens would run. */
    public data class Completion(public val model: ModelId, public val promptTokens: Int, public val priority: Int) :
        ExplainQuery

    /** Asks where a call of [operation] of [service] would run. */
    public data class Service(public val service: String, public val operation: String) : ExplainQuery
}

/** Gives the operator interface access to the state of the daemon. Functions are called from any thread. */
public interface OperatorView {
    /** Returns whether the control loop runs. */
    public suspend fun isHealthy(): Boolean

    /** Returns whether the instance serves callers. */
    public suspend fun isReady(): Boolean

    /** Returns the state of the instance and its view of peers and servers. */
    public suspend fun status(): StatusReply

    /** Returns how a request would be routed now, without reserving anything. */
    public suspend fun explain(query: ExplainQuery): Result<ExplainReply, RefusalReason>

    /** Starts to drain; without effect when the instance drains already. */
    public suspend fun drain()

    /** Returns the quarantined digests. */
    public suspend fun quarantine(): List<QuarantinedDigest>

    /** Clears the quarantine of this instance and returns the number of digests removed. */
    public suspend fun clearQuarantine(): Int

    /** Returns every counter. */
    public suspend fun counters(): List<CounterValue>

    /** Returns the metrics in the Prometheus text format. */
    public suspend fun metrics(): String
}
