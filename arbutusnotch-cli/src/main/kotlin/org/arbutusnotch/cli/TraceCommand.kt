/*
 * Prints what log files say of one request.
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
    private val files by argument("FILE", help = "Log of an instance; several may be given")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)
        .multiple(required = true)
    private val request by option("--request", metavar = "ID", help = "Id of the request").required()
    private val margin by option(
        "--margin",
        metavar = "SECONDS",
        help = "Time around the request from which lines on its servers and instances are shown, 2 by default",
    ).double().restrictTo(min = 0.0).default(DEFAULT_MARGIN_SECONDS)
    private val options by OutputOptions()

    override fun help(context: Context): String =
        "Print what logs say of one request: its own lines, its dispatcher's, and what its instance knew meanwhile."

    override fun helpEpilog(context: Context): String =
        example("trace instance-1.log instance-2.log --request a1ddec71c2c2616c")

    override suspend fun run() {
        val story = RequestStory.of(request, Duration.ofMillis((margin * MILLIS_PER_SECOND).toLong())) {
            files.asSequence().flatMap { linesOf(it) }
        }
        if (story.lines.isEmpty()) {
            printError("no line of request $request in ${files.joinToString()}")
            throw ProgramResult(ExitCode.FAILED.value)
        }
        when (options.output) {
            OutputFormat.JSON -> printJson(story.lines.map { TraceLine(it.time.toString(), it.source, it.fields) })
            OutputFormat.TABLE -> story.lines.forEach { line -> echo("${line.time}  ${line.source}  ${line.text()}") }
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
