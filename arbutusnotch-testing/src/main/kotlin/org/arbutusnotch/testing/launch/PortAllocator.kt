/*
 * Free ports on loopback.
 */
package org.arbutusnotch.testing.launch

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.SplittableRandom

/**
 * Finds free ports below the range from which the system takes the ports of outgoing connections, so that the port of a
 * stopped process is still free when the process starts again.
 */
internal class PortAllocator {
    private val random = SplittableRandom(System.nanoTime())
    private val used = mutableSetOf<Int>()

    fun next(): String = generateSequence { random.nextInt(LOWEST_PORT, HIGHEST_PORT) }
        .first { it !in used && isFree(it) }
        .also { used += it }
        .let { "$LOOPBACK:$it" }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getByName(LOOPBACK)).close()
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val LOWEST_PORT = 10_000
        const val HIGHEST_PORT = 32_000
    }
}
