/*
 * Starts both example deployments, sends a mixed load and prints what each instance and backend server did.
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
import org.arbutusnotch.testing.load.CallerClient
import org.arbutusnotch.testing.load.CallerSettings
import org.arbutusnotch.testing.load.Demand
import org.arbutusnotch.testing.load.ExecutionCheck
import org.arbutusnotch.testing.load.LatencyTargets
import org.arbutusnotch.testing.load.LoadPlan
import org.arbutusnotch.testing.load.LoadResult
import org.arbutusnotch.testing.load.LoadRunner
import org.arbutusnotch.testing.load.NdiayeMix
import org.arbutusnotch.testing.load.ObservedOutcome
import org.arbutusnotch.testing.load.RequestMix
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

/** Runs the quick start. */
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

        Exit codes: 0 when every outcome is known, every answer was complete and correct, and no engine memory
        stays allocated; 1 otherwise.

        Example: bin/quickstart --seconds 5 --keep
    """.trimIndent()

    override fun run() {
        limitLogToErrors()
        val paths = LaunchPaths.ofProject(project)
        val deploymentRuns = listOf(
            DeploymentRun.of(
                project,
                "belfry",
                BelfryMix(),
                BELFRY_RATE,
                LatencyTargets(320.milliseconds, 26.milliseconds),
                paths,
            ),
            DeploymentRun.of(
                project,
                "ndiaye",
                NdiayeMix(),
                NDIAYE_RATE,
                LatencyTargets(2.seconds, 60.milliseconds),
                paths,
            ),
        )
        try {
            val passed = runAll(deploymentRuns)
            if (keep) keepRunning(deploymentRuns)
            if (!passed) throw ProgramResult(1)
        } finally {
            deploymentRuns.forEach { it.close() }
        }
    }

    private fun runAll(deploymentRuns: List<DeploymentRun>): Boolean {
        echo("starting ${deploymentRuns.sumOf { it.processCount }} processes")
        runBlocking { deploymentRuns.map { async(Dispatchers.IO) { it.start() } }.awaitAll() }
        echo("warming up for ${WARM_UP.inWholeSeconds} s")
        runBlocking(Dispatchers.Default) { deploymentRuns.map { async { it.warmUp() } }.awaitAll() }
        echo("sending load for $seconds s")
        runBlocking(Dispatchers.Default) {
            val progress = launch { showProgress(deploymentRuns) }
            deploymentRuns.map { async { it.sendLoad(seconds.seconds, seed) } }.awaitAll()
            progress.cancel()
        }
        val reports = deploymentRuns.map { it.report() }
        reports.forEach { echo(it.text) }
        return reports.all { it.passed }
    }

    private suspend fun kotlinx.coroutines.CoroutineScope.showProgress(deploymentRuns: List<DeploymentRun>) {
        while (isActive) {
            delay(PROGRESS_INTERVAL)
            echo(deploymentRuns.joinToString("  ") { "${it.name}: sent=${it.sent} finished=${it.finished}" })
        }
    }

    private fun keepRunning(deploymentRuns: List<DeploymentRun>) {
        deploymentRuns.forEach { echo(it.addressText()) }
        echo("Press Ctrl-C to stop. Commands to try:")
        val firstRun = deploymentRuns.first()
        firstRun.commands().forEach { echo("  $it") }
        Thread.currentThread().join()
    }

    private companion object {
        const val BELFRY_RATE = 12.0
        const val NDIAYE_RATE = 10.0
        val PROGRESS_INTERVAL = 2.seconds
    }
}

private class DeploymentRunReport(val text: String, val passed: Boolean)

/** Starts one deployment, sends its load and reports the result. */
private class DeploymentRun(
    private val deployment: Deployment,
    private val mix: RequestMix,
    private val rate: Double,
    private val targets: LatencyTargets,
) : AutoCloseable {
    private val client = CallerClient(deployment.entryAddresses, CallerSettings(maxRetryDelay = 1.seconds))
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
        deployment.awaitAllPeersReachable(PEERS_TIMEOUT)
    }

    /** Lets the JVMs compile their hot code. The answers to this load are checked, its latencies are not reported. */
    suspend fun warmUp() {
        warmUpResult = warmUpRunner.run(LoadPlan.draw(mix, Demand.Steady(rate / 2), WARM_UP, WARM_UP_SEED))
    }

    suspend fun sendLoad(duration: Duration, seed: Long) {
        result = runner.run(LoadPlan.draw(mix, Demand.Steady(rate), duration, seed))
    }

    fun report(): DeploymentRunReport {
        val released = deployment.awaitNoAllocations(RELEASE_TIMEOUT)
        val records = warmUpResult.records + result.records
        val executions = ExecutionCheck.of(records, deployment.executions())
        val unknown = records.count { it.outcome == ObservedOutcome.UNKNOWN }
        val answered = result.records.count { it.outcome == ObservedOutcome.ANSWERED }
        val faultyCount = warmUpResult.faultyCount + result.faultyCount
        val passed = released && executions.isClean && unknown == 0 && faultyCount == 0 && answered > 0
        val text = buildString {
            appendLine("== $name: ${if (passed) "passed" else "FAILED"}")
            append(loadTable(result, targets))
            append(serverTable())
            appendLine("  with warm-up: requests=${records.size} unknown=$unknown faulty=$faultyCount")
            appendLine("  held_after_load=${!released} non-idempotent calls: $executions")
        }
        return DeploymentRunReport(text, passed)
    }

    fun addressText(): String = buildString {
        appendLine("$name:")
        deployment.instanceIds.forEach { id ->
            val addresses = deployment.addressesOf(id)
            appendLine("  $id entry=${addresses.entry} operator=${addresses.operator}")
        }
    }

    fun commands(): List<String> {
        val addresses = deployment.addressesOf(deployment.instanceIds.first())
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
        private val PEERS_TIMEOUT = 10.seconds
        private val RELEASE_TIMEOUT = 5.seconds

        @Suppress("LongParameterList")
        fun of(
            project: Path,
            name: String,
            mix: RequestMix,
            rate: Double,
            targets: LatencyTargets,
            paths: LaunchPaths,
        ): DeploymentRun {
            val file = project.resolve("examples/$name.toml").readText()
            val description = DeploymentDescription.of(file, INSTANCES).let {
                // The C2 compiler uses more processor time in the first seconds than it saves in a short run.
                it.copy(daemonFlags = it.daemonFlags + "-XX:TieredStopAtLevel=1")
            }
            return DeploymentRun(Deployment(description, paths), mix, rate, targets)
        }
    }
}
