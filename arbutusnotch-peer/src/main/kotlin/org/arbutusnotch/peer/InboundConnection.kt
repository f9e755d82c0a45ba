/*
 * Handles a connection that a peer opened: receives requests and sends their replies.
 */
package org.arbutusnotch.peer

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.sync.Semaphore
import kotlinx.io.IOException
import org.arbutusnotch.core.message.PeerMessage
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

internal class InboundConnection(
    parent: CoroutineScope,
    private val socket: Socket,
    private val codec: FrameCodec,
    limits: PeerLimits,
    private val traffic: PeerTraffic,
    private val handler: suspend (PeerMessage) -> PeerMessage,
) {
    private val scope = parent + Job(parent.coroutineContext.job)
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val replies = Channel<EncodedFrame>(Channel.UNLIMITED)

    /**
     * Limits the requests that are processed at a time.
     *
     * A permit is released only after the reply has been written, so that no more requests are read from a peer that
     * does not read its replies.
     */
    private val requestLimiter = Semaphore(limits.maximumInboundRequests)

    @Volatile
    private var lastFrameAt: TimeMark = TimeSource.Monotonic.markNow()

    fun start(onClosed: () -> Unit) {
        scope.coroutineContext.job.invokeOnCompletion {
            socket.close()
            onClosed()
        }
        scope.launch { readRequests() }
        scope.launch { writeReplies() }
    }

    fun isIdleFor(duration: Duration): Boolean = lastFrameAt.elapsedNow() >= duration

    fun close() {
        scope.cancel()
        socket.close()
    }

    private suspend fun readRequests() {
        try {
            while (scope.isActive) {
                requestLimiter.acquire()
                codec.read(input).fold(success = ::handleFrame, failure = ::closeOnError)
            }
        } finally {
            close()
        }
    }

    private fun handleFrame(frame: ReceivedFrame) {
        lastFrameAt = TimeSource.Monotonic.markNow()
        traffic.recordReceived(frame.envelope.message, frame.size)
        val message = frame.envelope.message
        if (message == null) {
            closeOnError(FrameError.Malformed("request has no message"))
        } else {
            scope.launch { replies.send(encodeReply(frame.envelope.correlation, invokeHandler(message))) }
        }
    }

    /** Returns the handler's reply; null if the handler threw, which the peer sees as [PeerError.NotProcessed]. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun invokeHandler(message: PeerMessage): PeerMessage? = try {
        handler(message)
    } catch (cancellation: CancellationException) {
        throw cancellation
    } catch (failure: Exception) {
        logger.error(failure) { "event=peer_handler_failed type=${messageType(message)} peer=${socket.remoteAddress}" }
        null
    }

    private fun encodeReply(correlation: Long, message: PeerMessage?): EncodedFrame =
        codec.encode(Envelope(correlation, message)).getOrElse { bytes ->
            logger.error { "event=peer_reply_too_large bytes=$bytes peer=${socket.remoteAddress}" }
            codec.encode(Envelope(correlation, null)).getOrElse { error("an empty envelope exceeds the frame limit") }
        }

    private fun closeOnError(error: FrameError) {
        when (error) {
            is FrameError.Ended -> Unit
            is FrameError.Failed -> Unit
            is FrameError.TooLarge -> logRejected("frame of ${error.bytes} bytes exceeds the limit")
            is FrameError.Malformed -> logRejected(error.detail)
        }
        close()
    }

    private fun logRejected(detail: String) {
        val quoted = detail.replace('\n', ' ').replace('"', '\'')
        logger.warn { "event=peer_frame_rejected peer=${socket.remoteAddress} detail=\"$quoted\"" }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun writeReplies() {
        try {
            for (frame in replies) {
                codec.write(frame, output)
                if (replies.isEmpty) output.flush()
                traffic.recordSent(frame.message, frame.size)
                requestLimiter.release()
            }
        } catch (failure: IOException) {
            logger.debug { "event=peer_write_failed peer=${socket.remoteAddress} detail=\"${failure.message}\"" }
        } finally {
            close()
        }
    }
}
