/*
 * Exchanges datagrams between instances.
 *
 * Every message is small, is resent by its sender until it is answered or obsolete, and has no value when it arrives
 * late. A connection would delay messages behind lost ones (head-of-line blocking) and would need liveness checks.
 */
package org.arbutusnotch.forwarding.membership

import com.github.michaelbull.result.fold
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.forwarding.http.socketAddress
import org.arbutusnotch.forwarding.http.socketAddressOrNull
import org.arbutusnotch.peer.PeerMessageCodec
import org.arbutusnotch.telemetry.EventLog
import java.net.InetSocketAddress

/** Sends and receives the messages of the instance at [self]. */
internal class PeerLink(private val self: InstanceAddress, private val group: EventLoopGroup) {
    private val log = EventLog("peers")
    private var channel: Channel? = null

    /** Callback for each received message and the address of its sender, on the event loop. */
    var onMessage: (PeerMessage, InstanceAddress) -> Unit = { _, _ -> }

    /** Binds the address of this instance; throws [java.net.BindException] when it is already in use. */
    fun open() {
        channel = Bootstrap()
            .group(group)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
            .handler(Receiver())
            .bind(socketAddress(self.value)).sync().channel()
    }

    /** Sends [message] to [target] without a delivery guarantee. */
    fun send(target: InstanceAddress, message: PeerMessage) {
        val bytes = PeerMessageCodec.encode(message)
        if (bytes.size > MAXIMUM_DATAGRAM_BYTES) {
            log.warn("message_too_large") { field("bytes", bytes.size) }
            return
        }
        val address = socketAddressOrNull(target.value)
        if (address == null) {
            log.warn("invalid_target") { field("target", target.value.take(MAXIMUM_LOGGED_CHARACTERS)) }
            return
        }
        channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), address))
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            PeerMessageCodec.decode(bytes).fold(
                success = { onMessage(it, addressOf(packet.sender())) },
                failure = { detail ->
                    log.warn("malformed_message") {
                        field("sender", packet.sender())
                        field("detail", detail)
                    }
                },
            )
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.warn("datagram_failed", cause)
        }
    }

    private fun addressOf(sender: InetSocketAddress) = InstanceAddress("${sender.address.hostAddress}:${sender.port}")

    private companion object {
        /** Just below the largest payload of a UDP datagram over IPv4, with room for headers. */
        const val MAXIMUM_DATAGRAM_BYTES = 60_000

        /** Characters of an invalid address that are logged. */
        const val MAXIMUM_LOGGED_CHARACTERS = 60
    }
}
