/*
 * Finds which child process opened a loopback connection.
 */
package org.arbutusnotch.testing.launch

import java.io.IOException
import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readLines

/** Looks up sockets of [processes], the pairs of process id and result. */
internal class SocketOwner<T : Any>(private val processes: () -> List<Pair<Long, T>>) {
    /** Returns the result of the process whose socket is bound to [local]; null when no process has it. */
    fun of(local: InetSocketAddress): T? {
        val inode = inode(local.port) ?: return null
        return processes().firstOrNull { (pid, _) -> hasSocket(pid, inode) }?.second
    }

    private fun inode(port: Int): String? {
        val suffix = ":%04X".format(port)
        return listOf("/proc/net/tcp", "/proc/net/tcp6").firstNotNullOfOrNull { table ->
            Path(table).readLines().drop(1)
                .map { it.trim().split(SPACES) }
                .firstOrNull { it[LOCAL_COLUMN].endsWith(suffix) && it[STATE_COLUMN] == ESTABLISHED }
                ?.get(INODE_COLUMN)
        }
    }

    private fun hasSocket(pid: Long, inode: String): Boolean = try {
        Path("/proc/$pid/fd").listDirectoryEntries().any { target(it) == "socket:[$inode]" }
    } catch (_: IOException) {
        false
    }

    private fun target(link: Path): String? = try {
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
