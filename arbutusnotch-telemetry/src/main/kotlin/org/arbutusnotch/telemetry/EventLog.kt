/*
 * Writes log events as key=value pairs.
 */
package org.arbutusnotch.telemetry

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.KotlinLogging

/** Collects the fields of one event in the order in which they are written. */
public class EventFields internal constructor(event: String) {
    private val text = StringBuilder("event=").append(formatLogValue(event))

    /** Adds [value] under [key], which is in snake case; a null value is omitted. */
    public fun field(key: String, value: Any?) {
        if (value == null) return
        text.append(' ').append(key).append('=').append(formatLogValue(value))
    }

    override fun toString(): String = text.toString()
}

/** Logs events of one component, each on one line. */
public class EventLog(private val logger: KLogger) {
    public constructor(component: String) : this(KotlinLogging.logger(component))

    /** Logs a detail that operators need only to trace individual requests or messages. */
    public fun debug(event: String, fields: EventFields.() -> Unit = {}): Unit =
        logger.debug { EventFields(event).apply(fields) }

    /** Logs a change of state of the instance. */
    public fun info(event: String, fields: EventFields.() -> Unit = {}): Unit =
        logger.info { EventFields(event).apply(fields) }

    /** Logs a failure that the system handles. */
    public fun warn(event: String, failure: Throwable? = null, fields: EventFields.() -> Unit = {}): Unit =
        logger.warn(failure) { EventFields(event).apply(fields) }

    /** Logs a failure that requires action by an operator. */
    public fun error(event: String, failure: Throwable? = null, fields: EventFields.() -> Unit = {}): Unit =
        logger.error(failure) { EventFields(event).apply(fields) }
}
