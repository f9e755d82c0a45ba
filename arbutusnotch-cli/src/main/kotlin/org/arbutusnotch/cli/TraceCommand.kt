/*
 * Prints the log lines that concern one request.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.Serializable
import java.nio.file.Path
import java.time.Duration
import kotlin.io.path.bufferedReader
import kotlin.io.path.name

internal class TraceCommand : SuspendingCliktCommand("trace") {
    private val files by argument("FILE", help = "Log file of an instance; repeatable")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)
        .multiple(required = true)
    private val request by option("--request", metavar = "ID", help = "Id of the request").required()
    private val margin by option(
        "--margin",
        metavar = "SECONDS",
        help = "Time before and after the request for which lines on its servers and instances are shown; default 2",
    ).double().restrictTo(min = 0.0).default(DEFAULT_MARGIN_SECONDS)
    private val options by OutputOptions()

    override fun help(context: Context): String =
        "Print the log lines of one request: its own, its dispatcher's, and the state of its instance at that time."

    override fun helpEpilog(context: Context): String =
        example("trace instance-1.log instance-2.log --request a1ddec71c2c2616c")

    override suspend fun run() {
        val trace = RequestTrace.of(request, Duration.ofMillis((margin * MILLIS_PER_SECOND).toLong())) {
            files.asSequence().flatMap { linesOf(it) }
        }
        if (trace.lines.isEmpty()) {
            printError("no log line of request $request in ${files.joinToString()}")
            throw ProgramResult(ExitCode.FAILED.value)
        }
        when (options.output) {
            OutputFormat.JSON -> printJson(trace.lines.map { TraceLine(it.time.toString(), it.source, it.fields) })
            OutputFormat.TABLE -> trace.lines.forEach { line -> echo("${line.time}  ${line.source}  ${line.text()}") }
        }
    }

    private fun linesOf(file: Path): Sequence<LogLine> = sequence {
        file.bufferedReader().use { reader ->
            reader.lineSequence().mapNotNull { LogLine.parse(it, file.name) }.forEach { yield(it) }
        }
    }

    private companion object {
        const val DEFAULT_MARGIN_SECONDS = 2.0
        const val MILLIS_PER_SECOND = 1_000
    }
}

@Serializable
internal data class TraceLine(val time: String, val source: String, val fields: Map<String, String>)
