/*
 * What the emulated engines can carry, computed from their settings and the requests of a plan.
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
 * Estimates the capacity of the engines of [description]: prefill without queueing losses and with every shared block
 * cached, decode with full batches.
 */
internal class EngineCapacity(description: DeploymentDescription) {
    private val settings = EngineSettings(address = "")
    private val prefillEngines = description.engines.count { it.role == EngineRole.PREFILL }
    private val decodeTokensPerSecond = description.engines.filter { it.role == EngineRole.DECODE }.sumOf { engine ->
        engine.slots / (settings.stepBase + settings.stepPerRequest * engine.slots).toDouble(DurationUnit.SECONDS)
    }

    /** Returns the completions per second that can be carried when requests are like those of [plan]. */
    fun completionsPerSecond(plan: LoadPlan): Double {
        val completions = completions(plan)
        val prefillSeconds = completions.sumOf { prefillSeconds(it.second) } / completions.size
        val tokens = completions.sumOf { it.second.maxTokens }.toDouble() / completions.size
        return minOf(prefillEngines / prefillSeconds, decodeTokensPerSecond / tokens)
    }

    /** Returns how many completions of [plan] can be carried if no work moves from one second to another. */
    fun carriable(plan: LoadPlan): Double = completions(plan)
        .groupBy({ it.first.inWholeSeconds }, { it.second })
        .values
        .sumOf { second -> second.size * share(second) }

    private fun share(second: List<PlannedRequest.Completion>): Double = minOf(
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

    private fun completions(plan: LoadPlan): List<Pair<Duration, PlannedRequest.Completion>> =
        plan.requests.mapNotNull { scheduled ->
            (scheduled.request as? PlannedRequest.Completion)?.let { scheduled.arrival to it }
        }
}
