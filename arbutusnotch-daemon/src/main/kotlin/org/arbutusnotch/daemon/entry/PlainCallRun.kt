/*
 * Runs one call of a plain service. A non-idempotent operation runs only with a permit from its token's issuer.
 */
package org.arbutusnotch.daemon.entry

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import org.arbutusnotch.core.configuration.CallerIdentity
import org.arbutusnotch.core.configuration.OperationDefinition
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.PermitResult
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.TokenKey
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.permit.PermitActions
import org.arbutusnotch.core.permit.PermitAttempt
import org.arbutusnotch.core.permit.PermitDecision
import org.arbutusnotch.core.permit.PermitObservation
import org.arbutusnotch.core.permit.permitDecisionFor
import org.arbutusnotch.core.retry.FailedAttempt
import org.arbutusnotch.core.retry.RetryDecision
import org.arbutusnotch.core.routing.ServiceCandidate
import org.arbutusnotch.core.routing.ServicePlacement
import org.arbutusnotch.core.routing.ServiceRequest
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.token.IdempotencyToken
import org.arbutusnotch.daemon.backend.BackendError
import org.arbutusnotch.daemon.backend.ServiceCall
import org.arbutusnotch.daemon.control.TICK_GAP_LIMIT
import org.arbutusnotch.daemon.telemetry.PermitEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Describes a call to run.
 *
 * @property token the idempotency token as the caller sent it
 * @property digest digest of path and body; detects a token that is reused for another request
 * @property deadline time after which the answer is no longer useful
 */
internal class PlainCallTask(
    val id: RequestId,
    val caller: CallerIdentity,
    val service: String,
    val operation: OperationDefinition,
    val body: ByteArray,
    val contentType: String?,
    val token: String?,
    val digest: ContentDigest,
    val deadline: Timestamp,
)

/** Describes how a call ended. */
internal sealed class PlainCallOutcome {
    data class Answered(val answer: RecordedAnswer) : PlainCallOutcome()

    data class Refused(val outcome: RequestOutcome) : PlainCallOutcome()
}

/** Runs [task]. */
internal class PlainCallRun(private val entry: EntryContext, private val task: PlainCallTask) {
    private val triedServers = LinkedHashSet<BackendServerId>()

    /** Runs the call to its end and returns its outcome. */
    suspend fun run(): PlainCallOutcome {
        entry.loop.run { retryBudget.recordFirstAttempt(entry.clock.now()) }
        return if (task.operation.idempotent) runIdempotent() else runWithPermit()
    }

    private suspend fun runIdempotent(): PlainCallOutcome = when (val end = execute(UnguardedWrite)) {
        is Execution.Answered -> PlainCallOutcome.Answered(end.answer)
        is Execution.NotRun -> PlainCallOutcome.Refused(RequestOutcome.NotRun(end.reason, end.retryAt))
        is Execution.Unknown -> PlainCallOutcome.Refused(RequestOutcome.Unknown(end.reason, end.retryAt))
    }

    private suspend fun runWithPermit(): PlainCallOutcome {
        val text = task.token
            ?: return permitOutcome(permitDecisionFor(PermitObservation.TokenMissing, entry.clock.now()))
        val token = IdempotencyToken.parse(text).get()
            ?: return permitOutcome(permitDecisionFor(PermitObservation.TokenMalformed))
        val request = PermitRequest(
            key = TokenKey(task.caller.client, task.caller.workspace, text),
            requestDigest = task.digest,
            holder = entry.self,
            attempt = entry.loop.run { nextAttemptId() },
            permitDeadline = task.deadline,
        )
        val attempt = PermitAttempt(request)
        val decision = entry.permits.acquire(token, attempt, task.deadline)
        countDecision(decision)
        return if (decision is PermitDecision.Run) runPermitted(token, attempt) else permitOutcome(decision)
    }

    private suspend fun runPermitted(token: IdempotencyToken, attempt: PermitAttempt): PlainCallOutcome {
        val guard = PermittedWrite(attempt)
        val end = execute(guard)
        val actions = guard.returnActions ?: when (end) {
            is Execution.Answered -> attempt.onAnswer(end.answer)
            is Execution.NotRun -> attempt.fail(end.reason, end.retryAt)
            is Execution.Unknown -> attempt.fail(end.reason, end.retryAt)
        }
        actions.close?.let { message ->
            countResult(message.result)
            entry.permits.close(token, message)
        }
        return permitOutcome(checkNotNull(actions.decision) { "attempt ${attempt.request.attempt} ended twice" })
    }

    private fun countDecision(decision: PermitDecision) {
        val event = when (decision) {
            is PermitDecision.Run -> PermitEvent.GRANTED
            is PermitDecision.SendAnswer -> PermitEvent.ANSWER_REPEATED
            is PermitDecision.Refuse -> PermitEvent.DENIED
            is PermitDecision.AwaitRunning -> error("the wait for a running permit has not ended")
        }
        entry.counters.countPermitEvent(event)
    }

    private fun countResult(result: PermitResult) {
        val event = when (result) {
            is PermitResult.HandedBack -> PermitEvent.RETURNED
            is PermitResult.Answered -> PermitEvent.ANSWERED
            is PermitResult.Unknown -> PermitEvent.UNKNOWN
        }
        entry.counters.countPermitEvent(event)
    }

    /** Guards the writes of a call that needs a permit. */
    private inner class PermittedWrite(private val attempt: PermitAttempt) : WriteGuard {
        /** The actions that end the attempt if it had to return its permit before the write; null otherwise. */
        var returnActions: PermitActions? = null
            private set

        override suspend fun refusal(): RefusalReason? {
            val now = entry.clock.now()
            returnActions = entry.loop.run {
                attempt.beginWrite(now, lastTickAt, TICK_GAP_LIMIT, retryAt = now + RETRY_DELAY)
            }
            return returnActions?.let { RefusalReason.DEADLINE_EXCEEDED }
        }

        override fun onNotReceived() = attempt.onNotReceived()
    }

    private fun permitOutcome(decision: PermitDecision): PlainCallOutcome = when (decision) {
        is PermitDecision.SendAnswer -> PlainCallOutcome.Answered(decision.answer)

        is PermitDecision.Refuse -> PlainCallOutcome.Refused(decision.outcome)

        is PermitDecision.Run, is PermitDecision.AwaitRunning ->
            error("permit decision $decision does not end a request")
    }

    /** Sends the call until it is answered, may not be retried, or [guard] returns a reason not to write. */
    private suspend fun execute(guard: WriteGuard): Execution {
        var started = false
        while (true) {
            val placement = place()
            if (placement is ServicePlacement.Refused) return endOf(started, placement.reason, placement.retryAt)
            val reserved = reserve((placement as ServicePlacement.Placed).candidates)
            if (reserved is ReservationResult.Refused) return endOf(started, RefusalReason.CAPACITY, reserved.retryAt)
            val accepted = reserved as ReservationResult.Accepted
            val refusal = guard.refusal()
            if (refusal != null) {
                entry.reservations.release(accepted.candidate.server, accepted.resource.attempt, accepted.outcome)
                return endOf(started, refusal, entry.clock.now() + RETRY_DELAY)
            }
            val sent = send(accepted)
            if (sent is SendResult.Answer) return Execution.Answered(sent.answer)
            val error = (sent as SendResult.Failed).error
            if (mayHaveRun(error)) started = true else guard.onNotReceived()
            retryOrEnd(accepted.candidate.server, error, started)?.let { return it }
        }
    }

    private suspend fun place(): ServicePlacement = entry.loop.run {
        val request = ServiceRequest(
            service = task.service,
            operation = task.operation.name,
            priority = task.caller.priority,
            startDeadline = task.deadline,
            excludedServers = triedServers.toSet(),
        )
        router.placeService(request, entry.clock.now())
    }

    private suspend fun reserve(candidates: List<ServiceCandidate>): ReservationResult {
        var retryAt: Timestamp? = null
        candidates.take(MAXIMUM_RESERVATION_CANDIDATES).forEach { candidate ->
            val resource = ResourceRequest(
                server = candidate.server,
                kind = ReservationKind.SERVICE,
                attempt = entry.loop.run { nextAttemptId() },
                priority = task.caller.priority,
                work = 1,
                startDeadline = task.deadline - candidate.predictedCallTime,
                lastResort = candidate.lastResort,
            )
            when (val outcome = entry.reservations.reserve(resource)) {
                is ReservationOutcome.Refused -> retryAt = listOfNotNull(retryAt, outcome.retryAt).min()
                else -> return ReservationResult.Accepted(candidate, resource, outcome)
            }
        }
        return ReservationResult.Refused(retryAt ?: (entry.clock.now() + RETRY_DELAY))
    }

    private suspend fun send(accepted: ReservationResult.Accepted): SendResult {
        val server = accepted.candidate.server
        val startedAt = entry.clock.now()
        val running = entry.reporter.start(
            RunningAttempt(
                server = server,
                attempt = accepted.resource.attempt,
                kind = ReservationKind.SERVICE,
                priority = task.caller.priority,
                work = 1,
                progressExpectedFrom = startedAt,
            ),
        )
        try {
            val call = ServiceCall(
                operation = task.operation.name,
                attempt = accepted.resource.attempt,
                body = task.body,
                deadline = task.deadline,
                idempotencyKey = task.token.takeUnless { task.operation.idempotent },
                contentType = task.contentType,
            )
            return entry.services.call(server, call).fold(
                success = { answer ->
                    val now = entry.clock.now()
                    running.recordProgress(1, now - startedAt, now)
                    entry.loop.run {
                        servers.recordSuccess(server)
                        servers.observeCall(server, now - startedAt, now)
                    }
                    SendResult.Answer(
                        RecordedAnswer(answer.status, answer.contentType ?: DEFAULT_CONTENT_TYPE, answer.body),
                    )
                },
                failure = { SendResult.Failed(it) },
            )
        } finally {
            entry.reporter.stop(running)
            entry.reservations.release(running, accepted.outcome)
        }
    }

    /** Records the failure; returns null when the call is retried, otherwise its end. */
    private suspend fun retryOrEnd(server: BackendServerId, error: BackendError, started: Boolean): Execution? {
        val now = entry.clock.now()
        triedServers += server
        if (error is BackendError.NotConnected || error is BackendError.BrokenAfterWrite) {
            entry.loop.run { servers.recordFailure(server, now) }
        }
        val attempt = FailedAttempt(
            idempotent = task.operation.idempotent,
            mayHaveStarted = started,
            triedServers = triedServers,
            deadline = task.deadline,
            predictedDuration = Duration.ZERO,
        )
        return when (val decision = entry.loop.run { RetryDecision.of(attempt, retryBudget, now) }) {
            is RetryDecision.Retry -> {
                entry.counters.countRetry(retryReasonOf(error))
                null
            }

            is RetryDecision.Stop -> endOf(started, decision.reason, now + RETRY_DELAY)
        }
    }

    private fun mayHaveRun(error: BackendError): Boolean =
        error.mayHaveBeenReceived && error !is BackendError.RefusedFull

    private fun endOf(started: Boolean, reason: RefusalReason, retryAt: Timestamp): Execution =
        if (started) Execution.Unknown(reason, retryAt) else Execution.NotRun(reason, retryAt)

    /** Decides immediately before each write whether the call may be written. */
    private interface WriteGuard {
        /** Returns the reason why the call must not be written; null when it may be written. */
        suspend fun refusal(): RefusalReason?

        /** Records that the server cannot have run the last call that was allowed. */
        fun onNotReceived()
    }

    private object UnguardedWrite : WriteGuard {
        override suspend fun refusal(): RefusalReason? = null

        override fun onNotReceived() = Unit
    }

    private sealed class Execution {
        abstract val retryAt: Timestamp?

        data class Answered(val answer: RecordedAnswer) : Execution() {
            override val retryAt: Timestamp? = null
        }

        data class NotRun(val reason: RefusalReason, override val retryAt: Timestamp) : Execution()

        data class Unknown(val reason: RefusalReason, override val retryAt: Timestamp) : Execution()
    }

    private sealed class ReservationResult {
        data class Accepted(
            val candidate: ServiceCandidate,
            val resource: ResourceRequest,
            val outcome: ReservationOutcome,
        ) : ReservationResult()

        data class Refused(val retryAt: Timestamp) : ReservationResult()
    }

    private sealed class SendResult {
        data class Answer(val answer: RecordedAnswer) : SendResult()

        data class Failed(val error: BackendError) : SendResult()
    }

    private companion object {
        val RETRY_DELAY: Duration = 500.milliseconds
        const val DEFAULT_CONTENT_TYPE = "application/octet-stream"
    }
}
