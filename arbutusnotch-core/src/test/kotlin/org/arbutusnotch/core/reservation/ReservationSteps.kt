/*
 * Steps of the reservation property tests: actions of entries, network and operators on the slot owner of one server.
 */
package org.arbutusnotch.core.reservation

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.RandomDistribution
import net.jqwik.api.Tuple

internal const val HOLDER_COUNT = 4
internal const val ATTEMPT_COUNT = 24

/** Describes one step; an attempt number always belongs to the same instance, `number % HOLDER_COUNT`. */
internal sealed interface ReservationStep {
    /** A request; a repeated number is a network duplicate or a request after a release. */
    data class Reserve(
        val number: Int,
        val priority: Int,
        val work: Int,
        val maximumWaitMillis: Int,
        val lastResort: Boolean,
    ) : ReservationStep

    /** A release; it may arrive twice, late or before its request. */
    data class Release(val number: Int) : ReservationStep

    /** A report of some attempts of one instance; unknown attempts were granted by another owner. */
    data class Report(val holder: Int, val numbers: Set<Int>, val finished: Boolean) : ReservationStep

    /** A delayed report of the previous incarnation. */
    data class StaleReport(val holder: Int, val numbers: Set<Int>) : ReservationStep

    data class Advance(val millis: Int) : ReservationStep

    /** The instance restarts and the owner is notified. */
    data class Restart(val holder: Int) : ReservationStep

    /** The operators take the server out of service or return it to service. */
    data class SetLeaving(val leaving: Boolean) : ReservationStep

    /** The server is excluded as a straggler or returned. */
    data class SetExcluded(val excluded: Boolean) : ReservationStep

    /** A load report of the server that is [ageMillis] old. */
    data class ApplyLoadReport(val active: Int, val ageMillis: Int) : ReservationStep
}

internal object ReservationSteps {
    private const val MAXIMUM_STEPS = 80

    fun sequences(maximumWork: Int): Arbitrary<List<ReservationStep>> = Arbitraries.frequencyOf<ReservationStep>(
        weighted(12, reserveSteps(maximumWork)),
        weighted(6, numbers().map { ReservationStep.Release(it) }),
        weighted(8, reportSteps()),
        weighted(1, Combinators.combine(holders(), numberSets()).`as` { h, n -> ReservationStep.StaleReport(h, n) }),
        weighted(8, Arbitraries.integers().between(1, 900).map { ReservationStep.Advance(it) }),
        weighted(1, holders().map { ReservationStep.Restart(it) }),
        weighted(1, Arbitraries.of(true, false, false).map { ReservationStep.SetLeaving(it) }),
        weighted(1, Arbitraries.of(true, false, false).map { ReservationStep.SetExcluded(it) }),
        weighted(
            2,
            Combinators.combine(Arbitraries.integers().between(0, 8), Arbitraries.integers().between(0, 2_000))
                .`as` { active, age -> ReservationStep.ApplyLoadReport(active, age) },
        ),
    ).list().ofMaxSize(MAXIMUM_STEPS).withSizeDistribution(RandomDistribution.uniform())

    private fun weighted(
        weight: Int,
        steps: Arbitrary<out ReservationStep>,
    ): Tuple.Tuple2<Int, Arbitrary<out ReservationStep>> = Tuple.of(weight, steps)

    private fun reserveSteps(maximumWork: Int): Arbitrary<ReservationStep.Reserve> = Combinators.combine(
        numbers(),
        Arbitraries.integers().between(0, 9),
        Arbitraries.integers().between(1, maximumWork),
        Arbitraries.integers().between(0, 20_000),
        Arbitraries.of(true, false, false, false),
    ).`as` { number, priority, work, wait, last -> ReservationStep.Reserve(number, priority, work, wait, last) }

    private fun reportSteps(): Arbitrary<ReservationStep.Report> =
        Combinators.combine(holders(), numberSets(), Arbitraries.of(true, false, false, false))
            .`as` { holder, numbers, finished -> ReservationStep.Report(holder, numbers, finished) }

    private fun numbers(): Arbitrary<Int> = Arbitraries.integers().between(0, ATTEMPT_COUNT - 1)

    private fun holders(): Arbitrary<Int> = Arbitraries.integers().between(0, HOLDER_COUNT - 1)

    private fun numberSets(): Arbitrary<Set<Int>> = numbers().set().ofMaxSize(ATTEMPT_COUNT / 2)
}
