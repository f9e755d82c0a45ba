/*
 * Runs the prefill of a completion. A late prefill is hedged by a second one on another server, and the slower of the
 * two is cancelled.
 */
@file:OptIn(ExperimentalCoroutinesApi::class)

package org.arbutusnotch.daemon.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.routing.PrefillCandidate
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.backend.BackendError
import org.arbutusnotch.daemon.backend.PrefillRequest
import org.arbutusnotch.daemon.backend.PrefillResult
import org.arbutusnotch.daemon.telemetry.RetryReason
import kotlin.time.Duration

/** Describes the result of a prefill and the server that keeps it for [attempt]. */
internal data class CompletedPrefill(val server: BackendServerId, val attempt: AttemptId, val result: PrefillResult)

/** Describes how the prefill of a completion ended. */
internal sealed class PrefillOutcome {
    data class Completed(val prefill: CompletedPrefill) : PrefillOutcome()

    data class Failed(val server: BackendServerId, val error: BackendError) : PrefillOutcome()

    data class Refused(val retryAt: Timestamp) : PrefillOutcome()
}

/** Runs prefills of [task], at most two at a time. */
internal class HedgedPrefill(private val entry: EntryContext, private val task: CompletionTask) {
    /** Runs the prefill on the first of [candidates] that accepts it; starts a second one elsewhere at [secondAt]. */
    suspend fun run(candidates: List<PrefillCandidate>, secondAt: Timestamp?): PrefillOutcome = coroutineScope {
        val first = reserveFirst(candidates)
        when (first) {
            is ReservationResult.Refused -> PrefillOutcome.Refused(first.retryAt)

            is ReservationResult.Accepted ->
                runHedged(first, candidates.filter { it.server != first.candidate.server }, secondAt)
        }
    }

    private suspend fun runHedged(
        first: ReservationResult.Accepted,
        others: List<PrefillCandidate>,
        secondAt: Timestamp?,
    ): PrefillOutcome = coroutineScope {
        val primary = async { execute(first) }
        val earlyOutcome = if (secondAt == null || others.isEmpty()) primary.await() else awaitUntil(primary, secondAt)
        if (earlyOutcome != null) return@coroutineScope earlyOutcome
        val second = reserveSecond(others) ?: return@coroutineScope primary.await()
        entry.counters.countRetry(RetryReason.PREFILL_LATE)
        val secondary = async { execute(second) }
        firstSuccess(primary, secondary)
    }

    private suspend fun awaitUntil(running: Deferred<PrefillOutcome>, deadline: Timestamp): PrefillOutcome? = select {
        running.onAwait { it }
        onTimeout(timeUntil(deadline)) { null }
    }

    private suspend fun firstSuccess(
        primary: Deferred<PrefillOutcome>,
        secondary: Deferred<PrefillOutcome>,
    ): PrefillOutcome {
        val (outcome, other) = select {
            primary.onAwait { it to secondary }
            secondary.onAwait { it to primary }
        }
        if (outcome !is PrefillOutcome.Completed) return other.await()
        cancelSlower(other)
        return outcome
    }

    private suspend fun cancelSlower(slower: Deferred<PrefillOutcome>) {
        slower.cancel()
        // The slower prefill may finish before it is cancelled; its result is released as well.
        val late = try {
            slower.await()
        } catch (_: CancellationException) {
            null
        }
        if (late is PrefillOutcome.Completed) entry.cancelAttempt(late.prefill.server, late.prefill.attempt)
    }

    private suspend fun reserveFirst(candidates: List<PrefillCandidate>): ReservationResult {
        var retryAt: Timestamp? = null
        candidates.take(MAXIMUM_RESERVATION_CANDIDATES).forEach { candidate ->
            when (val reserved = reserve(candidate)) {
                is ReservationResult.Accepted -> return reserved
                is ReservationResult.Refused -> retryAt = listOfNotNull(retryAt, reserved.retryAt).min()
            }
        }
        return ReservationResult.Refused(retryAt ?: entry.clock.now())
    }

    private suspend fun reserveSecond(candidates: List<PrefillCandidate>): ReservationResult.Accepted? {
        val now = entry.clock.now()
        val candidate = candidates.firstOrNull { now + it.predictedPrefillTime <= task.deadline } ?: return null
        if (!entry.loop.run { retryBudget.tryAcquire(now) }) return null
        return reserve(candidate) as? ReservationResult.Accepted
    }

    private suspend fun reserve(candidate: PrefillCandidate): ReservationResult {
        val attempt = entry.loop.run { nextAttemptId() }
        val request = ResourceRequest(
            server = candidate.server,
            kind = ReservationKind.PREFILL,
            attempt = attempt,
            priority = task.caller.priority,
            work = candidate.uncachedTokens,
            startDeadline = maxOf(
                task.firstTokenDeadline - candidate.predictedPrefillTime,
                entry.clock.now() + MINIMUM_START_WAIT,
            ),
            lastResort = candidate.lastResort,
        )
        return when (val outcome = entry.reservations.reserve(request)) {
            is ReservationOutcome.Refused -> ReservationResult.Refused(outcome.retryAt)
            else -> ReservationResult.Accepted(candidate, attempt, outcome)
        }
    }

    private suspend fun execute(reserved: ReservationResult.Accepted): PrefillOutcome {
        val candidate = reserved.candidate
        val startedAt = entry.clock.now()
        val running = entry.reporter.start(
            RunningAttempt(
                server = candidate.server,
                attempt = reserved.attempt,
                kind = ReservationKind.PREFILL,
                priority = task.caller.priority,
                work = candidate.uncachedTokens,
                progressExpectedFrom = startedAt + candidate.predictedWait,
            ),
        )
        var finished = false
        try {
            val result = entry.engine.prefill(candidate.server, request(reserved.attempt))
            finished = true
            return finish(candidate, reserved.attempt, startedAt, running, result)
        } finally {
            entry.reporter.stop(running)
            entry.reservations.release(running, reserved.outcome)
            if (!finished) entry.cancelAttempt(candidate.server, reserved.attempt)
        }
    }

    private suspend fun finish(
        candidate: PrefillCandidate,
        attempt: AttemptId,
        startedAt: Timestamp,
        running: RunningAttempt,
        result: Result<PrefillResult, BackendError>,
    ): PrefillOutcome = result.fold(
        success = { done ->
            val now = entry.clock.now()
            val uncached = done.promptTokens - done.cachedTokens
            val elapsed = maxOf(now - startedAt - candidate.predictedWait, Duration.ZERO)
            running.recordProgress(uncached, elapsed, now)
            entry.loop.run {
                servers.recordSuccess(candidate.server)
                servers.observePrefill(candidate.server, uncached, elapsed, now)
                prefixes.recordPrefill(candidate.server, task.prefixDigests)
            }
            PrefillOutcome.Completed(CompletedPrefill(candidate.server, attempt, done))
        },
        failure = { error ->
            entry.cancelAttempt(candidate.server, attempt)
            entry.reportIfCrashed(task.digest, candidate.server, error)
            PrefillOutcome.Failed(candidate.server, error)
        },
    )

    private fun request(attempt: AttemptId): PrefillRequest = PrefillRequest(
        attempt = attempt,
        instance = entry.self.address,
        incarnation = entry.self.incarnation,
        model = task.model,
        prompt = task.prompt,
        priority = task.caller.priority,
        deadline = task.deadline,
    )

    private fun timeUntil(deadline: Timestamp): Duration = maxOf(deadline - entry.clock.now(), Duration.ZERO)

    private sealed class ReservationResult {
        data class Accepted(val candidate: PrefillCandidate, val attempt: AttemptId, val outcome: ReservationOutcome) :
            ReservationResult()

        data class Refused(val retryAt: Timestamp) : ReservationResult()
    }
}
