/*
 * The steps of the reservation properties: what entries, network and operators do to the owner of one server.
 */
package org.arbutusnotch.core.reservation

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.RandomDistribution
import net.jqwik.api.Tuple

internal const val HOLDERS = 4
internal const val ATTEMPT_NUMBERS = 24

/** Describes one step; an attempt number always belongs to the same instance, `number % HOLDERS`. */
internal sealed interface ReservationStep {
    /** A request; a repeated number is a duplicate of the network or a request after a release. */
    data class Ask(
        val number: Int,
        val priority: Int,
        val work: Int,
        val patienceMillis: Int,
        val lastResort: Boolean,
    ) : ReservationStep

    /** A release; it may come twice, late, or before its request. */
    data class Release(val number: Int) : ReservationStep

    /** A report of a part of the attempts of one instance; unknown ones were granted by another owner. */
    data class Report(val holder: Int, val numbers: Set<Int>, val finished: Boolean) : ReservationStep

    /** A delayed report of the incarnation before the current one. */
    data class StaleReport(val holder: Int, val numbers: Set<Int>) : ReservationStep

    data class Wait(val millis: Int) : ReservationStep

    /** The instance is restarted and the owner learns of it. */
    data class Restart(val holder: Int) : ReservationStep

    /** The operators take the server out of service or back. */
    data class SetLeaving(val leaving: Boolean) : ReservationStep

    /** The server becomes slow or fast again. */
    data class SetExcluded(val excluded: Boolean) : ReservationStep

    /** A load report of the server that is [ageMillis] old. */
    data class Correct(val active: Int, val ageMillis: Int) : ReservationStep
}

internal object ReservationSteps {
    private const val LONGEST_SEQUENCE = 80

    fun sequences(largestWork: Int): Arbitrary<List<ReservationStep>> = Arbitraries.frequencyOf<ReservationStep>(
        weighted(12, asks(largestWork)),
        weighted(6, numbers().map { ReservationStep.Release(it) }),
        weighted(8, reports()),
        weighted(1, Combinators.combine(holders(), numberSets()).`as` { h, n -> ReservationStep.StaleReport(h, n) }),
        weighted(8, Arbitraries.integers().between(1, 900).map { ReservationStep.Wait(it) }),
        weighted(1, holders().map { ReservationStep.Restart(it) }),
        weighted(1, Arbitraries.of(true, false, false).map { ReservationStep.SetLeaving(it) }),
        weighted(1, Arbitraries.of(true, false, false).map { ReservationStep.SetExcluded(it) }),
        weighted(
            2,
            Combinators.combine(Arbitraries.integers().between(0, 8), Arbitraries.integers().between(0, 2_000))
                .`as` { active, age -> ReservationStep.Correct(active, age) },
        ),
    ).list().ofMaxSize(LONGEST_SEQUENCE).withSizeDistribution(RandomDistribution.uniform())

    private fun weighted(
        weight: Int,
        steps: Arbitrary<out ReservationStep>,
    ): Tuple.Tuple2<Int, Arbitrary<out ReservationStep>> = Tuple.of(weight, steps)

    private fun asks(largestWork: Int): Arbitrary<ReservationStep.Ask> = Combinators.combine(
        numbers(),
        Arbitraries.integers().between(0, 9),
        Arbitraries.integers().between(1, largestWork),
        Arbitraries.integers().between(0, 20_000),
        Arbitraries.of(true, false, false, false),
    ).`as` { number, priority, work, patience, last -> ReservationStep.Ask(number, priority, work, patience, last) }

    private fun reports(): Arbitrary<ReservationStep.Report> =
        Combinators.combine(holders(), numberSets(), Arbitraries.of(true, false, false, false))
            .`as` { holder, numbers, finished -> ReservationStep.Report(holder, numbers, finished) }

    private fun numbers(): Arbitrary<Int> = Arbitraries.integers().between(0, ATTEMPT_NUMBERS - 1)

    private fun holders(): Arbitrary<Int> = Arbitraries.integers().between(0, HOLDERS - 1)

    private fun numberSets(): Arbitrary<Set<Int>> = numbers().set().ofMaxSize(ATTEMPT_NUMBERS / 2)
}
