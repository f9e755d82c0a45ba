/*
 * The text form of log events: key=value pairs on one line.
 */
package org.arbutusnotch.telemetry

/** Returns [value] as it stands after `key=`: quoted and escaped when it would not be one word otherwise. */
internal fun keyValueText(value: Any?): String {
    val text = value.toString()
    if (text.isNotEmpty() && text.none(::needsQuotes)) return text
    return text.map(::escape).joinToString(separator = "", prefix = "\"", postfix = "\"")
}

private fun needsQuotes(character: Char): Boolean =
    character.isWhitespace() || character.isISOControl() || character in "\"=\\"

private fun escape(character: Char): String = when {
    character == '"' -> "\\\""
    character == '\\' -> "\\\\"
    character == '\n' -> "\\n"
    character == '\r' -> "\\r"
    character == '\t' -> "\\t"
    character.isISOControl() || character in LINE_SEPARATORS -> "\\u%04x".format(character.code)
    else -> character.toString()
}

/** End a line for some readers although they are no control characters. */
private const val LINE_SEPARATORS = "\u2028\u2029"
