/*
 * Requests execution permits from the issuer that an idempotency token names.
 */
package org.arbutusnotch.daemon.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.PermitClose
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.permit.PermitAttempt
import org.arbutusnotch.core.permit.PermitDecision
import org.arbutusnotch.core.permit.closeForLatePermit
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.token.IdempotencyToken
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.peer.PeerTransport
import org.arbutusnotch.telemetry.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests permits from their issuers and reports the results of permitted attempts. */
internal class PermitGateway(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val transport: PeerTransport,
    private val background: CoroutineScope,
) {
    /**
     * Requests the permit of [attempt] from the issuer of [token] and polls until it decides or [waitDeadline] passes.
     * If another holder is running the request, the result of that run decides. After [PermitDecision.Run] the caller
     * must end the attempt and send the resulting message with [close].
     */
    suspend fun acquire(token: IdempotencyToken, attempt: PermitAttempt, waitDeadline: Timestamp): PermitDecision {
        while (true) {
            val reply = requestPermit(token.prefix.issuer, attempt.request)
            val retryAt = clock.now() + RETRY_DELAY
            val actions = if (reply == null) attempt.onIssuerUnreachable(retryAt) else attempt.onReply(reply, retryAt)
            val decision = checkNotNull(actions.decision) {
                "attempt ${attempt.request.attempt} ended before its permit was decided"
            }
            if (decision !is PermitDecision.AwaitRunning) return decision
            if (clock.now() + POLL_INTERVAL >= waitDeadline) {
                return checkNotNull(attempt.fail(RefusalReason.DEADLINE_EXCEEDED, decision.deadline).decision)
            }
            delay(POLL_INTERVAL)
        }
    }

    /** Sends [message] to the issuer of [token] in the background, with a limited number of retries. */
    fun close(token: IdempotencyToken, message: PermitClose) {
        background.launch { sendClose(token.prefix.issuer, message) }
    }

    /** Returns the issuer's reply; null when it is unreachable or does not reply in time. */
    private suspend fun requestPermit(issuer: InstanceId, request: PermitRequest): PermitReply? {
        if (issuer.address == loop.run { self.address }) return loop.run { permits.request(request, clock.now()) }
        val reply = transport.request(issuer.address, request, ISSUER_TIMEOUT).fold({ it }, { null }) as? PermitReply
        if (reply == null) returnLatePermit(issuer, request)
        return reply
    }

    /**
     * Requests a permit again whose reply was lost and returns it, so that the token does not stay blocked. The issuer
     * repeats its reply to the same attempt, and this entry no longer uses the permit.
     */
    private fun returnLatePermit(issuer: InstanceId, request: PermitRequest) {
        background.launch {
            delay(RETRY_DELAY)
            val reply = transport.request(issuer.address, request, ISSUER_TIMEOUT).fold({ it }, { null })
            (reply as? PermitReply)?.let { closeForLatePermit(request, it) }?.let { sendClose(issuer, it) }
        }
    }

    private suspend fun sendClose(issuer: InstanceId, message: PermitClose) {
        if (issuer.address == loop.run { self.address }) {
            loop.run { permits.close(message, clock.now()) }
            return
        }
        repeat(CLOSE_ATTEMPTS) {
            val delivered = transport.request(issuer.address, message, ISSUER_TIMEOUT).fold({ true }, { false })
            if (delivered) return
            delay(RETRY_DELAY)
        }
    }

    private companion object {
        val ISSUER_TIMEOUT: Duration = 1.seconds
        val POLL_INTERVAL: Duration = 50.milliseconds
        val RETRY_DELAY: Duration = 500.milliseconds
        const val CLOSE_ATTEMPTS = 5
    }
}
