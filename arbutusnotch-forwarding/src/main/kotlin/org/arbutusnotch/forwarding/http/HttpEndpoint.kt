/*
 * Serves HTTP/1.1 on one address.
 */
package org.arbutusnotch.forwarding.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestDecoder
import org.arbutusnotch.core.forwarding.CallerLimits
import org.arbutusnotch.telemetry.Clock
import java.net.InetSocketAddress

/** Processes the complete requests of an [HttpEndpoint]; called on its event loop. */
public fun interface RequestHandler {
    /**
     * Begins to process [request], which is answered through [responder], now or later.
     *
     * @return what to tell when the caller leaves before its answer is complete; null when nothing is to be stopped
     */
    public fun handle(request: HttpRequestMessage, responder: Responder): CallerDeparture?
}

/** Is told that a caller left. */
public fun interface CallerDeparture {
    /** Stops the work for the caller. */
    public fun onCallerLeft()
}

/**
 * Accepts connections and passes complete requests to [handler].
 *
 * @param limits returns the limits in force; read when a connection is accepted and for each check of its times
 */
internal class HttpEndpoint(
    private val address: InetSocketAddress,
    private val group: EventLoopGroup,
    private val clock: Clock,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var channel: Channel? = null
    private var leaving = false

    /** Number of open connections. */
    val openConnections: Int
        get() = connections.size

    /** Number of connections on which a request is processed. */
    val busyConnections: Int
        get() = connections.count { it.isBusy }

    /** Binds the address; throws [java.net.BindException] when it is taken. */
    fun open() {
        channel = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(accepted: SocketChannel) = accept(accepted)
            })
            .bind(address).sync().channel()
    }

    private fun accept(accepted: SocketChannel) {
        val inForce = limits()
        val connection = CallerConnection(inForce, clock, handler, onClosed = { connections.remove(it) })
        connection.closesAfterAnswer = leaving
        connections += connection
        val decoding = HttpDecoderConfig()
            .setMaxInitialLineLength(inForce.headBytes)
            .setMaxHeaderSize(inForce.headBytes)
            .setMaxChunkSize(CHUNK_BYTES)
        accepted.pipeline().addLast(ArrivalNote(connection), HttpRequestDecoder(decoding), connection)
    }

    /** Closes connections that exceed their times; called a few times a second on the event loop. */
    fun closeOverdue() {
        val inForce = limits()
        connections.toList().forEach { it.closeIfOverdue(inForce) }
    }

    /** Ends each connection with its next answer. */
    fun announceClosing() {
        leaving = true
        connections.forEach { it.closesAfterAnswer = true }
    }

    /** Accepts no more connections and closes those without a request. */
    fun closeIdle() {
        channel?.close()
        connections.toList().filter { !it.isBusy }.forEach { it.close() }
    }

    /** Tells [connection] of bytes before they are decoded. */
    private class ArrivalNote(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            connection.noteBytes()
            context.fireChannelRead(message)
        }
    }

    private companion object {
        /** Connections that wait to be accepted; a full queue costs a caller a second. */
        const val BACKLOG = 1_024
        const val CHUNK_BYTES = 65_536
    }
}
