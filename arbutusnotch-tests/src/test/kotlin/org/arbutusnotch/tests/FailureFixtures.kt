/*
 * Shared parts of the failure tests: a deployment of separate processes and callers that keep sending to it.
 */
package org.arbutusnotch.tests

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.arbutusnotch.testing.launch.Deployment
import org.arbutusnotch.testing.launch.DeploymentDescription
import org.arbutusnotch.testing.load.CallerBehaviour
import org.arbutusnotch.testing.load.CallerClient
import org.arbutusnotch.testing.load.CallerProfile
import org.arbutusnotch.testing.load.ObservedOutcome
import org.arbutusnotch.testing.load.PlannedRequest
import org.arbutusnotch.testing.load.PromptDescription
import org.arbutusnotch.testing.load.RequestRecord
import org.arbutusnotch.testing.load.ScheduledRequest
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

internal val PLANNERS = CallerProfile.demo("planners", priority = 2)
internal val MOVERS = CallerProfile.demo("movers-handhelds", priority = 8)

/** Operators' file that the failure tests use. */
internal fun operatorsFile(): String = Path("../examples/ndiaye.toml").readText()

/** Starts the example deployment with one instance in each of its three failure domains. */
internal fun startDeployment(relayPeers: Boolean = false, limits: Map<String, Int> = emptyMap()): Deployment {
    val description = DeploymentDescription.of(operatorsFile(), instances = 3)
        .copy(relayPeers = relayPeers, limits = limits)
    val deployment = Deployment(description)
    try {
        deployment.start(START_LIMIT)
        check(deployment.awaitFullView(START_LIMIT)) { "the instances do not see each other" }
    } catch (failure: IllegalStateException) {
        deployment.close()
        throw failure
    }
    return deployment
}

/** Waits until [condition] holds; fails when that takes longer than [limit]. */
internal fun awaitState(what: String, limit: Duration = 60.seconds, condition: () -> Boolean) {
    val deadline = TimeSource.Monotonic.markNow() + limit
    while (!condition()) {
        check(deadline.hasNotPassedNow()) { "$what did not happen within $limit" }
        Thread.sleep(POLL.inWholeMilliseconds)
    }
}

internal fun booking(number: Long) = PlannedRequest.ServiceCall(
    caller = MOVERS,
    kind = "booking",
    service = "handheld",
    operation = "pickup-booking",
    idempotent = false,
    body = """{"booking":$number}""",
)

internal fun completion(number: Long, marker: String = "") = PlannedRequest.Completion(
    caller = PLANNERS,
    kind = "plan",
    model = "inventory-sheet",
    prompt = PromptDescription(tokens = 1_500, seed = number, marker = marker),
    maxTokens = 60,
)

/** Sends requests of [create] from [workers] callers, each one after the other, until it is stopped. */
internal class BusyCallers(
    deployment: Deployment,
    workers: Int,
    attempts: Int = 3,
    private val create: (Long) -> PlannedRequest,
) : AutoCloseable {
    private val client = CallerClient(
        bootstrap = deployment.entryAddresses,
        behaviour = CallerBehaviour(attempts = attempts, attemptTimeout = 10.seconds),
    )
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val records = ConcurrentLinkedQueue<RequestRecord>()
    private val stopped = AtomicBoolean()
    private val jobs: List<Job> = List(workers) { scope.launch { sendUntilStopped() } }

    /** Waits until [count] more requests than now have ended. */
    fun awaitMore(count: Int) {
        val target = records.size + count
        awaitState("end of $count requests") { records.size >= target }
    }

    /** Waits until [count] more requests than now were answered. */
    fun awaitAnswered(count: Int) {
        val target = answered() + count
        awaitState("answers of $count requests") { answered() >= target }
    }

    /** Sends no further request and returns the records of all, after the last one has ended. */
    fun finish(): List<RequestRecord> {
        stopped.set(true)
        runBlocking { jobs.joinAll() }
        return records.toList()
    }

    override fun close() {
        scope.cancel()
        client.close()
    }

    private fun answered(): Int = records.count { it.outcome == ObservedOutcome.ANSWERED }

    private suspend fun sendUntilStopped() {
        while (!stopped.get()) {
            val number = NUMBERS.incrementAndGet()
            records += client.send(ScheduledRequest(number, Duration.ZERO, create(number)))
        }
    }

    private companion object {
        /** Gives every request of this process its own number, which is part of its idempotency token. */
        val NUMBERS = AtomicLong()
    }
}

internal fun List<RequestRecord>.summary(): Map<String, Int> =
    groupingBy { listOf(it.outcome.code, it.reason).joinToString(" ").trim() }.eachCount()

private val START_LIMIT = 120.seconds
private val POLL = 20.milliseconds
