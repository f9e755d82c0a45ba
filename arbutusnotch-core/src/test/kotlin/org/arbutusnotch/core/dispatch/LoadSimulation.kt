/*
 * Test fixture: plays a load of generations at one dispatcher and records what each caller gets.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlace
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What happened to one request; all times since the start of the load. */
internal class PlayedRequest(val at: Duration, val kind: String, val work: DispatchWork.Generation, val seed: Int) {
    var ticket: TicketId? = null
    var objective = Duration.ZERO
    var remaining = Duration.ZERO
    var firstEventAt: Duration? = null
    var completedAt: Duration? = null
    var refused: DispatchDecision.Refused? = null
    var refusedAt: Duration? = null
    var server: BackendServerId? = null

    /** Whether the answer began within the objective and was complete before the caller gave up. */
    val isOnTime: Boolean
        get() = (firstEventAt?.let { it - at <= objective } ?: false) && completedAt != null
}

/**
 * Plays requests; a run takes 50 ms per output token at [speeds] of 1, and the output has 0.6 to 1.4 times the expected
 * length. The same seed plays the same load under any [policy].
 *
 * @param speeds speed of each decode server
 */
internal class LoadSimulation(
    private val speeds: List<Double>,
    policy: DispatchPolicy = DispatchPolicy(),
    private val objective: Duration = 900.milliseconds,
    private val remaining: Duration = 8.seconds,
    seed: Int = 4_711,
) {
    private val random = Random(seed)
    private val fixture = DispatchFixture(
        (1..PREFILL_SERVERS).map { server("p$it", ServerStage.PREFILL, SLOTS) } +
            speeds.indices.map { server("d$it", ServerStage.DECODE, SLOTS) },
        EngineProfile(SLOTS, MEMORY_TOKENS),
        policy = policy,
    )
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private val arrivals = PriorityQueue<PlayedRequest>(compareBy { it.at })
    private val byTicket = HashMap<TicketId, PlayedRequest>()
    private var clock = Duration.ZERO
    private var decorate: (PlayedRequest, DispatchRequest) -> DispatchRequest = { _, request -> request }

    private val held = LinkedHashMap<Pair<TicketId, PlacePart>, HeldPlace>()

    private class Event(val at: Duration, val action: () -> List<DispatchDecision>)

    /** Adds requests of [kind] at [perSecond] from [from] to [to]. */
    fun load(
        perSecond: Double,
        from: Duration,
        to: Duration,
        kind: String = "one",
        prompt: IntRange = 1_500..4_500,
        output: IntRange = 20..120,
    ): LoadSimulation = apply {
        var at = from + interval(perSecond)
        while (at < to) {
            val work = DispatchWork.Generation(prompt.random(random), output.random(random))
            arrivals += PlayedRequest(at, kind, work, random.nextInt())
            at += interval(perSecond)
        }
    }

    /** Changes each message with [change] before it is submitted. */
    fun decorated(change: (PlayedRequest, DispatchRequest) -> DispatchRequest): LoadSimulation =
        apply { decorate = change }

    private fun interval(perSecond: Double): Duration = (-ln(1 - random.nextDouble()) / perSecond).seconds

    /** Plays until every request has ended, and returns them by arrival. */
    fun play(): List<PlayedRequest> {
        val all = arrivals.sortedBy { it.at }
        val end = all.last().at + remaining + 1.seconds
        while (clock < end) {
            while (events.isNotEmpty() && events.peek().at <= clock) apply(events.poll().action())
            while (arrivals.isNotEmpty() && arrivals.peek().at <= clock) submit(arrivals.poll())
            if (clock.inWholeMilliseconds % TICK_MILLIS == 0L) {
                byTicket.values.filter { it.isWaiting }.forEach { apply(fixture.submit(messages.getValue(it))) }
                apply(fixture.dispatcher.tick(fixture.now))
            }
            if (clock.inWholeMilliseconds % REPORT_MILLIS == 0L) {
                val report = HeldPlaces(DispatchFixture.HOLDER, DispatchFixture.POOL, held.values.toList())
                apply(fixture.dispatcher.reconcile(report, fixture.now))
            }
            clock += STEP
            fixture.advance(STEP)
        }
        return all
    }

    private val messages = HashMap<PlayedRequest, DispatchRequest>()
    private val PlayedRequest.isWaiting get() = server == null && refused == null && clock < at + remaining

    private fun submit(played: PlayedRequest) {
        played.objective = objective
        played.remaining = remaining
        val request = decorate(played, fixture.request(played.work, objective = objective, remaining = remaining))
        played.ticket = request.ticket
        played.objective = request.objectiveMillis.milliseconds
        byTicket[request.ticket] = played
        messages[played] = request
        apply(fixture.submit(request))
    }

    private fun apply(decisions: List<DispatchDecision>) = decisions.forEach { decision ->
        val played = byTicket.getValue(decision.ticket)
        when (decision) {
            is DispatchDecision.Granted -> if (played.server == null) start(played, decision)

            is DispatchDecision.Refused -> {
                played.refused = decision
                played.refusedAt = clock
            }

            is DispatchDecision.Queued -> Unit
        }
    }

    private fun start(played: PlayedRequest, granted: DispatchDecision.Granted) {
        played.server = granted.server
        val prefillTime = PROMPT_TOKEN_TIME * played.work.promptTokens * (if (granted.prefillServer == null) 3 else 1)
        val speed = speeds[granted.server.value.drop(1).toInt()]
        val length = Random(played.seed).nextDouble(SHORTEST_OUTPUT, LONGEST_OUTPUT)
        val runTime = OUTPUT_TOKEN_TIME * played.work.expectedOutputTokens * length / speed
        val giveUpAt = played.at + played.remaining
        val endAt = clock + prefillTime + runTime
        played.firstEventAt = clock + prefillTime
        if (granted.prefillServer != null) {
            hold(granted, PlacePart.PREFILL, granted.prefillServer, played.work.promptTokens)
            events += Event(clock + prefillTime) { release(granted, PlacePart.PREFILL, elapsed = prefillTime) }
        }
        hold(granted, PlacePart.RUN, granted.server, played.work.promptTokens + played.work.expectedOutputTokens)
        val elapsed = if (granted.prefillServer == null) prefillTime + runTime else runTime
        events += if (endAt <= giveUpAt) {
            Event(endAt) {
                played.completedAt = endAt
                release(granted, PlacePart.RUN, elapsed = elapsed)
            }
        } else {
            Event(giveUpAt) { release(granted, PlacePart.RUN, PlaceOutcome.UNUSED) }
        }
    }

    private fun hold(granted: DispatchDecision.Granted, part: PlacePart, server: BackendServerId, tokens: Int) {
        held[granted.ticket to part] = HeldPlace(granted.ticket, server, part, tokens)
    }

    private fun release(
        granted: DispatchDecision.Granted,
        part: PlacePart,
        outcome: PlaceOutcome = PlaceOutcome.COMPLETED,
        elapsed: Duration = Duration.ZERO,
    ): List<DispatchDecision> {
        held.remove(granted.ticket to part)
        return fixture.release(granted, part, outcome, elapsed)
    }

    companion object {
        private val STEP = 5.milliseconds
        private const val TICK_MILLIS = 20L
        private const val REPORT_MILLIS = 250L
        private val OUTPUT_TOKEN_TIME = 50.milliseconds
        private val PROMPT_TOKEN_TIME = 30.microseconds
        private const val PREFILL_SERVERS = 3
        private const val SLOTS = 16
        private const val MEMORY_TOKENS = 38_000
        private const val SHORTEST_OUTPUT = 0.6
        private const val LONGEST_OUTPUT = 1.4
    }
}
