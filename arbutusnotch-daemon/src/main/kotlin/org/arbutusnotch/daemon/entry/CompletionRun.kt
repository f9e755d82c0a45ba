/*
 * Runs one completion: placement, reservations, prefill, decode, and resume on another server when a stream breaks.
 *
 * The completion may be repeated safely, because its tokens are numbered and the caller gets each of them once. It is
 * refused as `not_run` only as long as no engine received any part of it.
 */
package org.arbutusnotch.daemon.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.quarantine.RunDecision
import org.arbutusnotch.core.retry.FailedAttempt
import org.arbutusnotch.core.retry.RetryDecision
import org.arbutusnotch.core.routing.CompletionRequest
import org.arbutusnotch.core.routing.DecodeCandidate
import org.arbutusnotch.core.routing.Placement
import org.arbutusnotch.core.routing.ResumeReason
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.backend.BackendError
import org.arbutusnotch.daemon.telemetry.QuarantineEvent
import org.arbutusnotch.daemon.telemetry.RetryReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs [work] and delivers its tokens to [sink]. */
internal class CompletionRun(private val entry: EntryContext, private val work: CompletionWork, sink: TokenSink) {
    private val delivered = DeliveredTokens(sink)
    private val tried = LinkedHashSet<BackendServerId>()
    private var engineReached = false

    /** Runs the completion to its end and returns its outcome. */
    suspend fun run(): RequestOutcome {
        entry.loop.run { retryBudget.recordFirstAttempt(entry.clock.now()) }
        var outcome: RequestOutcome? = null
        while (outcome == null) outcome = outcomeAfter(runAllowed())
        return outcome
    }

    /** Returns the outcome of the completion, or null when another leg is run. */
    private suspend fun outcomeAfter(leg: Leg): RequestOutcome? = when (leg) {
        is Leg.Complete -> RequestOutcome.Answered
        is Leg.Refused -> if (awaitCapacity(leg)) null else outcome(leg)
        is Leg.Failed -> continueAfter(leg)?.let(::outcome)
    }

    private fun outcome(refused: Leg.Refused): RequestOutcome = if (engineReached) {
        RequestOutcome.Unknown(refused.reason, refused.retryAt)
    } else {
        RequestOutcome.NotRun(refused.reason, refused.retryAt)
    }

    /**
     * Waits for capacity when an engine has already worked for the request, since its caller would have to pay for that
     * work again. Returns false when the request cannot end in time.
     */
    private suspend fun awaitCapacity(refused: Leg.Refused): Boolean {
        val retryAt = refused.retryAt ?: return false
        if (!engineReached || refused.reason !in TEMPORARY) return false
        if (retryAt + work.targets.firstToken > work.deadline) return false
        delay(maxOf(retryAt - entry.clock.now(), SHORTEST_START_WAIT))
        return true
    }

    /** Runs one leg unless the request is known to crash engines. */
    private suspend fun runAllowed(): Leg {
        val startedAt = entry.clock.now()
        val decision = entry.loop.run {
            quarantine.beginRun(work.digest, startedAt, instances.live().map { it.address })
        }
        if (decision is RunDecision.Refused) {
            entry.counters.countQuarantineEvent(QuarantineEvent.REFUSED)
            return Leg.Refused(RefusalReason.QUARANTINED, decision.retryAt)
        }
        var completed = false
        try {
            val leg = runLeg(exclusive = decision is RunDecision.Exclusive)
            completed = leg is Leg.Complete
            return leg
        } finally {
            // Must have ended before the next leg begins, because only one run is allowed after a crash.
            withContext(NonCancellable) {
                entry.loop.run { quarantine.endRun(work.digest, startedAt, completed, entry.clock.now()) }
            }
        }
    }

    private suspend fun runLeg(exclusive: Boolean): Leg {
        val now = entry.clock.now()
        val firstTokenDeadline = if (delivered.count == 0 && tried.isEmpty()) work.firstTokenDeadline else work.deadline
        val placement = entry.loop.run { router.placeCompletion(placementRequest(firstTokenDeadline), now) }
        return when (placement) {
            is Placement.Refused -> Leg.Refused(placement.reason, placement.retryAt)

            // Only one engine at a time may run a request that was running on an engine when it crashed.
            is Placement.Placed ->
                runPlaced(if (exclusive) placement.copy(secondPrefillAt = null) else placement, firstTokenDeadline)
        }
    }

    private suspend fun runPlaced(placement: Placement.Placed, firstTokenDeadline: Timestamp): Leg {
        val first = placement.prefill.first()
        val decodeStart = firstTokenDeadline - (first.predictedPrefillTime + first.predictedWait)
        return when (val decode = reserveDecode(placement.decode, decodeStart)) {
            is DecodeReservation.Refused -> Leg.Refused(RefusalReason.CAPACITY, decode.retryAt)
            is DecodeReservation.Accepted -> runReserved(placement, decode.reserved)
        }
    }

    private suspend fun runReserved(placement: Placement.Placed, decode: ReservedDecode): Leg {
        var decodeStarted = false
        try {
            val prefill = PrefillRace(entry, work).run(placement.prefill, placement.secondPrefillAt)
            return when (prefill) {
                is PrefillOutcome.Refused -> Leg.Refused(RefusalReason.CAPACITY, prefill.retryAt)

                is PrefillOutcome.Failed -> Leg.Failed(prefill.server, prefill.error)

                is PrefillOutcome.Done -> {
                    engineReached = true
                    decodeStarted = true
                    runDecode(decode, prefill.held)
                }
            }
        } finally {
            if (!decodeStarted) entry.reservations.release(decode.candidate.server, decode.attempt, decode.outcome)
        }
    }

    private suspend fun runDecode(decode: ReservedDecode, prefill: HeldPrefill): Leg {
        try {
            return when (val outcome = DecodeLeg(entry, work, decode, delivered, ::mayMove).run(prefill)) {
                is DecodeOutcome.Complete -> {
                    entry.loop.run { servers.recordSuccess(decode.candidate.server) }
                    Leg.Complete
                }

                is DecodeOutcome.Moved -> {
                    if (outcome.reason == ResumeReason.NO_TOKEN) {
                        entry.stopSilent(work.digest, outcome.server, decode.attempt)
                    }
                    Leg.Failed(outcome.server, error = null, resume = outcome.reason)
                }

                is DecodeOutcome.Failed -> {
                    entry.reportIfCrashed(work.digest, outcome.server, outcome.error)
                    Leg.Failed(outcome.server, outcome.error)
                }
            }
        } finally {
            entry.release(prefill.server, prefill.attempt)
        }
    }

    private suspend fun mayMove(): Boolean =
        tried.size < MOST_MOVES && entry.loop.run { retryBudget.availableRetries(entry.clock.now()) > 0 }

    private suspend fun reserveDecode(candidates: List<DecodeCandidate>, startDeadline: Timestamp): DecodeReservation {
        var retryAt: Timestamp? = null
        candidates.take(CANDIDATES_ASKED).forEach { candidate ->
            val attempt = entry.loop.run { nextAttempt() }
            val request = ResourceRequest(
                server = candidate.server,
                kind = ReservationKind.DECODE,
                attempt = attempt,
                priority = work.caller.priority,
                work = work.maxTokens - delivered.count,
                startDeadline = maxOf(startDeadline, entry.clock.now() + SHORTEST_START_WAIT),
                lastResort = candidate.lastResort,
            )
            when (val outcome = entry.reservations.reserve(request)) {
                is ReservationOutcome.Refused -> retryAt = listOfNotNull(retryAt, outcome.retryAt).min()
                else -> return DecodeReservation.Accepted(ReservedDecode(candidate, attempt, outcome))
            }
        }
        return DecodeReservation.Refused(retryAt ?: (entry.clock.now() + RETRY_DELAY))
    }

    /** Returns null when the request is tried again, otherwise how it ends. */
    private suspend fun continueAfter(failed: Leg.Failed): Leg.Refused? {
        val now = entry.clock.now()
        tried += failed.server
        failed.error?.let { if (mayHaveRun(it)) engineReached = true }
        val reason = retryReason(failed)
        if (failed.isConnectionFailure) entry.loop.run { servers.recordFailure(failed.server, now) }
        val attempt = FailedAttempt(
            idempotent = true,
            mayHaveStarted = engineReached,
            triedServers = tried,
            deadline = work.deadline,
            predictedDuration = work.targets.firstToken,
        )
        return when (val decision = entry.loop.run { RetryDecision.of(attempt, retryBudget, now) }) {
            is RetryDecision.Retry -> {
                entry.counters.countRetry(reason)
                null
            }

            is RetryDecision.Stop -> Leg.Refused(decision.reason, retryAt = now + RETRY_DELAY)
        }
    }

    private fun placementRequest(firstTokenDeadline: Timestamp) = CompletionRequest(
        model = work.model,
        prefixDigests = work.prefixDigests,
        promptTokens = work.promptTokens,
        maxTokens = work.maxTokens - delivered.count,
        priority = work.caller.priority,
        firstTokenDeadline = firstTokenDeadline,
        excludedServers = tried.toSet(),
    )

    private sealed class Leg {
        data object Complete : Leg()

        data class Refused(val reason: RefusalReason, val retryAt: Timestamp?) : Leg()

        data class Failed(val server: BackendServerId, val error: BackendError?, val resume: ResumeReason? = null) :
            Leg() {
            val isConnectionFailure: Boolean
                get() = error is BackendError.NotConnected || error is BackendError.BrokenAfterWrite
        }
    }

    private sealed class DecodeReservation {
        data class Accepted(val reserved: ReservedDecode) : DecodeReservation()

        data class Refused(val retryAt: Timestamp) : DecodeReservation()
    }

    private companion object {
        val RETRY_DELAY: Duration = 500.milliseconds

        val TEMPORARY = setOf(RefusalReason.CAPACITY, RefusalReason.NO_BACKEND_SERVER)

        /** Servers that a request may leave; a third attempt is the last one that the retry rules allow. */
        const val MOST_MOVES = 2

        fun mayHaveRun(error: BackendError): Boolean = error.mayHaveBeenReceived && error !is BackendError.RefusedFull

        fun retryReason(failed: Leg.Failed): RetryReason = when (failed.resume) {
            ResumeReason.NO_TOKEN -> RetryReason.TRANSFER_STALLED
            ResumeReason.SLOW_SERVER -> RetryReason.STREAM_MIGRATED
            null -> failed.error?.let(::retryReasonOf) ?: RetryReason.STREAM_BROKEN
        }
    }
}

/** Names the reason for which work is repeated after [error]. */
internal fun retryReasonOf(error: BackendError): RetryReason = when (error) {
    is BackendError.NotConnected -> RetryReason.NOT_CONNECTED
    is BackendError.RefusedFull -> RetryReason.SERVER_FULL
    is BackendError.HandleGone -> RetryReason.HANDLE_GONE
    is BackendError.FencingRefused -> RetryReason.SERVER_FAILED
    is BackendError.FailedStatus -> RetryReason.SERVER_FAILED
    is BackendError.BrokenAfterWrite -> RetryReason.STREAM_BROKEN
    is BackendError.TimedOut -> RetryReason.TRANSFER_STALLED
    is BackendError.Malformed -> RetryReason.SERVER_FAILED
}
