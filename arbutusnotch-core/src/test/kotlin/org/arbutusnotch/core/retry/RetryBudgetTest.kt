package org.arbutusnotch.core.retry

import net.jqwik.api.AfterFailureMode
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.Tuple
import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.SeededSequences
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against retries that multiply the load of an overloaded pool and against a budget that never recovers. */
internal class RetryBudgetTest {
    private val budget = RetryBudget()

    private fun acquireAll(now: Timestamp): Int = (1..1_000).takeWhile { budget.tryAcquire(now) }.count()

    @Test
    fun `a new instance has only the fixed retries`() {
        expectThat(acquireAll(START)).isEqualTo(RetryBudget.FIXED_RETRIES_PER_WINDOW)
        expectThat(budget.tryAcquire(START + 9.seconds)).isFalse()
    }

    @Test
    fun `a tenth of the first attempts may be retried`() {
        repeat(500) { budget.recordFirstAttempt(START + 10.milliseconds * it) }
        expectThat(acquireAll(START + 5.seconds)).isEqualTo(50 + RetryBudget.FIXED_RETRIES_PER_WINDOW)
    }

    @Test
    fun `first attempts before the window allow no retries`() {
        repeat(500) { budget.recordFirstAttempt(START) }
        expectThat(acquireAll(START + 11.seconds)).isEqualTo(RetryBudget.FIXED_RETRIES_PER_WINDOW)
    }

    @Test
    fun `the fixed retries are available again after earlier retries leave the window`() {
        acquireAll(START)
        expectThat(acquireAll(START + 11.seconds)).isEqualTo(RetryBudget.FIXED_RETRIES_PER_WINDOW)
    }

    @Property(edgeCases = EdgeCasesMode.NONE, afterFailure = AfterFailureMode.RANDOM_SEED)
    fun retriesNeverExceedTheBudgetInAnyWindow(@ForAll("steps") steps: List<BudgetStep>) {
        val oracle = BudgetOracle()
        val budget = RetryBudget()
        var now = START
        steps.forEach { step ->
            when (step) {
                is BudgetStep.Wait -> now += step.millis.milliseconds

                is BudgetStep.FirstAttempts -> repeat(step.count) {
                    budget.recordFirstAttempt(now)
                    oracle.firstAttempts += now
                }

                is BudgetStep.Retry -> oracle.check(budget.tryAcquire(now), now)
            }
        }
    }

    @Provide
    fun steps(): Arbitrary<List<BudgetStep>> = SeededSequences.of(
        Arbitraries.frequencyOf<BudgetStep>(
            Tuple.of(3, Arbitraries.integers().between(1, 2_500).map { BudgetStep.Wait(it) }),
            Tuple.of(2, Arbitraries.integers().between(1, 40).map { BudgetStep.FirstAttempts(it) }),
            Tuple.of(5, Arbitraries.of(BudgetStep.Retry)),
        ).list().ofMaxSize(100).withSizeDistribution(RandomDistribution.uniform()),
    )
}

internal sealed interface BudgetStep {
    data class Wait(val millis: Int) : BudgetStep

    data class FirstAttempts(val count: Int) : BudgetStep

    data object Retry : BudgetStep
}

/** Counts individual attempts instead of buckets; the budget may differ from it by one bucket of one second. */
internal class BudgetOracle {
    val firstAttempts = mutableListOf<Timestamp>()
    private val retries = mutableListOf<Timestamp>()

    fun check(acquired: Boolean, now: Timestamp) {
        val windowStart = now - RetryBudget.WINDOW
        val allowed = firstAttempts.count { it > windowStart } / 10 + 3
        val minimumAllowed = firstAttempts.count { it >= windowStart + 1.seconds } / 10 + 3
        if (acquired) {
            retries += now
            val count = retries.count { it > windowStart }
            check(count <= allowed) { "$count retries in a window that allows $allowed" }
        } else {
            val counted = retries.count { it > windowStart - 1.seconds }
            check(counted >= minimumAllowed) { "retry refused after $counted of $minimumAllowed" }
        }
    }
}
