/*
 * Shared fixtures of the transport tests.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.peer

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.ExperimentalSerializationApi
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.message.Acknowledged
import org.arbutusnotch.core.message.ConfigurationContent
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.ReleaseRequest
import org.arbutusnotch.core.message.RevisionMark
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time after which a test fails as hung; a passing test never waits for it. */
internal val TEST_TIMEOUT: Duration = 60.seconds

/** Timeout of requests that are expected to get a reply. */
internal val REQUEST_TIMEOUT: Duration = 20.seconds

internal val LOOPBACK_ANY_PORT = InstanceAddress("127.0.0.1:0")

internal fun test(block: suspend CoroutineScope.() -> Unit): Unit = runBlocking { withTimeout(TEST_TIMEOUT, block) }

internal suspend fun awaitUntil(condition: () -> Boolean) {
    while (!condition()) delay(5.milliseconds)
}

internal fun releaseRequest(number: Int) = ReleaseRequest(BackendServerId("10.0.0.1:80"), AttemptId("attempt-$number"))

internal fun revisionMark(number: Long) = RevisionMark(RevisionNumber(number), ContentDigest("digest-$number"))

internal fun configurationContent(size: Int) = ConfigurationContent(revisionMark(1), ByteArray(size) { it.toByte() })

internal suspend fun PeerTransport.listen(
    bind: InstanceAddress = LOOPBACK_ANY_PORT,
    handler: suspend (PeerMessage) -> PeerMessage = { Acknowledged },
): InstanceAddress = start(bind, handler).getOrElse { error("cannot listen: $it") }

/** Accepts TCP connections and runs [serve] for each connection on its own thread. */
internal class RawServer(private val serve: (RawConnection) -> Unit) : AutoCloseable {
    private val serverSocket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = java.util.concurrent.CopyOnWriteArrayList<RawConnection>()

    val address = InstanceAddress("127.0.0.1:${serverSocket.localPort}")

    val acceptedConnections: Int get() = connections.size

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val connection = RawConnection(serverSocket.accept())
                    connections += connection
                    thread(isDaemon = true) { runCatching { serve(connection) } }
                }
            }
        }
    }

    override fun close() {
        serverSocket.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50
    }
}

/** Reads and writes frames on a plain socket, without the transport. */
internal class RawConnection(private val socket: Socket) : AutoCloseable {
    private val input = DataInputStream(socket.getInputStream())
    private val output = DataOutputStream(socket.getOutputStream())

    fun readEnvelope(): Envelope {
        val bytes = ByteArray(input.readInt())
        input.readFully(bytes)
        return peerCbor.decodeFromByteArray(Envelope.serializer(), bytes)
    }

    fun writeEnvelope(envelope: Envelope) = writeFrame(peerCbor.encodeToByteArray(Envelope.serializer(), envelope))

    fun writeFrame(bytes: ByteArray) {
        writeLength(bytes.size)
        output.write(bytes)
        output.flush()
    }

    fun writeLength(length: Int) {
        output.writeInt(length)
        output.flush()
    }

    /** Returns whether the other side closes the connection; blocks until it closes the connection or sends a byte. */
    fun isClosedByPeer(): Boolean = runCatching { input.read() }.getOrDefault(END) == END

    override fun close() = socket.close()

    companion object {
        private const val END = -1

        fun open(address: InstanceAddress): RawConnection {
            val port = address.value.substringAfterLast(':').toInt()
            return RawConnection(Socket(InetAddress.getLoopbackAddress(), port))
        }
    }
}
