/*
 * Execution permits as an entry asks for them, from the issuer that a token names.
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
import org.arbutusnotch.core.message.PermitResult
import org.arbutusnotch.core.permit.PermitDecision
import org.arbutusnotch.core.permit.PermitObservation
import org.arbutusnotch.core.permit.permitOutcome
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.token.IdempotencyToken
import org.arbutusnotch.daemon.control.Clock
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.peer.PeerTransport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Asks issuers for permits and reports how they ended. */
internal class PermitGateway(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val transport: PeerTransport,
    private val background: CoroutineScope,
) {
    /**
     * Asks the issuer of [token] until it decides or [waitDeadline] passes; a request that another holder runs is
     * answered by that run. A returned [PermitDecision.Run] must end with [close].
     */
    suspend fun acquire(token: IdempotencyToken, request: PermitRequest, waitDeadline: Timestamp): PermitDecision {
        while (true) {
            val observation = ask(token.prefix.issuer, request)
            val decision = permitOutcome(observation, retryAt = clock.now() + RETRY_DELAY)
            if (decision !is PermitDecision.AwaitRunning) return decision
            if (clock.now() + POLL_INTERVAL >= waitDeadline) {
                return permitOutcome(PermitObservation.WaitEnded, retryAt = decision.deadline)
            }
            delay(POLL_INTERVAL)
        }
    }

    /** Reports to the issuer how [permit] ended, without waiting for it; the report is repeated a few times. */
    fun close(token: IdempotencyToken, request: PermitRequest, permit: Long, result: PermitResult) {
        background.launch { send(token.prefix.issuer, PermitClose(request.key, request.attempt, permit, result)) }
    }

    private suspend fun ask(issuer: InstanceId, request: PermitRequest): PermitObservation {
        if (issuer.address == loop.run { self.address }) {
            return PermitObservation.Replied(loop.run { permits.request(request, clock.now()) })
        }
        val reply = transport.request(issuer.address, request, ISSUER_TIMEOUT).fold({ it }, { null })
        if (reply is PermitReply) return PermitObservation.Replied(reply)
        returnLatePermit(issuer, request)
        return PermitObservation.IssuerUnreachable
    }

    /**
     * Asks once more for a permit whose reply was lost and returns it, so that the token does not stay blocked. The
     * issuer repeats the permit of the same attempt, and this entry does not use it any more.
     */
    private fun returnLatePermit(issuer: InstanceId, request: PermitRequest) {
        background.launch {
            delay(RETRY_DELAY)
            val reply = transport.request(issuer.address, request, ISSUER_TIMEOUT).fold({ it }, { null })
            if (reply is PermitReply.Granted) {
                send(issuer, PermitClose(request.key, request.attempt, reply.permit, PermitResult.HandedBack))
            }
        }
    }

    private suspend fun send(issuer: InstanceId, message: PermitClose) {
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
