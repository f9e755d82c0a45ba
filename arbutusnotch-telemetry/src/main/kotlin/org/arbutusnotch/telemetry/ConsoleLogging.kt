/*
 * Logging to standard output without a configuration file, whose parsing would slow a restart down.
 */
package org.arbutusnotch.telemetry

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/**
 * Configures one line for each event, written by a thread of its own. Events are dropped when their queue is full, so
 * that logging never delays a request.
 */
public class ConsoleLogging :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val lines = PatternLayoutEncoder()
        lines.context = context
        lines.pattern = PATTERN
        lines.start()
        val console = ConsoleAppender<ILoggingEvent>()
        console.context = context
        console.encoder = lines
        console.start()
        val queue = AsyncAppender()
        queue.context = context
        queue.queueSize = QUEUE_SIZE
        queue.discardingThreshold = 0
        queue.isNeverBlock = true
        queue.addAppender(console)
        queue.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(queue)
        context.getLogger("io.netty").level = Level.WARN
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    /** Ends the logging of the process. */
    public companion object {
        /** Writes the events that wait, for a second at the most; without it an exit drops the last ones. */
        public fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }

        private const val PATTERN =
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX, UTC} level=%level component=%logger{0} %msg%n%ex{short}"

        /** Events that wait to be written; above it events are dropped. */
        private const val QUEUE_SIZE = 2_048
    }
}
