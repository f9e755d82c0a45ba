/*
 * Metrics of request forwarding.
 */
package org.arbutusnotch.forwarding.exchange

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.arbutusnotch.core.dispatch.PaceState
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.WorkspaceId
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Records the outcomes of requests and attempts in [registry]. */
internal class ForwardingMetrics(private val registry: MeterRegistry) {
    private val counters = HashMap<Pair<String, String>, Counter>()
    private val quotaWorkspaces = HashSet<WorkspaceId>()
    private val timers = HashMap<String, Timer>()

    /** Counts a request that ended with [outcome] for [reason] after [elapsed]. */
    @Suppress("SpreadOperator") // Micrometer accepts the bounds only as varargs, and each timer is built once.
    fun recordRequest(outcome: String, reason: String, elapsed: Duration) {
        val label = if (REASON_CODE.matches(reason)) reason else OTHER_REASONS
        counters.getOrPut(outcome to label) {
            Counter.builder("arbutusnotch_requests").tag("outcome", outcome).tag("reason", label).register(registry)
        }.increment()
        timers.getOrPut(outcome) {
            Timer.builder("arbutusnotch_request_seconds").tag("outcome", outcome)
                .publishPercentileHistogram(false)
                .serviceLevelObjectives(*LATENCY_BOUNDS)
                .register(registry)
        }.record(elapsed.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    /** Counts an attempt at a backend server that ended with [outcome]. */
    fun recordAttempt(outcome: String) {
        counters.getOrPut("attempt" to outcome) {
            Counter.builder("arbutusnotch_attempts").tag("outcome", outcome).register(registry)
        }.increment()
    }

    /** Counts a request sent to a server for [part]; [repeated] tells whether it was sent before. */
    fun recordArrival(part: String, repeated: Boolean) {
        counters.getOrPut("arrival $part" to repeated.toString()) {
            Counter.builder("arbutusnotch_arrivals").tag("part", part).tag("repeated", repeated.toString())
                .register(registry)
        }.increment()
    }

    /** Counts a request of [workspace] whose units ended in [result]; workspaces above a number share one counter. */
    fun recordQuota(workspace: WorkspaceId, result: String) {
        val isNamed = workspace in quotaWorkspaces ||
            (quotaWorkspaces.size < MAXIMUM_WORKSPACES && quotaWorkspaces.add(workspace))
        val name = if (isNamed) workspace.value else OTHER_WORKSPACES
        counters.getOrPut("quota $name" to result) {
            Counter.builder("arbutusnotch_quota_requests").tag("workspace", name).tag("result", result)
                .register(registry)
        }.increment()
    }

    /** Counts a server whose pace has changed to [state]. */
    fun recordPaceChange(state: PaceState) {
        counters.getOrPut("pace" to state.name) {
            Counter.builder("arbutusnotch_server_pace_changes").tag("state", state.name.lowercase()).register(registry)
        }.increment()
    }

    /** Counts a server of [pool] that is held back for failures from now on, or no longer if not [isHeldBack]. */
    fun recordHeldBack(pool: PoolId, isHeldBack: Boolean) {
        val change = if (isHeldBack) "held_back" else "readmitted"
        counters.getOrPut("held back ${pool.value}" to change) {
            Counter.builder("arbutusnotch_server_failure_changes").tag("pool", pool.value).tag("change", change)
                .register(registry)
        }.increment()
    }

    /** Counts a client that was rejected for [reason] before its request was passed on. */
    fun recordRejectedClient(reason: String) {
        counters.getOrPut("client" to reason) {
            Counter.builder("arbutusnotch_clients_rejected").tag("reason", reason).register(registry)
        }.increment()
    }

    /** Registers a gauge named [name] that reports the value of [read]. */
    fun registerGauge(name: String, read: () -> Int) {
        Gauge.builder(name) { read().toDouble() }.register(registry)
    }

    private companion object {
        /** Workspaces with counters of their own, so that the metrics of a small instance stay small. */
        const val MAXIMUM_WORKSPACES = 500

        /** Name of the counters of all others. */
        const val OTHER_WORKSPACES = "(others)"

        /**
         * Reasons with counters of their own: those that this instance names, and statuses. The text of a failure may
         * quote an answer, so that each would have a counter that is kept until the process ends.
         */
        val REASON_CODE = Regex("([a-z]+(_[a-z]+)*|[0-9]{3})?")
        const val OTHER_REASONS = "(others)"

        /** Upper bounds of the latency histogram. */
        val LATENCY_BOUNDS = listOf(25L, 50L, 100L, 200L, 400L, 800L, 1_600L, 3_200L, 6_400L, 12_800L)
            .map { java.time.Duration.ofMillis(it) }.toTypedArray()
    }
}
