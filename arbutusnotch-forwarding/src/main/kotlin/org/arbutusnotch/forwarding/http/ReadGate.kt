/*
 * Holds what clients have sent until the instance has time to decode it.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.EventExecutor
import org.arbutusnotch.core.forwarding.ReadAccount
import org.arbutusnotch.core.forwarding.ReadSchedule
import java.util.concurrent.TimeUnit

/** Runs the turns of a [ReadSchedule], each after the event loop has handled the events of one pass. */
internal class ReadTurns(private val schedule: ReadSchedule = ReadSchedule(nanoTime = System::nanoTime)) {
    private var isTurnPending = false

    /** Number of connections whose received bytes wait to be decoded. */
    val waitingConnections: Int
        get() = schedule.waitingConnections

    /** Decodes what [account] has received, now or in the next turns. */
    fun onReceived(account: ReadAccount, executor: EventExecutor) {
        schedule.onReceived(account)
        if (isTurnPending) return
        isTurnPending = true
        executor.execute { runTurn(executor) }
    }

    fun remove(account: ReadAccount) = schedule.remove(account)

    private fun runTurn(executor: EventExecutor) {
        try {
            schedule.runTurn()
        } finally {
            isTurnPending = schedule.waitingConnections > 0
            // A submitted task would run before the next pass of the event loop, a scheduled one runs after it.
            if (isTurnPending) executor.schedule({ runTurn(executor) }, 0, TimeUnit.NANOSECONDS)
        }
    }
}

/** Passes received bytes on to the decoder of [connection], which reads no more while some are held. */
internal class ReadGate(private val connection: CallerConnection, private val turns: ReadTurns) :
    ChannelInboundHandlerAdapter() {
    private var context: ChannelHandlerContext? = null
    private var held: ByteBuf = Unpooled.EMPTY_BUFFER
    private var isPaused = false
    private val account = object : ReadAccount() {
        override val heldBytes: Int
            get() = held.readableBytes()

        override fun decodePiece() = passPiece()
    }

    /** Memory of the held bytes. */
    val memoryBytes: Int
        get() = held.capacity()

    val isHolding: Boolean
        get() = held.isReadable

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is ByteBuf || connection.isRejected) {
            ReferenceCountUtil.release(message)
            return
        }
        connection.onBytesReceived()
        held = if (isHolding) Unpooled.wrappedBuffer(held, message) else message
        turns.onReceived(account, context.executor())
        if (!isHolding) return
        isPaused = true
        connection.onBytesHeld()
    }

    private fun passPiece() {
        val piece = takePiece()
        context?.fireChannelRead(piece)
        connection.onBytesDecoded()
        if (isHolding || !isPaused) return
        isPaused = false
        connection.updateReading()
        context?.fireChannelReadComplete()
    }

    /** Takes the last piece with the whole buffer, so that the decoder counts all memory that it keeps. */
    private fun takePiece(): ByteBuf {
        if (held.readableBytes() > PIECE_BYTES) return held.readRetainedSlice(PIECE_BYTES)
        return held.also { held = Unpooled.EMPTY_BUFFER }
    }

    /** Tells the decoder of the end of a read once all bytes of it are decoded. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!isHolding) context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        discard()
        context.fireChannelInactive()
    }

    /** Releases the held bytes. */
    fun discard() {
        turns.remove(account)
        held.release()
        held = Unpooled.EMPTY_BUFFER
    }

    private companion object {
        /** Largest number of bytes decoded at once, which bounds by how much a turn exceeds its time. */
        const val PIECE_BYTES = 4_096
    }
}
