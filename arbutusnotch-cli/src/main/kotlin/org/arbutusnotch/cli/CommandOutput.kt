/*
 * Output of commands: results go to standard output, errors to standard error.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.rendering.BorderType
import com.github.ajalt.mordant.rendering.Whitespace
import com.github.ajalt.mordant.table.Borders
import com.github.ajalt.mordant.table.table
import com.github.ajalt.mordant.terminal.Terminal
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Placeholder for an absent value in a table. */
internal const val NO_VALUE: String = "-"

/** Prints [rows] below [columns], without borders, so that scripts can split the output at spaces. */
internal fun SuspendingCliktCommand.printTable(columns: List<String>, rows: List<List<String>>) {
    val content = table {
        borderType = BorderType.BLANK
        tableBorders = Borders.NONE
        cellBorders = Borders.NONE
        whitespace = Whitespace.PRE
        padding { right = COLUMN_GAP }
        header { row { columns.forEach { cell(it) } } }
        body { rows.forEach { cells -> row { cells.forEach { cell(it) } } } }
    }
    val lines = TABLE_TERMINAL.render(content).lines().map { line -> line.trimEnd() }
    echo(lines.filter { line -> line.isNotEmpty() }.joinToString("\n"))
}

internal inline fun <reified T> SuspendingCliktCommand.printJson(value: T) {
    echo(OPERATOR_JSON.encodeToString(value))
}

/** Prints objects as rows; the columns are the keys of all objects, in order of first occurrence. */
internal fun SuspendingCliktCommand.printObjects(objects: List<JsonObject>) {
    val columns = objects.flatMap { it.keys }.distinct()
    printTable(columns.map { it.uppercase() }, objects.map { row -> columns.map { key -> cellText(row[key]) } })
}

internal fun cellText(value: JsonElement?): String = when (value) {
    null, JsonNull -> NO_VALUE
    is JsonPrimitive -> value.content.ifEmpty { NO_VALUE }
    is JsonArray -> if (value.isEmpty()) NO_VALUE else value.joinToString(",") { element -> cellText(element) }
    is JsonObject -> value.entries.joinToString(",") { (key, element) -> "$key=${cellText(element)}" }
}

internal fun SuspendingCliktCommand.printError(message: Any) {
    echo("arbutusnotchctl: $message", err = true)
}

/** Prints [errors] and, if there are any, ends the command with the highest of their exit codes. */
internal fun SuspendingCliktCommand.failOnErrors(errors: List<InstanceError>) {
    errors.forEach { error -> printError(error) }
    val worst = errors.map { error -> error.exitCode }.maxOrNull() ?: return
    throw ProgramResult(worst.value)
}

private const val COLUMN_GAP = 2

/** Renders tables at full width, so that no cell is truncated or wrapped; a narrow terminal wraps the lines itself. */
private val TABLE_TERMINAL = Terminal(ansiLevel = AnsiLevel.NONE, width = 1_000)
