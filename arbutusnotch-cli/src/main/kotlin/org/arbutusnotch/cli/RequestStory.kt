/*
 * Collects what log files say of one request.
 *
 * The instance that holds a request logs its id. The dispatcher of its pool knows it by ticket, and what the holder
 * believed of servers, the store and itself at that time stands in lines that name neither.
 */
package org.arbutusnotch.cli

import org.arbutusnotch.telemetry.keyValueText
import org.arbutusnotch.telemetry.readKeyValues
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * Holds one event of a log.
 *
 * @property source name of the log, or the name that a log collector has put before the line
 * @property fields keys and values of the line; quotes are removed
 */
internal class LogLine(val source: String, val time: Instant, val fields: Map<String, String>) {
    /** Returns the event and its fields as they were written, without the time. */
    fun text(): String = fields.filterKeys { it !in HEAD_KEYS }.entries
        .joinToString(" ") { (key, value) -> "$key=${keyValueText(value)}" }

    companion object {
        private val HEAD_KEYS = setOf("time", "level", "component")

        /** Returns the event in [line] of the log [name], or null when it holds none. */
        fun parse(line: String, name: String): LogLine? {
            val start = line.indexOf("time=")
            if (start < 0) return null
            val fields = readKeyValues(line.substring(start))
            if ("event" !in fields) return null
            val collector = line.take(start).trim().substringAfterLast(' ')
            return timeOf(fields)?.let { LogLine(collector.ifEmpty { name }, it, fields) }
        }

        private fun timeOf(fields: Map<String, String>): Instant? = try {
            fields["time"]?.let { Instant.parse(it) }
        } catch (_: DateTimeParseException) {
            // A line cut in its middle, as at the end of a log, is no event.
            null
        }
    }
}

/** Holds the lines of one request, in the order of their times. */
internal class RequestStory private constructor(val lines: List<LogLine>) {
    companion object {
        /** Events that tell what an instance knew of a server. */
        private val SERVER_EVENTS = setOf("server_entry", "server_entry_removed", "stage_ordered", "stage_order_ended")

        /** Events that tell in what state an instance was. */
        private val INSTANCE_EVENTS = setOf(
            "dispatcher_silent", "history_gone", "instance_view_changed", "reloaded", "routes_in_force", "serving",
            "started", "state_adopted", "stopped", "stopping", "store_lost", "store_regained", "tick_late",
        )

        /**
         * Selects the story of [request].
         *
         * @param read returns the lines of all logs; it is called twice, so that no log is kept in memory
         * @param margin time before the first and after the last line of the request from which other lines are taken
         */
        fun of(request: String, margin: Duration, read: () -> Sequence<LogLine>): RequestStory {
            val own = read().filter { it.fields["request"] == request }.toList()
            if (own.isEmpty()) return RequestStory(emptyList())
            val sources = own.map { it.source }.toSet()
            val tickets = own.mapNotNull { it.fields["ticket"] }.toSet()
            val servers = own.flatMap { listOfNotNull(it.fields["server"], it.fields["prefill_server"]) }.toSet()
            val begin = own.minOf { it.time } - margin
            val end = own.maxOf { it.time } + margin
            val context = read().filter { line ->
                val event = line.fields["event"]
                val ofTicket = line.fields["ticket"] in tickets
                val ofServer = event in SERVER_EVENTS && line.fields["server"] in servers && line.source in sources
                val ofInstance = event in INSTANCE_EVENTS && line.source in sources
                line.fields["request"] != request && line.time in begin..end && (ofTicket || ofServer || ofInstance)
            }
            return RequestStory((own + context).sortedBy { it.time })
        }
    }
}
