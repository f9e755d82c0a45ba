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

/** Guards against retries that multiply the load of an overloaded pool, and against a budget that never recovers. */
internal class RetryBudgetTest {
    private val budget = RetryBudget()

    private fun takeAll(now: Timestamp): Int = (1..1_000).takeWhile { budget.take(now) }.count()

    @Test
    fun `a new instance has a small fixed allowance`() {
        expectThat(takeAll(START)).isEqualTo(RetryBudget.FIXED_ALLOWANCE)
        expectThat(budget.take(START + 9.seconds)).isFalse()
    }

    @Test
    fun `a tenth of the first attempts may be retried`() {
        repeat(500) { budget.recordFirstAttempt(START + 10.milliseconds * it) }
        expectThat(takeAll(START + 5.seconds)).isEqualTo(50 + RetryBudget.FIXED_ALLOWANCE)
    }

    @Test
    fun `first attempts that left the window allow no retries`() {
        repeat(500) { budget.recordFirstAttempt(START) }
        expectThat(takeAll(START + 11.seconds)).isEqualTo(RetryBudget.FIXED_ALLOWANCE)
    }

    @Test
    fun `the allowance returns when its retries left the window`() {
        takeAll(START)
        expectThat(takeAll(START + 11.seconds)).isEqualTo(RetryBudget.FIXED_ALLOWANCE)
    }

    @Property(edgeCases = EdgeCasesMode.NONE, afterFailure = AfterFailureMode.RANDOM_SEED)
    fun retriesNeverExceedTheBudgetOfAnyWindow(@ForAll("steps") steps: List<BudgetStep>) {
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

                is BudgetStep.Retry -> oracle.check(budget.take(now), now)
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

/** Counts single attempts instead of buckets; one bucket of one second is the allowed difference. */
internal class BudgetOracle {
    val firstAttempts = mutableListOf<Timestamp>()
    private val retries = mutableListOf<Timestamp>()

    fun check(taken: Boolean, now: Timestamp) {
        val from = now - RetryBudget.WINDOW
        val allowed = firstAttempts.count { it > from } / 10 + 3
        val surelyAllowed = firstAttempts.count { it >= from + 1.seconds } / 10 + 3
        if (taken) {
            retries += now
            val count = retries.count { it > from }
            check(count <= allowed) { "$count retries in a window that allows $allowed" }
        } else {
            val counted = retries.count { it > from - 1.seconds }
            check(counted >= surelyAllowed) { "no retry after $counted of $surelyAllowed" }
        }
    }
}
