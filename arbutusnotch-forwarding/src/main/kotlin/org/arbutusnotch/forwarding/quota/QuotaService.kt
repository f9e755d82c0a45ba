/*
 * Decides about the requests of the workspaces whose quotas this instance owns.
 *
 * Decisions use the configuration of this instance alone. A workspace that it does not contain is not counted: either
 * the holder has a newer configuration, which arrives here within seconds, or the workspace was removed and the holder
 * will reject its requests soon. Until it is forgotten, the last quota of a removed workspace applies.
 */
package org.arbutusnotch.forwarding.quota

import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.message.QuotaReply
import org.arbutusnotch.core.message.QuotaRequest
import org.arbutusnotch.core.message.QuotaReturn
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.workspace.QuotaDecision
import org.arbutusnotch.core.workspace.QuotaLedger
import org.arbutusnotch.core.workspace.QuotaTolerance
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/**
 * Counts requests for all instances.
 *
 * @param routes returns the configuration of this instance
 * @param reply sends a reply to the instance at an address
 */
internal class QuotaService(
    tolerance: QuotaTolerance,
    private val owners: QuotaOwners,
    private val routes: () -> RouteTable?,
    private val reply: (InstanceAddress, QuotaReply) -> Unit,
) {
    private val log = EventLog("quota")
    private val ledger = QuotaLedger(tolerance, owners::shareOf)
    private var table: RouteTable? = null
    private var workspaces: Map<WorkspaceId, Workspace> = emptyMap()
    private var lastCandidates: List<InstanceId> = emptyList()
    private var nextCleanupAt = Timestamp(0)

    /** Number of workspaces whose requests this instance counts. */
    val workspaceCount: Int
        get() = ledger.size

    /** Number of requests whose decision is remembered. */
    val ticketCount: Int
        get() = ledger.ticketCount

    fun onRequest(request: QuotaRequest, now: Timestamp) {
        val units = request.tokens.coerceAtLeast(0).toDouble()
        val workspace = workspaces()[request.workspace]
        val decision = if (workspace != null) {
            ledger.request(request.ticket, request.holder, workspace, units, now)
        } else {
            ledger.requestOfRemoved(request.ticket, request.holder, request.workspace, units, now)
                ?: grantUncounted(request)
        }
        reply(request.holder.address, replyTo(request, decision, now))
    }

    private fun grantUncounted(request: QuotaRequest): QuotaDecision {
        log.info("quota_unknown") {
            field("ticket", request.ticket)
            field("workspace", request.workspace)
            field("revision", request.revision)
            field("own_revision", table?.revision)
        }
        return QuotaDecision.Granted
    }

    private fun replyTo(request: QuotaRequest, decision: QuotaDecision, now: Timestamp) = when (decision) {
        QuotaDecision.Granted -> QuotaReply.Granted(request.ticket)

        is QuotaDecision.Exceeded -> QuotaReply.Exceeded(
            ticket = request.ticket,
            retryMillis = decision.retryAt?.let { (it - now).coerceAtLeast(ZERO).inWholeMilliseconds },
        )
    }

    fun onReturn(message: QuotaReturn, now: Timestamp) {
        ledger.giveBack(message.ticket, message.workspace, now)
    }

    fun tick(now: Timestamp) {
        val candidates = owners.candidates()
        if (candidates !== lastCandidates) {
            lastCandidates = candidates
            ledger.refreshShares(now)
        }
        if (now < nextCleanupAt) return
        nextCleanupAt = now + CLEANUP_INTERVAL
        val configured = workspaces()
        ledger.tick(now) { it in configured }
    }

    private fun workspaces(): Map<WorkspaceId, Workspace> {
        val latest = routes()
        if (latest !== table) {
            table = latest
            workspaces = latest?.workspaces.orEmpty().associateBy { it.id }
        }
        return workspaces
    }

    private companion object {
        /** Time between two removals of old tickets. */
        val CLEANUP_INTERVAL = 1.seconds
    }
}
