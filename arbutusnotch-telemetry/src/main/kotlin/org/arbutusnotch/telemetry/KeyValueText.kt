/*
 * The text form of log events: key=value pairs on one line.
 */
package org.arbutusnotch.telemetry

/** Formats [value] for use after `key=`; quotes and escapes it unless it is a word without quotes, `=` and `\`. */
public fun formatLogValue(value: Any?): String {
    val text = value.toString()
    if (text.isNotEmpty() && text.none(::needsQuotes)) return text
    return text.map(::escape).joinToString(separator = "", prefix = "\"", postfix = "\"")
}

/** Parses the keys and values in [text] that [formatLogValue] has formatted; other words are skipped. */
public fun parseLogFields(text: String): Map<String, String> =
    PAIR.findAll(text).associate { it.groupValues[1] to unquote(it.groupValues[2]) }

/** Unquotes [text]; a value without its closing quote, as in a truncated line, is returned unchanged. */
private fun unquote(text: String): String {
    val quoted = text.length >= 2 && text.startsWith('"') && text.endsWith('"')
    return if (quoted) ESCAPED.replace(text.substring(1, text.length - 1)) { unescape(it.value) } else text
}

private fun unescape(sequence: String): String = when (sequence[1]) {
    'n' -> "\n"
    'r' -> "\r"
    't' -> "\t"
    'u' -> sequence.drop(2).toIntOrNull(HEXADECIMAL)?.toChar()?.toString() ?: sequence.drop(1)
    else -> sequence.drop(1)
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

/** Characters that some programs treat as line breaks although they are not control characters. */
private const val LINE_SEPARATORS = "\u2028\u2029"
private const val HEXADECIMAL = 16
private val PAIR = Regex("""(\w+)=("[^"\\]*+(?:\\.[^"\\]*+)*+"|\S+)""")
private val ESCAPED = Regex("""\\u[0-9a-f]{4}|\\.""")
