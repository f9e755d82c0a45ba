/*
 * One measured run of a policy: starts a deployment, warms it up, sends the load with the events of the scenario, and
 * collects the measurements of engines and instances.
 */
package org.arbutusnotch.testing.bench

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.arbutusnotch.testing.engine.EngineFault
import org.arbutusnotch.testing.engine.EngineStatistics
import org.arbutusnotch.testing.launch.Deployment
import org.arbutusnotch.testing.load.CallerClient
import org.arbutusnotch.testing.load.CallerSettings
import org.arbutusnotch.testing.load.ExecutionCheck
import org.arbutusnotch.testing.load.LoadPlan
import org.arbutusnotch.testing.load.LoadResult
import org.arbutusnotch.testing.load.LoadRunner
import org.arbutusnotch.testing.load.PlannedRequest
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** Holds the loads and events of a run, which are the same for every policy. */
internal class RunPlan(
    val scenario: Scenario,
    val warmUp: LoadPlan,
    val load: LoadPlan,
    val duration: Duration,
    val seed: Long,
    val poisonRequest: PlannedRequest.Completion,
)

/** Holds the measurements of one run. */
internal class RunMeasurement(
    val result: LoadResult,
    val sustainableCompletions: Double,
    val computedPrefillTokens: Long,
    val wastedPrefillTokens: Long,
    val counters: Map<String, Double>,
    val heldBlocks: Int,
    val engineCrashes: Int,
    val executions: ExecutionCheck,
    val controlBytesPerSecond: Double,
    val processorShare: Double,
)

/** Starts [deployment] and runs [plan] against it. */
internal class PolicyRun(private val deployment: Deployment, private val plan: RunPlan) {
    private val engines = deployment.description.engines.map { it.id }
    private val instances = deployment.instanceIds
    private val crashes = AtomicInteger()

    fun run(): RunMeasurement {
        deployment.start(START_TIMEOUT)
        deployment.awaitAllPeersReachable(PEERS_TIMEOUT)
        return CallerClient(deployment.entryAddresses, BENCH_CALLER_SETTINGS).use { client ->
            runBlocking(Dispatchers.Default) { LoadRunner(client).run(plan.warmUp) }
            deployment.awaitNoAllocations(RELEASE_TIMEOUT)
            measure(client)
        }
    }

    private fun measure(client: CallerClient): RunMeasurement {
        val enginesBefore = statistics()
        val countersBefore = counters()
        val processorBefore = processorTime()
        val start = TimeSource.Monotonic.markNow()
        val result = runBlocking(Dispatchers.Default) { loadWithEvents(client) }
        val elapsed = start.elapsedNow().toDouble(DurationUnit.SECONDS)
        val processor = (processorTime() - processorBefore).coerceAtLeast(Duration.ZERO)
        deployment.awaitNoAllocations(RELEASE_TIMEOUT)
        val counters = counterIncreases(counters(), countersBefore)
        val enginesAfter = statistics()
        return RunMeasurement(
            result = result,
            sustainableCompletions = EngineCapacity(deployment.description).sustainableCompletions(plan.load),
            computedPrefillTokens = increaseOf(enginesBefore, enginesAfter) { it.prefillTokensComputed },
            wastedPrefillTokens = increaseOf(enginesBefore, enginesAfter) { it.prefillTokensWasted },
            counters = counters,
            heldBlocks = enginesAfter.values.sumOf { it.blocksHeld },
            engineCrashes = crashes.get(),
            executions = ExecutionCheck.of(result.records, deployment.executions()),
            controlBytesPerSecond = counters.filterKeys { it.startsWith("peer_bytes{direction=out") }.values.sum() /
                elapsed / instances.size,
            processorShare = processor.toDouble(DurationUnit.SECONDS) / elapsed / instances.size,
        )
    }

    private suspend fun loadWithEvents(client: CallerClient): LoadResult = coroutineScope {
        val events = launch(Dispatchers.IO) { runEvents(client) }
        val restartJobs = engines.map { launch(Dispatchers.IO) { restartAfterCrashes(it) } }
        val result = LoadRunner(client).run(plan.load)
        events.cancel()
        restartJobs.forEach { it.cancel() }
        result
    }

    private suspend fun CoroutineScope.runEvents(client: CallerClient) {
        when (plan.scenario) {
            Scenario.STEADY, Scenario.CREST -> Unit
            Scenario.STRAGGLERS -> slowEngines()
            Scenario.POISON -> sendPoison(client)
            Scenario.INSTANCE_LOSS -> failInstances()
        }
    }

    private suspend fun slowEngines() {
        val start = TimeSource.Monotonic.markNow()
        drawSlowdowns(engines, plan.duration, plan.seed).forEach { slowdown ->
            delay(slowdown.start - start.elapsedNow())
            val fault = EngineFault.Slow(SLOWDOWN_FACTOR, slowdown.duration.inWholeMilliseconds)
            slowdown.engines.forEach { deployment.injectEngineFault(it, fault) }
        }
    }

    private suspend fun CoroutineScope.sendPoison(client: CallerClient) {
        engines.forEach(::injectPoisonFault)
        delay(POISON_START)
        while (isActive) {
            client.send(plan.poisonRequest)
            delay(POISON_INTERVAL)
        }
    }

    private suspend fun failInstances() {
        delay(plan.duration / RUN_PARTS)
        deployment.process(instances.first()).kill()
        delay(plan.duration / RUN_PARTS)
        deployment.process(instances.first()).start()
        val paused = deployment.process(instances.last())
        paused.pause()
        try {
            delay(INSTANCE_PAUSE)
        } finally {
            paused.resume()
        }
    }

    private suspend fun CoroutineScope.restartAfterCrashes(id: String) {
        while (isActive) {
            if (!deployment.process(id).isAlive) {
                crashes.incrementAndGet()
                delay(RESTART_DELAY)
                deployment.restart(id)
                injectPoisonFault(id)
            }
            delay(CRASH_CHECK_INTERVAL)
        }
    }

    private fun injectPoisonFault(id: String) =
        deployment.injectEngineFault(id, EngineFault.CrashOnPrompt(marker = plan.poisonRequest.prompt.marker))

    private fun statistics(): Map<String, EngineStatistics> =
        engines.mapNotNull { id -> deployment.engineStatistics(id)?.let { id to it } }.toMap()

    private fun counters(): Map<String, Map<String, Double>> =
        instances.associateWith { deployment.counters(it).orEmpty() }

    private fun processorTime(): Duration =
        instances.fold(Duration.ZERO) { sum, id -> sum + deployment.process(id).processorTime }

    /** Returns the sum of the increases; an engine that restarted counts from zero again. */
    private fun increaseOf(
        before: Map<String, EngineStatistics>,
        after: Map<String, EngineStatistics>,
        value: (EngineStatistics) -> Long,
    ): Long = after.entries.sumOf { (id, statistics) ->
        val earlier = before[id]?.let(value) ?: 0
        value(statistics).let { if (it >= earlier) it - earlier else it }
    }

    /** Returns the sum of the increases of each counter; an instance that restarted counts from zero again. */
    private fun counterIncreases(
        after: Map<String, Map<String, Double>>,
        before: Map<String, Map<String, Double>>,
    ): Map<String, Double> {
        val sums = mutableMapOf<String, Double>()
        after.forEach { (instance, counters) ->
            counters.forEach { (name, value) ->
                val earlier = before[instance]?.get(name) ?: 0.0
                sums.merge(name, if (value >= earlier) value - earlier else value, Double::plus)
            }
        }
        return sums
    }

    private companion object {
        val START_TIMEOUT = 90.seconds
        val PEERS_TIMEOUT = 15.seconds
        val RELEASE_TIMEOUT = 10.seconds
        val POISON_START = 1.seconds
        val POISON_INTERVAL = 500.milliseconds
        val RESTART_DELAY = 1.seconds
        val CRASH_CHECK_INTERVAL = 100.milliseconds
        val INSTANCE_PAUSE = 3.seconds
        const val RUN_PARTS = 4
    }
}

/** Configures callers that give up when a refusal asks them to retry later, so that refusals add no demand. */
private val BENCH_CALLER_SETTINGS: CallerSettings = CallerSettings(maxRetryDelay = Duration.ZERO)
