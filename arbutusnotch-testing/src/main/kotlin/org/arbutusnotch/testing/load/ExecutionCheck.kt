/*
 * Compares what callers of non-idempotent operations were told with what the plain services did.
 */
package org.arbutusnotch.testing.load

import org.arbutusnotch.testing.service.ExecutionReport

/**
 * Counts broken promises to callers of non-idempotent operations.
 *
 * @property duplicates requests that took effect more than once
 * @property lost requests that were answered and did not take effect
 * @property falselyNotRun requests that were refused as not run and took effect
 */
public data class ExecutionCheck(public val duplicates: Int, public val lost: Int, public val falselyNotRun: Int) {
    /** Whether every promise was kept. */
    public val isClean: Boolean get() = duplicates == 0 && lost == 0 && falselyNotRun == 0

    override fun toString(): String = "duplicates=$duplicates lost=$lost falsely_not_run=$falselyNotRun"

    public companion object {
        /** Compares [records] with the executions of every replica in [reports]. */
        public fun of(records: List<RequestRecord>, reports: List<ExecutionReport>): ExecutionCheck {
            // The caller's part of the token, which stays the same if a request were sent with another prefix.
            val counts = reports.flatMap { it.executions }
                .filter { it.idempotencyKey != null }
                .groupingBy { it.operation to it.idempotencyKey.orEmpty().substringAfterLast('.') }
                .fold(0) { sum, execution -> sum + execution.count }
            val outcomes = records.mapNotNull { record ->
                (record.request as? PlannedRequest.ServiceCall)?.takeUnless { it.idempotent }
                    ?.let { record.outcome to (counts[it.operation to "r${record.scheduled.number}"] ?: 0) }
            }
            return ExecutionCheck(
                duplicates = counts.values.count { it > 1 },
                lost = outcomes.count { (outcome, runs) -> outcome == ObservedOutcome.ANSWERED && runs == 0 },
                falselyNotRun = outcomes.count { (outcome, runs) -> outcome == ObservedOutcome.NOT_RUN && runs > 0 },
            )
        }
    }
}
