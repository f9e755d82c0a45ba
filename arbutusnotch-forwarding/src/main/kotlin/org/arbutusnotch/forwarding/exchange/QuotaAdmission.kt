/*
 * Counts one request of a caller against the quota of its workspace.
 *
 * The request is counted once, however many servers it is sent to, and not at all when no server has run it. A request
 * that is passed on to another instance is counted there.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.forwarding.CallerRequest
import org.arbutusnotch.forwarding.quota.QuotaClient
import org.arbutusnotch.forwarding.quota.QuotaResult
import org.arbutusnotch.forwarding.quota.QuotaTicket
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration

internal class QuotaAdmission(private val quotas: QuotaClient?, private val request: RoutedRequest) {
    private val log = EventLog("quota")
    private var ticket: QuotaTicket? = null
    private var isReturned = false

    /**
     * Requests the units of the request. Calls [onGranted], at once if its workspace has no quota, or [onExceeded] with
     * the time after which it may be repeated, which is null if it exceeds the quota for ever.
     */
    fun request(onGranted: () -> Unit, onExceeded: (Duration?) -> Unit) {
        val workspace = request.workspace?.takeIf { it.quota != null }
        if (workspace == null || quotas == null) return onGranted()
        val tokens = cost(workspace, request.caller)
        val requested = quotas.request(workspace.id, tokens) { result ->
            when (result) {
                QuotaResult.Granted -> if (!isReturned) onGranted()

                is QuotaResult.Exceeded -> {
                    logExceeded(workspace, tokens, result)
                    if (!isReturned) onExceeded(result.retryAfter)
                }
            }
        }
        ticket = requested
        // The reply may have come at once and the request may have ended with it.
        if (isReturned) quotas.giveBack(requested)
    }

    /** Returns the units, since no server has run the request or will run it for this instance. */
    fun giveBack() {
        if (isReturned) return
        isReturned = true
        ticket?.let { quotas?.giveBack(it) }
    }

    private fun logExceeded(workspace: Workspace, tokens: Long, result: QuotaResult.Exceeded) {
        log.info("quota_exceeded") {
            field("request", request.caller.id)
            field("workspace", workspace.id)
            field("tokens", tokens)
            field("retry_millis", result.retryAfter?.inWholeMilliseconds)
        }
    }

    internal companion object {
        /** Reason of the refusal of a request that exceeds the quota of its workspace. */
        const val QUOTA_EXCEEDED: String = "quota_exceeded"

        /** Returns the units that a request of [workspace] takes. */
        fun cost(workspace: Workspace, caller: CallerRequest): Long {
            if (!workspace.countsTokens) return 1
            val declared = caller.promptTokens.toLong() + caller.outputLength.maximum
            return if (declared > 0) declared else workspace.plainRequestTokens.toLong()
        }
    }
}
