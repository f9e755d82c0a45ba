/*
 * One decode stream of a completion, from its reservation to its end, failure or move to another server.
 */
@file:OptIn(ExperimentalCoroutinesApi::class)

package org.arbutusnotch.daemon.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.getOrElse
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.routing.DecodeCandidate
import org.arbutusnotch.core.routing.ResumeReason
import org.arbutusnotch.core.routing.RoutingPolicy
import org.arbutusnotch.core.routing.StreamAction
import org.arbutusnotch.core.routing.StreamMonitor
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.backend.BackendError
import org.arbutusnotch.daemon.backend.DecodeEvent
import org.arbutusnotch.daemon.backend.DecodeRequest
import org.arbutusnotch.daemon.telemetry.TokenDropReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Describes a decode server that accepted the completion. */
internal data class ReservedDecode(
    val candidate: DecodeCandidate,
    val attempt: AttemptId,
    val outcome: ReservationOutcome,
)

/** Describes how a decode stream ended. */
internal sealed class DecodeOutcome {
    /** Every token was delivered. */
    data object Complete : DecodeOutcome()

    /** The stream was closed because another server can deliver the remaining tokens sooner. */
    data class Moved(val server: BackendServerId, val reason: ResumeReason) : DecodeOutcome()

    data class Failed(val server: BackendServerId, val error: BackendError) : DecodeOutcome()
}

/** Keeps what a completion has delivered to its caller over all of its streams. */
internal class DeliveredTokens(private val sink: TokenSink) {
    /** Number of tokens that the caller got. */
    var count: Int = 0
        private set

    /** Delivers the next token. */
    suspend fun deliver(text: String) {
        sink.token(text)
        count += 1
    }
}

/** Runs one decode stream of [work]; [mayMove] tells whether the request may be resumed on another server. */
internal class DecodeLeg(
    private val entry: EntryContext,
    private val work: CompletionWork,
    private val reserved: ReservedDecode,
    private val delivered: DeliveredTokens,
    private val mayMove: suspend () -> Boolean,
) {
    private val server = reserved.candidate.server
    private var lastToken = entry.clock.now()
    private var firstOfLeg = true
    private var watch = StreamMonitor.start(
        now = lastToken,
        expectedInterval = maxOf(reserved.candidate.tokenInterval, work.targets.betweenTokens),
        firstTokenAfter = FIRST_TOKEN_ALLOWANCE,
    )

    /** Decodes from [prefill] and delivers the tokens that the caller does not have yet. */
    suspend fun run(prefill: HeldPrefill): DecodeOutcome {
        val running = entry.reporter.start(
            RunningAttempt(
                server = server,
                attempt = reserved.attempt,
                kind = ReservationKind.DECODE,
                priority = work.caller.priority,
                work = work.maxTokens - delivered.count,
                expectedSince = entry.clock.now() + FIRST_TOKEN_ALLOWANCE,
            ),
        )
        var complete = false
        try {
            val outcome = stream(prefill, running)
            complete = outcome is DecodeOutcome.Complete
            return outcome
        } finally {
            entry.reporter.stop(running)
            entry.reservations.release(running, reserved.outcome)
            if (!complete) entry.release(server, reserved.attempt)
        }
    }

    private suspend fun stream(prefill: HeldPrefill, running: RunningAttempt): DecodeOutcome = coroutineScope {
        val events = entry.engine.decode(server, request(prefill)).buffer(EVENT_BUFFER).produceIn(this)
        val outcome = consume(events, running)
        events.cancel()
        outcome
    }

    private suspend fun consume(events: ReceiveChannel<DecodeEvent>, running: RunningAttempt): DecodeOutcome {
        while (true) {
            val event = next(events)
            val end = if (event == null) checkProgress() else take(event, running)
            if (end != null) return end
        }
    }

    /** Returns the next event; null when none arrived until the next check of the stream. */
    private suspend fun next(events: ReceiveChannel<DecodeEvent>): DecodeEvent? = select {
        events.onReceiveCatching { received -> received.getOrElse { DecodeEvent.Failed(streamEnded()) } }
        onTimeout(CHECK_INTERVAL) { null }
    }

    private suspend fun take(event: DecodeEvent, running: RunningAttempt): DecodeOutcome? = when (event) {
        is DecodeEvent.Token -> takeToken(event, running)
        is DecodeEvent.End -> takeEnd(event)
        is DecodeEvent.Failed -> DecodeOutcome.Failed(server, event.error)
    }

    private suspend fun takeToken(token: DecodeEvent.Token, running: RunningAttempt): DecodeOutcome? {
        if (token.attempt != reserved.attempt) {
            entry.counters.countDroppedToken(TokenDropReason.OTHER_ATTEMPT)
            return null
        }
        if (token.index < delivered.count) {
            entry.counters.countDroppedToken(TokenDropReason.OUT_OF_ORDER)
            return null
        }
        if (token.index > delivered.count) {
            return DecodeOutcome.Failed(server, BackendError.Malformed("token ${delivered.count} is missing"))
        }
        observe(running)
        delivered.deliver(token.text)
        return null
    }

    private suspend fun observe(running: RunningAttempt) {
        val now = entry.clock.now()
        val interval = now - lastToken
        lastToken = now
        watch = watch.received(now)
        // The time to the first token is mostly that of the transfer.
        if (firstOfLeg) {
            firstOfLeg = false
            running.add(0, Duration.ZERO, now)
            val transfer = maxOf(interval - reserved.candidate.tokenInterval, Duration.ZERO)
            entry.loop.run { router.observeTransfer(work.promptTokens, transfer, now) }
            return
        }
        running.add(1, interval, now)
        entry.loop.run { servers.observeTokens(server, 1, interval, now) }
    }

    private fun takeEnd(end: DecodeEvent.End): DecodeOutcome? = when {
        end.attempt != reserved.attempt -> {
            entry.counters.countDroppedToken(TokenDropReason.OTHER_ATTEMPT)
            null
        }

        end.tokens != delivered.count || end.tokens < work.maxTokens ->
            DecodeOutcome.Failed(server, BackendError.Malformed("stream ended after ${end.tokens} tokens"))

        else -> DecodeOutcome.Complete
    }

    private suspend fun checkProgress(): DecodeOutcome? {
        val now = entry.clock.now()
        if (now >= work.deadline) return DecodeOutcome.Failed(server, BackendError.TimedOut(mayHaveBeenReceived = true))
        val excluded = entry.loop.run {
            policy == RoutingPolicy.Predictive && servers.server(server, now)?.excluded == true
        }
        val action = watch.decide(
            now = now,
            serverExcluded = excluded,
            remainingTokens = work.maxTokens - delivered.count,
            resumeCost = work.targets.firstToken,
        )
        return when (action) {
            is StreamAction.Continue -> null

            // A stream that cannot be resumed elsewhere goes on, because closing it would end the request.
            is StreamAction.Resume -> if (mayMove()) DecodeOutcome.Moved(server, action.reason) else null
        }
    }

    private fun streamEnded(): BackendError = BackendError.BrokenAfterWrite("stream ended without its end marker")

    private fun request(prefill: HeldPrefill): DecodeRequest = DecodeRequest(
        attempt = reserved.attempt,
        instance = entry.self.address,
        incarnation = entry.self.incarnation,
        model = work.model,
        sourceServer = prefill.server,
        handle = prefill.result.handle,
        firstTokenIndex = delivered.count,
        maxTokens = work.maxTokens,
        priority = work.caller.priority,
        deadline = work.deadline,
    )

    private companion object {
        /** Time between two checks of a stream that delivers nothing. */
        val CHECK_INTERVAL: Duration = 20.milliseconds

        /** Time for the transfer of the KV cache before the first token. */
        val FIRST_TOKEN_ALLOWANCE: Duration = 300.milliseconds
        const val EVENT_BUFFER = 64
    }
}
