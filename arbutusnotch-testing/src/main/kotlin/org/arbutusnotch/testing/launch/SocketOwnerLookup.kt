/*
 * Finds the child process that opened a loopback connection.
 */
package org.arbutusnotch.testing.launch

import java.io.IOException
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines

/**
 * Looks up the owners of sockets among [processes].
 *
 * @param processes returns pairs of a process id and the value to return for it
 */
internal class SocketOwnerLookup<T : Any>(private val processes: () -> List<Pair<Long, T>>) {
    /** Returns the value of the process that owns the socket bound to [local]; null when there is none. */
    fun find(local: InetSocketAddress): T? {
        val inode = findInode(local.port) ?: return null
        return processes().firstOrNull { (pid, _) -> ownsSocket(pid, inode) }?.second
    }

    private fun findInode(port: Int): String? {
        val suffix = ":%04X".format(port)
        return listOf("/proc/net/tcp", "/proc/net/tcp6").firstNotNullOfOrNull { table ->
            Path(table).readLines().drop(1)
                .map { it.trim().split(SPACES) }
                .firstOrNull { it[LOCAL_COLUMN].endsWith(suffix) && it[STATE_COLUMN] == ESTABLISHED }
                ?.get(INODE_COLUMN)
        }
    }

    private fun ownsSocket(pid: Long, inode: String): Boolean = try {
        Path("/proc/$pid/fd").listDirectoryEntries().any { linkTarget(it) == "socket:[$inode]" }
    } catch (_: IOException) {
        false
    }

    private fun linkTarget(link: Path): String? = try {
        Files.readSymbolicLink(link).toString()
    } catch (_: IOException) {
        null
    }

    private companion object {
        val SPACES = Regex("\\s+")
        const val LOCAL_COLUMN = 1
        const val STATE_COLUMN = 3
        const val INODE_COLUMN = 9
        const val ESTABLISHED = "01"
    }
}
