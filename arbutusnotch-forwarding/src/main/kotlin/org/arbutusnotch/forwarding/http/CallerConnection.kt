/*
 * One connection of a caller. Requests are processed one at a time; pipelined requests are queued.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.arbutusnotch.core.forwarding.CallerLimits
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.charset.StandardCharsets
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends the response to one request, on the event loop; calls after the caller disconnected have no effect. */
public interface Responder {
    /** Whether the write buffer of the connection has room for more bytes. */
    public val isWritable: Boolean

    /** Callback for [isWritable] becoming true again. */
    public var onWritable: () -> Unit

    /** Sends a complete response; [onWritten] is called when it is written or the connection is closed. */
    public fun send(head: ResponseHead, body: ByteArray, onWritten: () -> Unit = {})

    /** Starts a response whose body follows in chunks, so that [abort] can show at any time that it is incomplete. */
    public fun startStreaming(head: ResponseHead)

    /** Sends a part of the body and releases [content]. */
    public fun sendContent(content: ByteBuf)

    /** Completes a response that [startStreaming] started. */
    public fun end()

    /** Closes the connection in the middle of the response, so that the caller sees it as incomplete. */
    public fun abort()
}

internal class CallerConnection(
    private val limits: CallerLimits,
    private val clock: Clock,
    private val handler: RequestHandler,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private val log = EventLog("caller")
    private var context: ChannelHandlerContext? = null
    private val deferred = ArrayDeque<HttpObject>()
    private var deferredBytes = 0
    private var receiving: ReceivingRequest? = null
    private var current: ActiveResponse? = null
    private var rejected = false
    private var idleSince: Timestamp = clock.now()

    /** Time until which a new connection counts as busy, since a request may lie unread; null once one was read. */
    private var firstReadBy: Timestamp? = clock.now() + FIRST_READ_TIME

    /** Deadline for a request head whose first bytes have arrived; null between requests. */
    private var headDeadline: Timestamp? = null

    /** Whether the connection closes after its next response. */
    var closesAfterResponse = false

    /** The write that ends the latest response; null before the first one. */
    private var lastWrite: ChannelFuture? = null

    /** Whether a request is received, processed or not yet read, or its caller has not yet taken the whole response. */
    val isBusy: Boolean
        get() = current != null || receiving != null || hasUnwrittenAnswer || isUnread

    private val isUnread: Boolean
        get() = firstReadBy.let { it != null && clock.now() < it }

    /** Whether the latest response is complete here but not yet taken by its caller. */
    val hasUnwrittenAnswer: Boolean
        get() = lastWrite?.isDone == false

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    /** Starts the head deadline: the decoder emits nothing until a head is complete. */
    fun onBytesReceived() {
        firstReadBy = null
        if (headDeadline == null && current == null && receiving == null) {
            headDeadline = clock.now() + limits.headTimeout
        }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        if (rejected) {
            ReferenceCountUtil.release(message)
        } else if (current != null) {
            defer(message)
        } else {
            receive(message)
        }
    }

    private fun defer(message: HttpObject) {
        deferred.addLast(message)
        deferredBytes += (message as? HttpContent)?.content()?.readableBytes() ?: DEFERRED_HEAD_BYTES
        if (deferredBytes <= limits.bodyBytes + limits.headBytes) return
        log.warn("caller_pipelines_too_much") { field("bytes", deferredBytes) }
        close()
    }

    private fun receive(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return reject(errorOf(message.decoderResult().cause()))
            if (message is HttpRequest) beginRequest(message)
            if (message is HttpContent) receiveContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun beginRequest(request: HttpRequest) {
        val head = RequestHead(
            method = request.method().name(),
            target = request.uri(),
            headers = request.headers().entries().map { HeaderField(it.key, it.value) },
        )
        val error = RequestValidator.findError(head, request.protocolVersion().text())
        if (error != null) return reject(error)
        val expected = head.header("expect")
        if (expected != null && expected.equals("100-continue", ignoreCase = true)) {
            context?.writeAndFlush(Unpooled.copiedBuffer(CONTINUE_RESPONSE, StandardCharsets.ISO_8859_1))
        }
        headDeadline = null
        receiving = ReceivingRequest(head, bodyDeadline = clock.now() + BODY_TIMEOUT)
    }

    private fun receiveContent(content: HttpContent) {
        val request = receiving ?: return
        val bytes = content.content()
        if (request.body.size() + bytes.readableBytes() > limits.bodyBytes) return reject(RequestError.BODY_TOO_LARGE)
        bytes.readBytes(request.body, bytes.readableBytes())
        if (content !is LastHttpContent) return
        receiving = null
        val closeRequested = request.head.header("connection").equals("close", ignoreCase = true)
        val response = ActiveResponse(closeRequested)
        current = response
        val listener = handler.handle(HttpRequestMessage(request.head, request.body.toByteArray()), response)
        if (current === response) response.disconnectListener = listener
    }

    private fun reject(error: RequestError) {
        rejected = true
        receiving = null
        log.info("request_rejected") { field("status", error.status) }
        val head = ResponseHead(
            error.status,
            error.reason,
            listOf(HeaderField("Content-Length", "0"), HeaderField("Connection", "close")),
        )
        context?.let {
            it.writeAndFlush(HeadWriter.response(head, it.alloc())).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun errorOf(cause: Throwable): RequestError = when (cause) {
        is TooLongHttpLineException -> RequestError.TARGET_TOO_LONG
        is TooLongHttpHeaderException -> RequestError.HEAD_TOO_LARGE
        else -> RequestError.MALFORMED
    }

    private fun finish(response: ActiveResponse, close: Boolean) {
        if (current !== response) return
        current = null
        idleSince = clock.now()
        if (close) {
            context?.writeAndFlush(Unpooled.EMPTY_BUFFER)?.addListener(ChannelFutureListener.CLOSE)
            return
        }
        while (current == null && !rejected && deferred.isNotEmpty()) {
            val next = deferred.removeFirst()
            deferredBytes -= (next as? HttpContent)?.content()?.readableBytes() ?: DEFERRED_HEAD_BYTES
            receive(next)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) current?.onWritable?.invoke()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        val response = current
        current = null
        receiving = null
        deferred.forEach { ReferenceCountUtil.release(it) }
        deferred.clear()
        onClosed(this)
        response?.disconnectListener?.onDisconnect()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) log.warn("caller_connection_failed", cause)
        context.close()
    }

    fun close() {
        context?.close()
    }

    /** Rejects a request that takes too long to arrive, and closes a connection that exceeds the idle timeout. */
    fun closeIfTimedOut(currentLimits: CallerLimits) {
        val now = clock.now()
        val receiveDeadline = receiving?.bodyDeadline ?: headDeadline
        when {
            current != null || rejected -> Unit
            receiveDeadline != null -> if (now >= receiveDeadline) reject(RequestError.REQUEST_TIMEOUT)
            now >= idleSince + currentLimits.idleTimeout -> close()
        }
    }

    private class ReceivingRequest(val head: RequestHead, val bodyDeadline: Timestamp) {
        val body = ByteArrayOutputStream()
    }

    private inner class ActiveResponse(private val closeRequested: Boolean) : Responder {
        var disconnectListener: DisconnectListener? = null
        override var onWritable: () -> Unit = {}

        override val isWritable: Boolean
            get() = context?.channel()?.isWritable ?: false

        private val allocator: ByteBufAllocator
            get() = context?.alloc() ?: ByteBufAllocator.DEFAULT

        private val closesConnection: Boolean
            get() = closeRequested || closesAfterResponse

        override fun send(head: ResponseHead, body: ByteArray, onWritten: () -> Unit) {
            val channel = context
            if (current !== this || channel == null) return onWritten()
            val close = closesConnection
            val lengthHeader = listOf(HeaderField("Content-Length", body.size.toString()))
            val framedHead = head.copy(headers = head.headers + lengthHeader + connectionHeaders(close))
            val bytes = HeadWriter.response(framedHead, allocator)
            lastWrite = channel.writeAndFlush(bytes.writeBytes(body)).addListener { onWritten() }
            finish(this, close)
        }

        override fun startStreaming(head: ResponseHead) {
            if (current !== this) return
            val framing = HeaderField("Transfer-Encoding", "chunked")
            val framedHead = head.copy(headers = head.headers + framing + connectionHeaders(closesConnection))
            closesAtEnd = closesConnection
            context?.write(HeadWriter.response(framedHead, allocator))
        }

        private var closesAtEnd = false

        override fun sendContent(content: ByteBuf) {
            if (current !== this || !content.isReadable) {
                content.release()
                return
            }
            context?.writeAndFlush(HeadWriter.chunk(content))
        }

        override fun end() {
            if (current !== this) return
            lastWrite = context?.writeAndFlush(HeadWriter.lastChunk())
            finish(this, closesAtEnd)
        }

        override fun abort() {
            if (current !== this) return
            current = null
            rejected = true
            close()
        }

        private fun connectionHeaders(close: Boolean) =
            if (close) listOf(HeaderField("Connection", "close")) else emptyList()
    }

    private companion object {
        const val CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n"

        /** Assumed size of a deferred head, whose encoded size is no longer known. */
        const val DEFERRED_HEAD_BYTES = 512

        /** Time in which the first bytes of a connection are read, also while there is little processor time. */
        val FIRST_READ_TIME = 300.milliseconds

        /** Time for a body to arrive after its head; the configured limits include none. */
        val BODY_TIMEOUT = 10.seconds
    }
}
