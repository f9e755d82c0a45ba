/*
 * Allocation of free ports on loopback.
 */
package org.arbutusnotch.testing.launch

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.SplittableRandom

/**
 * Allocates free ports below the ephemeral port range of the system, so that no outgoing connection takes the port of a
 * stopped process before it starts again.
 */
internal class PortAllocator {
    private val random = SplittableRandom(System.nanoTime())
    private val used = mutableSetOf<Int>()

    /** Returns a loopback address with a free port that was not returned before. */
    fun nextAddress(): String = generateSequence { random.nextInt(LOWEST_PORT, HIGHEST_PORT) }
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
