/*
 * Typed access to one table of a TOML document. Every value that does not fit becomes a [SettingsError] and is read as
 * null, so that reading goes on and finds the other errors.
 */
package org.arbutusnotch.settings

import org.tomlj.Toml
import org.tomlj.TomlArray
import org.tomlj.TomlPosition
import org.tomlj.TomlTable

/**
 * Reads the keys of [table] and remembers which it was asked for.
 *
 * @property path path of the table in the document, empty for the document itself
 * @property position where the table starts; errors about missing keys point there
 */
internal class TomlTableReader(
    private val file: String,
    private val table: TomlTable,
    private val path: String,
    private val position: TomlPosition,
    private val errors: MutableList<SettingsError>,
) {
    private val requested = linkedSetOf<String>()

    fun text(key: String, form: TextForm): String? {
        val value = value(key, form.allowed) ?: return null
        return (value as? String)?.takeIf(form::accepts) ?: reject(key, value, form.allowed)
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

    /** Returns the element of [choices] whose code the file has. */
    fun <T> choice(key: String, choices: Map<String, T>, default: T? = null): T? {
        val allowed = choices.keys.joinToString(" or ") { code -> "\"$code\"" }
        if (default != null && !has(key)) return default
        val value = value(key, allowed) ?: return null
        return choices[value] ?: reject(key, value, allowed)
    }

    /** Returns the strings of an optional list; elements of another form are left out and reported. */
    fun texts(key: String, form: TextForm): List<String> {
        val array = optionalArray(key, "a list, each element ${form.allowed}") ?: return emptyList()
        return (0 until array.size()).mapNotNull { index -> textAt(array, index, key, form) }
    }

    /** Returns the reader of a table, or of an empty one at the same place when the key is absent. */
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
        requested += key
        return table.contains(listOf(key))
    }

    /** Reports each key of the table that no other function was asked for. */
    fun rejectOtherKeys() {
        val allowed = "one of ${requested.joinToString()}"
        table.keySet().filterNot(requested::contains).forEach { key -> reject<Unit>(key, "an unknown key", allowed) }
    }

    /** Reports that the value of [key], which has the right form, does not fit the rest of the file. */
    fun mismatch(key: String, found: String, allowed: String) {
        reject<Unit>(key, found, allowed)
    }

    /** Returns line and path of [key], to which another error can refer. */
    fun placeOf(key: String): String = "${pathOf(key)} in line ${positionOf(key).line()}"

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

    private fun textAt(array: TomlArray, index: Int, key: String, form: TextForm): String? {
        val value = array.get(index)
        val text = (value as? String)?.takeIf(form::accepts)
        if (text == null) errors += elementError(array, index, key, form.allowed)
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

/** Returns the value with its TOML type, shortened. */
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
