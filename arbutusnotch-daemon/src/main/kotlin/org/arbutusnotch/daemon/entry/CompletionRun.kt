/*
 * Runs one completion: placement, reservations, prefill, decode, and resume on another server when a stream breaks.
 *
 * A completion can be retried safely, because its tokens are numbered and each is delivered to the caller only once. It
 * is refused as `not_run` only while no engine has received any part of it.
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

/** Runs [task] and delivers its tokens to [sink]. */
internal class CompletionRun(private val entry: EntryContext, private val task: CompletionTask, sink: TokenSink) {
    private val delivered = DeliveredTokens(sink)
    private val triedServers = LinkedHashSet<BackendServerId>()
    private var engineReached = false

    /** Runs the completion to its end and returns its outcome. */
    suspend fun run(): RequestOutcome {
        entry.loop.run { retryBudget.recordFirstAttempt(entry.clock.now()) }
        var outcome: RequestOutcome? = null
        while (outcome == null) outcome = outcomeOf(runUnlessQuarantined())
        return outcome
    }

    /** Returns the outcome of the completion, or null when another attempt follows. */
    private suspend fun outcomeOf(result: AttemptResult): RequestOutcome? = when (result) {
        is AttemptResult.Complete -> RequestOutcome.Answered
        is AttemptResult.Refused -> if (awaitCapacity(result)) null else refusalOutcome(result)
        is AttemptResult.Failed -> retryOrRefuse(result)?.let(::refusalOutcome)
    }

    private fun refusalOutcome(refused: AttemptResult.Refused): RequestOutcome = if (engineReached) {
        RequestOutcome.Unknown(refused.reason, refused.retryAt)
    } else {
        RequestOutcome.NotRun(refused.reason, refused.retryAt)
    }

    /**
     * Waits for capacity if an engine has already worked on the request, because a retry by the caller after a refusal
     * would repeat that work at the caller's expense. Returns false without a wait if the first token could not arrive
     * before the deadline.
     */
    private suspend fun awaitCapacity(refused: AttemptResult.Refused): Boolean {
        val retryAt = refused.retryAt ?: return false
        if (!engineReached || refused.reason !in TEMPORARY_REFUSALS) return false
        if (retryAt + task.targets.firstToken > task.deadline) return false
        delay(maxOf(retryAt - entry.clock.now(), MINIMUM_START_WAIT))
        return true
    }

    /** Runs one attempt unless the request is quarantined because it crashes engines. */
    private suspend fun runUnlessQuarantined(): AttemptResult {
        val startedAt = entry.clock.now()
        val decision = entry.loop.run {
            quarantine.beginRun(task.digest, startedAt, instances.live().map { it.address })
        }
        if (decision is RunDecision.Refused) {
            entry.counters.countQuarantineEvent(QuarantineEvent.REFUSED)
            return AttemptResult.Refused(RefusalReason.QUARANTINED, decision.retryAt)
        }
        var completed = false
        try {
            val result = runAttempt(exclusive = decision is RunDecision.Exclusive)
            completed = result is AttemptResult.Complete
            return result
        } finally {
            // The run must end before the next attempt starts, because only one run at a time is allowed after a crash.
            withContext(NonCancellable) {
                entry.loop.run { quarantine.endRun(task.digest, startedAt, completed, entry.clock.now()) }
            }
        }
    }

    private suspend fun runAttempt(exclusive: Boolean): AttemptResult {
        val now = entry.clock.now()
        val firstTokenDeadline =
            if (delivered.count == 0 && triedServers.isEmpty()) task.firstTokenDeadline else task.deadline
        val placement = entry.loop.run { router.placeCompletion(placementRequest(firstTokenDeadline), now) }
        return when (placement) {
            is Placement.Refused -> AttemptResult.Refused(placement.reason, placement.retryAt)

            // Only one engine at a time may run a request that was running on an engine when it crashed.
            is Placement.Placed ->
                runPlaced(if (exclusive) placement.copy(secondPrefillAt = null) else placement, firstTokenDeadline)
        }
    }

    private suspend fun runPlaced(placement: Placement.Placed, firstTokenDeadline: Timestamp): AttemptResult {
        val first = placement.prefill.first()
        val decodeStart = firstTokenDeadline - (first.predictedPrefillTime + first.predictedWait)
        return when (val decode = reserveDecode(placement.decode, decodeStart)) {
            is DecodeReservation.Refused -> AttemptResult.Refused(RefusalReason.CAPACITY, decode.retryAt)
            is DecodeReservation.Accepted -> runReserved(placement, decode.reserved)
        }
    }

    private suspend fun runReserved(placement: Placement.Placed, decode: ReservedDecode): AttemptResult {
        var decodeStarted = false
        try {
            val prefill = HedgedPrefill(entry, task).run(placement.prefill, placement.secondPrefillAt)
            return when (prefill) {
                is PrefillOutcome.Refused -> AttemptResult.Refused(RefusalReason.CAPACITY, prefill.retryAt)

                is PrefillOutcome.Failed -> AttemptResult.Failed(prefill.server, prefill.error)

                is PrefillOutcome.Completed -> {
                    engineReached = true
                    decodeStarted = true
                    runDecode(decode, prefill.prefill)
                }
            }
        } finally {
            if (!decodeStarted) entry.reservations.release(decode.candidate.server, decode.attempt, decode.outcome)
        }
    }

    private suspend fun runDecode(decode: ReservedDecode, prefill: CompletedPrefill): AttemptResult {
        try {
            return when (val outcome = DecodeStream(entry, task, decode, delivered, ::mayResume).run(prefill)) {
                is DecodeOutcome.Complete -> {
                    entry.loop.run { servers.recordSuccess(decode.candidate.server) }
                    AttemptResult.Complete
                }

                is DecodeOutcome.Interrupted -> {
                    if (outcome.reason == ResumeReason.NO_TOKEN) {
                        entry.cancelStalled(task.digest, outcome.server, decode.attempt)
                    }
                    AttemptResult.Failed(outcome.server, error = null, resume = outcome.reason)
                }

                is DecodeOutcome.Failed -> {
                    entry.reportIfCrashed(task.digest, outcome.server, outcome.error)
                    AttemptResult.Failed(outcome.server, outcome.error)
                }
            }
        } finally {
            entry.cancelAttempt(prefill.server, prefill.attempt)
        }
    }

    private suspend fun mayResume(): Boolean = triedServers.size < MAXIMUM_ABANDONED_SERVERS &&
        entry.loop.run { retryBudget.availableRetries(entry.clock.now()) > 0 }

    private suspend fun reserveDecode(candidates: List<DecodeCandidate>, startDeadline: Timestamp): DecodeReservation {
        var retryAt: Timestamp? = null
        candidates.take(MAXIMUM_RESERVATION_CANDIDATES).forEach { candidate ->
            val attempt = entry.loop.run { nextAttemptId() }
            val request = ResourceRequest(
                server = candidate.server,
                kind = ReservationKind.DECODE,
                attempt = attempt,
                priority = task.caller.priority,
                work = task.maxTokens - delivered.count,
                startDeadline = maxOf(startDeadline, entry.clock.now() + MINIMUM_START_WAIT),
                lastResort = candidate.lastResort,
            )
            when (val outcome = entry.reservations.reserve(request)) {
                is ReservationOutcome.Refused -> retryAt = listOfNotNull(retryAt, outcome.retryAt).min()
                else -> return DecodeReservation.Accepted(ReservedDecode(candidate, attempt, outcome))
            }
        }
        return DecodeReservation.Refused(retryAt ?: (entry.clock.now() + RETRY_DELAY))
    }

    /** Records the failure; returns null when the request is retried, otherwise the refusal that ends it. */
    private suspend fun retryOrRefuse(failed: AttemptResult.Failed): AttemptResult.Refused? {
        val now = entry.clock.now()
        triedServers += failed.server
        failed.error?.let { if (mayHaveRun(it)) engineReached = true }
        val reason = retryReason(failed)
        if (failed.isConnectionFailure) entry.loop.run { servers.recordFailure(failed.server, now) }
        val attempt = FailedAttempt(
            idempotent = true,
            mayHaveStarted = engineReached,
            triedServers = triedServers,
            deadline = task.deadline,
            predictedDuration = task.targets.firstToken,
        )
        return when (val decision = entry.loop.run { RetryDecision.of(attempt, retryBudget, now) }) {
            is RetryDecision.Retry -> {
                entry.counters.countRetry(reason)
                null
            }

            is RetryDecision.Stop -> AttemptResult.Refused(decision.reason, retryAt = now + RETRY_DELAY)
        }
    }

    private fun placementRequest(firstTokenDeadline: Timestamp) = CompletionRequest(
        model = task.model,
        prefixDigests = task.prefixDigests,
        promptTokens = task.promptTokens,
        maxTokens = task.maxTokens - delivered.count,
        priority = task.caller.priority,
        firstTokenDeadline = firstTokenDeadline,
        excludedServers = triedServers.toSet(),
    )

    private sealed class AttemptResult {
        data object Complete : AttemptResult()

        data class Refused(val reason: RefusalReason, val retryAt: Timestamp?) : AttemptResult()

        data class Failed(val server: BackendServerId, val error: BackendError?, val resume: ResumeReason? = null) :
            AttemptResult() {
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

        val TEMPORARY_REFUSALS = setOf(RefusalReason.CAPACITY, RefusalReason.NO_BACKEND_SERVER)

        /** Maximum number of servers that a request may abandon; the retry rules allow at most three attempts. */
        const val MAXIMUM_ABANDONED_SERVERS = 2

        fun mayHaveRun(error: BackendError): Boolean = error.mayHaveBeenReceived && error !is BackendError.RefusedFull

        fun retryReason(failed: AttemptResult.Failed): RetryReason = when (failed.resume) {
            ResumeReason.NO_TOKEN -> RetryReason.TRANSFER_STALLED
            ResumeReason.SLOW_SERVER -> RetryReason.STREAM_MIGRATED
            null -> failed.error?.let(::retryReasonOf) ?: RetryReason.STREAM_BROKEN
        }
    }
}

/** Returns the reason that is counted for a retry after [error]. */
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
