/*
 * What every exchange uses.
 */
package org.arbutusnotch.forwarding.exchange

import io.netty.channel.EventLoopGroup
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.ForwardingProtocol
import org.arbutusnotch.forwarding.dispatch.DispatchClient
import org.arbutusnotch.forwarding.quarantine.CrashReporter
import org.arbutusnotch.telemetry.Clock
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Holds the parts of the instance that forward requests. All of them are used on one event loop only.
 */
internal class ForwardingContext(
    val clock: Clock,
    val group: EventLoopGroup,
    val protocol: ForwardingProtocol,
    val registry: ServerRegistry,
    val dispatch: DispatchClient,
    val announcements: AnnouncementReader,
    val crashes: CrashReporter,
    val random: Random,
    val counters: ForwardingCounters,
    val answerMemory: AnswerBufferBudget,
) {
    fun now(): Timestamp = clock.now()

    /** Runs [action] at [time]; the result cancels it. */
    fun at(time: Timestamp, action: () -> Unit): () -> Unit {
        val delay = (time - now()).inWholeMilliseconds.coerceAtLeast(0)
        val scheduled = group.schedule(action, delay, TimeUnit.MILLISECONDS)
        return { scheduled.cancel(false) }
    }
}
