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
     * Starts processing [request]; the response is sent through [responder] now or later.
     *
     * @return listener for the caller disconnecting before its response is complete; null when there is no work to stop
     */
    public fun handle(request: HttpRequestMessage, responder: Responder): DisconnectListener?
}

/** Observes that a caller disconnected. */
public fun interface DisconnectListener {
    /** Stops the work for the caller, which disconnected before its response was complete. */
    public fun onDisconnect()
}

/**
 * Accepts connections and dispatches complete requests to [handler].
 *
 * @param limits returns the current limits; read when a connection is accepted and at each timeout check
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
    private var draining = false

    /** Number of open connections. */
    val openConnections: Int
        get() = connections.size

    /** Number of connections with a request in progress or a response that its caller has not yet taken. */
    val busyConnections: Int
        get() = connections.count { it.isBusy }

    /** Number of connections whose caller has not yet taken an answer that is complete here. */
    val unwrittenAnswers: Int
        get() = connections.count { it.hasUnwrittenAnswer }

    /** Binds the address; throws [java.net.BindException] when it is already in use. */
    fun open() {
        channel = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_CONNECTIONS)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(accepted: SocketChannel) = accept(accepted)
            })
            .bind(address).sync().channel()
    }

    private fun accept(accepted: SocketChannel) {
        val currentLimits = limits()
        val connection = CallerConnection(currentLimits, clock, handler, onClosed = { connections.remove(it) })
        connection.closesAfterResponse = draining
        connections += connection
        val decoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(currentLimits.headBytes)
            .setMaxHeaderSize(currentLimits.headBytes)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
        accepted.pipeline().addLast(ReceiveNotifier(connection), HttpRequestDecoder(decoderConfig), connection)
    }

    /** Closes connections that exceed a timeout; called a few times a second on the event loop. */
    fun closeTimedOut() {
        val currentLimits = limits()
        connections.toList().forEach { it.closeIfTimedOut(currentLimits) }
    }

    /** Makes each connection close after its next response. */
    fun startDraining() {
        draining = true
        connections.forEach { it.closesAfterResponse = true }
    }

    /** Stops accepting connections and closes those without a request in progress. */
    fun closeIdle() {
        channel?.close()
        connections.toList().filter { !it.isBusy }.forEach { it.close() }
    }

    /** Notifies [connection] of received bytes before they are decoded. */
    private class ReceiveNotifier(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            connection.onBytesReceived()
            context.fireChannelRead(message)
        }
    }

    private companion object {
        /** Connections in the accept queue; a full queue delays a caller by a second. */
        const val ACCEPT_QUEUE_CONNECTIONS = 1_024
        const val MAXIMUM_CHUNK_BYTES = 65_536
    }
}
