/*
 * The events of a stream, as they pass through.
 *
 * A server may stop in the middle of an event. Of a stream that another server may continue, only whole events are
 * passed on, so that the next event follows without a seam.
 */
package org.arbutusnotch.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.io.ByteArrayOutputStream
import java.nio.charset.StandardCharsets

/**
 * Follows the events of one answer.
 *
 * An event that grows beyond [MAXIMUM_EVENT_BYTES] is a fault of the server; [isTooLarge] then says so.
 *
 * @param wholeEvents whether an incomplete event is held back until the rest of it arrives
 */
internal class EventRelay(private val wholeEvents: Boolean) {
    private val line = ByteArrayOutputStream()
    private val event = ByteArrayOutputStream()
    private var identifier: String? = null

    /** Identifier of the last whole event; null before the first one. */
    var lastIdentifier: String? = null
        private set

    /** Whether an event is larger than any that a sound server sends. */
    val isTooLarge: Boolean
        get() = keptBytes > MAXIMUM_EVENT_BYTES

    /** Bytes that are kept until the rest of their event arrives. */
    val keptBytes: Int
        get() = maxOf(line.size(), event.size())

    /** Number of whole events. */
    var events: Int = 0
        private set

    /** Takes over [content] and returns what may be passed on now. */
    fun pass(content: ByteBuf): ByteBuf {
        val passed = if (wholeEvents) ByteArrayOutputStream() else null
        for (index in content.readerIndex() until content.writerIndex()) {
            if (isTooLarge) break
            val byte = content.getByte(index).toInt()
            event.write(byte)
            if (byte != LINE_FEED) {
                line.write(byte)
            } else if (endsEvent()) {
                passed?.write(event.toByteArray())
                event.reset()
            }
        }
        if (passed == null) return content
        content.release()
        return Unpooled.wrappedBuffer(passed.toByteArray())
    }

    /** Returns what is left of an event that no line feed ended; empty after a whole stream. */
    fun rest(): ByteBuf = if (wholeEvents) Unpooled.wrappedBuffer(event.toByteArray()) else Unpooled.EMPTY_BUFFER

    /** Forgets the beginning of an event, before another server repeats it. */
    fun dropIncomplete() {
        line.reset()
        event.reset()
        identifier = null
    }

    /** Reads one line and returns whether it ends an event. */
    private fun endsEvent(): Boolean {
        val text = line.toString(StandardCharsets.ISO_8859_1).trimEnd('\r')
        line.reset()
        if (text.startsWith(IDENTIFIER)) identifier = text.removePrefix(IDENTIFIER).trim()
        if (text.isNotEmpty()) return false
        identifier?.let {
            lastIdentifier = it
            events += 1
        }
        identifier = null
        return true
    }

    internal companion object {
        /** Bytes of one event that are accepted: a thousand times those of a usual one, which carries a few tokens. */
        const val MAXIMUM_EVENT_BYTES = 65_536
        private const val LINE_FEED = '\n'.code
        private const val IDENTIFIER = "id:"
    }
}
