/*
 * Relays of TCP connections between instances, which simulate partitions and delays between failure domains.
 */
package org.arbutusnotch.testing.launch

import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Identifies one direction between two failure domains. */
public data class LinkDirection(public val from: String, public val to: String)

/** Holds the directions that are cut or delayed now. Connections from an unknown process are never affected. */
public class LinkTable {
    private val cuts = ConcurrentHashMap.newKeySet<LinkDirection>()
    private val delays = ConcurrentHashMap<LinkDirection, Duration>()

    /** Blocks all bytes between [first] and [second] in both directions. Connections stay open. */
    public fun cut(first: String, second: String) {
        cuts += LinkDirection(first, second)
        cuts += LinkDirection(second, first)
    }

    /** Delays each byte between [first] and [second] by [delay] in both directions. */
    public fun delay(first: String, second: String, delay: Duration) {
        delays[LinkDirection(first, second)] = delay
        delays[LinkDirection(second, first)] = delay
    }

    /** Removes all cuts and delays. Bytes that a cut blocked are delivered now, as TCP would retransmit them. */
    public fun heal() {
        cuts.clear()
        delays.clear()
    }

    internal fun isCut(from: String?, to: String): Boolean = from != null && LinkDirection(from, to) in cuts

    internal fun delayBetween(from: String?, to: String): Duration =
        from?.let { delays[LinkDirection(it, to)] } ?: Duration.ZERO
}

/**
 * Forwards connections from [address] to [target] in the failure domain [targetDomain].
 *
 * @param sourceDomain returns the failure domain of the process that opened a connection, given its socket address
 */
public class LinkRelay(
    public val address: String,
    private val target: String,
    private val targetDomain: String,
    private val links: LinkTable,
    private val sourceDomain: (InetSocketAddress) -> String?,
) : AutoCloseable {
    private class Chunk(val bytes: ByteArray, val dueNanos: Long)

    private val serverSocket = ServerSocket().apply {
        reuseAddress = true
        bind(InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()))
    }
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    init {
        startWorker { acceptAll() }
    }

    override fun close() {
        serverSocket.close()
        sockets.forEach { it.close() }
    }

    private fun acceptAll() {
        while (!serverSocket.isClosed) {
            val accepted = serverSocket.accept()
            sockets += accepted
            startWorker { relay(accepted) }
        }
    }

    private fun relay(accepted: Socket) {
        val source = sourceDomain(accepted.remoteSocketAddress as InetSocketAddress)
        waitWhileCut(source, targetDomain)
        val forwarded = Socket(target.substringBeforeLast(':'), target.substringAfterLast(':').toInt())
        sockets += forwarded
        listOf(accepted, forwarded).forEach { it.tcpNoDelay = true }
        pump(accepted, forwarded, LinkDirection(source ?: "", targetDomain))
        pump(forwarded, accepted, LinkDirection(targetDomain, source ?: ""))
    }

    private fun pump(from: Socket, to: Socket, direction: LinkDirection) {
        val chunks = LinkedBlockingQueue<Chunk>(MAX_CHUNKS)
        startWorker(from, to) { readChunks(chunks, from, direction) }
        startWorker(from, to) { writeChunks(chunks, to, direction) }
    }

    private fun readChunks(chunks: LinkedBlockingQueue<Chunk>, from: Socket, direction: LinkDirection) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.getInputStream().read(buffer)
            val delay = links.delayBetween(direction.from, direction.to)
            val bytes = if (count < 0) ByteArray(0) else buffer.copyOf(count)
            chunks.put(Chunk(bytes, System.nanoTime() + delay.inWholeNanoseconds))
            if (count < 0) return
        }
    }

    private fun writeChunks(chunks: LinkedBlockingQueue<Chunk>, to: Socket, direction: LinkDirection) {
        while (true) {
            val chunk = chunks.take()
            TimeUnit.NANOSECONDS.sleep(chunk.dueNanos - System.nanoTime())
            waitWhileCut(direction.from, direction.to)
            if (chunk.bytes.isEmpty()) return to.shutdownOutput()
            to.getOutputStream().write(chunk.bytes)
        }
    }

    private fun waitWhileCut(from: String?, to: String) {
        while (links.isCut(from, to) && !serverSocket.isClosed) Thread.sleep(CUT_CHECK_MILLIS)
    }

    private fun startWorker(vararg sockets: Socket, work: () -> Unit) {
        thread(isDaemon = true, name = "link-relay") {
            try {
                work()
            } catch (_: IOException) {
                // One side closed its connection, so both are closed.
                sockets.forEach { it.close() }
            }
        }
    }

    private companion object {
        const val MAX_CHUNKS = 256
        const val BUFFER_BYTES = 16_384
        const val CUT_CHECK_MILLIS = 5L
    }
}
