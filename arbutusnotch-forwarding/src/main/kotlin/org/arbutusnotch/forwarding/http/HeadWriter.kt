/*
 * Encodes HTTP/1.1 message heads and chunks.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets

internal object HeadWriter {
    private const val LINE_END = "\r\n"
    private val lastChunk = "0\r\n\r\n".toByteArray(StandardCharsets.ISO_8859_1)
    private val lineEnd = LINE_END.toByteArray(StandardCharsets.ISO_8859_1)

    /** Encodes the head of a request whose body has [bodyBytes]. */
    fun request(head: RequestHead, bodyBytes: Int, allocator: ByteBufAllocator): ByteBuf {
        val framedHeaders = if (bodyBytes == 0 && !requiresContentLength(head.method)) {
            head.headers
        } else {
            head.headers + HeaderField("Content-Length", bodyBytes.toString())
        }
        val text = encode("${head.method} ${head.target} HTTP/1.1", framedHeaders)
        return allocator.buffer(text.size).writeBytes(text)
    }

    /** Encodes the head of a response. */
    fun response(head: ResponseHead, allocator: ByteBufAllocator): ByteBuf {
        val text = encode("HTTP/1.1 ${head.status} ${head.reason}", head.headers)
        return allocator.buffer(text.size).writeBytes(text)
    }

    /** Encodes [content] as one chunk; the result takes ownership of it. */
    fun chunk(content: ByteBuf): ByteBuf {
        val size = Integer.toHexString(content.readableBytes()) + LINE_END
        return Unpooled.wrappedBuffer(
            Unpooled.wrappedBuffer(size.toByteArray(StandardCharsets.ISO_8859_1)),
            content,
            Unpooled.wrappedBuffer(lineEnd),
        )
    }

    /** Returns the last chunk, which ends a chunked body. */
    fun lastChunk(): ByteBuf = Unpooled.wrappedBuffer(lastChunk)

    private fun requiresContentLength(method: String) = method == "POST" || method == "PUT" || method == "PATCH"

    private fun encode(firstLine: String, headers: List<HeaderField>): ByteArray {
        val text = StringBuilder(firstLine).append(LINE_END)
        headers.forEach { text.append(it.name).append(": ").append(it.value).append(LINE_END) }
        text.append(LINE_END)
        return text.toString().toByteArray(StandardCharsets.ISO_8859_1)
    }
}
