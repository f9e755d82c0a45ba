/*
 * Capacity of the emulated engines, computed from their settings and the requests of a plan.
 */
package org.arbutusnotch.testing.bench

import org.arbutusnotch.testing.engine.EngineRole
import org.arbutusnotch.testing.engine.EngineSettings
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.launch.DeploymentDescription
import org.arbutusnotch.testing.load.LoadPlan
import org.arbutusnotch.testing.load.PlannedRequest
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Estimates the capacity of the engines of [description]. Assumes that prefill has no queueing losses and finds every
 * shared block in the cache, and that decode runs full batches.
 */
internal class EngineCapacity(description: DeploymentDescription) {
    private val settings = EngineSettings(address = "")
    private val prefillEngines = description.engines.count { it.role == EngineRole.PREFILL }
    private val decodeTokensPerSecond = description.engines.filter { it.role == EngineRole.DECODE }.sumOf { engine ->
        engine.slots / (settings.stepBase + settings.stepPerRequest * engine.slots).toDouble(DurationUnit.SECONDS)
    }

    /** Returns the completions per second that the engines sustain for requests like those of [plan]. */
    fun completionsPerSecond(plan: LoadPlan): Double {
        val completions = completionsWithArrival(plan)
        val prefillSeconds = completions.sumOf { prefillSeconds(it.second) } / completions.size
        val tokens = completions.sumOf { it.second.maxTokens }.toDouble() / completions.size
        return minOf(prefillEngines / prefillSeconds, decodeTokensPerSecond / tokens)
    }

    /** Returns the number of completions of [plan] that the engines sustain if no work moves to a later second. */
    fun sustainableCompletions(plan: LoadPlan): Double = completionsWithArrival(plan)
        .groupBy({ it.first.inWholeSeconds }, { it.second })
        .values
        .sumOf { second -> second.size * sustainableShare(second) }

    private fun sustainableShare(second: List<PlannedRequest.Completion>): Double = minOf(
        1.0,
        prefillEngines / second.sumOf(::prefillSeconds),
        decodeTokensPerSecond / second.sumOf { it.maxTokens },
    )

    private fun prefillSeconds(completion: PlannedRequest.Completion): Double {
        val blockTokens = ExpectedOutput.TOKENS_PER_BLOCK
        val cached = completion.prompt.prefixTokens / blockTokens * blockTokens
        val time = settings.prefillBase + settings.prefillPerToken * (completion.prompt.tokens - cached)
        return time.toDouble(DurationUnit.SECONDS)
    }

    private fun completionsWithArrival(plan: LoadPlan): List<Pair<Duration, PlannedRequest.Completion>> =
        plan.requests.mapNotNull { scheduled ->
            (scheduled.request as? PlannedRequest.Completion)?.let { scheduled.arrival to it }
        }
}
