/*
 * Serves other instances with what this instance knows of the store, and operators with its metrics.
 */
package org.arbutusnotch.forwarding.entry

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.arbutusnotch.forwarding.http.CallerDeparture
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHandler
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.forwarding.registry.StoreSnapshot

/** Answers other instances that ask for the state of the store. */
internal class ControlHandler(private val snapshot: () -> StoreSnapshot) : RequestHandler {
    override fun handle(request: HttpRequestMessage, responder: Responder): CallerDeparture? {
        responder.answer(request, SNAPSHOT_PATH, "application/cbor") { snapshot().encode() }
        return null
    }

    internal companion object {
        /** Path of what an instance knows of the store. */
        const val SNAPSHOT_PATH = "/snapshot"
    }
}

/** Answers operators with counters and histograms in the Prometheus text format. */
internal class MetricsHandler(private val metrics: PrometheusMeterRegistry) : RequestHandler {
    override fun handle(request: HttpRequestMessage, responder: Responder): CallerDeparture? {
        responder.answer(request, "/metrics", "text/plain; version=0.0.4") { metrics.scrape().toByteArray() }
        return null
    }
}

private fun Responder.answer(request: HttpRequestMessage, path: String, type: String, body: () -> ByteArray) {
    if (request.head.path == path) {
        send(ResponseHead(OK, "OK", listOf(HeaderField("Content-Type", type))), body())
    } else {
        send(ResponseHead(NOT_FOUND, "Not Found", emptyList()), ByteArray(0))
    }
}

private const val OK = 200
private const val NOT_FOUND = 404
