/*
 * Serves HTTP/1.1 on one address.
 */
package org.arbutusnotch.forwarding.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import org.arbutusnotch.core.forwarding.CallerLimits
import org.arbutusnotch.core.forwarding.ServiceShares
import org.arbutusnotch.core.id.PoolId
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

    /** Returns the service that is to serve a request with [head]; null if the instance answers it itself. */
    public fun serviceOf(head: RequestHead): PoolId? = null
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
 * @param intake limits that all endpoints of the instance share
 * @param maximumConnections number of open connections above which idle ones are closed or new ones are refused
 * @param countsAnswers whether answers count against the memory for requests, since no other budget covers them
 */
internal class HttpEndpoint(
    private val address: InetSocketAddress,
    private val group: EventLoopGroup,
    private val clock: Clock,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
    private val intake: ClientIntake,
    private val maximumConnections: Int = Int.MAX_VALUE,
    private val countsAnswers: Boolean = false,
) {
    private val connections = LinkedHashSet<CallerConnection>()
    private val connectionShares = ServiceShares(maximumConnections)
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
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBuffers())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(accepted: SocketChannel) = accept(accepted)
            })
            .bind(address).sync().channel()
    }

    /** Reads once before the event loop turns to other connections; what one read brings is not reserved before. */
    private fun receiveBuffers() =
        AdaptiveRecvByteBufAllocator(SMALLEST_READ_BYTES, INITIAL_READ_BYTES, LARGEST_READ_BYTES).maxMessagesPerRead(1)

    private fun accept(accepted: SocketChannel) {
        if (!makeRoom()) {
            accepted.close()
            return
        }
        val currentLimits = limits()
        val decoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(currentLimits.headBytes)
            .setMaxHeaderSize(currentLimits.headBytes)
            .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
        val decoder = RequestDecoder(decoderConfig)
        val connection = CallerConnection(
            limits = currentLimits,
            clock = clock,
            handler = handler,
            decoder = decoder,
            intake = intake,
            connectionShares = connectionShares,
            countsAnswers = countsAnswers,
        ) { connections.remove(it) }
        connection.closesAfterResponse = draining
        connections += connection
        accepted.pipeline().addLast(connection.gate, decoder, connection)
    }

    /** Closes a rejected connection at the bound, or the one that has sent nothing for longest; returns if it could. */
    private fun makeRoom(): Boolean {
        if (connections.size < maximumConnections) return true
        connections.firstOrNull { it.awaitsClose }?.let {
            it.close()
            return true
        }
        val longestIdle = connections.filter { it.mayYield }.minByOrNull { it.progressAt }
        if (longestIdle == null) {
            intake.recordRejection(ClientRejection.CONNECTIONS)
            return false
        }
        longestIdle.giveUpMemory(ClientRejection.CONNECTIONS)
        longestIdle.close()
        return true
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

    private companion object {
        /** Connections in the accept queue; a full queue delays a caller by a second. */
        const val ACCEPT_QUEUE_CONNECTIONS = 1_024
        const val MAXIMUM_CHUNK_BYTES = 65_536

        /** Sizes in bytes of the buffers for one read. */
        const val SMALLEST_READ_BYTES = 64
        const val INITIAL_READ_BYTES = 2_048
        const val LARGEST_READ_BYTES = 16_384

        /** Unwritten bytes of a response above which its source is paused, and below which it continues. */
        const val HIGH_WATER_BYTES = 16_384
        const val LOW_WATER_BYTES = 8_192
    }
}
