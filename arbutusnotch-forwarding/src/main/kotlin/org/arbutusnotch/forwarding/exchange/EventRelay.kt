/*
 * Relays the server-sent events of a stream.
 *
 * A server may fail in the middle of an event. In a stream that another server may resume, only complete events are
 * relayed, so that the next server can continue with a whole event. What that server sends must continue the stream: an
 * error text or an event that was already sent must not get into it.
 */
package org.arbutusnotch.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.io.ByteArrayOutputStream
import java.nio.charset.StandardCharsets

/**
 * Parses and relays the events of one answer.
 *
 * An event larger than [MAXIMUM_EVENT_BYTES] is a fault of the server and is reported by [isTooLarge].
 *
 * @param wholeEventsOnly whether an incomplete event is buffered until the rest of it arrives
 * @param resumeAfter id of the last event that the caller already has; null for a new stream
 */
internal class EventRelay(private val wholeEventsOnly: Boolean, resumeAfter: String? = null) {
    private val line = ByteArrayOutputStream()
    private val event = ByteArrayOutputStream()
    private var pendingEventId: String? = null
    private var hasFields = false
    private var continued = resumeAfter != null

    /** Id of the last complete event, of this answer or of the one that it continues; null before the first one. */
    var lastEventId: String? = resumeAfter
        private set

    /** Whether the current event exceeds [MAXIMUM_EVENT_BYTES]. */
    val isTooLarge: Boolean
        get() = bufferedBytes > MAXIMUM_EVENT_BYTES

    /** Whether bytes of an incomplete event were received; complete comment lines are not part of an event. */
    val isInsideEvent: Boolean
        get() = hasFields || line.size() > 0

    /** Whether the server that continues the stream sent an event that does not follow the latest one. */
    var isOutOfSequence: Boolean = false
        private set

    /** Number of bytes of the incomplete event. */
    val bufferedBytes: Int
        get() = maxOf(line.size(), event.size())

    /** Memory in bytes of the incomplete event: it is held twice, in buffers that grow to twice their content. */
    val heldBytes: Int
        get() = bufferedBytes * HELD_PER_BUFFERED_BYTE

    /** Number of complete events that were relayed, with an id or without. */
    var relayedEventCount: Int = 0
        private set

    /** Number of complete events with an id. */
    var eventCount: Int = 0
        private set

    /** Takes ownership of [content] and returns the bytes that may be sent to the caller now. */
    fun accept(content: ByteBuf): ByteBuf {
        val complete = if (wholeEventsOnly) ByteArrayOutputStream() else null
        for (index in content.readerIndex() until content.writerIndex()) {
            if (isTooLarge || isOutOfSequence) break
            val byte = content.getByte(index).toInt()
            event.write(byte)
            if (byte != LINE_FEED) {
                line.write(byte)
            } else if (endLine()) {
                if (!isOutOfSequence) complete?.write(event.toByteArray())
                event.reset()
            }
        }
        if (complete == null) return content
        content.release()
        return Unpooled.wrappedBuffer(complete.toByteArray())
    }

    /** Removes and returns the buffered comment lines at the end of a complete stream. */
    fun takeRemainder(): ByteBuf {
        val remainder = if (wholeEventsOnly) event.toByteArray() else ByteArray(0)
        event.reset()
        return Unpooled.wrappedBuffer(remainder)
    }

    /** Discards the incomplete event; the next server continues the stream after the latest complete one. */
    fun continueAtNextServer() {
        line.reset()
        event.reset()
        pendingEventId = null
        hasFields = false
        isOutOfSequence = false
        continued = true
    }

    /** Processes the buffered line and returns whether it ends an event. */
    private fun endLine(): Boolean {
        val text = line.toString(StandardCharsets.ISO_8859_1).trimEnd('\r')
        line.reset()
        if (text.startsWith(ID_FIELD)) pendingEventId = text.removePrefix(ID_FIELD).trim()
        if (text.isNotEmpty()) {
            hasFields = hasFields || !text.startsWith(COMMENT)
            return false
        }
        if (continued && hasFields && !followsLatest(pendingEventId)) {
            isOutOfSequence = true
            return true
        }
        if (hasFields) relayedEventCount += 1
        pendingEventId?.let {
            lastEventId = it
            eventCount += 1
        }
        pendingEventId = null
        hasFields = false
        return true
    }

    private fun followsLatest(id: String?): Boolean {
        val latest = lastEventId ?: return id != null
        val number = id?.toLongOrNull()
        val latestNumber = latest.toLongOrNull()
        return if (number == null || latestNumber == null) id != null && id != latest else number > latestNumber
    }

    internal companion object {
        /** Maximum size of one event in bytes: a thousand times that of a typical one, which carries a few tokens. */
        const val MAXIMUM_EVENT_BYTES = 65_536
        private const val HELD_PER_BUFFERED_BYTE = 4
        private const val LINE_FEED = '\n'.code
        private const val ID_FIELD = "id:"
        private const val COMMENT = ":"
    }
}
