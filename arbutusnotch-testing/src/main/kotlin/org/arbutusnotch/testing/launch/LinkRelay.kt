/*
 * Relays of TCP connections between instances, which partitions and delays between failure domains are made with.
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

/** Names a direction between two failure domains. */
public data class LinkDirection(public val from: String, public val to: String)

/** Holds which directions between failure domains are cut or delayed now. Connections without a known source pass. */
public class LinkTable {
    private val cuts = ConcurrentHashMap.newKeySet<LinkDirection>()
    private val delays = ConcurrentHashMap<LinkDirection, Duration>()

    /** Lets no byte pass between [first] and [second] in either direction. Open connections stay open and silent. */
    public fun cut(first: String, second: String) {
        cuts += LinkDirection(first, second)
        cuts += LinkDirection(second, first)
    }

    /** Delays each byte between [first] and [second] by [delay] in both directions. */
    public fun delay(first: String, second: String, delay: Duration) {
        delays[LinkDirection(first, second)] = delay
        delays[LinkDirection(second, first)] = delay
    }

    /** Ends every cut and delay. Bytes that a cut held back pass now, as TCP would send them again. */
    public fun heal() {
        cuts.clear()
        delays.clear()
    }

    internal fun isCut(from: String?, to: String): Boolean = from != null && LinkDirection(from, to) in cuts

    internal fun delayOf(from: String?, to: String): Duration =
        from?.let { delays[LinkDirection(it, to)] } ?: Duration.ZERO
}

/**
 * Relays connections to [address] on to [target] in the failure domain [targetDomain].
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

    private val listening = ServerSocket().apply {
        reuseAddress = true
        bind(InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()))
    }
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    init {
        worker { acceptAll() }
    }

    override fun close() {
        listening.close()
        sockets.forEach { it.close() }
    }

    private fun acceptAll() {
        while (!listening.isClosed) {
            val accepted = listening.accept()
            sockets += accepted
            worker { relay(accepted) }
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
        worker(from, to) { readInto(chunks, from, direction) }
        worker(from, to) { writeFrom(chunks, to, direction) }
    }

    private fun readInto(chunks: LinkedBlockingQueue<Chunk>, from: Socket, direction: LinkDirection) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = from.getInputStream().read(buffer)
            val delay = links.delayOf(direction.from, direction.to)
            val bytes = if (count < 0) ByteArray(0) else buffer.copyOf(count)
            chunks.put(Chunk(bytes, System.nanoTime() + delay.inWholeNanoseconds))
            if (count < 0) return
        }
    }

    private fun writeFrom(chunks: LinkedBlockingQueue<Chunk>, to: Socket, direction: LinkDirection) {
        while (true) {
            val chunk = chunks.take()
            TimeUnit.NANOSECONDS.sleep(chunk.dueNanos - System.nanoTime())
            waitWhileCut(direction.from, direction.to)
            if (chunk.bytes.isEmpty()) return to.shutdownOutput()
            to.getOutputStream().write(chunk.bytes)
        }
    }

    private fun waitWhileCut(from: String?, to: String) {
        while (links.isCut(from, to) && !listening.isClosed) Thread.sleep(CUT_CHECK_MILLIS)
    }

    private fun worker(vararg owned: Socket, work: () -> Unit) {
        thread(isDaemon = true, name = "link-relay") {
            try {
                work()
            } catch (_: IOException) {
                // One side closed its connection, so the other one is closed as well.
                owned.forEach { it.close() }
            }
        }
    }

    private companion object {
        const val MAX_CHUNKS = 256
        const val BUFFER_BYTES = 16_384
        const val CUT_CHECK_MILLIS = 5L
    }
}
