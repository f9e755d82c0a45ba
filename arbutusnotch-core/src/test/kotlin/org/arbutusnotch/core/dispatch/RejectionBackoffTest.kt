/*
 * Guards against prompts that are processed for an engine that rejects all runs for seconds.
 *
 * A decode server was ordered to change its stage by a dispatcher that then stopped. The next dispatcher did not know
 * of the order and placed 40 runs on the server within six seconds, all of which it rejected.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RejectionBackoffTest {
    private val engine = EngineProfile(slots = 16, memoryTokens = 28_000)
    private val servers = listOf(
        server("p", ServerStage.PREFILL, slots = 16),
        server("q", ServerStage.PREFILL, slots = 16),
        server("d", ServerStage.DECODE, slots = 16),
        server("e", ServerStage.DECODE, slots = 16),
    )

    private class Run(val place: DispatchDecision.Granted, val endsAt: Int, val outcome: PlaceOutcome)

    /** Plays [seconds] with ten requests a second and returns the number of runs placed on the server that rejects. */
    private fun DispatchFixture.play(seconds: Int, rejects: Boolean): Int {
        val runs = mutableListOf<Run>()
        var placedOnRejecting = 0
        repeat(seconds * STEPS_PER_SECOND) { step ->
            val ended = runs.filter { it.endsAt <= step }
            runs -= ended
            val work = DispatchWork.Generation(promptTokens = 3_000, expectedOutputTokens = 70)
            val decisions = ended.flatMap { release(it.place, outcome = it.outcome) } + dispatcher.tick(now) +
                submit(request(work, objective = 2.seconds, remaining = 10.seconds))
            decisions.granted().forEach { place ->
                release(place, PlacePart.PREFILL)
                val onRejecting = place.server.value == "e"
                if (onRejecting) placedOnRejecting += 1
                runs += when {
                    onRejecting && rejects -> Run(place, step + REJECTION_STEPS, PlaceOutcome.NOT_RUN)
                    else -> Run(place, step + RUN_STEPS, PlaceOutcome.COMPLETED)
                }
            }
            advance(100.milliseconds)
        }
        return placedOnRejecting
    }

    @Test
    fun `engine that rejects all runs gets few of them and the full load soon after it accepts one`() {
        val fixture = DispatchFixture(servers, engine)
        expectThat(fixture.play(seconds = 6, rejects = true)).isLessThanOrEqualTo(8)
        expectThat(fixture.play(seconds = 12, rejects = false)).isGreaterThanOrEqualTo(12)
    }

    private companion object {
        const val STEPS_PER_SECOND = 10
        const val REJECTION_STEPS = 2
        const val RUN_STEPS = 20
    }
}
