package org.arbutusnotch.core.retry

import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.serviceServer
import org.arbutusnotch.core.outcome.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against duplicate side effects, retries that finish too late and endless retries. */
internal class RetryDecisionTest {
    private val budget = RetryBudget()
    private val tried = setOf(serviceServer(0))
    private val failed = FailedAttempt(
        idempotent = true,
        mayHaveStarted = true,
        triedServers = tried,
        deadline = START + 1.seconds,
        predictedDuration = 100.milliseconds,
    )

    private fun decide(attempt: FailedAttempt) = RetryDecision.of(attempt, budget, START)

    @Test
    fun `an idempotent request is retried on another server`() {
        expectThat(decide(failed)).isEqualTo(RetryDecision.Retry(tried))
    }

    @Test
    fun `a non-idempotent request that may have started is not retried and its outcome is unknown`() {
        expectThat(decide(failed.copy(idempotent = false)))
            .isEqualTo(RetryDecision.Stop(RefusalReason.BACKEND_FAILED, outcomeUnknown = true))
        expectThat(budget.availableRetries(START)).isEqualTo(RetryBudget.FIXED_RETRIES_PER_WINDOW)
    }

    @Test
    fun `a non-idempotent request that has not started is retried`() {
        expectThat(
            decide(failed.copy(idempotent = false, mayHaveStarted = false)),
        ).isEqualTo(RetryDecision.Retry(tried))
    }

    @Test
    fun `a retry that cannot end before the deadline is not started`() {
        expectThat(decide(failed.copy(predictedDuration = 2.seconds)))
            .isEqualTo(RetryDecision.Stop(RefusalReason.DEADLINE_EXCEEDED, outcomeUnknown = true))
    }

    @Test
    fun `a request is not sent to more than three servers`() {
        val attempt = failed.copy(mayHaveStarted = false, triedServers = (0..2).map { serviceServer(it) }.toSet())
        expectThat(decide(attempt)).isEqualTo(RetryDecision.Stop(RefusalReason.BACKEND_FAILED, outcomeUnknown = false))
    }

    @Test
    fun `no retry is started when the budget is exhausted`() {
        repeat(RetryBudget.FIXED_RETRIES_PER_WINDOW) { budget.tryAcquire(START) }
        expectThat(decide(failed.copy(mayHaveStarted = false)))
            .isEqualTo(RetryDecision.Stop(RefusalReason.RETRY_BUDGET_SPENT, outcomeUnknown = false))
    }
}
