/*
 * Builds the responses of requests that are not answered, and counts and logs their outcomes.
 */
package org.arbutusnotch.daemon.entry

import com.linecorp.armeria.common.HttpResponse
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.EventLog

/** Builds the responses of requests that are not answered. */
internal class RefusalResponder(private val entry: EntryContext) {
    private val log = EventLog("entry")

    /** Counts and logs the [outcome] of [request] and returns the HTTP response with [message]. */
    suspend fun refuse(request: RequestId, outcome: RequestOutcome, message: String): HttpResponse {
        val refusal = describe(request, outcome, message)
        return refusal.toResponse(request, entry.clock.now())
    }

    /** Counts and logs the [outcome] of [request] and returns the refusal with [message]. */
    suspend fun describe(request: RequestId, outcome: RequestOutcome, message: String): Refusal {
        val (reason, retryAt) = reasonAndRetryTime(outcome)
        entry.counters.countOutcome(outcome)
        log.debug("request_refused") {
            field("request", request)
            field("outcome", outcome.code)
            field("reason", reason.code)
        }
        val prefix = if (reason in NEW_TOKEN_REASONS) entry.loop.run { issuerPrefix(entry.clock.now()) } else null
        return Refusal(reason, outcome.code, message, retryAt, prefix?.format())
    }

    private fun reasonAndRetryTime(outcome: RequestOutcome): Pair<RefusalReason, Timestamp?> = when (outcome) {
        is RequestOutcome.NotRun -> outcome.reason to outcome.retryAt
        is RequestOutcome.Unknown -> outcome.reason to outcome.retryAt
        is RequestOutcome.Answered -> error("an answered request is not refused")
    }

    private companion object {
        /** Refusals after which the caller needs an issuer prefix for a new token. */
        val NEW_TOKEN_REASONS = setOf(RefusalReason.TOKEN_MISSING, RefusalReason.TOKEN_MALFORMED)
    }
}
