/*
 * Encodes and decodes single messages between instances, for transports that need no envelope.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.arbutusnotch.core.message.PeerMessage

/** Encodes and decodes messages as CBOR. */
public object PeerMessageCodec {
    /** Returns the encoded form of [message]. */
    public fun encode(message: PeerMessage): ByteArray = peerCbor.encodeToByteArray(PeerMessage.serializer(), message)

    /** Decodes the message in [bytes]; the error describes why they are not a valid message. */
    public fun decode(bytes: ByteArray): Result<PeerMessage, String> = try {
        Ok(peerCbor.decodeFromByteArray(PeerMessage.serializer(), bytes))
    } catch (failure: IllegalArgumentException) {
        Err(failure.message ?: failure.javaClass.simpleName)
    }
}

/** Encodes every message between instances; unknown keys are ignored for compatibility between versions. */
internal val peerCbor: Cbor = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = false
    useDefiniteLengthEncoding = true
}
