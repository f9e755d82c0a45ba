/*
 * Compares routing policies with real daemons and emulated engines. Every policy gets the same requests and events.
 */
package org.arbutusnotch.testing.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import org.arbutusnotch.settings.DeploymentConfigurationReader
import org.arbutusnotch.testing.http.limitLogToErrors
import org.arbutusnotch.testing.launch.Deployment
import org.arbutusnotch.testing.launch.DeploymentDescription
import org.arbutusnotch.testing.launch.LaunchPaths
import org.arbutusnotch.testing.load.BelfryMix
import org.arbutusnotch.testing.load.CallerProfile
import org.arbutusnotch.testing.load.Demand
import org.arbutusnotch.testing.load.LatencyTargets
import org.arbutusnotch.testing.load.LoadPlan
import org.arbutusnotch.testing.load.LoadResult
import org.arbutusnotch.testing.load.NdiayeMix
import org.arbutusnotch.testing.load.PlannedRequest
import org.arbutusnotch.testing.load.PromptDescription
import org.arbutusnotch.testing.load.RequestMix
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val REPORT_JSON = Json { prettyPrint = true }
private const val DEFAULT_SECONDS = 20
private const val DEFAULT_INSTANCES = 6

/** Runs the benchmark. */
public fun main(args: Array<String>) {
    System.setProperty("java.awt.headless", "true")
    BenchCommand().main(args)
}

private class BenchCommand : CliktCommand(name = "bench") {
    private val project by option("--project", help = "Root of the project, built before.").path().default(Path("."))
    private val mix by option("--deployment", help = "Deployment to run.")
        .choice(mapOf("belfry" to BelfryMix(), "ndiaye" to NdiayeMix())).default(BelfryMix())
    private val scenario by option("--scenario", help = "What happens during a run.")
        .choice(Scenario.entries.associateBy { it.code }).default(Scenario.STEADY)
    private val policies by option("--policy", help = "Policies, comma separated.").split(",")
        .default(listOf("chosen", "round-robin", "least-reported-load"))
    private val seeds by option("--seed", help = "Seeds, comma separated; every policy runs each.").split(",")
        .default(listOf("1"))
    private val seconds by option("--seconds", help = "Time during which requests arrive, per run.").int()
        .default(DEFAULT_SECONDS)
    private val loadShare by option("--load-share", help = "Mean demand as a share of the engine capacity.").double()
    private val instances by option("--instances", help = "Number of instances.").int().default(DEFAULT_INSTANCES)
    private val report by option("--report", help = "JSON report; the chart goes beside it.").path()

    override fun help(context: Context): String = """
        Compares routing policies with emulated engines and real instances.

        Exit codes: 0 when every answer was complete and correct, no engine memory stays allocated and no booking was
        duplicated, lost or refused as not run although it ran; 1 otherwise.

        Example: bin/bench --scenario stragglers --seed 1,2 --seconds 20 --report /tmp/stragglers.json
    """.trimIndent()

    override fun run() {
        limitLogToErrors()
        val bench = Bench(project, mix, scenario, instances)
        val rate = bench.requestsPerSecond(loadShare ?: scenario.loadShare)
        echo("deployment=${mix.deployment} scenario=${scenario.code} requests_per_second=%.1f".format(rate))
        val runs = policies.associateWith { mutableListOf<RunMeasurement>() }
        seeds.map { it.trim().toLong() }.forEachIndexed { index, seed ->
            // The order rotates, so that no policy always runs first on a cold machine.
            policies.indices.map { policies[(it + index) % policies.size] }.forEach { policy ->
                echo("running policy=$policy seed=$seed")
                runs.getValue(policy) += bench.run(policy, seed, rate, seconds.seconds)
            }
        }
        report(bench, rate, runs)
    }

    private fun report(bench: Bench, rate: Double, runs: Map<String, List<RunMeasurement>>) {
        val result = BenchReport(
            deployment = mix.deployment,
            scenario = scenario.code,
            seeds = seeds.map { it.trim().toLong() },
            secondsPerRun = seconds,
            requestsPerSecond = rate,
            policies = runs.map { (policy, measurements) -> bench.summarize(policy, measurements) },
        )
        result.policies.forEach { echo(it.text()) }
        report?.let { file ->
            file.writeText(REPORT_JSON.encodeToString(result))
            val chart = file.resolveSibling("${file.fileName}.svg")
            val results = runs.mapValues { (_, all) -> LoadResult(all.flatMap { it.result.records }) }
            writeFirstTokenChart("${mix.deployment}, ${scenario.code}", results, chart)
            echo("report=$file chart=$chart")
        }
        val faultyCount = runs.values.flatten().sumOf { it.result.faultyCount }
        val clean = result.policies.all { it.heldBlocks == 0 } && runs.values.flatten().all { it.executions.isClean }
        // Killing an instance breaks the connections of its callers; only then may requests end without an outcome.
        if (!clean || (faultyCount > 0 && scenario != Scenario.INSTANCE_LOSS)) throw ProgramResult(1)
    }
}

/** Runs and summarizes the benchmark of one deployment and scenario. */
private class Bench(project: Path, private val mix: RequestMix, private val scenario: Scenario, instances: Int) {
    private val file = project.resolve("examples/${mix.deployment}.toml").readText()
    private val description = DeploymentDescription.of(file, instances)
    private val paths = LaunchPaths.ofProject(project)
    private val targets = DeploymentConfigurationReader.read(file.encodeToByteArray(), "operators.toml")
        .getOrElse { errors -> throw IllegalArgumentException(errors.joinToString("\n")) }
        .targets
        .let { LatencyTargets(it.firstToken, it.betweenTokens) }

    /** Returns the total request rate at which the completions use [share] of the capacity of the engines. */
    fun requestsPerSecond(share: Double): Double {
        val sample = LoadPlan.draw(mix, Demand.Steady(SAMPLE_RATE), SAMPLE_TIME, SAMPLE_SEED)
        val completions = sample.requests.count { it.request is PlannedRequest.Completion }
        val completionsPerSecond = EngineCapacity(description).completionsPerSecond(sample) * share
        return completionsPerSecond * sample.requests.size / completions
    }

    fun run(policy: String, seed: Long, rate: Double, duration: Duration): RunMeasurement {
        val plan = RunPlan(
            scenario = scenario,
            warmUp = LoadPlan.draw(mix, Demand.Steady(rate / 2), WARM_UP, WARM_UP_SEED),
            load = LoadPlan.draw(mix, scenario.demand(rate, duration), duration, seed),
            duration = duration,
            seed = seed,
            poisonRequest = poisonRequest(),
        )
        return Deployment(description.copy(policy = policy), paths).use { PolicyRun(it, plan).run() }
    }

    fun summarize(policy: String, runs: List<RunMeasurement>): PolicyReport {
        val combined = LoadResult(runs.flatMap { it.result.records })
        val counters = runs.flatMap {
            it.counters.entries
        }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
        val tokens = runs.sumOf { it.computedPrefillTokens }
        return PolicyReport(
            policy = policy,
            runs = runs.size,
            requests = combined.records.size,
            goodputOfOffered = combined.goodput(targets),
            goodputOfCarriable = combined.goodput(targets) * combined.completions.size /
                runs.sumOf { it.sustainableCompletions },
            priorities = combined.priorities().map { priority ->
                PriorityReport(
                    priority = priority,
                    firstTokenMillis = combined.timeToFirstToken(priority).toReport(),
                    betweenTokensMillis = combined.tokenInterval(priority).toReport(),
                )
            },
            serviceCallMillis = combined.serviceCalls().toReport(),
            outcomes = combined.outcomes(),
            wastedPrefillShare = if (tokens == 0L) 0.0 else runs.sumOf { it.wastedPrefillTokens }.toDouble() / tokens,
            refusals = counters.countersNamed("refusals"),
            retries = counters.countersNamed("retries"),
            heldBlocks = runs.sumOf { it.heldBlocks },
            engineCrashes = runs.sumOf { it.engineCrashes },
            duplicateExecutions = runs.sumOf { it.executions.duplicates },
            lostExecutions = runs.sumOf { it.executions.lost },
            falselyNotRun = runs.sumOf { it.executions.falselyNotRun },
            controlBytesPerSecond = runs.sumOf { it.controlBytesPerSecond } / runs.size,
            processorShare = runs.sumOf { it.processorShare } / runs.size,
        )
    }

    private fun Map<String, Double>.countersNamed(name: String): Map<String, Double> =
        filter { (key, value) -> key.startsWith("$name{") && value > 0 }
            .mapKeys { it.key.removePrefix(name) }
            .toSortedMap()

    private fun poisonRequest(): PlannedRequest.Completion {
        val caller: CallerProfile
        val model: String
        if (mix.deployment == "belfry") {
            caller = CallerProfile.demo("harbour-families", priority = 3)
            model = "safety-briefing"
        } else {
            caller = CallerProfile.demo("planners", priority = 2)
            model = "inventory-sheet"
        }
        val prompt = PromptDescription(tokens = POISON_TOKENS, seed = 1, marker = " crash-the-engine")
        return PlannedRequest.Completion(caller, "poison", model, prompt, maxTokens = POISON_OUTPUT_TOKENS)
    }

    private companion object {
        const val SAMPLE_RATE = 100.0
        val SAMPLE_TIME = 20.seconds
        const val SAMPLE_SEED = 7L
        val WARM_UP = 6.seconds
        const val WARM_UP_SEED = 1_000L
        const val POISON_TOKENS = 3_000
        const val POISON_OUTPUT_TOKENS = 60
    }
}
