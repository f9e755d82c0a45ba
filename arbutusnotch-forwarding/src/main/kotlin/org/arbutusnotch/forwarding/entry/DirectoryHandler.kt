/*
 * Serves the addresses of the instances that callers should connect to.
 */
package org.arbutusnotch.forwarding.entry

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.membership.EntryPointList
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.forwarding.DirectoryProtocol
import org.arbutusnotch.forwarding.http.DisconnectListener
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHandler
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Responds with the addresses of the serving instances that are nearest to the caller.
 *
 * @param domain failure domain of this instance, assumed for callers that name none
 * @param serving returns the serving instances
 */
internal class DirectoryHandler(
    private val protocol: DirectoryProtocol,
    private val domain: FailureDomainId,
    private val serving: () -> List<InstanceView>,
) : RequestHandler {
    override fun handle(request: HttpRequestMessage, responder: Responder): DisconnectListener? {
        if (!protocol.isAddressLookup(request.head)) {
            responder.send(ResponseHead(NOT_FOUND, "Not Found", emptyList()), ByteArray(0))
            return null
        }
        val callerDomain = protocol.readDomain(request.head) ?: domain
        val addresses = EntryPointList.nearest(callerDomain, serving())
        if (addresses.isEmpty()) {
            val retry = HeaderField("Retry-After", "1")
            responder.send(ResponseHead(SERVICE_UNAVAILABLE, "Service Unavailable", listOf(retry)), ByteArray(0))
        } else {
            val json = HeaderField("Content-Type", "application/json")
            responder.send(ResponseHead(OK, "OK", listOf(json)), protocol.addresses(addresses, VALIDITY))
        }
        return null
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val SERVICE_UNAVAILABLE = 503

        /** Time for which callers may cache the response; some cache it three times as long. */
        val VALIDITY: Duration = 1.seconds
    }
}
