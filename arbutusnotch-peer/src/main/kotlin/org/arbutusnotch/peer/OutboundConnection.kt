/*
 * Handles a connection that this instance opened: sends requests and receives their replies.
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
    private val correlationCounter = AtomicLong()
    private val closed = AtomicBoolean(false)

    @Volatile
    private var lastRequestAt: TimeMark = TimeSource.Monotonic.markNow()

    /** Time of the first request since the last frame from the peer. */
    private val unansweredSince = AtomicReference<TimeMark?>()

    /** Whether at least one valid frame was received from the peer. */
    @Volatile
    var hasReceivedFrame: Boolean = false
        private set

    val isOpen: Boolean get() = !closed.get()

    /** Starts reading and writing; [onClosed] is called once, when the connection has ended. */
    fun start(onClosed: () -> Unit) {
        scope.coroutineContext.job.invokeOnCompletion {
            closeAsLost()
            onClosed()
        }
        scope.launch { readReplies() }
        scope.launch { writeRequests() }
    }

    fun nextCorrelation(): Long = correlationCounter.incrementAndGet()

    /** Queues [request] for writing; returns false if the connection is closed, in which case nothing was sent. */
    fun submit(request: PendingRequest): Boolean {
        lastRequestAt = TimeSource.Monotonic.markNow()
        unansweredSince.compareAndSet(null, lastRequestAt)
        pending[request.correlation] = request
        val accepted = queue.trySend(request).isSuccess
        if (!accepted) pending.remove(request.correlation)
        return accepted
    }

    fun removePending(request: PendingRequest) {
        pending.remove(request.correlation)
    }

    fun hasPendingCapacity(): Boolean = pending.size < limits.maximumPendingRequests

    /** Closes the connection if no frame has arrived within the silence timeout after an unanswered request. */
    fun closeIfSilent() {
        val since = unansweredSince.get() ?: return
        if (since.elapsedNow() >= limits.silenceTimeout) closeAsLost()
    }

    fun isIdleFor(duration: Duration): Boolean = pending.isEmpty() && lastRequestAt.elapsedNow() >= duration

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
            while (isOpen) codec.read(input).fold(success = ::handleReply, failure = ::closeOnError)
        } finally {
            closeAsLost()
        }
    }

    private fun handleReply(frame: ReceivedFrame) {
        hasReceivedFrame = true
        unansweredSince.set(null)
        traffic.recordReceived(frame.envelope.message, frame.size)
        pending.remove(frame.envelope.correlation)?.complete(frame.envelope.message)
    }

    private fun closeOnError(error: FrameError): Unit = when (error) {
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
        if (!request.tryBeginWrite()) return
        codec.write(request.frame, output)
        traffic.recordSent(request.frame.message, request.frame.size)
    }
}
