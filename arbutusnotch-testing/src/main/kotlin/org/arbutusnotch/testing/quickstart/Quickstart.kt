/*
 * Starts both example deployments, sends a mixed load and shows who served what.
 */
package org.arbutusnotch.testing.quickstart

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.arbutusnotch.testing.http.limitLogToErrors
import org.arbutusnotch.testing.launch.Deployment
import org.arbutusnotch.testing.launch.DeploymentDescription
import org.arbutusnotch.testing.launch.LaunchPaths
import org.arbutusnotch.testing.load.BelfryMix
import org.arbutusnotch.testing.load.CallerBehaviour
import org.arbutusnotch.testing.load.CallerClient
import org.arbutusnotch.testing.load.Demand
import org.arbutusnotch.testing.load.ExecutionCheck
import org.arbutusnotch.testing.load.LoadPlan
import org.arbutusnotch.testing.load.LoadResult
import org.arbutusnotch.testing.load.LoadRunner
import org.arbutusnotch.testing.load.NdiayeMix
import org.arbutusnotch.testing.load.ObservedOutcome
import org.arbutusnotch.testing.load.RequestMix
import org.arbutusnotch.testing.load.Targets
import org.arbutusnotch.testing.load.loadTable
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val INSTANCES = 6
private const val DEFAULT_SECONDS = 10
private val WARM_UP = 6.seconds
private const val WARM_UP_SEED = 1_000L

/** Starts the quick start. */
public fun main(args: Array<String>) {
    QuickstartCommand().main(args)
}

private class QuickstartCommand : CliktCommand(name = "quickstart") {
    private val project by option("--project", help = "Root of the project, built before.").path().default(Path("."))
    private val seconds by option("--seconds", help = "Time during which requests arrive.").int()
        .default(DEFAULT_SECONDS)
    private val seed by option("--seed", help = "Seed of arrivals and requests.").long().default(1)
    private val keep by option("--keep", help = "Leave the deployments running until interrupted.").flag()

    override fun help(context: Context): String = """
        Starts the Belfry and Ndiaye example deployments on loopback with emulated backend servers and sends a load.

        Exit codes: 0 when every answer was whole and nothing is left held, 1 otherwise.

        Example: bin/quickstart --seconds 5 --keep
    """.trimIndent()

    override fun run() {
        limitLogToErrors()
        val paths = LaunchPaths.ofProject(project)
        val trials = listOf(
            Trial.of(project, "belfry", BelfryMix(), BELFRY_RATE, Targets(320.milliseconds, 26.milliseconds), paths),
            Trial.of(project, "ndiaye", NdiayeMix(), NDIAYE_RATE, Targets(2.seconds, 60.milliseconds), paths),
        )
        try {
            val passed = runTrials(trials)
            if (keep) keepRunning(trials)
            if (!passed) throw ProgramResult(1)
        } finally {
            trials.forEach { it.close() }
        }
    }

    private fun runTrials(trials: List<Trial>): Boolean {
        echo("starting ${trials.sumOf { it.processCount }} processes")
        runBlocking { trials.map { async(Dispatchers.IO) { it.start() } }.awaitAll() }
        echo("warming up for ${WARM_UP.inWholeSeconds} s")
        runBlocking(Dispatchers.Default) { trials.map { async { it.warmUp() } }.awaitAll() }
        echo("sending load for $seconds s")
        runBlocking(Dispatchers.Default) {
            val progress = launch { showProgress(trials) }
            trials.map { async { it.load(seconds.seconds, seed) } }.awaitAll()
            progress.cancel()
        }
        val reports = trials.map { it.report() }
        reports.forEach { echo(it.text) }
        return reports.all { it.passed }
    }

    private suspend fun kotlinx.coroutines.CoroutineScope.showProgress(trials: List<Trial>) {
        while (isActive) {
            delay(PROGRESS_INTERVAL)
            echo(trials.joinToString("  ") { "${it.name}: sent=${it.sent} finished=${it.finished}" })
        }
    }

    private fun keepRunning(trials: List<Trial>) {
        trials.forEach { echo(it.addressText()) }
        echo("Press Ctrl-C to stop. Commands to try:")
        val trial = trials.first()
        trial.commands().forEach { echo("  $it") }
        Thread.currentThread().join()
    }

    private companion object {
        const val BELFRY_RATE = 12.0
        const val NDIAYE_RATE = 10.0
        val PROGRESS_INTERVAL = 2.seconds
    }
}

private class TrialReport(val text: String, val passed: Boolean)

/** Runs one deployment and its load. */
private class Trial(
    private val deployment: Deployment,
    private val mix: RequestMix,
    private val rate: Double,
    private val targets: Targets,
) : AutoCloseable {
    private val client = CallerClient(deployment.entryAddresses, CallerBehaviour(patience = 1.seconds))
    private val runner = LoadRunner(client)
    private val warmUpRunner = LoadRunner(client)
    private var warmUpResult = LoadResult(emptyList())
    private var result = LoadResult(emptyList())

    val name: String get() = deployment.description.name
    val sent: Int get() = runner.sent
    val finished: Int get() = runner.finished
    val processCount: Int
        get() = deployment.description.run { 1 + engines.size + services.size + instances.size }

    fun start() {
        deployment.start(START_TIMEOUT)
        deployment.awaitFullView(VIEW_TIMEOUT)
    }

    /** Lets the processes compile what they run most; latencies of this load are not reported, its answers count. */
    suspend fun warmUp() {
        warmUpResult = warmUpRunner.run(LoadPlan.draw(mix, Demand.Steady(rate / 2), WARM_UP, WARM_UP_SEED))
    }

    suspend fun load(duration: Duration, seed: Long) {
        result = runner.run(LoadPlan.draw(mix, Demand.Steady(rate), duration, seed))
    }

    fun report(): TrialReport {
        val released = deployment.awaitNothingHeld(RELEASE_TIMEOUT)
        val records = warmUpResult.records + result.records
        val executions = ExecutionCheck.of(records, deployment.executions())
        val unknown = records.count { it.outcome == ObservedOutcome.UNKNOWN }
        val answered = result.records.count { it.outcome == ObservedOutcome.ANSWERED }
        val faulty = warmUpResult.faulty + result.faulty
        val passed = released && executions.isClean && unknown == 0 && faulty == 0 && answered > 0
        val text = buildString {
            appendLine("== $name: ${if (passed) "passed" else "FAILED"}")
            append(loadTable(result, targets))
            append(serverTable())
            appendLine("  with warm-up: requests=${records.size} unknown=$unknown faulty=$faulty")
            appendLine("  held_after_load=${!released} non-idempotent calls: $executions")
        }
        return TrialReport(text, passed)
    }

    fun addressText(): String = buildString {
        appendLine("$name:")
        deployment.instanceIds.forEach { id ->
            val addresses = deployment.instance(id)
            appendLine("  $id entry=${addresses.entry} operator=${addresses.operator}")
        }
    }

    fun commands(): List<String> {
        val addresses = deployment.instance(deployment.instanceIds.first())
        val key = "Bearer demo-harbour-guides"
        return listOf(
            "curl -s http://${addresses.entry}/v1/entry-points",
            "curl -sN http://${addresses.entry}/v1/completions -H 'authorization: $key' " +
                """-d '{"model":"safety-briefing","prompt":"tower log","max_tokens":20,"stream":true}'""",
            "curl -s http://${addresses.operator}/operator/status",
        )
    }

    override fun close() {
        client.close()
        deployment.close()
    }

    private fun serverTable(): String = buildString {
        appendLine("  %-22s %9s %9s %9s %9s".format("server", "prefills", "wasted", "streams", "tokens"))
        deployment.description.engines.forEach { engine ->
            val statistics = deployment.engineStatistics(engine.id)
            appendLine(
                "  %-22s %9s %9s %9s %9s".format(
                    engine.id,
                    statistics?.prefillResults,
                    statistics?.prefillResultsWasted,
                    statistics?.streamsCompleted,
                    statistics?.tokensGenerated,
                ),
            )
        }
        deployment.executions().zip(deployment.description.services).forEach { (report, service) ->
            appendLine("  %-22s calls=%d".format(service.id, report.executions.sumOf { it.count }))
        }
    }

    companion object {
        private val START_TIMEOUT = 60.seconds
        private val VIEW_TIMEOUT = 10.seconds
        private val RELEASE_TIMEOUT = 5.seconds

        @Suppress("LongParameterList")
        fun of(
            project: Path,
            name: String,
            mix: RequestMix,
            rate: Double,
            targets: Targets,
            paths: LaunchPaths,
        ): Trial {
            val file = project.resolve("examples/$name.toml").readText()
            val description = DeploymentDescription.of(file, INSTANCES).let {
                // The second compiler takes more processor time in the first seconds than it saves in a short run.
                it.copy(daemonFlags = it.daemonFlags + "-XX:TieredStopAtLevel=1")
            }
            return Trial(Deployment(description, paths), mix, rate, targets)
        }
    }
}
