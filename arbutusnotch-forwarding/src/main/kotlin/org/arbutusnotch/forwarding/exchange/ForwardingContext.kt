/*
 * Holds the components that all exchanges share.
 */
package org.arbutusnotch.forwarding.exchange

import io.netty.channel.EventLoopGroup
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.GenerationDurations
import org.arbutusnotch.core.forwarding.RouteDurations
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.ForwardingProtocol
import org.arbutusnotch.forwarding.dispatch.DispatchClient
import org.arbutusnotch.forwarding.quarantine.CrashReporter
import org.arbutusnotch.forwarding.quota.QuotaClient
import org.arbutusnotch.forwarding.stream.OriginResolver
import org.arbutusnotch.telemetry.Clock
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Holds the components that forward requests; all of them are used on a single event loop. */
internal class ForwardingContext(
    val clock: Clock,
    val group: EventLoopGroup,
    val protocol: ForwardingProtocol,
    val registry: ServerRegistry,
    val dispatch: DispatchClient,
    val announcementHandler: AnnouncementHandler,
    val crashReporter: CrashReporter,
    val originResolver: OriginResolver,
    val random: Random,
    val metrics: ForwardingMetrics,
    val answerBufferBudget: AnswerBufferBudget,
    val quotas: QuotaClient? = null,
    val relays: RelayedRequests = RelayedRequests(),
    val shutdownNotice: ShutdownNotice = ShutdownNotice(),
    val routeDurations: RouteDurations = RouteDurations(),
    val generationDurations: GenerationDurations = GenerationDurations(),
) {
    fun now(): Timestamp = clock.now()

    /** Schedules [action] at [time] and returns a function that cancels it. */
    fun schedule(time: Timestamp, action: () -> Unit): () -> Unit {
        val delay = (time - now()).inWholeMilliseconds.coerceAtLeast(0)
        val scheduled = group.schedule(action, delay, TimeUnit.MILLISECONDS)
        return { scheduled.cancel(false) }
    }
}
