/*
 * Formats every log event, including those of libraries, as one line of key=value pairs.
 */
package org.arbutusnotch.telemetry

import ch.qos.logback.classic.pattern.ThrowableHandlingConverter
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil

/** Writes messages of [EventLog] unchanged, quotes other messages, and adds an exception as one quoted value. */
public class EventMessageConverter : ThrowableHandlingConverter() {
    override fun convert(event: ILoggingEvent): String {
        val message = event.formattedMessage
        val pairs = if (message.startsWith(EVENT_PREFIX)) message else "event=message text=${formatLogValue(message)}"
        val failure = event.throwableProxy ?: return pairs
        return "$pairs exception=${formatLogValue(ThrowableProxyUtil.asString(failure))}"
    }

    private companion object {
        const val EVENT_PREFIX = "event="
    }
}
