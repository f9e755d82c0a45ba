/*
 * Serves other instances with the known state of the store and their callers' requests, and operators with metrics.
 */
package org.arbutusnotch.forwarding.entry

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.forwarding.exchange.RelayedRequests
import org.arbutusnotch.forwarding.explain.ExplainHandler
import org.arbutusnotch.forwarding.http.DisconnectListener
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHandler
import org.arbutusnotch.forwarding.http.RequestHead
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.forwarding.registry.StoreSnapshot

/**
 * Serves the state of the store to instances that cannot reach it or are behind, requests of callers to those that
 * reach no server, and explanations of requests to operators.
 */
internal class ControlHandler(
    private val snapshot: () -> StoreSnapshot,
    private val handleRelayed: (HttpRequestMessage, Responder) -> DisconnectListener?,
    private val relayedService: (RequestHead) -> PoolId?,
    private val explain: RequestHandler,
) : RequestHandler {
    override fun handle(request: HttpRequestMessage, responder: Responder): DisconnectListener? {
        if (request.head.header(RelayedRequests.HEADER) != null) {
            val head = request.head.copy(
                headers = request.head.headers.filterNot { it.name.equals(RelayedRequests.HEADER, ignoreCase = true) },
            )
            return handleRelayed(HttpRequestMessage(head, request.body), responder)
        }
        if (request.head.path in EXPLAIN_PATHS) return explain.handle(request, responder)
        responder.respond(request, SNAPSHOT_PATH, "application/cbor") { snapshot().encode() }
        return null
    }

    override fun serviceOf(head: RequestHead): PoolId? =
        if (head.header(RelayedRequests.HEADER) == null) null else relayedService(head)

    internal companion object {
        /** Path of the snapshot of the store. */
        const val SNAPSHOT_PATH = "/snapshot"
        private val EXPLAIN_PATHS = setOf(ExplainHandler.PATH, ExplainHandler.PLACE_PATH)
    }
}

/** Serves counters and histograms in the Prometheus text format. */
internal class MetricsHandler(private val metrics: PrometheusMeterRegistry) : RequestHandler {
    override fun handle(request: HttpRequestMessage, responder: Responder): DisconnectListener? {
        responder.respond(request, "/metrics", "text/plain; version=0.0.4") { metrics.scrape().toByteArray() }
        return null
    }
}

private fun Responder.respond(request: HttpRequestMessage, path: String, type: String, body: () -> ByteArray) {
    if (request.head.path == path) {
        send(ResponseHead(OK, "OK", listOf(HeaderField("Content-Type", type))), body())
    } else {
        send(ResponseHead(NOT_FOUND, "Not Found", emptyList()), ByteArray(0))
    }
}

private const val OK = 200
private const val NOT_FOUND = 404
