/*
 * The text form of log events: key=value pairs on one line.
 */
package org.arbutusnotch.telemetry

/** Returns [value] as it stands after `key=`: quoted and escaped when it would not be one word otherwise. */
public fun keyValueText(value: Any?): String {
    val text = value.toString()
    if (text.isNotEmpty() && text.none(::needsQuotes)) return text
    return text.map(::escape).joinToString(separator = "", prefix = "\"", postfix = "\"")
}

/** Returns the keys and values in [text], as [keyValueText] wrote them; other words are passed over. */
public fun readKeyValues(text: String): Map<String, String> =
    PAIR.findAll(text).associate { it.groupValues[1] to valueOf(it.groupValues[2]) }

/** A quote without its end stands in a line that was cut, and is kept as it is. */
private fun valueOf(text: String): String {
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

/** End a line for some readers although they are no control characters. */
private const val LINE_SEPARATORS = "\u2028\u2029"
private const val HEXADECIMAL = 16
private val PAIR = Regex("""(\w+)=("[^"\\]*+(?:\\.[^"\\]*+)*+"|\S+)""")
private val ESCAPED = Regex("""\\u[0-9a-f]{4}|\\.""")
