/*
 * Tests how generations are placed, also while more of them arrive than the decode servers have memory for.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.retry.RetryBudget
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GenerationDispatchTest {
    private val engine = EngineProfile(slots = 16, memoryTokens = 10_000)

    private fun fixture() = DispatchFixture(
        listOf(server("p", ServerStage.PREFILL, slots = 16), server("d", ServerStage.DECODE, slots = 16)),
        engine,
    )

    private fun DispatchFixture.generate(prompt: Int = 3_000, output: Int = 70, remaining: Duration = 14.seconds) =
        submit(request(DispatchWork.Generation(prompt, output), objective = 900.milliseconds, remaining = remaining))

    /** Guards against wasted prefills when no decode server has memory for the request. */
    @Test
    fun `prompt is prefilled only when decode memory is reserved`() {
        val fixture = fixture()
        val granted = (1..5).flatMap { step ->
            fixture.generate().also { decisions ->
                decisions.granted().forEach { fixture.release(it, PlacePart.PREFILL) }
            }.also { fixture.advance(step.milliseconds) }
        }.granted()
        expectThat(granted).hasSize(3)
        expectThat(fixture.dispatcher.queueLength).isEqualTo(2)
        expectThat(fixture.release(granted.first(), elapsed = 3.seconds).granted()).hasSize(1)
    }

    /**
     * Guards against lost streams after a fully loaded server crashes: requests that have not begun took every place
     * that became free, and 29 of 658 streams broke off (mognad-nord scale-2).
     */
    @Test
    fun `stream that has begun goes before requests that have not`() {
        val fixture = fixture()
        val running = fixture.generate().granted().single()
        fixture.release(running, PlacePart.PREFILL)
        repeat(4) { fixture.generate().granted().forEach { fixture.release(it, PlacePart.PREFILL) } }
        val late = (-1).seconds
        val begun = fixture.request(DispatchWork.Generation(3_000, 70), objective = late, remaining = 10.seconds)
        fixture.submit(begun.copy(begun = true))
        expectThat(fixture.release(running, elapsed = 3.seconds).granted().map { it.ticket })
            .isEqualTo(listOf(begun.ticket))
    }

    /** Guards against two dispatchers that both fill the servers, so that runs are rejected after their prefill. */
    @Test
    fun `dispatcher that decides for a tenth of the instances grants a tenth of the places`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, 16)) + (1..5).map { server("d$it", ServerStage.DECODE, slots = 8) },
            EngineProfile(slots = 8, memoryTokens = 28_000),
        )
        fixture.dispatcher.limitPlaces(0.1)
        val granted = (1..10).flatMap {
            fixture.generate().granted().onEach { place -> fixture.release(place, PlacePart.PREFILL) }
        }
        expectThat(granted).hasSize(4)
        expectThat(fixture.release(granted.first(), elapsed = 1.seconds).granted()).hasSize(1)
    }

    /** Guards against rejected prefills that do not use up the retry budget although servers received them. */
    @Test
    fun `rejected prefill counts as a retry`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, slots = 16), server("d", ServerStage.DECODE, slots = 16)),
            engine,
            RetryBudget(10, 3),
        )
        val granted = fixture.generate().granted().single()
        fixture.release(granted, PlacePart.PREFILL, PlaceOutcome.NOT_RUN)
        expectThat(fixture.dispatcher.availableRetries(fixture.now)).isEqualTo(2)
    }

    /** Guards against a queue at a prefill server, where requests cannot be reordered or withdrawn. */
    @Test
    fun `prefill server gets at most two prompts`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, 16), server("d", ServerStage.DECODE, 16)),
            EngineProfile(slots = 16, memoryTokens = 100_000),
        )
        expectThat((1..4).flatMap { fixture.generate() }.granted()).hasSize(2)
    }

    /**
     * Guards against a server that rejects requests, looks idle for that reason, and gets all further requests: 76
     * prefills were wasted (cmn-dakar trouble-3).
     */
    @Test
    fun `server that rejects a request counts as full`() {
        val fixture = DispatchFixture(
            listOf(
                server("p", ServerStage.PREFILL, 16),
                server("d", ServerStage.DECODE, 16),
                server("e", ServerStage.DECODE, 16),
            ),
            EngineProfile(slots = 16, memoryTokens = 38_000),
        )
        val first = fixture.generate().granted().single()
        fixture.release(first, PlacePart.PREFILL)
        fixture.release(first, outcome = PlaceOutcome.NOT_RUN)
        repeat(3) {
            val next = fixture.generate().granted().single()
            expectThat(next.server).isNotEqualTo(first.server)
            fixture.release(next, PlacePart.PREFILL)
        }
    }

    /** Guards against assigning memory a second time while a silent run still uses it. */
    @Test
    fun `silent run keeps its place`() {
        val fixture = fixture()
        val granted = fixture.generate().granted().single()
        fixture.release(granted, outcome = PlaceOutcome.SILENT)
        expectThat(fixture.dispatcher.placesInUse).isEqualTo(2)
    }

    /** Guards against a dispatcher that takes over and assigns memory that is in use. */
    @Test
    fun `new dispatcher waits for the reports of holders`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, 16), server("d", ServerStage.DECODE, 16)),
            engine,
            reported = false,
        )
        expectThat(fixture.generate().granted()).isEmpty()
        fixture.advance(400.milliseconds)
        expectThat(fixture.dispatcher.tick(fixture.now).granted()).hasSize(1)
    }

    /** Guards against another prefill on a prefill server after the decode server could not fetch the first result. */
    @Test
    fun `direct generation uses no prefill server`() {
        val fixture = fixture()
        val request = fixture.request(DispatchWork.Generation(3_000, 70, direct = true), objective = 900.milliseconds)
        expectThat(fixture.submit(request).granted().single().prefillServer).isNull()
    }

    @Test
    fun `decode server prefills the prompt while no prefill server is reachable`() {
        val fixture = fixture()
        val first = fixture.generate().granted().single()
        fixture.release(first, PlacePart.PREFILL, PlaceOutcome.UNREACHABLE)
        val second = fixture.generate().granted().single()
        expectThat(second.prefillServer).isNull()
        expectThat(second.server).isEqualTo(BackendServerId("d"))
    }

    /**
     * Guards against a pool without prefill servers that serves one run at a time on each server: a run counted as
     * prefilling until its stream had ended, and 2 of 14 requests per second were served (cmn-dakar trouble-1).
     */
    @Test
    fun `decode server prefills the next prompt while earlier runs are decoding`() {
        val fixture = DispatchFixture(listOf(server("d", ServerStage.DECODE, 16)), EngineProfile(16, 38_000))
        val granted = (1..8).flatMap {
            fixture.advance(400.milliseconds)
            fixture.generate().granted()
        }
        expectThat(granted).hasSize(8)
        fixture.advance(400.milliseconds)
        expectThat((1..2).flatMap { fixture.generate() }.granted()).hasSize(1)
    }

    /** Guards against a backlog at one prefill server while decode servers have capacity for some of the prompts. */
    @Test
    fun `decode server prefills a prompt that has waited long for a prefill server`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, 16), server("d", ServerStage.DECODE, 16)),
            EngineProfile(slots = 16, memoryTokens = 38_000),
        )
        expectThat((1..3).flatMap { fixture.generate() }.granted()).hasSize(2)
        fixture.advance(400.milliseconds)
        val overflow = fixture.dispatcher.tick(fixture.now).granted().single()
        expectThat(overflow.prefillServer).isNull()
    }

    /** Guards against starting streams that cannot end before their caller leaves. */
    @Test
    fun `run that cannot end in time is refused`() {
        val fixture = fixture()
        repeat(30) {
            val granted = fixture.generate().granted().single()
            fixture.release(granted, PlacePart.PREFILL, elapsed = 100.milliseconds)
            fixture.release(granted, elapsed = 4.seconds)
        }
        expectThat(fixture.generate(remaining = 2.seconds).refused()).hasSize(1)
        expectThat(fixture.generate(remaining = 6.seconds).granted()).hasSize(1)
    }

    /** Guards against never serving a prompt that exceeds the usable memory of a server. */
    @Test
    fun `prompt as large as the memory of a server is placed on an idle one`() {
        expectThat(fixture().generate(prompt = 9_990, output = 60).granted()).hasSize(1)
    }

    /**
     * Simulates ten seconds of load at twice the capacity of the decode servers. Nearly all requests within that
     * capacity must meet their objective, and requests with long outputs must not starve.
     */
    @Test
    fun `overload is served on time up to the capacity`() {
        val simulation = OverloadSimulation(seconds = 10, requestsPerSecond = 20.0)
        val result = simulation.run()
        expectThat(result.onTime).isGreaterThanOrEqualTo(0.85 * result.capacity)
        expectThat(result.late).isLessThanOrEqualTo(0.1 * result.capacity)
        expectThat(result.longServedShare).isGreaterThanOrEqualTo(0.5 * result.servedShare)
    }

    @Test
    fun `queue is empty after the load has ended`() {
        val fixture = fixture()
        val granted = (1..6).flatMap { fixture.generate() }.granted()
        fixture.advance(15.seconds)
        expectThat(fixture.dispatcher.tick(fixture.now).granted()).isEmpty()
        granted.forEach { fixture.release(it) }
        expectThat(fixture.dispatcher.queueLength).isEqualTo(0)
    }
}

/** Simulates arrivals at one dispatcher; runs take 50 ms per output token, prompts 30 ms per 1,000 tokens. */
private class OverloadSimulation(private val seconds: Int, private val requestsPerSecond: Double) {
    private val random = Random(4_711)
    private val fixture = DispatchFixture(
        (1..2).map { server("p$it", ServerStage.PREFILL, 16) } + (1..3).map { server("d$it", ServerStage.DECODE, 16) },
        EngineProfile(slots = 16, memoryTokens = 38_000),
    )
    private val completions = PriorityQueue<Completion>(compareBy { it.at })
    private val arrivals = HashMap<TicketId, Arrival>()
    private val started = ArrayList<Pair<Arrival, Duration>>()

    private class Arrival(val at: Duration, val work: DispatchWork.Generation)

    private class Completion(
        val at: Duration,
        val granted: DispatchDecision.Granted,
        val part: PlacePart,
        val elapsed: Duration,
    )

    class Result(
        val capacity: Double,
        val onTime: Double,
        val late: Double,
        val servedShare: Double,
        val longServedShare: Double,
    )

    private var clock = Duration.ZERO

    fun run(): Result {
        val loadEnd = seconds.seconds
        var nextArrival = interarrivalTime()
        while (clock < loadEnd + 15.seconds) {
            while (completions.isNotEmpty() && completions.peek().at <= clock) complete(completions.poll())
            while (nextArrival <= clock && nextArrival < loadEnd) {
                submitNext()
                nextArrival += interarrivalTime()
            }
            start(fixture.dispatcher.tick(fixture.now).granted())
            clock += STEP
            fixture.advance(STEP)
        }
        val onTime = started.count { (arrival, firstEventAt) -> firstEventAt - arrival.at <= OBJECTIVE }
        val longRequests = arrivals.values.filter { it.work.expectedOutputTokens >= LONG_OUTPUT_TOKENS }
        val longServed = started.count { it.first.work.expectedOutputTokens >= LONG_OUTPUT_TOKENS }
        return Result(
            capacity = capacity(),
            onTime = onTime.toDouble(),
            late = (started.size - onTime).toDouble(),
            servedShare = started.size.toDouble() / arrivals.size,
            longServedShare = longServed.toDouble() / longRequests.size,
        )
    }

    /** Returns the number of requests of mean size and mean run time that the decode memory can serve under load. */
    private fun capacity(): Double {
        val meanTokens = arrivals.values.map { it.work.promptTokens + it.work.expectedOutputTokens }.average()
        val meanRunSeconds =
            arrivals.values.map { it.work.expectedOutputTokens * OUTPUT_TOKEN_TIME.inWholeMilliseconds }.average() /
                MILLIS_PER_SECOND
        return DECODE_MEMORY_TOKENS / meanTokens / meanRunSeconds * seconds
    }

    private fun interarrivalTime(): Duration = (-kotlin.math.ln(1 - random.nextDouble()) / requestsPerSecond).seconds

    private fun submitNext() {
        val work = DispatchWork.Generation(
            promptTokens = 1_500 + random.nextInt(3_000),
            expectedOutputTokens =
            20 + random.nextInt(100),
        )
        val request = fixture.request(work, objective = OBJECTIVE, remaining = 14.seconds)
        arrivals[request.ticket] = Arrival(clock, work)
        start(fixture.submit(request).granted())
    }

    private fun start(granted: List<DispatchDecision.Granted>) = granted.forEach { decision ->
        val arrival = arrivals.getValue(decision.ticket)
        val prefillTime = PROMPT_TOKEN_TIME * arrival.work.promptTokens * 2
        completions += Completion(clock + prefillTime, decision, PlacePart.PREFILL, prefillTime)
        completions +=
            Completion(
                clock + prefillTime + OUTPUT_TOKEN_TIME * arrival.work.expectedOutputTokens,
                decision,
                PlacePart.RUN,
                OUTPUT_TOKEN_TIME * arrival.work.expectedOutputTokens,
            )
        started += arrival to clock + prefillTime
    }

    private fun complete(completion: Completion) =
        start(fixture.release(completion.granted, completion.part, elapsed = completion.elapsed).granted())

    private companion object {
        val STEP = 10.milliseconds
        val OBJECTIVE = 900.milliseconds
        val OUTPUT_TOKEN_TIME = 50.milliseconds
        val PROMPT_TOKEN_TIME = 30.microseconds
        const val DECODE_MEMORY_TOKENS = 3 * 38_000.0
        const val MILLIS_PER_SECOND = 1_000.0
        const val LONG_OUTPUT_TOKENS = 100
    }
}
