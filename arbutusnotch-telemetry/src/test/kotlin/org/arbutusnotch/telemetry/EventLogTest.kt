/*
 * Tests that log events are formatted as one line of key=value pairs.
 */
package org.arbutusnotch.telemetry

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.startsWith

class EventLogTest {
    /** Guards against a value, such as text from a caller, that breaks the line or looks like another key. */
    @Property(tries = 2_000, seed = "7401")
    fun `any value can be read back`(@ForAll value: String) {
        val text = formatLogValue(value)

        expectThat(text.none { it.isISOControl() || it in "\u2028\u2029" }).isTrue()
        expectThat(readBack(text)).isEqualTo(value)
    }

    /** Guards against parsing a value, or the pair after it, as something else. */
    @Property(tries = 2_000, seed = "7402")
    fun `pairs of a line can be read back`(@ForAll first: String, @ForAll second: String) {
        val line = "event=read first=${formatLogValue(first)} second=${formatLogValue(second)}"

        expectThat(parseLogFields(line)).isEqualTo(mapOf("event" to "read", "first" to first, "second" to second))
    }

    /** Guards against a parser failure on a line that is truncated within a value. */
    @Test
    fun `a truncated value does not stop the parser`() {
        expectThat(parseLogFields("event=cut detail=\"")).isEqualTo(mapOf("event" to "cut", "detail" to "\""))
        expectThat(parseLogFields("event=cut detail=\"\\u12\"")).isEqualTo(mapOf("event" to "cut", "detail" to "u12"))
    }

    /** Guards against unnecessary quotes, which make lines longer and harder to search. */
    @Test
    fun `plain values are not quoted`() {
        val fields = EventFields("peer_lost").apply {
            field("peer", "10.0.0.1:7100")
            field("count", 3)
            field("reason", "no answer")
            field("digest", null)
            field("detail", "")
        }

        expectThat(fields.toString())
            .isEqualTo("event=peer_lost peer=10.0.0.1:7100 count=3 reason=\"no answer\" detail=\"\"")
    }

    /** Guards against library messages and exceptions that span several lines. */
    @Test
    fun `other messages and exceptions become pairs on one line`() {
        val converter = EventMessageConverter().apply { start() }
        val failure = IllegalStateException("broken\nstate")

        val converted = converter.convert(event("connection reset\nby peer", failure))

        expectThat(converted).startsWith("event=message text=\"connection reset\\nby peer\" exception=\"java.lang.Ill")
        expectThat(converted.lines()).hasSize(1)
        expectThat(converter.convert(event("event=started port=1", null))).isEqualTo("event=started port=1")
    }

    private fun event(message: String, failure: Throwable?): LoggingEvent {
        val logger = LoggerContext().getLogger("test")
        return LoggingEvent("test", logger, Level.WARN, message, failure, null)
    }

    /** Reverses [formatLogValue]. */
    private fun readBack(text: String): String {
        if (!text.startsWith('"')) return text
        return Regex("\\\\(u[0-9a-f]{4}|.)").replace(text.substring(1, text.length - 1)) { match ->
            when (val code = match.groupValues[1]) {
                "n" -> "\n"
                "r" -> "\r"
                "t" -> "\t"
                else -> if (code.length == 1) code else code.drop(1).toInt(16).toChar().toString()
            }
        }
    }
}
