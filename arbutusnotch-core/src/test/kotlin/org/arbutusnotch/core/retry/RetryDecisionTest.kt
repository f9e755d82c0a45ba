package org.arbutusnotch.core.retry

import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.serviceServer
import org.arbutusnotch.core.outcome.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against duplicated side effects, against retries that come too late and against endless retries. */
internal class RetryDecisionTest {
    private val budget = RetryBudget()
    private val tried = setOf(serviceServer(0))
    private val failed = FailedAttempt(
        idempotent = true,
        mayHaveStarted = true,
        triedServers = tried,
        deadline = START + 1.seconds,
        expectedTime = 100.milliseconds,
    )

    private fun decide(attempt: FailedAttempt) = RetryDecision.of(attempt, budget, START)

    @Test
    fun `idempotent work is retried on another server`() {
        expectThat(decide(failed)).isEqualTo(RetryDecision.Retry(tried))
    }

    @Test
    fun `a booking that may have started is not retried and its outcome is unknown`() {
        expectThat(decide(failed.copy(idempotent = false)))
            .isEqualTo(RetryDecision.Stop(RefusalReason.BACKEND_FAILED, outcomeUnknown = true))
        expectThat(budget.available(START)).isEqualTo(RetryBudget.FIXED_ALLOWANCE)
    }

    @Test
    fun `a booking that never started is retried`() {
        expectThat(
            decide(failed.copy(idempotent = false, mayHaveStarted = false)),
        ).isEqualTo(RetryDecision.Retry(tried))
    }

    @Test
    fun `a retry that cannot end before the deadline is not started`() {
        expectThat(decide(failed.copy(expectedTime = 2.seconds)))
            .isEqualTo(RetryDecision.Stop(RefusalReason.DEADLINE_EXCEEDED, outcomeUnknown = true))
    }

    @Test
    fun `a request is not sent to more than three servers`() {
        val attempt = failed.copy(mayHaveStarted = false, triedServers = (0..2).map { serviceServer(it) }.toSet())
        expectThat(decide(attempt)).isEqualTo(RetryDecision.Stop(RefusalReason.BACKEND_FAILED, outcomeUnknown = false))
    }

    @Test
    fun `no retry is made when the budget is spent`() {
        repeat(RetryBudget.FIXED_ALLOWANCE) { budget.take(START) }
        expectThat(decide(failed.copy(mayHaveStarted = false)))
            .isEqualTo(RetryDecision.Stop(RefusalReason.RETRY_BUDGET_SPENT, outcomeUnknown = false))
    }
}
