/*
 * Tests frames that are malformed or too large.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.Acknowledged
import org.arbutusnotch.core.message.Gossip
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.nio.ByteBuffer

class FaultyFrameTest {
    /** Guards against malformed bytes on one connection that close the listener or other connections. */
    @Test
    fun `a malformed request closes only its own connection`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen()
                expectThat(client.request(address, releaseRequest(1), REQUEST_TIMEOUT)).isEqualTo(Ok(Acknowledged))
                RawConnection.open(address).use { faulty ->
                    faulty.writeFrame(byteArrayOf(1, 2, 3))
                    expectThat(faulty.isClosedByPeer()).isTrue()
                }

                expectThat(client.request(address, releaseRequest(2), REQUEST_TIMEOUT)).isEqualTo(Ok(Acknowledged))
                awaitUntil { server.inboundConnectionCount == 1 }
            }
        }
    }

    /** Guards against allocating memory for a length that a faulty peer declares. */
    @Test
    fun `a request over the frame limit closes only its own connection`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen()
                for (length in listOf(Int.MAX_VALUE, PeerLimits.MAXIMUM_FRAME_BYTES + 1, 0, -1)) {
                    RawConnection.open(address).use { faulty ->
                        faulty.writeLength(length)
                        expectThat(faulty.isClosedByPeer()).isTrue()
                    }
                }

                expectThat(client.request(address, releaseRequest(1), REQUEST_TIMEOUT)).isEqualTo(Ok(Acknowledged))
            }
        }
    }

    /** Guards against reporting the outcome `not_run` for a request whose reply cannot be read. */
    @Test
    fun `a request with a malformed reply is reported as sent`() = test {
        RawServer { connection ->
            connection.readEnvelope()
            connection.writeFrame(byteArrayOf(1, 2, 3))
            Thread.sleep(Long.MAX_VALUE)
        }.use { server ->
            PeerTransport().use { client ->
                val error = client.request(server.address, releaseRequest(1), REQUEST_TIMEOUT).getError()

                expectThat(error).isA<PeerError.Malformed>().get { requestSent }.isTrue()
            }
        }
    }

    /** Guards against delivering a reply without a message as a successful reply. */
    @Test
    fun `a request whose reply has no message is reported as not processed`() = test {
        RawServer { connection ->
            connection.writeEnvelope(Envelope(connection.readEnvelope().correlation, null))
            Thread.sleep(Long.MAX_VALUE)
        }.use { server ->
            PeerTransport().use { client ->
                expectThat(client.request(server.address, releaseRequest(1), REQUEST_TIMEOUT))
                    .isEqualTo(Err(PeerError.NotProcessed))
            }
        }
    }

    /** Guards against reporting a request as not sent when its reply exceeds the frame limit. */
    @Test
    fun `a request whose reply exceeds the frame limit is reported as sent`() = test {
        RawServer { connection ->
            connection.readEnvelope()
            connection.writeLength(Int.MAX_VALUE)
            Thread.sleep(Long.MAX_VALUE)
        }.use { server ->
            PeerTransport().use { client ->
                val error = client.request(server.address, releaseRequest(1), REQUEST_TIMEOUT).getError()

                expectThat(error).isEqualTo(PeerError.FrameTooLarge(Int.MAX_VALUE.toLong(), requestSent = true))
            }
        }
    }

    /** Guards against writing a request over the frame limit, which makes the peer close the shared connection. */
    @Test
    fun `a request over the frame limit is refused before it is sent`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen()
                val oversized = configurationContent(PeerLimits.MAXIMUM_FRAME_BYTES)
                val tooLarge = client.request(address, oversized, REQUEST_TIMEOUT).getError()

                expectThat(tooLarge).isA<PeerError.FrameTooLarge>().get { requestSent }.isFalse()
                expectThat(client.request(address, releaseRequest(1), REQUEST_TIMEOUT)).isEqualTo(Ok(Acknowledged))
                expectThat(server.traffic.of("config-content")).isEqualTo(null)
            }
        }
    }

    /** Guards against a reply over the frame limit that closes the connection on which its request arrived. */
    @Test
    fun `an outgoing reply over the frame limit fails only its own request`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message ->
                    if (message == releaseRequest(1)) configurationContent(PeerLimits.MAXIMUM_FRAME_BYTES) else message
                }

                expectThat(client.request(address, releaseRequest(1), REQUEST_TIMEOUT))
                    .isEqualTo(Err(PeerError.NotProcessed))
                expectThat(client.request(address, releaseRequest(2), REQUEST_TIMEOUT)).isEqualTo(Ok(releaseRequest(2)))
            }
        }
    }

    /** Guards against bytes that make the decoder throw an exception that the connection does not handle. */
    @Property(tries = 5_000, seed = "7301")
    fun `arbitrary frames decode to an envelope or a typed error`(@ForAll @Size(min = 1, max = 64) bytes: ByteArray) {
        expectThat(decode(bytes)).get { this == null || this is FrameError.Malformed }.isTrue()
    }

    /** Guards against such an exception for frames that differ from a valid one in a single byte. */
    @Property(tries = 5_000, seed = "7302")
    fun `corrupted frames decode to an envelope or a typed error`(@ForAll position: Int, @ForAll value: Byte) {
        val bytes = peerCbor.encodeToByteArray(Envelope.serializer(), Envelope(1, configurationContent(100)))
        bytes[Math.floorMod(position, bytes.size)] = value

        expectThat(decode(bytes)).get { this == null || this is FrameError.Malformed }.isTrue()
    }

    /** Guards against allocating memory for the length that a byte string or a list inside a frame declares. */
    @Test
    fun `a frame that declares a huge inner length is malformed`() {
        val byteString = peerCbor.encodeToByteArray(Envelope.serializer(), Envelope(1, configurationContent(100)))
        val list = peerCbor.encodeToByteArray(Envelope.serializer(), Envelope(1, Gossip(SENDER, emptyList())))
        // 0x58 0x64 starts a byte string of 100 bytes and 0x80 an empty list; 0x5a and 0x9a have a four-byte length.
        val hugeByteString = byteString.replaceLast(byteArrayOf(0x58, 0x64), byteArrayOf(0x5a) + HUGE_LENGTH)
        val hugeList = list.replaceLast(byteArrayOf(0x80.toByte()), byteArrayOf(0x9a.toByte()) + HUGE_LENGTH)

        expectThat(decode(hugeByteString)).isA<FrameError.Malformed>()
        expectThat(decode(hugeList)).isA<FrameError.Malformed>()
    }

    private fun ByteArray.replaceLast(old: ByteArray, new: ByteArray): ByteArray {
        val start = (size - old.size downTo 0).first { copyOfRange(it, it + old.size).contentEquals(old) }
        return copyOfRange(0, start) + new + copyOfRange(start + old.size, size)
    }

    private fun decode(bytes: ByteArray): FrameError? {
        val frame = ByteBuffer.allocate(Int.SIZE_BYTES + bytes.size).putInt(bytes.size).put(bytes).array()
        return runBlocking { FrameCodec(PeerLimits.MAXIMUM_FRAME_BYTES).read(ByteReadChannel(frame)).getError() }
    }

    private companion object {
        val SENDER = InstanceId(InstanceAddress("127.0.0.1:1"), Incarnation(1))
        val HUGE_LENGTH = byteArrayOf(0x7f, -1, -1, -1)
    }
}
