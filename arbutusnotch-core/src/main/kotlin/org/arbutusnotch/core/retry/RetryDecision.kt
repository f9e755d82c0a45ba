/*
 * Decides whether a failed attempt is retried on another backend server.
 */
package org.arbutusnotch.core.retry

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Describes an attempt that failed.
 *
 * @property idempotent whether the request may run more than once
 * @property mayHaveStarted whether the backend server may have received any byte of the request
 * @property triedServers every server that the request was sent to, including the one that failed
 * @property deadline time after which the caller no longer needs the answer
 * @property predictedDuration predicted duration of another attempt
 */
public data class FailedAttempt(
    public val idempotent: Boolean,
    public val mayHaveStarted: Boolean,
    public val triedServers: Set<BackendServerId>,
    public val deadline: Timestamp,
    public val predictedDuration: Duration,
)

/** Describes whether a request is retried. */
public sealed class RetryDecision {
    /** The request is retried on a server that is not in [excludedServers]. */
    public data class Retry(public val excludedServers: Set<BackendServerId>) : RetryDecision()

    /** The request ends because of [reason]; [outcomeUnknown] is true if it may have run. */
    public data class Stop(public val reason: RefusalReason, public val outcomeUnknown: Boolean) : RetryDecision()

    public companion object {
        private const val MAXIMUM_TRIED_SERVERS = 3

        /** Decides on [attempt] at [now]; a retry is taken from [budget]. */
        public fun of(attempt: FailedAttempt, budget: RetryBudget, now: Timestamp): RetryDecision {
            val unsafe = attempt.mayHaveStarted && !attempt.idempotent
            return when {
                unsafe -> Stop(RefusalReason.BACKEND_FAILED, outcomeUnknown = true)
                attempt.triedServers.size >= MAXIMUM_TRIED_SERVERS -> attempt.stop(RefusalReason.BACKEND_FAILED)
                now + attempt.predictedDuration > attempt.deadline -> attempt.stop(RefusalReason.DEADLINE_EXCEEDED)
                !budget.tryAcquire(now) -> attempt.stop(RefusalReason.RETRY_BUDGET_SPENT)
                else -> Retry(attempt.triedServers)
            }
        }

        private fun FailedAttempt.stop(reason: RefusalReason) = Stop(reason, outcomeUnknown = mayHaveStarted)
    }
}
