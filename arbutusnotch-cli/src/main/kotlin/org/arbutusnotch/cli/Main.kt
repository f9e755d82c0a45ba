/*
 * The entry point of `arbutusnotchctl`.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.command.parse
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.mordant.terminal.Terminal
import kotlinx.coroutines.runBlocking
import kotlin.system.exitProcess

/** Runs the command line [arguments] and exits with the value of an [ExitCode]. */
public fun main(arguments: Array<String>) {
    val terminal = Terminal(nonInteractiveWidth = NON_INTERACTIVE_WIDTH)
    exitProcess(runBlocking { runCommand(arguments.toList(), terminal) })
}

/** Runs [arguments], prints to [terminal] and returns the exit code. */
internal suspend fun runCommand(arguments: List<String>, terminal: Terminal): Int {
    val command = ControlCommand.withSubcommands().context { this.terminal = terminal }
    return try {
        command.parse(arguments)
        ExitCode.SUCCESS.value
    } catch (error: CliktError) {
        command.echoFormattedHelp(error)
        exitCode(error)
    }
}

/** Maps usage errors to [ExitCode.INVALID_INPUT]; Clikt exits with 1, which has another meaning in this tool. */
private fun exitCode(error: CliktError): Int =
    if (error is UsageError) ExitCode.INVALID_INPUT.value else error.statusCode

internal class ControlCommand : SuspendingCliktCommand("arbutusnotchctl") {
    override fun help(context: Context): String = "Check operators' files, and monitor and control instances."

    override fun helpEpilog(context: Context): String = listOf(
        "Exit codes: 0 success; 1 failure, or state not reached in time; 2 invalid command line or file; " +
            "3 at least one instance did not respond.",
        example("status --instance 127.0.0.1:18082"),
    ).joinToString("\n\n")

    override val invokeWithoutSubcommand: Boolean = true
    override val printHelpOnEmptyArgs: Boolean = false

    override suspend fun run(): Unit = requireSubcommand()

    companion object {
        fun withSubcommands(): ControlCommand = ControlCommand().subcommands(
            CheckCommand(),
            StatusCommand(),
            WaitCommand(),
            EntryPointsCommand(),
            ExplainCommand(),
            DrainCommand(),
            QuarantineCommand.withSubcommands(),
            CountersCommand(),
            TraceCommand(),
        )
    }
}

/** Rejects a command line without a command, so that a script whose arguments are missing fails. */
internal fun SuspendingCliktCommand.requireSubcommand() {
    if (currentContext.invokedSubcommand == null) throw UsageError("missing command; see --help")
}

/** Returns the epilog of a command's help; [HELP_LINE_BREAK] keeps the help formatter from joining lines. */
internal fun example(vararg commandLines: String): String =
    commandLines.joinToString(HELP_LINE_BREAK, prefix = "Example:$HELP_LINE_BREAK") { line -> "arbutusnotchctl $line" }

private const val HELP_LINE_BREAK = "\u0085"
private const val NON_INTERACTIVE_WIDTH = 100
