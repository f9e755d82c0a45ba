/*
 * Counts the control traffic of an instance by message type.
 */
package org.arbutusnotch.peer

import org.arbutusnotch.core.message.PeerMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/**
 * Holds the traffic of one message type since the start of the transport.
 *
 * @property type serial name of the message type
 * @property bytesIn received bytes, including the length prefix of each frame and excluding TCP and IP headers
 * @property bytesOut sent bytes, counted like [bytesIn]
 */
public data class MessageTraffic(
    public val type: String,
    public val messagesIn: Long,
    public val bytesIn: Long,
    public val messagesOut: Long,
    public val bytesOut: Long,
)

/** Counts the messages and bytes that a [PeerTransport] sends and receives. */
public class PeerTraffic internal constructor() {
    private val counters = ConcurrentHashMap<String, TypeCounters>()

    /** Returns the traffic of every message type sent or received so far, ordered by type. */
    public fun snapshot(): List<MessageTraffic> = counters
        .map { (type, typeCounters) -> typeCounters.toTraffic(type) }
        .sortedBy { it.type }

    /** Returns the traffic of the message type with the serial name [type]; null if none was sent or received. */
    public fun of(type: String): MessageTraffic? = counters[type]?.toTraffic(type)

    internal fun recordReceived(message: PeerMessage?, bytes: Int) {
        val typeCounters = countersFor(message)
        typeCounters.messagesIn.increment()
        typeCounters.bytesIn.add(bytes.toLong())
    }

    internal fun recordSent(message: PeerMessage?, bytes: Int) {
        val typeCounters = countersFor(message)
        typeCounters.messagesOut.increment()
        typeCounters.bytesOut.add(bytes.toLong())
    }

    private fun countersFor(message: PeerMessage?): TypeCounters {
        val type = if (message == null) NOT_PROCESSED_TYPE else messageType(message)
        return counters.computeIfAbsent(type) { TypeCounters() }
    }

    private class TypeCounters {
        val messagesIn = LongAdder()
        val bytesIn = LongAdder()
        val messagesOut = LongAdder()
        val bytesOut = LongAdder()

        fun toTraffic(type: String) =
            MessageTraffic(type, messagesIn.sum(), bytesIn.sum(), messagesOut.sum(), bytesOut.sum())
    }

    private companion object {
        const val NOT_PROCESSED_TYPE = "not-processed"
    }
}
