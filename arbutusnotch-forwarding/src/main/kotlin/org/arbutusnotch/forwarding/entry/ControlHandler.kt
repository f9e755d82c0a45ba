/*
 * Serves other instances and operators: what this instance knows of the store, and its metrics.
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

internal class ControlHandler(
    private val snapshot: () -> StoreSnapshot,
    private val metrics: PrometheusMeterRegistry,
) : RequestHandler {
    override fun handle(request: HttpRequestMessage, responder: Responder): CallerDeparture? {
        when (request.head.path) {
            SNAPSHOT_PATH -> responder.send(ok("application/cbor"), snapshot().encode())
            METRICS_PATH -> responder.send(ok("text/plain; version=0.0.4"), metrics.scrape().toByteArray())
            else -> responder.send(ResponseHead(NOT_FOUND, "Not Found", emptyList()), ByteArray(0))
        }
        return null
    }

    private fun ok(type: String) = ResponseHead(OK, "OK", listOf(HeaderField("Content-Type", type)))

    internal companion object {
        /** Path of what an instance knows of the store. */
        const val SNAPSHOT_PATH = "/snapshot"

        /** Path of the metrics. */
        const val METRICS_PATH = "/metrics"
        private const val OK = 200
        private const val NOT_FOUND = 404
    }
}
