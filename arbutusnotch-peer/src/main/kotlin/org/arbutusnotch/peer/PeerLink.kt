/*
 * The outbound side of one peer: its connection, opened on demand, and the backoff between attempts to open it.
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

internal class PeerLink(
    private val address: InstanceAddress,
    private val scope: CoroutineScope,
    private val codec: FrameCodec,
    private val limits: PeerLimits,
    private val connect: Connect,
) {
    private val lock = Any()
    private var attempt: Deferred<Result<OutboundConnection, PeerError>>? = null
    private var current: OutboundConnection? = null
    private var failures = 0
    private var retryAt: TimeMark = TimeSource.Monotonic.markNow()
    private var lastUse: TimeMark = TimeSource.Monotonic.markNow()

    /** Sends [message] and waits for the reply without a time limit; [track] learns of the request that is written. */
    suspend fun request(
        message: PeerMessage,
        track: (OutboundConnection, PendingRequest) -> Unit,
    ): Result<PeerMessage, PeerError> {
        while (true) {
            val connection = connection().getOrElse { return Err(it) }
            if (!connection.hasRoom()) return Err(PeerError.TooManyPending(address))
            val correlation = connection.nextCorrelation()
            val frame = codec.encode(Envelope(correlation, message))
                .getOrElse { bytes -> return Err(PeerError.FrameTooLarge(bytes, requestSent = false)) }
            val request = PendingRequest(correlation, frame)
            track(connection, request)
            val reply = if (connection.submit(request)) request.await() else NOT_TAKEN
            // A connection that closed before it wrote the request sent nothing, so another one may send it.
            if (reply != NOT_TAKEN) return reply
        }
    }

    fun closeIdleConnection() {
        val idle = synchronized(lock) { current?.takeIf { it.isIdleFor(limits.idleTime) } }
        idle?.closeAsLost()
    }

    fun isUnused(): Boolean = synchronized(lock) {
        current == null && attempt == null && lastUse.elapsedNow() >= limits.idleTime
    }

    fun close() {
        val open = synchronized(lock) { current }
        open?.closeAsLost()
    }

    private suspend fun connection(): Result<OutboundConnection, PeerError> {
        val opening = synchronized(lock) {
            lastUse = TimeSource.Monotonic.markNow()
            current?.let { if (it.isOpen) return Ok(it) else recordEnd(it) }
            attempt ?: startAttempt() ?: return Err(PeerError.Unreachable(address, "waiting to connect again"))
        }
        return opening.await()
    }

    private fun startAttempt(): Deferred<Result<OutboundConnection, PeerError>>? {
        if (failures > 0 && retryAt.hasNotPassedNow()) return null
        val started = CompletableDeferred<Result<OutboundConnection, PeerError>>()
        attempt = started
        scope.launch { started.complete(open()) }.invokeOnCompletion {
            started.complete(Err(PeerError.Unreachable(address, "the transport is closed")))
        }
        return started
    }

    private suspend fun open(): Result<OutboundConnection, PeerError> {
        val result = connect(address)
        synchronized(lock) {
            attempt = null
            result.onOk { current = it }
            result.onErr { recordFailure() }
        }
        result.onOk { opened -> opened.start { onClosed(opened) } }
        return result
    }

    private fun onClosed(connection: OutboundConnection) {
        synchronized(lock) { recordEnd(connection) }
    }

    /** Takes the backoff into account once, by whoever first notices the end of [connection]. */
    private fun recordEnd(connection: OutboundConnection) {
        if (current !== connection) return
        current = null
        if (connection.answered) failures = 0 else recordFailure()
    }

    private fun recordFailure() {
        failures += 1
        retryAt = TimeSource.Monotonic.markNow() + backoff(failures)
    }

    private fun backoff(failures: Int): Duration {
        val doublings = (failures - 1).coerceAtMost(MAXIMUM_DOUBLINGS)
        val base = minOf(limits.firstBackoff * (1 shl doublings), limits.maximumBackoff)
        return base * Random.nextDouble(LEAST_JITTER, 1.0)
    }

    private companion object {
        val NOT_TAKEN: Result<PeerMessage, PeerError> = Err(PeerError.ConnectionLost(requestSent = false))

        const val MAXIMUM_DOUBLINGS = 16

        /** Lower end of the jitter factor; instances that lost the same peer do not reconnect at the same time. */
        const val LEAST_JITTER = 0.5
    }
}
