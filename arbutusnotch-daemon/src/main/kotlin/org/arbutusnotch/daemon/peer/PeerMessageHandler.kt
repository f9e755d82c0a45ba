/*
 * Handles the messages of other instances.
 */
package org.arbutusnotch.daemon.peer

import org.arbutusnotch.core.message.Acknowledged
import org.arbutusnotch.core.message.ConfigurationConfirmation
import org.arbutusnotch.core.message.ConfigurationContent
import org.arbutusnotch.core.message.ConfigurationFetch
import org.arbutusnotch.core.message.DispatchMessage
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.PermitClose
import org.arbutusnotch.core.message.PermitReply
import org.arbutusnotch.core.message.PermitRequest
import org.arbutusnotch.core.message.QuotaMessage
import org.arbutusnotch.core.message.ReleaseRequest
import org.arbutusnotch.core.message.ReserveReply
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.message.StreamMessage
import org.arbutusnotch.core.message.StreamReport
import org.arbutusnotch.core.message.StreamReportReply
import org.arbutusnotch.daemon.control.ConfigurationExchange
import org.arbutusnotch.daemon.control.ControlEvent
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.daemon.control.SlotOwnerService
import org.arbutusnotch.telemetry.Clock

/** Dispatches each message to the component that handles it. */
internal class PeerMessageHandler(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val gossip: GossipExchange,
    private val configuration: ConfigurationExchange,
    private val slotOwner: SlotOwnerService,
    private val onEvent: suspend (ControlEvent) -> Unit,
) {
    /** Returns the reply to [message]; a message that is itself a reply is acknowledged and changes nothing. */
    suspend fun handle(message: PeerMessage): PeerMessage = when (message) {
        is Gossip -> {
            gossip.merge(message).forEach { onEvent(it) }
            Acknowledged
        }

        is ConfigurationFetch -> configuration.content(message)

        is PermitRequest -> loop.run { permits.request(message, clock.now()) }

        is PermitClose -> {
            loop.run { permits.close(message, clock.now()) }
            Acknowledged
        }

        is ReserveRequest -> slotOwner.reserve(message)

        is ReleaseRequest -> {
            slotOwner.release(message)
            Acknowledged
        }

        is StreamReport -> slotOwner.report(message)

        // Forwarding instances alone exchange these.
        is ConfigurationConfirmation,
        is DispatchMessage,
        is QuotaMessage,
        is StreamMessage,
        is Acknowledged,
        is ConfigurationContent,
        is PermitReply,
        is ReserveReply,
        is StreamReportReply,
        -> Acknowledged
    }
}
