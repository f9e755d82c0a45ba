/*
 * One connection of a caller. Requests are processed one after another; those that arrive meanwhile wait.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
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
import kotlin.time.Duration.Companion.seconds

/** Answers one request. Every method is called on the event loop; calls after the caller left have no effect. */
public interface Responder {
    /** Whether the caller takes more bytes at present. */
    public val isWritable: Boolean

    /** Is called when [isWritable] becomes true again. */
    public var onWritable: () -> Unit

    /** Sends a complete answer; [onTaken] is called when the connection has taken it or has ended. */
    public fun send(head: ResponseHead, body: ByteArray, onTaken: () -> Unit = {})

    /** Begins an answer whose body follows; [length] is null when it is not known. */
    public fun begin(head: ResponseHead, length: Long?)

    /** Sends a part of the body and takes over [content]. */
    public fun sendPart(content: ByteBuf)

    /** Ends an answer that was begun. */
    public fun end()

    /** Breaks the answer off in a way that the caller cannot take for its end. */
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
    private val backlog = ArrayDeque<HttpObject>()
    private var backlogBytes = 0
    private var receiving: ReceivingRequest? = null
    private var current: Answer? = null
    private var rejected = false
    private var idleSince: Timestamp = clock.now()

    /** Time by which a head that has begun must be complete; null between requests. */
    private var headDeadline: Timestamp? = null

    /** Whether the connection ends with its next answer. */
    var closesAfterAnswer = false

    val isBusy: Boolean
        get() = current != null || receiving != null

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    /** Notes that bytes arrived; the decoder passes on nothing until a head is complete. */
    fun noteBytes() {
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
        backlog.addLast(message)
        backlogBytes += (message as? HttpContent)?.content()?.readableBytes() ?: HEAD_ESTIMATE
        if (backlogBytes <= limits.bodyBytes + limits.headBytes) return
        log.warn("caller_pipelines_too_much") { field("bytes", backlogBytes) }
        close()
    }

    private fun receive(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return reject(faultOf(message.decoderResult().cause()))
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
        val fault = StrictRequests.faultOf(head, request.protocolVersion().text())
        if (fault != null) return reject(fault)
        val expected = head.header("expect")
        if (expected != null && expected.equals("100-continue", ignoreCase = true)) {
            context?.writeAndFlush(Unpooled.copiedBuffer(CONTINUE, StandardCharsets.ISO_8859_1))
        }
        headDeadline = null
        receiving = ReceivingRequest(head, bodyDeadline = clock.now() + BODY_TIME)
    }

    private fun receiveContent(content: HttpContent) {
        val request = receiving ?: return
        val bytes = content.content()
        if (request.body.size() + bytes.readableBytes() > limits.bodyBytes) return reject(RequestFault.BODY_TOO_LARGE)
        bytes.readBytes(request.body, bytes.readableBytes())
        if (content !is LastHttpContent) return
        receiving = null
        val answer = Answer(closes = request.head.header("connection").equals("close", ignoreCase = true))
        current = answer
        val departure = handler.handle(HttpRequestMessage(request.head, request.body.toByteArray()), answer)
        if (current === answer) answer.departure = departure
    }

    private fun reject(fault: RequestFault) {
        rejected = true
        receiving = null
        log.info("request_rejected") { field("status", fault.status) }
        val head = ResponseHead(
            fault.status,
            fault.reason,
            listOf(HeaderField("Content-Length", "0"), HeaderField("Connection", "close")),
        )
        context?.let {
            it.writeAndFlush(HeadWriter.response(head, it.alloc())).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private fun faultOf(cause: Throwable): RequestFault = when (cause) {
        is TooLongHttpLineException -> RequestFault.TARGET_TOO_LONG
        is TooLongHttpHeaderException -> RequestFault.HEAD_TOO_LARGE
        else -> RequestFault.MALFORMED
    }

    private fun finish(answer: Answer, close: Boolean) {
        if (current !== answer) return
        current = null
        idleSince = clock.now()
        if (close) {
            context?.writeAndFlush(Unpooled.EMPTY_BUFFER)?.addListener(ChannelFutureListener.CLOSE)
            return
        }
        while (current == null && !rejected && backlog.isNotEmpty()) {
            val next = backlog.removeFirst()
            backlogBytes -= (next as? HttpContent)?.content()?.readableBytes() ?: HEAD_ESTIMATE
            receive(next)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) current?.onWritable?.invoke()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        val answer = current
        current = null
        receiving = null
        backlog.forEach { ReferenceCountUtil.release(it) }
        backlog.clear()
        onClosed(this)
        answer?.departure?.onCallerLeft()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) log.warn("caller_connection_failed", cause)
        context.close()
    }

    fun close() {
        context?.close()
    }

    /** Answers a request that takes too long to arrive, and closes the connection when it is idle for too long. */
    fun closeIfOverdue(inForce: CallerLimits) {
        val now = clock.now()
        val receivingUntil = receiving?.bodyDeadline ?: headDeadline
        when {
            current != null || rejected -> Unit
            receivingUntil != null -> if (now >= receivingUntil) reject(RequestFault.NOT_READ_IN_TIME)
            now >= idleSince + inForce.idleTimeout -> close()
        }
    }

    private class ReceivingRequest(val head: RequestHead, val bodyDeadline: Timestamp) {
        val body = ByteArrayOutputStream()
    }

    private inner class Answer(private val closes: Boolean) : Responder {
        var departure: CallerDeparture? = null
        override var onWritable: () -> Unit = {}
        private var chunked = false

        override val isWritable: Boolean
            get() = context?.channel()?.isWritable ?: false

        private val allocator: ByteBufAllocator
            get() = context?.alloc() ?: ByteBufAllocator.DEFAULT

        private val closesConnection: Boolean
            get() = closes || closesAfterAnswer

        override fun send(head: ResponseHead, body: ByteArray, onTaken: () -> Unit) {
            val channel = context
            if (current !== this || channel == null) return onTaken()
            val close = closesConnection
            val lengths = listOf(HeaderField("Content-Length", body.size.toString()))
            val framed = head.copy(headers = head.headers + lengths + connectionHeaders(close))
            val bytes = HeadWriter.response(framed, allocator)
            channel.writeAndFlush(bytes.writeBytes(body)).addListener { onTaken() }
            finish(this, close)
        }

        override fun begin(head: ResponseHead, length: Long?) {
            if (current !== this) return
            chunked = length == null
            val framing = if (length == null) {
                HeaderField("Transfer-Encoding", "chunked")
            } else {
                HeaderField("Content-Length", length.toString())
            }
            val framed = head.copy(headers = head.headers + framing + connectionHeaders(closesConnection))
            closesAtEnd = closesConnection
            context?.write(HeadWriter.response(framed, allocator))
        }

        private var closesAtEnd = false

        override fun sendPart(content: ByteBuf) {
            if (current !== this || !content.isReadable) {
                content.release()
                return
            }
            context?.writeAndFlush(if (chunked) HeadWriter.chunk(content) else content)
        }

        override fun end() {
            if (current !== this) return
            context?.writeAndFlush(if (chunked) HeadWriter.lastChunk() else Unpooled.EMPTY_BUFFER)
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
        const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"

        /** Bytes that a deferred head is counted with. */
        const val HEAD_ESTIMATE = 512

        /** Time for a body after its head; the configured limits give none. */
        val BODY_TIME = 10.seconds
    }
}
