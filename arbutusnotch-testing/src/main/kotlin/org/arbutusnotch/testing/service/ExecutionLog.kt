/*
 * Log of executions. With a file it survives a crash of the process, as the effect of a real booking would.
 */
package org.arbutusnotch.testing.service

import org.arbutusnotch.testing.http.wireJson
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import kotlin.io.path.bufferedWriter
import kotlin.io.path.exists
import kotlin.io.path.readLines

/** Records executions in memory and, when [file] is not null, in a file of JSON lines; thread-safe. */
internal class ExecutionLog(file: Path?) {
    private val executions = mutableListOf<Execution>()

    init {
        if (file != null && file.exists()) {
            executions += file.readLines().filter { it.endsWith("}") }.map { wireJson.decodeFromString<Execution>(it) }
        }
    }

    private val writer = file?.bufferedWriter(
        options = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.APPEND),
    )

    fun add(execution: Execution): Unit = synchronized(this) {
        executions += execution
        writer?.run {
            appendLine(wireJson.encodeToString(execution))
            flush()
        }
    }

    fun report(server: String): ExecutionReport = synchronized(this) {
        val counts = executions.groupBy { it.operation to it.idempotencyKey }.map { (key, runs) ->
            ExecutionCount(key.first, key.second, runs.size, runs.map { it.epochMillis })
        }
        ExecutionReport(server, counts)
    }
}
