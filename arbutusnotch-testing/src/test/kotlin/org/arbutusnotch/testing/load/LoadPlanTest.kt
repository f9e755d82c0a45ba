/*
 * A plan must be the same for every policy that a benchmark compares.
 */
package org.arbutusnotch.testing.load

import org.arbutusnotch.core.routing.PromptDigests
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration.Companion.seconds

class LoadPlanTest {
    /** Guards against comparisons of policies under different loads. */
    @Test
    fun `same seed draws the same plan and another seed another one`() {
        val plans = listOf(1L, 1L, 2L).map { LoadPlan.draw(BelfryMix(), Demand.Steady(50.0), 10.seconds, it) }
        val drawn = plans.map { plan -> plan.requests.map { it.arrival to it.request } }

        expectThat(drawn[0]).isEqualTo(drawn[1])
        expectThat(drawn[0]).isNotEqualTo(drawn[2])
        expectThat(drawn[0].size).isIn(400..600)
    }

    /** Guards against a crest that never comes. */
    @Test
    fun `crest has three times the arrivals`() {
        val demand = Demand.Crest(perSecond = 50.0, start = 10.seconds, top = 10.seconds)
        val plan = LoadPlan.draw(NdiayeMix(), demand, 30.seconds, seed = 3)
        val before = plan.requests.count { it.arrival < 10.seconds }
        val during = plan.requests.count { it.arrival >= 12.seconds && it.arrival < 22.seconds }

        expectThat(during).isGreaterThan(2 * before)
    }

    /** Guards against prompts that share no block, with which no prefix cache helps, and against wrong lengths. */
    @Test
    fun `prompts have the described length and share their prefix`() {
        val prompts = (1L..2).map { PromptDescription(5_000, seed = it, prefixTokens = 2_100, prefixSeed = 9).text() }

        expectThat(prompts.map(ExpectedOutput::promptTokens)).isEqualTo(listOf(5_000, 5_000))
        val digests = prompts.map(ExpectedOutput::prefixDigests)
        expectThat(digests[0].take(2)).isEqualTo(digests[1].take(2))
        expectThat(digests[0][2]).isNotEqualTo(digests[1][2])
    }

    /** Guards against digests of the emulator that the router does not recognise, which would hide cached prefixes. */
    @Test
    fun `prefix digests equal those of the router`() {
        val prompt = PromptDescription(5_000, seed = 1).text()
        expectThat(ExpectedOutput.prefixDigests(prompt)).isEqualTo(PromptDigests.prefixDigests(prompt).map { it.value })
    }
}
