/*
 * Frames that are malformed or too large.
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
    /** Guards against garbage from one connection that ends the listener or the connections of others. */
    @Test
    fun `a malformed request closes its connection only`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen()
                expectThat(client.request(address, release(1), AMPLE)).isEqualTo(Ok(Acknowledged))
                RawConnection.open(address).use { faulty ->
                    faulty.writeFrame(byteArrayOf(1, 2, 3))
                    expectThat(faulty.isClosedByPeer()).isTrue()
                }

                expectThat(client.request(address, release(2), AMPLE)).isEqualTo(Ok(Acknowledged))
                awaitUntil { server.inboundConnections == 1 }
            }
        }
    }

    /** Guards against memory reserved for the length that a faulty peer claims. */
    @Test
    fun `a request over the frame limit closes its connection only`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen()
                for (length in listOf(Int.MAX_VALUE, PeerLimits.MAXIMUM_FRAME_BYTES + 1, 0, -1)) {
                    RawConnection.open(address).use { faulty ->
                        faulty.writeLength(length)
                        expectThat(faulty.isClosedByPeer()).isTrue()
                    }
                }

                expectThat(client.request(address, release(1), AMPLE)).isEqualTo(Ok(Acknowledged))
            }
        }
    }

    /** Guards against an outcome `not_run` for a request whose reply cannot be read. */
    @Test
    fun `a malformed reply is reported as sent`() = test {
        RawServer { connection ->
            connection.read()
            connection.writeFrame(byteArrayOf(1, 2, 3))
            Thread.sleep(Long.MAX_VALUE)
        }.use { server ->
            PeerTransport().use { client ->
                val error = client.request(server.address, release(1), AMPLE).getError()

                expectThat(error).isA<PeerError.Malformed>().get { requestSent }.isTrue()
            }
        }
    }

    /** Guards against a reply without a message that is delivered as if it were one. */
    @Test
    fun `a reply without a message is reported as not processed`() = test {
        RawServer { connection ->
            connection.write(Envelope(connection.read().correlation, null))
            Thread.sleep(Long.MAX_VALUE)
        }.use { server ->
            PeerTransport().use { client ->
                expectThat(client.request(server.address, release(1), AMPLE)).isEqualTo(Err(PeerError.NotProcessed))
            }
        }
    }

    /** Guards against a reply over the frame limit that is reported as not sent. */
    @Test
    fun `a reply over the frame limit is reported as sent`() = test {
        RawServer { connection ->
            connection.read()
            connection.writeLength(Int.MAX_VALUE)
            Thread.sleep(Long.MAX_VALUE)
        }.use { server ->
            PeerTransport().use { client ->
                val error = client.request(server.address, release(1), AMPLE).getError()

                expectThat(error).isEqualTo(PeerError.FrameTooLarge(Int.MAX_VALUE.toLong(), requestSent = true))
            }
        }
    }

    /** Guards against a request over the frame limit that is written and makes the peer close the shared connection. */
    @Test
    fun `a request over the frame limit is refused before it is sent`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen()
                val tooLarge = client.request(address, content(PeerLimits.MAXIMUM_FRAME_BYTES), AMPLE).getError()

                expectThat(tooLarge).isA<PeerError.FrameTooLarge>().get { requestSent }.isFalse()
                expectThat(client.request(address, release(1), AMPLE)).isEqualTo(Ok(Acknowledged))
                expectThat(server.traffic.of("config-content")).isEqualTo(null)
            }
        }
    }

    /** Guards against a handler whose reply is over the frame limit and ends the connection of its peer. */
    @Test
    fun `an outgoing reply over the frame limit fails its own request only`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message ->
                    if (message == release(1)) content(PeerLimits.MAXIMUM_FRAME_BYTES) else message
                }

                expectThat(client.request(address, release(1), AMPLE)).isEqualTo(Err(PeerError.NotProcessed))
                expectThat(client.request(address, release(2), AMPLE)).isEqualTo(Ok(release(2)))
            }
        }
    }

    /** Guards against bytes that make the decoder throw what the connection does not handle. */
    @Property(tries = 5_000, seed = "7301")
    fun `arbitrary frames give an envelope or a typed error`(@ForAll @Size(min = 1, max = 64) bytes: ByteArray) {
        expectThat(decode(bytes)).get { this == null || this is FrameError.Malformed }.isTrue()
    }

    /** Guards against the same for frames that differ from a valid one in a few bytes only. */
    @Property(tries = 5_000, seed = "7302")
    fun `damaged frames give an envelope or a typed error`(@ForAll position: Int, @ForAll value: Byte) {
        val bytes = peerCbor.encodeToByteArray(Envelope.serializer(), Envelope(1, content(100)))
        bytes[Math.floorMod(position, bytes.size)] = value

        expectThat(decode(bytes)).get { this == null || this is FrameError.Malformed }.isTrue()
    }

    /** Guards against memory reserved for the length that a byte string or a list inside a frame claims. */
    @Test
    fun `a frame that claims a huge inner length is malformed`() {
        val byteString = peerCbor.encodeToByteArray(Envelope.serializer(), Envelope(1, content(100)))
        val list = peerCbor.encodeToByteArray(Envelope.serializer(), Envelope(1, Gossip(SENDER, emptyList())))
        // 0x58 0x64 starts a byte string of 100 bytes and 0x80 an empty list; 0x5a and 0x9a have a four-byte length.
        val hugeByteString = byteString.replaceLast(byteArrayOf(0x58, 0x64), byteArrayOf(0x5a) + HUGE)
        val hugeList = list.replaceLast(byteArrayOf(0x80.toByte()), byteArrayOf(0x9a.toByte()) + HUGE)

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
        val HUGE = byteArrayOf(0x7f, -1, -1, -1)
    }
}
