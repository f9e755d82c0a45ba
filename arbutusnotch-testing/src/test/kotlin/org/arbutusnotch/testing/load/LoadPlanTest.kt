/*
 * Tests that plans are reproducible, so that a benchmark compares policies under the same load.
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
    fun `equal seeds draw equal plans and different seeds different ones`() {
        val plans = listOf(1L, 1L, 2L).map { LoadPlan.draw(BelfryMix(), Demand.Steady(50.0), 10.seconds, it) }
        val arrivals = plans.map { plan -> plan.requests.map { it.arrival to it.request } }

        expectThat(arrivals[0]).isEqualTo(arrivals[1])
        expectThat(arrivals[0]).isNotEqualTo(arrivals[2])
        expectThat(arrivals[0].size).isIn(400..600)
    }

    /** Guards against a demand that does not rise to its peak. */
    @Test
    fun `crest raises the arrivals to three times the mean`() {
        val demand = Demand.Crest(requestsPerSecond = 50.0, start = 10.seconds, peakDuration = 10.seconds)
        val plan = LoadPlan.draw(NdiayeMix(), demand, 30.seconds, seed = 3)
        val countBefore = plan.requests.count { it.arrival < 10.seconds }
        val countAtPeak = plan.requests.count { it.arrival >= 12.seconds && it.arrival < 22.seconds }

        expectThat(countAtPeak).isGreaterThan(2 * countBefore)
    }

    /** Guards against prompts that share no block, so that no prefix is ever cached, and against wrong lengths. */
    @Test
    fun `prompts have the described length and share their prefix`() {
        val prompts = (1L..2).map { PromptDescription(5_000, seed = it, prefixTokens = 2_100, prefixSeed = 9).text() }

        expectThat(prompts.map(ExpectedOutput::promptTokens)).isEqualTo(listOf(5_000, 5_000))
        val digests = prompts.map(ExpectedOutput::prefixDigests)
        expectThat(digests[0].take(2)).isEqualTo(digests[1].take(2))
        expectThat(digests[0][2]).isNotEqualTo(digests[1][2])
    }

    /** Guards against emulator digests that the router does not recognize, so that it would not see cached prefixes. */
    @Test
    fun `prefix digests equal those of the router`() {
        val prompt = PromptDescription(5_000, seed = 1).text()
        expectThat(ExpectedOutput.prefixDigests(prompt)).isEqualTo(PromptDigests.prefixDigests(prompt).map { it.value })
    }
}
