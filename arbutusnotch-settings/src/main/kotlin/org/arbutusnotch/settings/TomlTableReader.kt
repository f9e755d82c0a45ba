/*
 * Typed access to one table of a TOML document. Every invalid value adds a [SettingsError] and is read as null, so that
 * one pass finds all errors.
 */
package org.arbutusnotch.settings

import org.tomlj.Toml
import org.tomlj.TomlArray
import org.tomlj.TomlPosition
import org.tomlj.TomlTable

/**
 * Reads the keys of [table] and records which keys have been looked up.
 *
 * @property path path of the table in the document, empty for the document itself
 * @property position start of the table, which errors about missing keys report
 */
internal class TomlTableReader(
    private val file: String,
    private val table: TomlTable,
    private val path: String,
    private val position: TomlPosition,
    private val errors: MutableList<SettingsError>,
) {
    private val knownKeys = linkedSetOf<String>()

    fun string(key: String, format: StringFormat): String? {
        val value = value(key, format.allowed) ?: return null
        return (value as? String)?.takeIf(format::accepts) ?: reject(key, value, format.allowed)
    }

    fun int(key: String, range: IntRange, default: Int? = null): Int? =
        long(key, range.first.toLong()..range.last.toLong(), default?.toLong())?.toInt()

    fun long(key: String, range: LongRange, default: Long? = null): Long? {
        val allowed = "an integer from ${range.first} to ${range.last}"
        if (default != null && !has(key)) return default
        val value = value(key, allowed) ?: return null
        return (value as? Long)?.takeIf(range::contains) ?: reject(key, value, allowed)
    }

    fun boolean(key: String, default: Boolean? = null): Boolean? {
        if (default != null && !has(key)) return default
        val value = value(key, BOOLEAN) ?: return null
        return value as? Boolean ?: reject(key, value, BOOLEAN)
    }

    /** Returns the element of [choices] whose code is the value of [key]. */
    fun <T> choice(key: String, choices: Map<String, T>, default: T? = null): T? {
        val allowed = choices.keys.joinToString(" or ") { code -> "\"$code\"" }
        if (default != null && !has(key)) return default
        val value = value(key, allowed) ?: return null
        return choices[value] ?: reject(key, value, allowed)
    }

    /** Returns the strings of an optional list; invalid elements are skipped and reported. */
    fun strings(key: String, format: StringFormat): List<String> {
        val array = optionalArray(key, "a list, each element ${format.allowed}") ?: return emptyList()
        return (0 until array.size()).mapNotNull { index -> stringAt(array, index, key, format) }
    }

    /** Returns a reader of the table [key], or of an empty table at the same position if the key is absent. */
    fun table(key: String): TomlTableReader {
        val value = if (has(key)) table.get(listOf(key)) else null
        if (value != null && value !is TomlTable) reject<Unit>(key, value, "a table")
        val subTable = value as? TomlTable ?: EMPTY_TABLE
        return TomlTableReader(file, subTable, pathOf(key), positionOf(key), errors)
    }

    /** Returns a reader for each table of an optional array of tables. */
    fun tables(key: String): List<TomlTableReader> {
        val array = optionalArray(key, "an array of tables") ?: return emptyList()
        return (0 until array.size()).mapNotNull { index -> tableAt(array, index, key) }
    }

    fun has(key: String): Boolean {
        knownKeys += key
        return table.contains(listOf(key))
    }

    /** Reports each key of the table that no other function has looked up. */
    fun rejectUnknownKeys() {
        val allowed = "one of ${knownKeys.joinToString()}"
        table.keySet().filterNot(knownKeys::contains).forEach { key -> reject<Unit>(key, "an unknown key", allowed) }
    }

    /** Reports that the value of [key] has a valid format but is inconsistent with the rest of the file. */
    fun reportError(key: String, found: String, allowed: String) {
        reject<Unit>(key, found, allowed)
    }

    /** Returns the path and line of [key] for use in the message of another error. */
    fun locationOf(key: String): String = "${pathOf(key)} in line ${positionOf(key).line()}"

    private fun value(key: String, allowed: String): Any? {
        if (has(key)) return table.get(listOf(key))
        errors += error(pathOf(key), position, "no such key", allowed)
        return null
    }

    private fun optionalArray(key: String, allowed: String): TomlArray? {
        if (!has(key)) return null
        val value = table.get(listOf(key))
        return value as? TomlArray ?: reject(key, value, allowed)
    }

    private fun stringAt(array: TomlArray, index: Int, key: String, format: StringFormat): String? {
        val value = array.get(index)
        val text = (value as? String)?.takeIf(format::accepts)
        if (text == null) errors += elementError(array, index, key, format.allowed)
        return text
    }

    private fun tableAt(array: TomlArray, index: Int, key: String): TomlTableReader? {
        val value = array.get(index)
        if (value !is TomlTable) {
            errors += elementError(array, index, key, "a table")
            return null
        }
        return TomlTableReader(file, value, "${pathOf(key)}[$index]", positionOf(array, index), errors)
    }

    private fun elementError(array: TomlArray, index: Int, key: String, allowed: String): SettingsError =
        error("${pathOf(key)}[$index]", positionOf(array, index), describe(array.get(index)), allowed)

    private fun <T> reject(key: String, value: Any?, allowed: String): T? = reject(key, describe(value), allowed)

    private fun <T> reject(key: String, found: String, allowed: String): T? {
        errors += error(pathOf(key), positionOf(key), found, allowed)
        return null
    }

    private fun error(key: String, at: TomlPosition, found: String, allowed: String) =
        SettingsError(file, at.line(), at.column(), key, found, allowed)

    private fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"

    private fun positionOf(key: String): TomlPosition = table.inputPositionOf(listOf(key)) ?: position

    private fun positionOf(array: TomlArray, index: Int): TomlPosition = array.inputPositionOf(index) ?: position

    private companion object {
        const val BOOLEAN = "true or false"
        val EMPTY_TABLE: TomlTable = Toml.parse("")
    }
}

/** Returns the TOML type and the value, shortened. */
private fun describe(value: Any?): String = when (value) {
    is String -> "string \"${shorten(value)}\""
    is Long -> "integer $value"
    is Double -> "float $value"
    is Boolean -> "boolean $value"
    is TomlArray -> "an array of ${value.size()} elements"
    is TomlTable -> "a table"
    else -> "date or time $value"
}

private fun shorten(text: String): String {
    val printable = text.map { character -> if (character.isISOControl()) '?' else character }.joinToString("")
    val limit = SettingsError.MAXIMUM_FOUND_CHARACTERS
    return if (printable.length <= limit) printable else printable.take(limit) + "..."
}
