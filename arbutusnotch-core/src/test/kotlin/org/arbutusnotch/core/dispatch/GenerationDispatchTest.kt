/*
 * Placing of generations, and what callers get while more arrive than the decode servers hold.
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

    /** Guards against prompts that are read in vain because no decode server has memory for them. */
    @Test
    fun `prompt is read only with decode memory to go to`() {
        val fixture = fixture()
        val granted = (1..5).flatMap { step ->
            fixture.generate().also { made ->
                made.granted().forEach { fixture.release(it, PlacePart.PREFILL) }
            }.also { fixture.pass(step.milliseconds) }
        }.granted()
        expectThat(granted).hasSize(3)
        expectThat(fixture.dispatcher.queueLength).isEqualTo(2)
        expectThat(fixture.release(granted.first(), elapsed = 3.seconds).granted()).hasSize(1)
    }

    /**
     * Guards against streams that are broken off when a full server crashes, because requests that have not begun take
     * every place that becomes free (mognad-nord scale-2: 29 streams of 658).
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

    /** Guards against rejected readings of prompts that cost no repeat although servers received them. */
    @Test
    fun `rejected reading of a prompt is a repeat`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, slots = 16), server("d", ServerStage.DECODE, slots = 16)),
            engine,
            RetryBudget(10, 3),
        )
        val granted = fixture.generate().granted().single()
        fixture.release(granted, PlacePart.PREFILL, PlaceOutcome.NOT_RUN)
        expectThat(fixture.dispatcher.repeatsLeft(fixture.now)).isEqualTo(2)
    }

    /** Guards against a queue at a prefill server, where requests cannot be reordered or withdrawn. */
    @Test
    fun `prefill server has two prompts at the most`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, 16), server("d", ServerStage.DECODE, 16)),
            EngineProfile(slots = 16, memoryTokens = 100_000),
        )
        expectThat((1..4).flatMap { fixture.generate() }.granted()).hasSize(2)
    }

    /**
     * Guards against a server that rejects requests, looks empty for that reason, and gets all further ones
     * (cmn-dakar trouble-3: 76 prompts were read in vain).
     */
    @Test
    fun `server that rejects requests is taken for full`() {
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

    /** Guards against memory that is given out twice while a silent run still holds it. */
    @Test
    fun `silent run keeps its place`() {
        val fixture = fixture()
        val granted = fixture.generate().granted().single()
        fixture.release(granted, outcome = PlaceOutcome.SILENT)
        expectThat(fixture.dispatcher.placesInUse).isEqualTo(2)
    }

    /** Guards against a dispatcher that takes over and gives out memory that is in use. */
    @Test
    fun `new dispatcher waits for the reports of holders`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, 16), server("d", ServerStage.DECODE, 16)),
            engine,
            informed = false,
        )
        expectThat(fixture.generate().granted()).isEmpty()
        fixture.pass(400.milliseconds)
        expectThat(fixture.dispatcher.tick(fixture.now).granted()).hasSize(1)
    }

    /** Guards against a prompt that is read apart again after its memory was not taken over. */
    @Test
    fun `direct generation uses no prefill server`() {
        val fixture = fixture()
        val request = fixture.request(DispatchWork.Generation(3_000, 70, direct = true), objective = 900.milliseconds)
        expectThat(fixture.submit(request).granted().single().prefillServer).isNull()
    }

    @Test
    fun `decode server reads the prompt while no prefill server answers`() {
        val fixture = fixture()
        val first = fixture.generate().granted().single()
        fixture.release(first, PlacePart.PREFILL, PlaceOutcome.UNREACHABLE)
        val second = fixture.generate().granted().single()
        expectThat(second.prefillServer).isNull()
        expectThat(second.server).isEqualTo(BackendServerId("d"))
    }

    /**
     * Guards against a pool that has lost its prefill servers and serves one run at a time on each server, because a
     * run counts as reading until its stream has ended (cmn-dakar trouble-1: 2 of 14 requests a second were served).
     */
    @Test
    fun `decode server reads the next prompt while earlier ones generate`() {
        val fixture = DispatchFixture(listOf(server("d", ServerStage.DECODE, 16)), EngineProfile(16, 38_000))
        val granted = (1..8).flatMap {
            fixture.pass(400.milliseconds)
            fixture.generate().granted()
        }
        expectThat(granted).hasSize(8)
        fixture.pass(400.milliseconds)
        expectThat((1..2).flatMap { fixture.generate() }.granted()).hasSize(1)
    }

    /** Guards against a crest of prompts at one prefill server while decode servers have room to read some of them. */
    @Test
    fun `decode server reads a prompt that has waited long for a prefill server`() {
        val fixture = DispatchFixture(
            listOf(server("p", ServerStage.PREFILL, 16), server("d", ServerStage.DECODE, 16)),
            EngineProfile(slots = 16, memoryTokens = 38_000),
        )
        expectThat((1..3).flatMap { fixture.generate() }.granted()).hasSize(2)
        fixture.pass(400.milliseconds)
        val overflow = fixture.dispatcher.tick(fixture.now).granted().single()
        expectThat(overflow.prefillServer).isNull()
    }

    /** Guards against streams that begin although their caller leaves before they end. */
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

    /** Guards against one prompt that is larger than what is left and is never served. */
    @Test
    fun `prompt of the size of a whole server is placed on an empty one`() {
        expectThat(fixture().generate(prompt = 9_990, output = 60).granted()).hasSize(1)
    }

    /**
     * Plays a crest at twice the capacity of the decode servers for ten seconds. Of the requests that fit, nearly all
     * must be on time, and requests with long outputs must not starve.
     */
    @Test
    fun `crest is served on time up to the capacity`() {
        val load = CrestLoad(seconds = 10, perSecond = 20.0)
        val result = load.play()
        expectThat(result.onTime).isGreaterThanOrEqualTo(0.85 * result.capacity)
        expectThat(result.late).isLessThanOrEqualTo(0.1 * result.capacity)
        expectThat(result.longServedShare).isGreaterThanOrEqualTo(0.5 * result.servedShare)
    }

    @Test
    fun `nothing waits after the load has ended`() {
        val fixture = fixture()
        val granted = (1..6).flatMap { fixture.generate() }.granted()
        fixture.pass(15.seconds)
        expectThat(fixture.dispatcher.tick(fixture.now).granted()).isEmpty()
        granted.forEach { fixture.release(it) }
        expectThat(fixture.dispatcher.queueLength).isEqualTo(0)
    }
}

/** Plays arrivals against one dispatcher; runs take 50 ms for each output token, prompts 30 ms for 1,000 tokens. */
private class CrestLoad(private val seconds: Int, private val perSecond: Double) {
    private val random = Random(4_711)
    private val fixture = DispatchFixture(
        (1..2).map { server("p$it", ServerStage.PREFILL, 16) } + (1..3).map { server("d$it", ServerStage.DECODE, 16) },
        EngineProfile(slots = 16, memoryTokens = 38_000),
    )
    private val ends = PriorityQueue<End>(compareBy { it.at })
    private val arrivals = HashMap<TicketId, Arrival>()
    private val started = ArrayList<Pair<Arrival, Duration>>()

    private class Arrival(val at: Duration, val work: DispatchWork.Generation)

    private class End(val at: Duration, val granted: DispatchDecision.Granted, val part: PlacePart, val took: Duration)

    class Result(
        val capacity: Double,
        val onTime: Double,
        val late: Double,
        val servedShare: Double,
        val longServedShare: Double,
    )

    private var clock = Duration.ZERO

    fun play(): Result {
        val end = seconds.seconds
        var next = gap()
        while (clock < end + 15.seconds) {
            while (ends.isNotEmpty() && ends.peek().at <= clock) finish(ends.poll())
            while (next <= clock && next < end) {
                arrive()
                next += gap()
            }
            start(fixture.dispatcher.tick(fixture.now).granted())
            clock += STEP
            fixture.pass(STEP)
        }
        val onTime = started.count { (arrival, first) -> first - arrival.at <= OBJECTIVE }
        val long = arrivals.values.filter { it.work.outputTokens >= LONG }
        val longServed = started.count { it.first.work.outputTokens >= LONG }
        return Result(
            capacity = capacity(),
            onTime = onTime.toDouble(),
            late = (started.size - onTime).toDouble(),
            servedShare = started.size.toDouble() / arrivals.size,
            longServedShare = longServed.toDouble() / long.size,
        )
    }

    /** Requests that fit into the decode memory during the crest, with mean size and mean run. */
    private fun capacity(): Double {
        val held = arrivals.values.map { it.work.promptTokens + it.work.outputTokens }.average()
        val run = arrivals.values.map { it.work.outputTokens * TOKEN.inWholeMilliseconds }.average() / MILLIS
        return DECODE_MEMORY / held / run * seconds
    }

    private fun gap(): Duration = (-kotlin.math.ln(1 - random.nextDouble()) / perSecond).seconds

    private fun arrive() {
        val work = DispatchWork.Generation(
            promptTokens = 1_500 + random.nextInt(3_000),
            outputTokens =
            20 + random.nextInt(100),
        )
        val request = fixture.request(work, objective = OBJECTIVE, remaining = 14.seconds)
        arrivals[request.ticket] = Arrival(clock, work)
        start(fixture.submit(request).granted())
    }

    private fun start(granted: List<DispatchDecision.Granted>) = granted.forEach { made ->
        val arrival = arrivals.getValue(made.ticket)
        val reading = TOKEN_READING * arrival.work.promptTokens * 2
        ends += End(clock + reading, made, PlacePart.PREFILL, reading)
        ends +=
            End(
                clock + reading + TOKEN * arrival.work.outputTokens,
                made,
                PlacePart.RUN,
                TOKEN * arrival.work.outputTokens,
            )
        started += arrival to clock + reading
    }

    private fun finish(end: End) = start(fixture.release(end.granted, end.part, elapsed = end.took).granted())

    private companion object {
        val STEP = 10.milliseconds
        val OBJECTIVE = 900.milliseconds
        val TOKEN = 50.milliseconds
        val TOKEN_READING = 30.microseconds
        const val DECODE_MEMORY = 3 * 38_000.0
        const val MILLIS = 1_000.0
        const val LONG = 100
    }
}
