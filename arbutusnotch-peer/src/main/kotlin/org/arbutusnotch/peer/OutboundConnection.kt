/*
 * A connection that this instance opened: it sends requests and receives their replies.
 */
package org.arbutusnotch.peer

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

internal class OutboundConnection(
    parent: CoroutineScope,
    private val socket: Socket,
    private val codec: FrameCodec,
    private val limits: PeerLimits,
    private val traffic: PeerTraffic,
) {
    private val scope = parent + Job(parent.coroutineContext.job)
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val queue = Channel<PendingRequest>(Channel.UNLIMITED)
    private val pending = ConcurrentHashMap<Long, PendingRequest>()
    private val correlations = AtomicLong()
    private val closed = AtomicBoolean(false)

    @Volatile
    private var lastRequest: TimeMark = TimeSource.Monotonic.markNow()

    /** Time of the first request since the last frame from the peer. */
    private val unansweredSince = AtomicReference<TimeMark?>()

    /** Whether the peer sent at least one valid frame. */
    @Volatile
    var answered: Boolean = false
        private set

    val isOpen: Boolean get() = !closed.get()

    /** Starts to read and write; [onClosed] runs once, when the connection has ended. */
    fun start(onClosed: () -> Unit) {
        scope.coroutineContext.job.invokeOnCompletion {
            closeAsLost()
            onClosed()
        }
        scope.launch { readReplies() }
        scope.launch { writeRequests() }
    }

    fun nextCorrelation(): Long = correlations.incrementAndGet()

    /** Returns whether [request] was accepted; false when the connection is closed, in which case nothing was sent. */
    fun submit(request: PendingRequest): Boolean {
        lastRequest = TimeSource.Monotonic.markNow()
        unansweredSince.compareAndSet(null, lastRequest)
        pending[request.correlation] = request
        val accepted = queue.trySend(request).isSuccess
        if (!accepted) pending.remove(request.correlation)
        return accepted
    }

    fun forget(request: PendingRequest) {
        pending.remove(request.correlation)
    }

    fun hasRoom(): Boolean = pending.size < limits.pendingRequests

    /** Closes the connection when the peer has been silent for longer than the limit although requests wait. */
    fun closeIfSilent() {
        val since = unansweredSince.get() ?: return
        if (since.elapsedNow() >= limits.silence) closeAsLost()
    }

    fun isIdleFor(time: Duration): Boolean = pending.isEmpty() && lastRequest.elapsedNow() >= time

    fun close(error: (requestSent: Boolean) -> PeerError) {
        if (!closed.compareAndSet(false, true)) return
        queue.close()
        failPending(error)
        socket.close()
        scope.cancel()
    }

    fun closeAsLost(): Unit = close { sent -> PeerError.ConnectionLost(sent) }

    private fun failPending(error: (requestSent: Boolean) -> PeerError) {
        for (request in pending.values) request.fail(error)
        pending.clear()
    }

    private suspend fun readReplies() {
        try {
            while (isOpen) codec.read(input).fold(success = ::receive, failure = ::closeAfter)
        } finally {
            closeAsLost()
        }
    }

    private fun receive(frame: ReceivedFrame) {
        answered = true
        unansweredSince.set(null)
        traffic.received(frame.envelope.message, frame.size)
        pending.remove(frame.envelope.correlation)?.complete(frame.envelope.message)
    }

    private fun closeAfter(error: FrameError): Unit = when (error) {
        is FrameError.Ended -> closeAsLost()
        is FrameError.Failed -> closeAsLost()
        is FrameError.TooLarge -> close { sent -> PeerError.FrameTooLarge(error.bytes, sent) }
        is FrameError.Malformed -> close { sent -> PeerError.Malformed(error.detail, sent) }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun writeRequests() {
        try {
            for (request in queue) {
                write(request)
                if (queue.isEmpty) output.flush()
            }
        } catch (failure: IOException) {
            logger.debug { "event=peer_write_failed peer=${socket.remoteAddress} detail=\"${failure.message}\"" }
        } finally {
            closeAsLost()
        }
    }

    private suspend fun write(request: PendingRequest) {
        if (!request.beginWrite()) return
        codec.write(request.frame, output)
        traffic.sent(request.frame.message, request.frame.size)
    }
}
