/*
 * Serves the readiness check of the instance.
 */
package org.arbutusnotch.forwarding.entry

import org.arbutusnotch.forwarding.http.DisconnectListener
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHandler
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead

/** Responds with status 200 while [isReady] returns true and 503 otherwise. */
internal class ReadinessHandler(private val isReady: () -> Boolean) : RequestHandler {
    override fun handle(request: HttpRequestMessage, responder: Responder): DisconnectListener? {
        val head = if (isReady()) READY else NOT_READY
        responder.send(head, ByteArray(0))
        return null
    }

    private companion object {
        val READY = ResponseHead(status = 200, reason = "OK", headers = emptyList())
        val NOT_READY = ResponseHead(status = 503, reason = "Service Unavailable", headers = emptyList())
    }
}
