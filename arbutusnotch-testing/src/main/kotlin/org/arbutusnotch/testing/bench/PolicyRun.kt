/*
 * One measured run: a fresh deployment with one policy, a warm-up, the load with the events of the scenario, and the
 * figures of engines and instances.
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
import org.arbutusnotch.testing.load.CallerBehaviour
import org.arbutusnotch.testing.load.CallerClient
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

/** Holds the plans and events of a run; they are the same for every policy. */
internal class RunPlan(
    val scenario: Scenario,
    val warmUp: LoadPlan,
    val load: LoadPlan,
    val duration: Duration,
    val seed: Long,
    val poison: PlannedRequest.Completion,
)

/** Holds what one run measured. */
internal class RunMeasurement(
    val result: LoadResult,
    val carriable: Double,
    val computedTokens: Long,
    val wastedTokens: Long,
    val counters: Map<String, Double>,
    val heldBlocks: Int,
    val engineCrashes: Int,
    val executions: ExecutionCheck,
    val controlBytesPerSecond: Double,
    val processorShare: Double,
)

/** Runs [plan] against [deployment], which it starts. */
internal class PolicyRun(private val deployment: Deployment, private val plan: RunPlan) {
    private val engines = deployment.description.engines.map { it.id }
    private val instances = deployment.instanceIds
    private val crashes = AtomicInteger()

    fun run(): RunMeasurement {
        deployment.start(START_TIMEOUT)
        deployment.awaitFullView(VIEW_TIMEOUT)
        return CallerClient(deployment.entryAddresses, BENCH_CALLERS).use { client ->
            runBlocking(Dispatchers.Default) { LoadRunner(client).run(plan.warmUp) }
            deployment.awaitNothingHeld(RELEASE_TIMEOUT)
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
        deployment.awaitNothingHeld(RELEASE_TIMEOUT)
        val counters = difference(counters(), countersBefore)
        val enginesAfter = statistics()
        return RunMeasurement(
            result = result,
            carriable = EngineCapacity(deployment.description).carriable(plan.load),
            computedTokens = growth(enginesBefore, enginesAfter) { it.prefillTokensComputed },
            wastedTokens = growth(enginesBefore, enginesAfter) { it.prefillTokensWasted },
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
        val watches = engines.map { launch(Dispatchers.IO) { restartCrashed(it) } }
        val result = LoadRunner(client).run(plan.load)
        events.cancel()
        watches.forEach { it.cancel() }
        result
    }

    private suspend fun CoroutineScope.runEvents(client: CallerClient) {
        when (plan.scenario) {
            Scenario.STEADY, Scenario.CREST -> Unit
            Scenario.STRAGGLERS -> slowEngines()
            Scenario.POISON -> sendPoison(client)
            Scenario.INSTANCE_LOSS -> loseInstances()
        }
    }

    private suspend fun slowEngines() {
        val start = TimeSource.Monotonic.markNow()
        drawSlowdowns(engines, plan.duration, plan.seed).forEach { slowdown ->
            delay(slowdown.start - start.elapsedNow())
            val fault = EngineFault.Slow(SLOWDOWN_FACTOR, slowdown.duration.inWholeMilliseconds)
            slowdown.engines.forEach { deployment.engineFault(it, fault) }
        }
    }

    private suspend fun CoroutineScope.sendPoison(client: CallerClient) {
        engines.forEach(::armPoison)
        delay(POISON_START)
        while (isActive) {
            client.send(plan.poison)
            delay(POISON_PAUSE)
        }
    }

    private suspend fun loseInstances() {
        delay(plan.duration / LOSS_PARTS)
        deployment.process(instances.first()).kill()
        delay(plan.duration / LOSS_PARTS)
        deployment.process(instances.first()).start()
        val paused = deployment.process(instances.last())
        paused.pause()
        try {
            delay(PAUSE)
        } finally {
            paused.resume()
        }
    }

    private suspend fun CoroutineScope.restartCrashed(id: String) {
        while (isActive) {
            if (!deployment.process(id).isAlive) {
                crashes.incrementAndGet()
                delay(RESTART_AFTER)
                deployment.restart(id)
                armPoison(id)
            }
            delay(WATCH_INTERVAL)
        }
    }

    private fun armPoison(id: String) =
        deployment.engineFault(id, EngineFault.CrashOnPrompt(marker = plan.poison.prompt.marker))

    private fun statistics(): Map<String, EngineStatistics> =
        engines.mapNotNull { id -> deployment.engineStatistics(id)?.let { id to it } }.toMap()

    private fun counters(): Map<String, Map<String, Double>> =
        instances.associateWith { deployment.counters(it).orEmpty() }

    private fun processorTime(): Duration =
        instances.fold(Duration.ZERO) { sum, id -> sum + deployment.process(id).processorTime }

    /** An engine or instance that restarted counts from zero again. */
    private fun growth(
        before: Map<String, EngineStatistics>,
        after: Map<String, EngineStatistics>,
        value: (EngineStatistics) -> Long,
    ): Long = after.entries.sumOf { (id, statistics) ->
        val earlier = before[id]?.let(value) ?: 0
        value(statistics).let { if (it >= earlier) it - earlier else it }
    }

    private fun difference(
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
        val VIEW_TIMEOUT = 15.seconds
        val RELEASE_TIMEOUT = 10.seconds
        val POISON_START = 1.seconds
        val POISON_PAUSE = 500.milliseconds
        val RESTART_AFTER = 1.seconds
        val WATCH_INTERVAL = 100.milliseconds
        val PAUSE = 3.seconds
        const val LOSS_PARTS = 4
    }
}

/** Describes callers that give up at a refusal, so that refusals do not add demand. */
private val BENCH_CALLERS: CallerBehaviour = CallerBehaviour(patience = Duration.ZERO)
