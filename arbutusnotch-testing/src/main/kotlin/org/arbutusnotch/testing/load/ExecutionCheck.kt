/*
 * Compares the outcomes that callers of non-idempotent operations received with the executions of the plain services.
 */
package org.arbutusnotch.testing.load

import org.arbutusnotch.testing.service.ExecutionReport

/**
 * Counts violations of the execution guarantees of non-idempotent operations.
 *
 * @property duplicates requests that took effect more than once
 * @property lost requests that were answered and did not take effect
 * @property falselyNotRun requests that were refused as not run and took effect
 */
public data class ExecutionCheck(public val duplicates: Int, public val lost: Int, public val falselyNotRun: Int) {
    /** Whether no violation was found. */
    public val isClean: Boolean get() = duplicates == 0 && lost == 0 && falselyNotRun == 0

    override fun toString(): String = "duplicates=$duplicates lost=$lost falsely_not_run=$falselyNotRun"

    public companion object {
        /** Compares [records] with the executions of every replica in [reports]. */
        public fun of(records: List<RequestRecord>, reports: List<ExecutionReport>): ExecutionCheck {
            // Counted by the caller's part of the token, which finds duplicates under different issuer prefixes too.
            val counts = reports.flatMap { it.executions }
                .filter { it.idempotencyKey != null }
                .groupingBy { it.operation to it.idempotencyKey.orEmpty().substringAfterLast('.') }
                .fold(0) { sum, execution -> sum + execution.count }
            val executionsByOutcome = records.mapNotNull { record ->
                (record.request as? PlannedRequest.ServiceCall)?.takeUnless { it.idempotent }
                    ?.let { record.outcome to (counts[it.operation to "r${record.scheduled.number}"] ?: 0) }
            }
            return ExecutionCheck(
                duplicates = counts.values.count { it > 1 },
                lost = executionsByOutcome.count { (outcome, count) ->
                    outcome == ObservedOutcome.ANSWERED && count == 0
                },
                falselyNotRun = executionsByOutcome.count { (outcome, count) ->
                    outcome == ObservedOutcome.NOT_RUN && count > 0
                },
            )
        }
    }
}
