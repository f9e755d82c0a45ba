/*
 * One request to a backend server, on a dedicated connection.
 *
 * Connections are not reused. A second response, bytes after a response or a late response can therefore never be
 * attributed to another request, and no request is lost on a connection that the server was about to close.
 */
package org.arbutusnotch.forwarding.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import jdk.net.ExtendedSocketOptions
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.BufferedAnswer
import org.arbutusnotch.http.ResponseDecoder
import java.net.ConnectException
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Describes how a [ServerCall] ended. */
internal sealed class CallEnd {
    /**
     * The response is complete.
     *
     * @property endedByClose whether only the end of the connection marks its end, without a length or chunks; the
     * connection stays open for a moment then, so that [ServerCall.wasResetAfterEnd] can tell whether it was reset
     */
    data class Complete(val endedByClose: Boolean = false) : CallEnd()

    /**
     * No byte of the request was sent.
     *
     * @property refused whether the host of the server refused the connection, because no process listens there
     */
    data class NotSent(val detail: String, val refused: Boolean = false) : CallEnd()

    /** No byte of the request was sent, because [ServerCallListener.maySend] returned false. */
    data object Withheld : CallEnd()

    /**
     * The server may have received the request, and the response is missing or incomplete.
     *
     * @property closedByServer whether the server closed or reset the connection, as it does when its process ends
     * @property exceedsMemory whether the response was given up because it is too large to be buffered
     */
    data class Broken(val detail: String, val closedByServer: Boolean = false, val exceedsMemory: Boolean = false) :
        CallEnd()
}

/** Receives the parts of a response, on the event loop. */
internal interface ServerCallListener {
    /** Returns, immediately before sending, whether the request may be sent; false ends it as [CallEnd.Withheld]. */
    fun maySend(): Boolean = true

    /** The head of the response arrived. */
    fun onHead(head: ResponseHead)

    /** A part of the body arrived; the listener must release [content]. */
    fun onContent(content: ByteBuf)

    /** The call ended; called once, unless the call was cancelled. */
    fun onEnd(end: CallEnd)
}

/**
 * Sends [request] and passes its response to [listener].
 *
 * @param memory budget that all responses of the instance share; the heads and trailers of this one count against it
 */
internal class ServerCall(
    private val request: HttpRequestMessage,
    private val connectTimeout: Duration,
    private val memory: AnswerBufferBudget,
    private val listener: ServerCallListener,
) {
    private var channel: Channel? = null
    private var ended = false
    private var failure: String? = null
    private var isRequestWritten = false
    private var headReceived = false
    private var endsWithConnection = false
    private var receivedBytes = 0L
    private var contentBytes = 0L

    /** Bytes received since the decoder has last completed a part of the response, such as lines of a head. */
    private var undecodedBytes = 0

    /** Number of header fields of the response that are held. */
    private var heldFields = 0
    private val heldHead = BufferedAnswer { end(CallEnd.Broken(HEAD_EVICTED)) }

    /** Parts of the request that are not written yet. */
    private val unsent = ArrayDeque<ByteBuf>()
    private var writing = false

    /** Connects to [address] and sends the request. */
    fun start(address: InetSocketAddress, group: EventLoopGroup) {
        val connecting = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
            .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(opened: SocketChannel) {
                    opened.pipeline().addLast(
                        OverheadLimiter(),
                        ResponseDecoder(isHead = request.head.method == "HEAD"),
                        Receiver(),
                    )
                }
            })
            .connect(address)
        channel = connecting.channel()
        connecting.addListener { connected ->
            if (connected.isSuccess) send() else end(connectFailure(connected.cause()))
        }
    }

    /** Reads once before the event loop turns to other connections, so that a fast server does not delay them. */
    private fun receiveBuffers() =
        AdaptiveRecvByteBufAllocator(SMALLEST_READ_BYTES, INITIAL_READ_BYTES, LARGEST_READ_BYTES)
            .maxMessagesPerRead(1)

    private fun send() {
        val opened = channel ?: return
        if (ended) return
        if (!listener.maySend()) {
            end(CallEnd.Withheld)
            return
        }
        unsent.addLast(HeadWriter.request(request.head, request.body.size, opened.alloc()))
        unsent.addAll(request.body.buffers())
        writeUnsent()
    }

    /**
     * Writes as much of the request as the write buffer of the connection has room for. Netty copies what is written
     * into direct memory, so that a body written at once would be held twice for each attempt.
     */
    private fun writeUnsent() {
        val opened = channel ?: return
        if (writing) return
        writing = true
        do {
            while (opened.isWritable && unsent.isNotEmpty()) {
                val part = unsent.removeFirst()
                val isLast = unsent.isEmpty()
                opened.write(part).addListener { written ->
                    if (isLast) isRequestWritten = written.isSuccess
                    if (!written.isSuccess && failure == null) failure = describe(written.cause())
                }
            }
            opened.flush()
        } while (opened.isWritable && unsent.isNotEmpty())
        writing = false
    }

    private fun dropUnsent() {
        unsent.forEach { it.release() }
        unsent.clear()
    }

    /** Closes the connection; the listener is not called again. */
    fun cancel() {
        ended = true
        dropUnsent()
        memory.release(heldHead)
        channel?.close()
    }

    /** Pauses or resumes reading, which propagates backpressure from a slow caller to the server. */
    fun setReading(reading: Boolean) {
        channel?.config()?.isAutoRead = reading
    }

    /**
     * Closes the connection of a call that ended as [CallEnd.Complete] with `endedByClose`, and returns whether the
     * server has reset it since. After the end of the input only a failed write shows a reset, so that an empty line is
     * written, which a server ignores that has ended its output.
     */
    fun wasResetAfterEnd(): Boolean {
        val opened = channel ?: return false
        val isReset = opened.isActive && opened.writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE)).cause() != null
        opened.close()
        return isReset
    }

    private fun end(end: CallEnd) {
        if (ended) return
        ended = true
        dropUnsent()
        memory.release(heldHead)
        if (end is CallEnd.Complete && end.endedByClose) closeLater() else channel?.close()
        listener.onEnd(end)
    }

    /** Closes the connection in case that the listener does not ask whether it was reset. */
    private fun closeLater() {
        val opened = channel ?: return
        opened.eventLoop().schedule({ opened.close() }, RESET_CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Distinguishes a timeout from a refusal: in Netty the timeout exception is a subclass of [ConnectException]. */
    private fun connectFailure(cause: Throwable) =
        CallEnd.NotSent(describe(cause), refused = cause is ConnectException && cause !is ConnectTimeoutException)

    /** Unanswered keep-alive probes indicate a network fault; only the message distinguishes them from a reset. */
    private fun connectionClosed(detail: String) = CallEnd.Broken(detail, closedByServer = TIMEOUT_MESSAGE !in detail)

    private fun describe(cause: Throwable?): String = cause?.message ?: cause?.javaClass?.simpleName ?: "unknown"

    /** Counts the memory of header fields against the budget, also of those that the decoder has not passed on yet. */
    private fun recordHeldHead() {
        if (ended) return
        val bytes = undecodedBytes * HEAP_PER_UNDECODED_BYTE + heldFields * HEAP_BYTES_PER_FIELD
        if (!memory.resize(heldHead, bytes)) end(CallEnd.Broken(HEAD_EVICTED))
    }

    /**
     * Limits the bytes of a response that are not content, and the memory of those that the decoder holds. Blank lines,
     * interim responses, header lines and framing can arrive endlessly, and the decoder limits only some of them.
     */
    private inner class OverheadLimiter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val bytes = (message as? ByteBuf)?.readableBytes() ?: 0
            receivedBytes += bytes
            undecodedBytes += bytes
            context.fireChannelRead(message)
            recordHeldHead()
            val overhead = receivedBytes - contentBytes
            val limit = MAXIMUM_OVERHEAD_BYTES + contentBytes / CONTENT_PER_OVERHEAD
            if (overhead > limit) end(CallEnd.Broken("response has $overhead bytes besides its content"))
        }
    }

    private inner class Receiver : ChannelInboundHandlerAdapter() {
        private var interim = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message !is HttpObject || ended) {
                ReferenceCountUtil.release(message)
                return
            }
            undecodedBytes = 0
            if (message.decoderResult().isFailure) {
                ReferenceCountUtil.release(message)
                end(CallEnd.Broken("malformed response: ${describe(message.decoderResult().cause())}"))
                return
            }
            if (message is HttpResponse) receiveHead(message)
            if (message is HttpContent) receiveContent(message)
        }

        private fun receiveHead(response: HttpResponse) {
            interim = response.status().code() < FIRST_FINAL_STATUS
            if (interim) {
                val hasBody = response.headers().let {
                    it.contains(HttpHeaderNames.CONTENT_LENGTH) || it.contains(HttpHeaderNames.TRANSFER_ENCODING)
                }
                if (hasBody) end(CallEnd.Broken("malformed response: body of status ${response.status().code()}"))
                return
            }
            headReceived = true
            endsWithConnection =
                !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response) &&
                response.status().code() !in STATUSES_WITHOUT_BODY && request.head.method != "HEAD"
            val headers = response.headers().entries().map { HeaderField(it.key, it.value) }
            heldFields = headers.size
            listener.onHead(ResponseHead(response.status().code(), response.status().reasonPhrase(), headers))
        }

        private fun receiveContent(content: HttpContent) {
            val last = content is LastHttpContent
            contentBytes += content.content().readableBytes()
            if (interim || ended || !headReceived) {
                content.release()
                return
            }
            // The decoder also reports the end of a body without a length when the connection is reset.
            val reset = failure
            if (last && reset != null) {
                content.release()
                end(connectionClosed(reset))
                return
            }
            if (content.content().isReadable) listener.onContent(content.content()) else content.release()
            if (last) end(if (endsWithConnection) unframedEnd() else CallEnd.Complete())
        }

        /** A server that ends its connection before it has the whole request may reset it without having answered. */
        private fun unframedEnd() = if (isRequestWritten) {
            CallEnd.Complete(endedByClose = true)
        } else {
            connectionClosed("connection closed before the end of the request")
        }

        /** The server has ended its output; an answer that only this completes has ended before. */
        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is ChannelInputShutdownEvent) end(connectionClosed(failure ?: CLOSED_EARLY))
        }

        override fun channelWritabilityChanged(context: ChannelHandlerContext): Unit = writeUnsent()

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            failure = describe(cause)
            context.close()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            end(connectionClosed(failure ?: CLOSED_EARLY))
        }
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
        const val CLOSED_EARLY = "connection closed before the end of the response"
        val EMPTY_LINE = byteArrayOf('\r'.code.toByte(), '\n'.code.toByte())

        /** Time for which a connection stays open after the end of an answer that has neither a length nor chunks. */
        const val RESET_CHECK_MILLIS = 1_000L
        const val TIMEOUT_MESSAGE = "timed out"
        const val HEAD_EVICTED = "response buffer budget exhausted by a head or trailers"

        /** Memory in bytes of a header field with its name and value, and of each byte of the shortest ones. */
        const val HEAP_BYTES_PER_FIELD = 192
        const val HEAP_PER_UNDECODED_BYTE = 48

        /**
         * Bytes besides content that a response may have: four times the largest head, and one for so many bytes of
         * content. Chunks of a few bytes without end would keep the processor from other requests.
         */
        const val MAXIMUM_OVERHEAD_BYTES = 262_144
        const val CONTENT_PER_OVERHEAD = 4

        /** Sizes in bytes of the buffers for one read; decoding the largest takes a millisecond or two. */
        const val SMALLEST_READ_BYTES = 64
        const val INITIAL_READ_BYTES = 2_048
        const val LARGEST_READ_BYTES = 16_384

        /** Idle time before the first probe, and between probes: a dead connection is detected after three seconds. */
        const val KEEPALIVE_SECONDS = 1
        const val KEEPALIVE_PROBES = 2
    }
}
