/*
 * One request to a backend server, on a connection of its own.
 *
 * A connection carries a single request. A second answer, bytes after an answer and an answer that arrives late can
 * then belong to no other request, and no request is lost on a connection that the server was about to close.
 */
package org.arbutusnotch.forwarding.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import jdk.net.ExtendedSocketOptions
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Describes how a [ServerCall] ended. */
internal sealed class CallEnd {
    /** The answer is complete. */
    data object Complete : CallEnd()

    /**
     * No byte of the request was sent.
     *
     * @property refused whether the host of the server answered that nothing listens there
     */
    data class NotSent(val detail: String, val refused: Boolean = false) : CallEnd()

    /** No byte of the request was sent, because [ServerCallListener.maySend] did not allow it. */
    data object Withheld : CallEnd()

    /**
     * The request may have been received, and the answer is missing or incomplete.
     *
     * @property closedByServer whether the server closed or reset the connection, as it does when its process ends
     */
    data class Broken(val detail: String, val closedByServer: Boolean = false) : CallEnd()
}

/** Receives the parts of an answer, on the event loop. */
internal interface ServerCallListener {
    /** Decides immediately before the request is sent whether it still may be; false ends the call as withheld. */
    fun maySend(): Boolean = true

    /** The head of the answer arrived. */
    fun onHead(head: ResponseHead)

    /** A part of the body arrived; the receiver takes over [content]. */
    fun onPart(content: ByteBuf)

    /** The call ended; called once, unless the call was cancelled. */
    fun onEnd(end: CallEnd)
}

internal class ServerCall(
    private val request: HttpRequestMessage,
    private val connectTime: Duration,
    private val listener: ServerCallListener,
) {
    private var channel: Channel? = null
    private var ended = false
    private var failure: String? = null
    private var answered = false
    private var receivedBytes = 0L
    private var contentBytes = 0L

    /** Connects to [address] and sends the request. */
    fun start(address: InetSocketAddress, group: EventLoopGroup) {
        val connecting = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTime.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(opened: SocketChannel) {
                    opened.pipeline().addLast(
                        ArrivalCount(),
                        AnswerDecoder(isHead = request.head.method == "HEAD"),
                        Receiver(),
                    )
                }
            })
            .connect(address)
        channel = connecting.channel()
        connecting.addListener { connected ->
            if (connected.isSuccess) send() else end(notConnected(connected.cause()))
        }
    }

    private fun send() {
        val opened = channel ?: return
        if (ended) return
        if (!listener.maySend()) {
            end(CallEnd.Withheld)
            return
        }
        val bytes = HeadWriter.request(request.head, request.body, opened.alloc())
        opened.writeAndFlush(bytes).addListener { written ->
            if (!written.isSuccess && failure == null) failure = describe(written.cause())
        }
    }

    /** Closes the connection; the listener hears no more. */
    fun cancel() {
        ended = true
        channel?.close()
    }

    /** Stops or resumes reading, so that a caller that reads slowly slows the server down. */
    fun setReading(reading: Boolean) {
        channel?.config()?.isAutoRead = reading
    }

    private fun end(end: CallEnd) {
        if (ended) return
        ended = true
        channel?.close()
        listener.onEnd(end)
    }

    /** Netty reports a connection that was not opened in time by a subclass of the exception for a refused one. */
    private fun notConnected(cause: Throwable) =
        CallEnd.NotSent(describe(cause), refused = cause is ConnectException && cause !is ConnectTimeoutException)

    /** Keep-alive probes without an answer tell of the network; only the text differs from that of a reset. */
    private fun closed(detail: String) = CallEnd.Broken(detail, closedByServer = TIMED_OUT !in detail)

    private fun describe(cause: Throwable?): String = cause?.message ?: cause?.javaClass?.simpleName ?: "unknown"

    /**
     * Ends an answer that consists of anything but content: blank lines, interim answers, header lines and framing may
     * come without an end, and the decoder limits only some of them.
     */
    private inner class ArrivalCount : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            receivedBytes += (message as? ByteBuf)?.readableBytes() ?: 0
            context.fireChannelRead(message)
            val overhead = receivedBytes - contentBytes
            val limit = MAXIMUM_OVERHEAD + contentBytes
            if (overhead > limit) end(CallEnd.Broken("answer of $overhead bytes beside its content"))
        }
    }

    private inner class Receiver : ChannelInboundHandlerAdapter() {
        private var interim = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message !is HttpObject || ended) {
                ReferenceCountUtil.release(message)
                return
            }
            if (message.decoderResult().isFailure) {
                ReferenceCountUtil.release(message)
                end(CallEnd.Broken("malformed answer: ${describe(message.decoderResult().cause())}"))
                return
            }
            if (message is HttpResponse) receiveHead(message)
            if (message is HttpContent) receiveContent(message)
        }

        private fun receiveHead(response: HttpResponse) {
            interim = response.status().code() < FIRST_FINAL_STATUS
            if (interim) return
            answered = true
            val headers = response.headers().entries().map { HeaderField(it.key, it.value) }
            listener.onHead(ResponseHead(response.status().code(), response.status().reasonPhrase(), headers))
        }

        private fun receiveContent(content: HttpContent) {
            val last = content is LastHttpContent
            contentBytes += content.content().readableBytes()
            if (interim || ended || !answered) {
                content.release()
                return
            }
            // The decoder also ends a body without a length when the connection is reset.
            val reset = failure
            if (last && reset != null) {
                content.release()
                end(closed(reset))
                return
            }
            if (content.content().isReadable) listener.onPart(content.content()) else content.release()
            if (last) end(CallEnd.Complete)
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            failure = describe(cause)
            context.close()
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            end(closed(failure ?: "connection closed before the end of the answer"))
        }
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        const val TIMED_OUT = "timed out"

        /** Bytes of an answer that may arrive beyond its content and as many again: four times the largest head. */
        const val MAXIMUM_OVERHEAD = 262_144

        /** Idle time before the first probe, and between probes: a silent connection is found after three seconds. */
        const val KEEPALIVE_SECONDS = 1
        const val KEEPALIVE_PROBES = 2
    }
}

/** Decodes one answer; an answer to a HEAD request has no body. */
private class AnswerDecoder(private val isHead: Boolean) :
    HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEAD).setMaxChunkSize(MAXIMUM_PART)) {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHead || super.isContentAlwaysEmpty(message)

    private companion object {
        const val MAXIMUM_HEAD = 65_536
        const val MAXIMUM_PART = 65_536
    }
}
