/*
 * Logging to standard output, configured in code because parsing a configuration file would slow down a restart.
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
 * Configures a log that a separate thread writes to standard output: one line per event, followed by the lines of its
 * exception if it has one. Events are dropped when the queue is full, so that logging never delays a request.
 */
public class ConsoleLogging :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val encoder = PatternLayoutEncoder()
        encoder.context = context
        encoder.pattern = PATTERN
        encoder.start()
        val consoleAppender = ConsoleAppender<ILoggingEvent>()
        consoleAppender.context = context
        consoleAppender.encoder = encoder
        consoleAppender.start()
        val asyncAppender = AsyncAppender()
        asyncAppender.context = context
        asyncAppender.queueSize = QUEUE_SIZE
        asyncAppender.discardingThreshold = 0
        asyncAppender.isNeverBlock = true
        asyncAppender.addAppender(consoleAppender)
        asyncAppender.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(asyncAppender)
        context.getLogger("io.netty").level = Level.WARN
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    /** Shuts down the logging of the process. */
    public companion object {
        /** Writes the queued events, for one second at most; without this call, an exit drops the last events. */
        public fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }

        private const val PATTERN =
            "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX, UTC} level=%level component=%logger{0} %msg%n%ex{short}"

        /** Maximum number of queued events; further events are dropped. */
        private const val QUEUE_SIZE = 2_048
    }
}
