/*
 * Decodes requests and reports the memory of what it has read but not passed on.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestDecoder

/** Keeps the lines of an incomplete head or of incomplete trailers, and the bytes of an incomplete line. */
internal class RequestDecoder(configuration: HttpDecoderConfig) : HttpRequestDecoder(configuration) {
    private var undecodedBytes = 0

    /** Memory in bytes of the incomplete parts. */
    val heldBytes: Int
        get() = undecodedBytes * HEAP_PER_UNDECODED_BYTE + internalBuffer().capacity()

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val readableBefore = buffer.readableBytes()
        val messagesBefore = out.size
        super.decode(context, buffer, out)
        if (out.size > messagesBefore) undecodedBytes = 0 else undecodedBytes += readableBefore - buffer.readableBytes()
    }

    private companion object {
        /** Memory in bytes for each byte of the shortest header lines. */
        const val HEAP_PER_UNDECODED_BYTE = 48
    }
}
