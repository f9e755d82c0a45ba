/*
 * Sends requests to one peer: opens the connection on demand, with a backoff after failed attempts.
 */
package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.launch
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.PeerMessage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

internal typealias Connect = suspend (InstanceAddress) -> Result<OutboundConnection, PeerError>

internal class PeerClient(
    private val address: InstanceAddress,
    private val scope: CoroutineScope,
    private val codec: FrameCodec,
    private val limits: PeerLimits,
    private val connect: Connect,
) {
    private val lock = Any()
    private var openingConnection: Deferred<Result<OutboundConnection, PeerError>>? = null
    private var current: OutboundConnection? = null
    private var failures = 0
    private var retryAt: TimeMark = TimeSource.Monotonic.markNow()
    private var lastUsedAt: TimeMark = TimeSource.Monotonic.markNow()

    /**
     * Sends [message] and waits for the reply without a timeout.
     *
     * @param onRequest called with the connection and the request before each submission
     */
    suspend fun request(
        message: PeerMessage,
        onRequest: (OutboundConnection, PendingRequest) -> Unit,
    ): Result<PeerMessage, PeerError> {
        while (true) {
            val connection = connection().getOrElse { return Err(it) }
            if (!connection.hasPendingCapacity()) return Err(PeerError.TooManyPending(address))
            val correlation = connection.nextCorrelation()
            val frame = codec.encode(Envelope(correlation, message))
                .getOrElse { bytes -> return Err(PeerError.FrameTooLarge(bytes, requestSent = false)) }
            val request = PendingRequest(correlation, frame)
            onRequest(connection, request)
            val reply = if (connection.submit(request)) request.await() else NOT_SENT
            // A connection that closed before it wrote the request sent nothing, so the request is sent on a new one.
            if (reply != NOT_SENT) return reply
        }
    }

    fun closeIdleConnection() {
        val idle = synchronized(lock) { current?.takeIf { it.isIdleFor(limits.idleTimeout) } }
        idle?.closeAsLost()
    }

    fun isUnused(): Boolean = synchronized(lock) {
        current == null && openingConnection == null && lastUsedAt.elapsedNow() >= limits.idleTimeout
    }

    fun close() {
        val connection = synchronized(lock) { current }
        connection?.closeAsLost()
    }

    private suspend fun connection(): Result<OutboundConnection, PeerError> {
        val opening = synchronized(lock) {
            lastUsedAt = TimeSource.Monotonic.markNow()
            current?.let { if (it.isOpen) return Ok(it) else recordClosed(it) }
            openingConnection ?: startOpening() ?: return Err(PeerError.Unreachable(address, "in connection backoff"))
        }
        return opening.await()
    }

    private fun startOpening(): Deferred<Result<OutboundConnection, PeerError>>? {
        if (failures > 0 && retryAt.hasNotPassedNow()) return null
        val opening = CompletableDeferred<Result<OutboundConnection, PeerError>>()
        openingConnection = opening
        scope.launch { opening.complete(openConnection()) }.invokeOnCompletion {
            opening.complete(Err(PeerError.Unreachable(address, "the transport is closed")))
        }
        return opening
    }

    private suspend fun openConnection(): Result<OutboundConnection, PeerError> {
        val result = connect(address)
        synchronized(lock) {
            openingConnection = null
            result.onOk { current = it }
            result.onErr { recordFailure() }
        }
        result.onOk { connection -> connection.start { onClosed(connection) } }
        return result
    }

    private fun onClosed(connection: OutboundConnection) {
        synchronized(lock) { recordClosed(connection) }
    }

    /** Updates the backoff for the end of [connection]; later calls for the same connection have no effect. */
    private fun recordClosed(connection: OutboundConnection) {
        if (current !== connection) return
        current = null
        if (connection.hasReceivedFrame) failures = 0 else recordFailure()
    }

    private fun recordFailure() {
        failures += 1
        retryAt = TimeSource.Monotonic.markNow() + backoff(failures)
    }

    private fun backoff(failures: Int): Duration {
        val doublings = (failures - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        val base = minOf(limits.initialBackoff * (1 shl doublings), limits.maximumBackoff)
        return base * Random.nextDouble(MINIMUM_JITTER, 1.0)
    }

    private companion object {
        val NOT_SENT: Result<PeerMessage, PeerError> = Err(PeerError.ConnectionLost(requestSent = false))

        const val MAXIMUM_DOUBLINGS = 16

        /** Lower bound of the jitter factor; the jitter spreads the reconnects of instances that lost the same peer. */
        const val MINIMUM_JITTER = 0.5
    }
}
