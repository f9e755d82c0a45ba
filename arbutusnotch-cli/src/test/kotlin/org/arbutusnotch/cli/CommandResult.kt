/*
 * Runs the tool in this process and captures its output.
 */
package org.arbutusnotch.cli

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.terminal.Terminal
import com.github.ajalt.mordant.terminal.TerminalRecorder
import kotlinx.coroutines.runBlocking

internal data class CommandResult(val exitCode: Int, val standardOutput: String, val standardError: String)

internal fun arbutusnotchctl(vararg arguments: String): CommandResult {
    val recorder = TerminalRecorder(ansiLevel = AnsiLevel.NONE, width = 100)
    val exitCode = runBlocking { runCommand(arguments.toList(), Terminal(terminalInterface = recorder)) }
    return CommandResult(exitCode, recorder.stdout(), recorder.stderr())
}

/** Returns the fields of the only table row that contains [text]; fields are separated by two or more spaces. */
internal fun CommandResult.row(text: String): List<String> =
    standardOutput.lines().single { line -> text in line }.split(Regex(" {2,}"))
