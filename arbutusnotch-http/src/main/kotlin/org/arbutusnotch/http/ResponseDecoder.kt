/*
 * Decodes the responses of backend servers, of the store and of other instances.
 *
 * Netty repairs some malformed lines of a head: it ends the name of a field at a blank, drops the rest until the colon,
 * and joins a line that begins with a blank to the line before. The repaired head can state a length, a transfer coding
 * or an outcome that its sender did not state. The lines are therefore checked as they were received.
 */
package org.arbutusnotch.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpConstants
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ByteProcessor
import java.nio.charset.StandardCharsets

/**
 * Decodes one response; the response to a HEAD request has no body. A status that is no number of three digits from 100
 * to 599 makes it malformed, and so does an interim status with a body or one that ends HTTP on the connection, a
 * control character in the reason, and a line of a head that does not begin with the name of a field and a colon
 * (RFC 9112, sections 4 and 5).
 */
public class ResponseDecoder(private val isHead: Boolean) :
    HttpResponseDecoder(HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEAD_BYTES).setMaxChunkSize(MAXIMUM_CHUNK_BYTES)) {
    /** Whether the status line of a head was decoded, but not all of its fields. */
    private var isInFields = false

    /** Index in the buffer of the first line that the current call of [decode] takes for a field. */
    private var fieldsStart = 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isHead || super.isContentAlwaysEmpty(message)

    override fun createMessage(initialLine: Array<out String>): HttpMessage {
        val (_, status, reason) = initialLine
        require(STATUS.matches(status) && status != SWITCHING_PROTOCOLS) { "invalid status $status" }
        require(reason.none { it in CONTROL_CHARACTERS }) { "invalid reason $reason" }
        val message = super.createMessage(initialLine)
        isInFields = true
        fieldsStart = internalBuffer().readerIndex()
        return message
    }

    /** Takes at most one head from [buffer], and only whole lines of it. */
    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        fieldsStart = buffer.readerIndex()
        super.decode(context, buffer, out)
        if (!isInFields) return
        val decoded = out.firstOrNull() as? HttpMessage
        if (decoded != null) isInFields = false
        if (decoded?.decoderResult()?.isFailure == true) return
        val invalidLine = findInvalidLine(buffer, fieldsStart, buffer.readerIndex()) ?: return
        val failure = IllegalArgumentException("invalid header line: ${invalidLine.take(REPORTED_CHARACTERS)}")
        out.clear()
        out += createInvalidMessage().apply { decoderResult = DecoderResult.failure(failure) }
    }

    /** Returns the first line from [start] until [end] that is neither a field nor empty, or null. */
    private fun findInvalidLine(buffer: ByteBuf, start: Int, end: Int): String? {
        var lineStart = start
        while (lineStart < end) {
            val lineFeed = buffer.indexOf(lineStart, end, HttpConstants.LF).takeIf { it >= 0 } ?: end
            val hasReturn = lineFeed > lineStart && buffer.getByte(lineFeed - 1) == HttpConstants.CR
            val length = (if (hasReturn) lineFeed - 1 else lineFeed) - lineStart
            if (length > 0 && !isField(buffer, lineStart, length)) {
                return buffer.toString(lineStart, length, StandardCharsets.ISO_8859_1)
            }
            lineStart = lineFeed + 1
        }
        return null
    }

    private fun isField(buffer: ByteBuf, start: Int, length: Int): Boolean {
        val nameEnd = buffer.forEachByte(start, length, IN_TOKEN)
        return nameEnd > start && buffer.getByte(nameEnd) == HttpConstants.COLON
    }

    private companion object {
        val STATUS = Regex("[1-5][0-9]{2}")
        const val SWITCHING_PROTOCOLS = "101"

        /** Characters that a reason must not contain; a tab is allowed. */
        val CONTROL_CHARACTERS = ('\u0000'..'\u001f').toSet() - '\t' + '\u007f'
        const val MAXIMUM_HEAD_BYTES = 65_536
        const val MAXIMUM_CHUNK_BYTES = 65_536
        const val REPORTED_CHARACTERS = 80
        val IN_TOKEN = ByteProcessor { HttpSyntax.isTokenCharacter(it.toInt().toChar()) }
    }
}
