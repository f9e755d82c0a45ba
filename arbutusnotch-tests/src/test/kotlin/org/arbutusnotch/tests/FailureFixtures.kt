/*
 * Fixtures of the failure tests: a deployment of separate processes and callers that send requests continuously.
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
import org.arbutusnotch.testing.load.CallerClient
import org.arbutusnotch.testing.load.CallerProfile
import org.arbutusnotch.testing.load.CallerSettings
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
        deployment.start(START_TIMEOUT)
        check(deployment.awaitAllPeersReachable(START_TIMEOUT)) { "the instances did not reach each other" }
    } catch (failure: IllegalStateException) {
        deployment.close()
        throw failure
    }
    return deployment
}

/** Waits until [condition], described by [description], holds; fails when that takes longer than [timeout]. */
internal fun awaitCondition(description: String, timeout: Duration = 60.seconds, condition: () -> Boolean) {
    val deadline = TimeSource.Monotonic.markNow() + timeout
    while (!condition()) {
        check(deadline.hasNotPassedNow()) { "$description did not happen within $timeout" }
        Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
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

/**
 * Sends requests continuously from [workers] callers until it is stopped. Each caller sends its next request when the
 * previous one has ended.
 *
 * @param attempts maximum number of attempts of one request
 * @param create creates the request with a given number
 */
internal class BackgroundCallers(
    deployment: Deployment,
    workers: Int,
    attempts: Int = 3,
    private val create: (Long) -> PlannedRequest,
) : AutoCloseable {
    private val client = CallerClient(
        bootstrap = deployment.entryAddresses,
        settings = CallerSettings(maxAttempts = attempts, attemptTimeout = 10.seconds),
    )
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val records = ConcurrentLinkedQueue<RequestRecord>()
    private val stopped = AtomicBoolean()
    private val jobs: List<Job> = List(workers) { scope.launch { sendUntilStopped() } }

    /** Waits until [count] further requests have ended. */
    fun awaitFinished(count: Int) {
        val target = records.size + count
        awaitCondition("end of $count requests") { records.size >= target }
    }

    /** Waits until [count] further requests were answered. */
    fun awaitAnswered(count: Int) {
        val target = answeredCount() + count
        awaitCondition("answers of $count requests") { answeredCount() >= target }
    }

    /** Stops sending, waits until the last request has ended and returns the records of all requests. */
    fun finish(): List<RequestRecord> {
        stopped.set(true)
        runBlocking { jobs.joinAll() }
        return records.toList()
    }

    override fun close() {
        scope.cancel()
        client.close()
    }

    private fun answeredCount(): Int = records.count { it.outcome == ObservedOutcome.ANSWERED }

    private suspend fun sendUntilStopped() {
        while (!stopped.get()) {
            val number = LAST_NUMBER.incrementAndGet()
            records += client.send(ScheduledRequest(number, Duration.ZERO, create(number)))
        }
    }

    private companion object {
        /** Last request number; numbers are unique in this process because idempotency tokens contain them. */
        val LAST_NUMBER = AtomicLong()
    }
}

internal fun List<RequestRecord>.summary(): Map<String, Int> =
    groupingBy { listOf(it.outcome.code, it.reason).joinToString(" ").trim() }.eachCount()

private val START_TIMEOUT = 120.seconds
private val POLL_INTERVAL = 20.milliseconds
