/*
 * Runs one decode stream of a completion until it ends, fails or is interrupted to resume on another server.
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

/** Describes the decode server that is selected for a completion and the outcome of its reservation. */
internal data class ReservedDecode(
    val candidate: DecodeCandidate,
    val attempt: AttemptId,
    val outcome: ReservationOutcome,
)

/** Describes how a decode stream ended. */
internal sealed class DecodeOutcome {
    /** Every token was delivered. */
    data object Complete : DecodeOutcome()

    /** The stream was closed because another server is expected to deliver the remaining tokens sooner. */
    data class Interrupted(val server: BackendServerId, val reason: ResumeReason) : DecodeOutcome()

    data class Failed(val server: BackendServerId, val error: BackendError) : DecodeOutcome()
}

/** Counts the tokens that a completion has delivered to its caller over all of its decode streams. */
internal class DeliveredTokens(private val sink: TokenSink) {
    /** Number of tokens that were delivered. */
    var count: Int = 0
        private set

    /** Delivers the next token. */
    suspend fun deliver(text: String) {
        sink.emit(text)
        count += 1
    }
}

/** Runs one decode stream of [task]; [mayResume] returns whether the request may resume on another server. */
internal class DecodeStream(
    private val entry: EntryContext,
    private val task: CompletionTask,
    private val reserved: ReservedDecode,
    private val delivered: DeliveredTokens,
    private val mayResume: suspend () -> Boolean,
) {
    private val server = reserved.candidate.server
    private var lastTokenAt = entry.clock.now()
    private var awaitingFirstToken = true
    private var monitor = StreamMonitor.start(
        now = lastTokenAt,
        expectedInterval = maxOf(reserved.candidate.tokenInterval, task.targets.betweenTokens),
        firstTokenAfter = FIRST_TOKEN_ALLOWANCE,
    )

    /** Decodes from [prefill] and delivers the tokens that the caller does not have yet. */
    suspend fun run(prefill: CompletedPrefill): DecodeOutcome {
        val running = entry.reporter.start(
            RunningAttempt(
                server = server,
                attempt = reserved.attempt,
                kind = ReservationKind.DECODE,
                priority = task.caller.priority,
                work = task.maxTokens - delivered.count,
                progressExpectedFrom = entry.clock.now() + FIRST_TOKEN_ALLOWANCE,
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
            if (!complete) entry.cancelAttempt(server, reserved.attempt)
        }
    }

    private suspend fun stream(prefill: CompletedPrefill, running: RunningAttempt): DecodeOutcome = coroutineScope {
        val events = entry.engine.decode(server, request(prefill)).buffer(EVENT_BUFFER_CAPACITY).produceIn(this)
        val outcome = consume(events, running)
        events.cancel()
        outcome
    }

    private suspend fun consume(events: ReceiveChannel<DecodeEvent>, running: RunningAttempt): DecodeOutcome {
        while (true) {
            val event = nextEvent(events)
            val end = if (event == null) checkProgress() else handleEvent(event, running)
            if (end != null) return end
        }
    }

    /** Returns the next event; null if none arrives within [PROGRESS_CHECK_INTERVAL]. */
    private suspend fun nextEvent(events: ReceiveChannel<DecodeEvent>): DecodeEvent? = select {
        events.onReceiveCatching { received -> received.getOrElse { DecodeEvent.Failed(missingEndMarker()) } }
        onTimeout(PROGRESS_CHECK_INTERVAL) { null }
    }

    private suspend fun handleEvent(event: DecodeEvent, running: RunningAttempt): DecodeOutcome? = when (event) {
        is DecodeEvent.Token -> handleToken(event, running)
        is DecodeEvent.End -> handleEnd(event)
        is DecodeEvent.Failed -> DecodeOutcome.Failed(server, event.error)
    }

    private suspend fun handleToken(token: DecodeEvent.Token, running: RunningAttempt): DecodeOutcome? {
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
        recordToken(running)
        delivered.deliver(token.text)
        return null
    }

    private suspend fun recordToken(running: RunningAttempt) {
        val now = entry.clock.now()
        val interval = now - lastTokenAt
        lastTokenAt = now
        monitor = monitor.received(now)
        // The time to the first token consists mostly of the KV cache transfer.
        if (awaitingFirstToken) {
            awaitingFirstToken = false
            running.recordProgress(0, Duration.ZERO, now)
            val transfer = maxOf(interval - reserved.candidate.tokenInterval, Duration.ZERO)
            entry.loop.run { router.observeTransfer(task.promptTokens, transfer, now) }
            return
        }
        running.recordProgress(1, interval, now)
        entry.loop.run { servers.observeTokens(server, 1, interval, now) }
    }

    private fun handleEnd(end: DecodeEvent.End): DecodeOutcome? = when {
        end.attempt != reserved.attempt -> {
            entry.counters.countDroppedToken(TokenDropReason.OTHER_ATTEMPT)
            null
        }

        end.tokens != delivered.count || end.tokens < task.maxTokens ->
            DecodeOutcome.Failed(server, BackendError.Malformed("stream ended after ${end.tokens} tokens"))

        else -> DecodeOutcome.Complete
    }

    private suspend fun checkProgress(): DecodeOutcome? {
        val now = entry.clock.now()
        if (now >= task.deadline) return DecodeOutcome.Failed(server, BackendError.TimedOut(mayHaveBeenReceived = true))
        val excluded = entry.loop.run {
            policy == RoutingPolicy.Predictive && servers.server(server, now)?.excluded == true
        }
        val action = monitor.decide(
            now = now,
            serverExcluded = excluded,
            remainingTokens = task.maxTokens - delivered.count,
            resumeCost = task.targets.firstToken,
        )
        return when (action) {
            is StreamAction.Continue -> null

            // A stream that cannot resume elsewhere continues, because closing it would end the request.
            is StreamAction.Resume -> if (mayResume()) DecodeOutcome.Interrupted(server, action.reason) else null
        }
    }

    private fun missingEndMarker(): BackendError = BackendError.BrokenAfterWrite("stream ended without its end marker")

    private fun request(prefill: CompletedPrefill): DecodeRequest = DecodeRequest(
        attempt = reserved.attempt,
        instance = entry.self.address,
        incarnation = entry.self.incarnation,
        model = task.model,
        sourceServer = prefill.server,
        handle = prefill.result.handle,
        firstTokenIndex = delivered.count,
        maxTokens = task.maxTokens,
        priority = task.caller.priority,
        deadline = task.deadline,
    )

    private companion object {
        /** Time between two progress checks of a stream that delivers no event. */
        val PROGRESS_CHECK_INTERVAL: Duration = 20.milliseconds

        /** Time allowed for the transfer of the KV cache before the first token. */
        val FIRST_TOKEN_ALLOWANCE: Duration = 300.milliseconds
        const val EVENT_BUFFER_CAPACITY = 64
    }
}
