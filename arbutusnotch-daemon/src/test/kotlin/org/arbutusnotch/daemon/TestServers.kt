/*
 * Fixtures of the client tests: HTTP servers and raw sockets on the loopback address.
 */
package org.arbutusnotch.daemon

import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timeout of a hung test; a passing test never waits for it. */
internal val TEST_TIMEOUT: Duration = 60.seconds

internal fun test(block: suspend CoroutineScope.() -> Unit): Unit = runBlocking { withTimeout(TEST_TIMEOUT, block) }

internal suspend fun awaitUntil(condition: () -> Boolean) {
    while (!condition()) delay(5.milliseconds)
}

internal fun now() = Timestamp(System.currentTimeMillis())

/** Returns a deadline later than [TEST_TIMEOUT], so that no test passes because the deadline expires. */
internal fun distantDeadline(): Timestamp = now() + 600.seconds

/** Runs an Armeria server on a free loopback port. */
internal class TestServer(port: Int = 0, configure: ServerBuilder.() -> Unit) : AutoCloseable {
    private val server: Server = Server.builder()
        .http(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        .gracefulShutdownTimeoutMillis(0, 0)
        .requestTimeoutMillis(0)
        .apply(configure)
        .build()

    init {
        server.start().join()
    }

    val address: String = "127.0.0.1:${server.activeLocalPort()}"

    val id = BackendServerId(address)

    /** Initiates the shutdown without waiting, since Netty delays the end of its event loops by seconds. */
    override fun close() {
        server.stop()
    }
}

/** Accepts TCP connections and runs [serve] for each on its own thread. */
internal class RawServer(private val serve: (RawConnection) -> Unit) : AutoCloseable {
    private val listening = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<RawConnection>()

    val address: String = "127.0.0.1:${listening.localPort}"

    val id = BackendServerId(address)

    init {
        thread(isDaemon = true) { runCatching { while (true) accept(listening.accept()) } }
    }

    private fun accept(socket: Socket) {
        val connection = RawConnection(socket)
        connections += connection
        thread(isDaemon = true) { runCatching { connection.use(serve) } }
    }

    override fun close() {
        listening.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50
    }
}

/** Reads HTTP/1.1 requests and writes raw bytes. */
internal class RawConnection(private val socket: Socket) : AutoCloseable {
    private val input: InputStream = socket.getInputStream().buffered()

    /** Returns the head of the next request; null when the connection ended before the head was complete. */
    fun readHead(): String? {
        val head = StringBuilder()
        while (!head.endsWith(HEAD_TERMINATOR)) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        return head.toString()
    }

    /** Reads the body of the request with [head]. */
    fun readBody(head: String): ByteArray {
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        return input.readNBytes(length)
    }

    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray())
        socket.getOutputStream().flush()
    }

    /** Closes the connection with a TCP reset instead of an orderly close. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    override fun close() = socket.close()

    private companion object {
        const val HEAD_TERMINATOR = "\r\n\r\n"
    }
}

/** Returns the value of the header [name] in [head]. */
internal fun headerOf(head: String, name: String): String? =
    head.lines().firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()

/** Returns an address at which nothing listens. */
internal fun unusedAddress(): String {
    val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    return "127.0.0.1:$port"
}
