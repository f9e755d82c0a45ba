/*
 * Requests the units of requests from the owners of the quotas of their workspaces.
 *
 * Messages are resent until they are answered, because datagrams may be lost. An owner that does not answer is skipped
 * for a while. The last resort is this instance itself, so that one that is partitioned from all others still serves;
 * it then uses a small share of the quota.
 */
package org.arbutusnotch.forwarding.quota

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.QuotaReply
import org.arbutusnotch.core.message.QuotaRequest
import org.arbutusnotch.core.message.QuotaReturn
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.membership.SilentPeers
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Describes the outcome of a request for units. */
internal sealed interface QuotaResult {
    data object Granted : QuotaResult

    /** The request exceeds the quota for [retryAfter]; null if it always does. */
    data class Exceeded(val retryAfter: Duration?) : QuotaResult
}

/** Identifies the units of one request. */
internal class QuotaTicket(
    val id: TicketId,
    val workspace: WorkspaceId,
    val tokens: Long,
    val onResult: (QuotaResult) -> Unit,
) {
    /** Owners that may have counted the request. */
    val asked: MutableSet<InstanceAddress> = linkedSetOf()
    var owner: InstanceAddress? = null
    var unansweredSends: Int = 0
    var nextSendAt: Timestamp = Timestamp(0)
}

/**
 * Tracks the pending requests for units.
 *
 * @param revision returns the revision of the configuration of this instance
 * @param send delivers a message to the instance at an address, which may be this one
 * @param onSilent is called with the address of an owner that does not answer
 * @param record counts a request of a workspace that was granted, exceeded the quota or was returned
 */
internal class QuotaClient(
    private val self: InstanceId,
    private val owners: QuotaOwners,
    private val revision: () -> RevisionNumber?,
    private val send: (InstanceAddress, PeerMessage) -> Unit,
    onSilent: (InstanceAddress) -> Unit = {},
    private val record: (WorkspaceId, String) -> Unit = { _, _ -> },
    private val now: () -> Timestamp,
) {
    private val log = EventLog("quota")
    private val pending = LinkedHashMap<TicketId, QuotaTicket>()
    private val silentPeers = SilentPeers(self.address, onSilent)
    private val repeatedReturns = ArrayDeque<RepeatedReturn>()
    private var ticketCount = 0L

    /** Number of requests that wait for a reply. */
    val pendingCount: Int
        get() = pending.size

    /** Requests [tokens] of the quota of [workspace]; [onResult] may be called before this method returns. */
    fun request(workspace: WorkspaceId, tokens: Long, onResult: (QuotaResult) -> Unit): QuotaTicket {
        ticketCount += 1
        val ticket = QuotaTicket(TicketId("$self/q$ticketCount"), workspace, tokens, onResult)
        pending[ticket.id] = ticket
        send(ticket)
        return ticket
    }

    /** Returns the units of [ticket], whose request has not run and never will, or withdraws it if it is pending. */
    fun giveBack(ticket: QuotaTicket) {
        if (pending.remove(ticket.id) == null && ticket.asked.isNotEmpty()) record(ticket.workspace, "returned")
        ticket.asked.forEach { sendReturn(ticket, it) }
        ticket.asked.clear()
    }

    fun onReply(reply: QuotaReply, sender: InstanceAddress) {
        silentPeers.recordReply(sender, now())
        val ticket = pending.remove(reply.ticket) ?: return
        (ticket.asked - sender).forEach { sendReturn(ticket, it) }
        ticket.asked.clear()
        when (reply) {
            is QuotaReply.Granted -> {
                ticket.asked += sender
                record(ticket.workspace, "granted")
                ticket.onResult(QuotaResult.Granted)
            }

            is QuotaReply.Exceeded -> {
                record(ticket.workspace, "exceeded")
                ticket.onResult(QuotaResult.Exceeded(reply.retryMillis?.milliseconds))
            }
        }
    }

    /** Resends unanswered requests, and each return once, since it is not answered. */
    fun tick(now: Timestamp) {
        silentPeers.tick(now)
        while (repeatedReturns.isNotEmpty() && now >= repeatedReturns.first().sendAt) {
            val repeated = repeatedReturns.removeFirst()
            send(repeated.target, repeated.message)
        }
        pending.values.toList().forEach { ticket ->
            // An earlier ticket may have been answered synchronously and ended this one.
            if (now >= ticket.nextSendAt && pending[ticket.id] === ticket) resend(ticket, now)
        }
    }

    private fun resend(ticket: QuotaTicket, now: Timestamp) {
        val owner = ticket.owner
        if (owner != null && silentPeers.isSilent(owner, ticket.unansweredSends, now)) {
            log.info("quota_owner_silent") {
                field("owner", owner)
                field("ticket", ticket.id)
                field("workspace", ticket.workspace)
            }
            silentPeers.skip(owner, now)
        }
        send(ticket)
    }

    private fun send(ticket: QuotaTicket) {
        val skipped = silentPeers.skipped
        val previous = ticket.owner
        val mustDecideHere = previous in skipped && ticket.asked.size >= MAXIMUM_OWNERS
        val owner = if (mustDecideHere) self.address else owners.ownerOf(ticket.workspace, skipped)
        if (owner != previous) ticket.unansweredSends = 0
        ticket.owner = owner
        ticket.asked += owner
        ticket.unansweredSends += 1
        ticket.nextSendAt = now() + SilentPeers.RESEND_INTERVAL
        val configuration = revision() ?: RevisionNumber(0)
        send(owner, QuotaRequest(ticket.id, self, ticket.workspace, ticket.tokens, configuration))
    }

    private fun sendReturn(ticket: QuotaTicket, target: InstanceAddress) {
        val message = QuotaReturn(ticket.id, ticket.workspace, ticket.tokens)
        send(target, message)
        if (target == self.address) return
        repeatedReturns += RepeatedReturn(now() + SilentPeers.RESEND_INTERVAL, target, message)
    }

    private class RepeatedReturn(val sendAt: Timestamp, val target: InstanceAddress, val message: QuotaReturn)

    private companion object {
        /** Silent owners for one request after which this instance decides itself, since its caller waits. */
        const val MAXIMUM_OWNERS = 2
    }
}
