/*
 * Decides whether a failed attempt is repeated on another backend server.
 */
package org.arbutusnotch.core.retry

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Describes an attempt that failed.
 *
 * @property idempotent whether the work may run more than once
 * @property mayHaveStarted whether the backend server may have received any byte of the request
 * @property triedServers every server that the request was sent to, the failed one included
 * @property deadline time at which the answer is no longer of use
 * @property expectedTime predicted time of another attempt
 */
public data class FailedAttempt(
    public val idempotent: Boolean,
    public val mayHaveStarted: Boolean,
    public val triedServers: Set<BackendServerId>,
    public val deadline: Timestamp,
    public val expectedTime: Duration,
)

/** Describes whether a request is tried again. */
public sealed class RetryDecision {
    /** The request is tried again on a server that is not in [excludedServers]. */
    public data class Retry(public val excludedServers: Set<BackendServerId>) : RetryDecision()

    /** The request ends; [outcomeUnknown] tells that it may have run. */
    public data class Stop(public val reason: RefusalReason, public val outcomeUnknown: Boolean) : RetryDecision()

    public companion object {
        private const val LARGEST_ATTEMPT_COUNT = 3

        /** Decides about [attempt] at [now] and takes a retry from [budget] when it is repeated. */
        public fun of(attempt: FailedAttempt, budget: RetryBudget, now: Timestamp): RetryDecision {
            val unsafe = attempt.mayHaveStarted && !attempt.idempotent
            return when {
                unsafe -> Stop(RefusalReason.BACKEND_FAILED, outcomeUnknown = true)
                attempt.triedServers.size >= LARGEST_ATTEMPT_COUNT -> attempt.stop(RefusalReason.BACKEND_FAILED)
                now + attempt.expectedTime > attempt.deadline -> attempt.stop(RefusalReason.DEADLINE_EXCEEDED)
                !budget.take(now) -> attempt.stop(RefusalReason.RETRY_BUDGET_SPENT)
                else -> Retry(attempt.triedServers)
            }
        }

        private fun FailedAttempt.stop(reason: RefusalReason) = Stop(reason, outcomeUnknown = mayHaveStarted)
    }
}
