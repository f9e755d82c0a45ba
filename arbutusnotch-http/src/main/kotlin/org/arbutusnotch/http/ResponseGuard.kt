/*
 * Protects HTTP clients that read with Netty's own decoder from the heads that it repairs.
 */
package org.arbutusnotch.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/**
 * Closes a connection as soon as its server sends a malformed response, and passes on nothing of the malformed part.
 * It must be the first handler of the connection, which must not carry HEAD requests.
 */
public class ResponseGuard : ChannelInboundHandlerAdapter() {
    private val decoder = EmbeddedChannel(ResponseDecoder(isHead = false))
    private var isBroken = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val failure = if (message is ByteBuf && !isBroken) findFailure(message.retainedDuplicate()) else null
        if (failure != null) {
            isBroken = true
            context.fireExceptionCaught(failure)
            context.close()
        }
        if (isBroken) ReferenceCountUtil.release(message) else context.fireChannelRead(message)
    }

    private fun findFailure(bytes: ByteBuf): Throwable? {
        decoder.writeInbound(bytes)
        var failure: Throwable? = null
        generateSequence { decoder.readInbound<HttpObject>() }.forEach {
            failure = failure ?: it.decoderResult().cause()
            ReferenceCountUtil.release(it)
        }
        return failure
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        decoder.finishAndReleaseAll()
    }
}
