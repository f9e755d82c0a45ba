/*
 * Routes the requests of callers to exchanges.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.RouteKind
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.quarantine.Suspects
import org.arbutusnotch.core.workspace.AccessDecision
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.forwarding.CallerRequest
import org.arbutusnotch.forwarding.http.ConnectionHeaders
import org.arbutusnotch.forwarding.http.DisconnectListener
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHandler
import org.arbutusnotch.forwarding.http.RequestHead
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Handles the requests of callers.
 *
 * @param access decides on a request by its route and the digest of its key
 */
internal class FrontHandler(
    private val context: ForwardingContext,
    private val routes: () -> RouteTable?,
    private val access: (RouteTable, Route, ContentDigest?) -> AccessDecision,
) : RequestHandler {
    private val log = EventLog("front")
    private val endToEndHeadersAndKey = context.protocol.endToEndHeaders + context.protocol.keyHeader

    override fun handle(request: HttpRequestMessage, responder: Responder): DisconnectListener? =
        handle(request, responder, relayed = false)

    /** Of several services that share a route, the first one stands for all. */
    override fun serviceOf(head: RequestHead): PoolId? =
        routes()?.find(head.header("host").orEmpty(), head.path)?.targets?.firstOrNull()?.pool

    /** Handles [request] for another instance, which reaches no server. */
    fun handleRelayed(request: HttpRequestMessage, responder: Responder): DisconnectListener? {
        if (!context.relays.hasRoom) {
            val caller = context.protocol.readRequest(request.head)
            return reject("relays_full", RELAYS_FULL, caller, routes(), responder)
        }
        return handle(request, responder, relayed = true)
    }

    private fun handle(request: HttpRequestMessage, responder: Responder, relayed: Boolean): DisconnectListener? {
        val table = routes()
        val caller = context.protocol.readRequest(request.head)
        val route = table?.find(request.head.header("host").orEmpty(), request.head.path)
        val pool = route?.selectPool(context.random)
        if (table == null) return reject("no_configuration", NOT_CONFIGURED, caller, table, responder)
        if (caller == null) {
            return reject("missing_request_id", LocalResponses.missingRequestId(), caller, table, responder)
        }
        if (route == null) return reject("unknown_route", LocalResponses.unknownRoute(), caller, table, responder)
        if (pool == null) return reject("no_pool", NOT_CONFIGURED, caller, table, responder)
        val decision = access(table, route, context.protocol.readKey(request.head))
        if (decision !is AccessDecision.Granted) return rejectKey(decision, caller, table, responder)
        val workspace = decision.workspace
        val endToEndFields = ConnectionHeaders.forwarded(request.head, endToEndHeaders(table))
        val message = HttpRequestMessage(request.head.copy(headers = endToEndFields), request.body)
        val suspects = Suspects.of(contentDigest(message), caller.sharedParts)
        val routed = RoutedRequest(
            message, suspects, caller, route, pool, workOf(route, caller), relayed, workspace,
            table.access != null,
        )
        log.info("request_received") {
            field("request", caller.id)
            field("content", suspects.content)
            field("route", route.name)
            field("revision", table.revision)
            field("pool", pool)
            workspace?.let { field("workspace", it.id) }
            if (relayed) field("relayed", true)
            field("remaining_millis", caller.remaining?.inWholeMilliseconds)
            field("prompt_tokens", caller.promptTokens)
            if (caller.sharedParts.isNotEmpty()) field("shared_parts", caller.sharedParts.joinToString(","))
            caller.resumedStream?.let { field("resumed_stream", it) }
            caller.resumeAfter?.let { field("resume_after", it) }
            field("expected_tokens", caller.outputLength.expected)
            field("maximum_tokens", caller.outputLength.maximum)
        }
        val exchange = when (route.kind) {
            is RouteKind.Generation -> GenerationExchange(context, routed, responder)
            RouteKind.IdempotentCall, RouteKind.NonIdempotentCall -> CallExchange(context, routed, responder)
        }
        exchange.start()
        return exchange
    }

    private fun rejectKey(
        decision: AccessDecision,
        caller: CallerRequest,
        table: RouteTable,
        responder: Responder,
    ): DisconnectListener? = if (decision is AccessDecision.Unconfirmed) {
        reject(UNCONFIRMED_REASON, UNCONFIRMED, caller, table, responder, decision.workspace)
    } else {
        reject("unauthenticated", LocalResponses.unauthenticated(), caller, table, responder)
    }

    /** Header fields that a `Connection` header must not remove; an instance that gets the request needs the key. */
    private fun endToEndHeaders(table: RouteTable) =
        if (table.access == null) context.protocol.endToEndHeaders else endToEndHeadersAndKey

    private fun workOf(route: Route, caller: CallerRequest): DispatchWork = when (route.kind) {
        is RouteKind.Generation -> DispatchWork.Generation(
            promptTokens = caller.promptTokens,
            expectedOutputTokens = caller.outputLength.expected,
        )

        RouteKind.IdempotentCall, RouteKind.NonIdempotentCall -> DispatchWork.Call
    }

    private fun reject(
        reason: String,
        head: ResponseHead,
        caller: CallerRequest?,
        table: RouteTable?,
        responder: Responder,
        workspace: Workspace? = null,
    ): DisconnectListener? {
        context.metrics.recordRequest("rejected", reason, Duration.ZERO)
        log.info("request_rejected") {
            field("request", caller?.id)
            field("reason", reason)
            field("status", head.status)
            field("revision", table?.revision)
            workspace?.let { field("workspace", it.id) }
        }
        responder.send(head, ByteArray(0))
        return null
    }

    private companion object {
        /**
         * Retry delay while the instance has no routes. An instance starts in well under a second; one that still has
         * no routes waits for the store, whose outages last seconds.
         */
        val NO_ROUTES_RETRY = 1_500.milliseconds

        /** Retry delay for a request that another instance passes on while this one has no room for it. */
        val RELAYS_FULL_RETRY = 300.milliseconds

        /** Retry delay while the configuration is not confirmed: the time between two calls to the store. */
        val UNCONFIRMED_RETRY = 500.milliseconds
        const val UNCONFIRMED_REASON = "configuration_unconfirmed"
        val UNCONFIRMED = LocalResponses.refusal(UNCONFIRMED_REASON, UNCONFIRMED_RETRY)
        val RELAYS_FULL = LocalResponses.refusal("relays_full", RELAYS_FULL_RETRY)
        val NOT_CONFIGURED = LocalResponses.refusal("no_configuration", NO_ROUTES_RETRY)
    }
}
