/*
 * Selects the log lines that concern one request.
 *
 * The instance that holds a request logs its id. The dispatcher of its pool logs only the ticket, and lines about the
 * holder's view of servers, the store and its own state at that time have neither.
 */
package org.arbutusnotch.cli

import org.arbutusnotch.telemetry.formatLogValue
import org.arbutusnotch.telemetry.parseLogFields
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * Holds one event of a log file.
 *
 * @property source name of the log file, or the name that a log collector added as a prefix of the line
 * @property fields keys and unquoted values of the line
 */
internal class LogLine(val source: String, val time: Instant, val fields: Map<String, String>) {
    /** Returns the event and its fields in log format, without time, level and component. */
    fun text(): String = fields.filterKeys { it !in HEADER_KEYS }.entries
        .joinToString(" ") { (key, value) -> "$key=${formatLogValue(value)}" }

    companion object {
        private val HEADER_KEYS = setOf("time", "level", "component")

        /** Parses [line] of the log file [name]; returns null if it has no event. */
        fun parse(line: String, name: String): LogLine? {
            val start = line.indexOf("time=")
            if (start < 0) return null
            val fields = parseLogFields(line.substring(start))
            if ("event" !in fields) return null
            val prefix = line.take(start).trim().substringAfterLast(' ')
            return timeOf(fields)?.let { LogLine(prefix.ifEmpty { name }, it, fields) }
        }

        private fun timeOf(fields: Map<String, String>): Instant? = try {
            fields["time"]?.let { Instant.parse(it) }
        } catch (_: DateTimeParseException) {
            // A line that is truncated, for example at the end of a log file, is not an event.
            null
        }
    }
}

/** Holds the log lines that concern one request, sorted by time. */
internal class RequestTrace private constructor(val lines: List<LogLine>) {
    companion object {
        /** Events about an instance's view of a server. */
        private val SERVER_EVENTS = setOf("server_entry", "server_entry_removed", "stage_ordered", "stage_order_ended")

        /** Events about the state of an instance. */
        private val INSTANCE_EVENTS = setOf(
            "dispatcher_silent", "history_gone", "instance_view_changed", "reloaded", "routes_in_force", "serving",
            "started", "state_adopted", "stopped", "stopping", "store_lost", "store_regained", "tick_late",
        )

        /**
         * Selects the lines that concern [request].
         *
         * @param read returns the lines of all log files; it is called twice, so that no file is kept in memory
         * @param margin time before the first and after the last line of the request in which other lines are included
         */
        fun of(request: String, margin: Duration, read: () -> Sequence<LogLine>): RequestTrace {
            val requestLines = read().filter { it.fields["request"] == request }.toList()
            if (requestLines.isEmpty()) return RequestTrace(emptyList())
            val sources = requestLines.map { it.source }.toSet()
            val tickets = requestLines.mapNotNull { it.fields["ticket"] }.toSet()
            val servers = requestLines
                .flatMap { listOfNotNull(it.fields["server"], it.fields["prefill_server"]) }
                .toSet()
            val start = requestLines.minOf { it.time } - margin
            val end = requestLines.maxOf { it.time } + margin
            val contextLines = read().filter { line ->
                val event = line.fields["event"]
                val ofTicket = line.fields["ticket"] in tickets
                val ofServer = event in SERVER_EVENTS && line.fields["server"] in servers && line.source in sources
                val ofInstance = event in INSTANCE_EVENTS && line.source in sources
                line.fields["request"] != request && line.time in start..end && (ofTicket || ofServer || ofInstance)
            }
            return RequestTrace((requestLines + contextLines).sortedBy { it.time })
        }
    }
}
