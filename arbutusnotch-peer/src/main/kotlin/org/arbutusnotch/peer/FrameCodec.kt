/*
 * Encodes and decodes frames: a four-byte big-endian length, followed by a CBOR-encoded envelope.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.io.EOFException
import kotlinx.io.IOException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.serializer
import org.arbutusnotch.core.message.PeerMessage
import java.util.concurrent.ConcurrentHashMap

/**
 * Carries one message.
 *
 * @property correlation number that the sender assigns to a request; the reply carries the same number
 * @property message the request or the reply; null in a reply if the receiver failed to process the request
 */
@Serializable
internal data class Envelope(val correlation: Long, val message: PeerMessage?)

/** Holds the encoded form of an [Envelope] without its length prefix. */
internal class EncodedFrame(val message: PeerMessage?, val bytes: ByteArray) {
    val size: Int get() = LENGTH_BYTES + bytes.size
}

/** Holds a decoded [Envelope] and its size on the connection in bytes, including the length prefix. */
internal class ReceivedFrame(val envelope: Envelope, val size: Int)

/** Describes why no frame could be read. */
internal sealed interface FrameError {
    /** The other side closed the connection. */
    data object Ended : FrameError

    /** The connection failed. */
    data class Failed(val detail: String) : FrameError

    /** The length prefix is outside the allowed range. */
    data class TooLarge(val bytes: Long) : FrameError

    /** The bytes are not a valid envelope. */
    data class Malformed(val detail: String) : FrameError
}

internal class FrameCodec(private val maximumFrameBytes: Int) {
    /** Encodes [envelope]; the error is its size in bytes if that exceeds the limit. */
    fun encode(envelope: Envelope): Result<EncodedFrame, Long> {
        val bytes = peerCbor.encodeToByteArray(Envelope.serializer(), envelope)
        if (bytes.size > maximumFrameBytes) return Err(bytes.size.toLong())
        return Ok(EncodedFrame(envelope.message, bytes))
    }

    suspend fun write(frame: EncodedFrame, channel: ByteWriteChannel) {
        channel.writeInt(frame.bytes.size)
        channel.writeFully(frame.bytes)
    }

    suspend fun read(channel: ByteReadChannel): Result<ReceivedFrame, FrameError> = try {
        val length = channel.readInt()
        if (length in 1..maximumFrameBytes) {
            decode(channel.readByteArray(length))
        } else {
            Err(FrameError.TooLarge(toUnsigned(length)))
        }
    } catch (_: EOFException) {
        Err(FrameError.Ended)
    } catch (failure: IOException) {
        Err(FrameError.Failed(failure.message ?: failure.javaClass.simpleName))
    }

    private fun decode(bytes: ByteArray): Result<ReceivedFrame, FrameError> = try {
        val envelope = peerCbor.decodeFromByteArray(Envelope.serializer(), bytes)
        Ok(ReceivedFrame(envelope, LENGTH_BYTES + bytes.size))
    } catch (failure: IllegalArgumentException) {
        Err(FrameError.Malformed(failure.message ?: failure.javaClass.simpleName))
    }

    private fun toUnsigned(length: Int): Long = length.toLong() and UNSIGNED_MASK
}

/** Returns the serial name of the type of [message]. */
internal fun messageType(message: PeerMessage): String =
    messageTypes.computeIfAbsent(message.javaClass) { serializer(it).descriptor.serialName }

private val messageTypes = ConcurrentHashMap<Class<out PeerMessage>, String>()

private const val LENGTH_BYTES = 4
private const val UNSIGNED_MASK = 0xFFFFFFFFL
