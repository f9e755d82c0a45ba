/*
 * The prefill of a completion. A late prefill is started once more on another server; the slower one is cancelled.
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

/** Describes the result of a prefill and the server that holds it for [attempt]. */
internal data class HeldPrefill(val server: BackendServerId, val attempt: AttemptId, val result: PrefillResult)

/** Describes how the prefill of a completion ended. */
internal sealed class PrefillOutcome {
    data class Done(val held: HeldPrefill) : PrefillOutcome()

    data class Failed(val server: BackendServerId, val error: BackendError) : PrefillOutcome()

    data class Refused(val retryAt: Timestamp) : PrefillOutcome()
}

/** Runs prefills of [work], at most two at a time. */
internal class PrefillRace(private val entry: EntryContext, private val work: CompletionWork) {
    /** Runs the prefill on the first of [candidates] that accepts it, and once more elsewhere after [secondAt]. */
    suspend fun run(candidates: List<PrefillCandidate>, secondAt: Timestamp?): PrefillOutcome = coroutineScope {
        val first = reserveFirst(candidates)
        when (first) {
            is Reserved.Refused -> PrefillOutcome.Refused(first.retryAt)
            is Reserved.Accepted -> race(first, candidates.filter { it.server != first.candidate.server }, secondAt)
        }
    }

    private suspend fun race(
        first: Reserved.Accepted,
        others: List<PrefillCandidate>,
        secondAt: Timestamp?,
    ): PrefillOutcome = coroutineScope {
        val primary = async { execute(first) }
        val early = if (secondAt == null || others.isEmpty()) primary.await() else awaitUntil(primary, secondAt)
        if (early != null) return@coroutineScope early
        val second = reserveSecond(others) ?: return@coroutineScope primary.await()
        entry.counters.countRetry(RetryReason.PREFILL_LATE)
        val secondary = async { execute(second) }
        firstSuccess(primary, secondary)
    }

    private suspend fun awaitUntil(running: Deferred<PrefillOutcome>, deadline: Timestamp): PrefillOutcome? = select {
        running.onAwait { it }
        onTimeout(remaining(deadline)) { null }
    }

    private suspend fun firstSuccess(
        primary: Deferred<PrefillOutcome>,
        secondary: Deferred<PrefillOutcome>,
    ): PrefillOutcome {
        val (outcome, other) = select {
            primary.onAwait { it to secondary }
            secondary.onAwait { it to primary }
        }
        if (outcome !is PrefillOutcome.Done) return other.await()
        cancelLoser(other)
        return outcome
    }

    private suspend fun cancelLoser(loser: Deferred<PrefillOutcome>) {
        loser.cancel()
        // The loser may have finished before it was cancelled; its result is released as well.
        val late = try {
            loser.await()
        } catch (_: CancellationException) {
            null
        }
        if (late is PrefillOutcome.Done) entry.release(late.held.server, late.held.attempt)
    }

    private suspend fun reserveFirst(candidates: List<PrefillCandidate>): Reserved {
        var retryAt: Timestamp? = null
        candidates.take(CANDIDATES_ASKED).forEach { candidate ->
            when (val reserved = reserve(candidate)) {
                is Reserved.Accepted -> return reserved
                is Reserved.Refused -> retryAt = listOfNotNull(retryAt, reserved.retryAt).min()
            }
        }
        return Reserved.Refused(retryAt ?: entry.clock.now())
    }

    private suspend fun reserveSecond(candidates: List<PrefillCandidate>): Reserved.Accepted? {
        val now = entry.clock.now()
        val candidate = candidates.firstOrNull { now + it.predictedPrefillTime <= work.deadline } ?: return null
        if (!entry.loop.run { retryBudget.tryAcquire(now) }) return null
        return reserve(candidate) as? Reserved.Accepted
    }

    private suspend fun reserve(candidate: PrefillCandidate): Reserved {
        val attempt = entry.loop.run { nextAttempt() }
        val request = ResourceRequest(
            server = candidate.server,
            kind = ReservationKind.PREFILL,
            attempt = attempt,
            priority = work.caller.priority,
            work = candidate.uncachedTokens,
            startDeadline = maxOf(
                work.firstTokenDeadline - candidate.predictedPrefillTime,
                entry.clock.now() + SHORTEST_START_WAIT,
            ),
            lastResort = candidate.lastResort,
        )
        return when (val outcome = entry.reservations.reserve(request)) {
            is ReservationOutcome.Refused -> Reserved.Refused(outcome.retryAt)
            else -> Reserved.Accepted(candidate, attempt, outcome)
        }
    }

    private suspend fun execute(reserved: Reserved.Accepted): PrefillOutcome {
        val candidate = reserved.candidate
        val startedAt = entry.clock.now()
        val running = entry.reporter.start(
            RunningAttempt(
                server = candidate.server,
                attempt = reserved.attempt,
                kind = ReservationKind.PREFILL,
                priority = work.caller.priority,
                work = candidate.uncachedTokens,
                expectedSince = startedAt + candidate.predictedWait,
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
            if (!finished) entry.release(candidate.server, reserved.attempt)
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
            running.add(uncached, elapsed, now)
            entry.loop.run {
                servers.recordSuccess(candidate.server)
                servers.observePrefill(candidate.server, uncached, elapsed, now)
                prefixes.recordPrefill(candidate.server, work.prefixDigests)
            }
            PrefillOutcome.Done(HeldPrefill(candidate.server, attempt, done))
        },
        failure = { error ->
            entry.release(candidate.server, attempt)
            entry.reportIfCrashed(work.digest, candidate.server, error)
            PrefillOutcome.Failed(candidate.server, error)
        },
    )

    private fun request(attempt: AttemptId): PrefillRequest = PrefillRequest(
        attempt = attempt,
        instance = entry.self.address,
        incarnation = entry.self.incarnation,
        model = work.model,
        prompt = work.prompt,
        priority = work.caller.priority,
        deadline = work.deadline,
    )

    private fun remaining(deadline: Timestamp): Duration = maxOf(deadline - entry.clock.now(), Duration.ZERO)

    private sealed class Reserved {
        data class Accepted(val candidate: PrefillCandidate, val attempt: AttemptId, val outcome: ReservationOutcome) :
            Reserved()

        data class Refused(val retryAt: Timestamp) : Reserved()
    }
}
