/*
 * A test server that implements the operator port with fixed responses.
 */
package org.arbutusnotch.cli

import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import kotlinx.serialization.encodeToString
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/**
 * Serves the operator port, as specified in section 13 of the design page, on a free loopback port.
 *
 * @property responses response bodies by method and path without query, for example `GET /operator/counters`
 */
internal class FakeInstance(
    private val domain: String = "east-a",
    private val responses: Map<String, String> = emptyMap(),
) : AutoCloseable {
    private val server = Server.builder()
        .http(InetSocketAddress("127.0.0.1", 0))
        .serviceUnder("/") { _, request -> respond(request) }
        .build()
    private val statusReads = AtomicInteger()

    /** Method and path with query of every request, in order of arrival. */
    val requests: MutableList<String> = CopyOnWriteArrayList()

    @Volatile
    var peerAddresses: List<String> = emptyList()

    /** State and reachability of every peer in the view of this instance. */
    @Volatile
    var peerState: Pair<String, Boolean> = "serving" to true

    /** Returns the active revision for a number of earlier status requests. */
    @Volatile
    var revision: (Int) -> Long? = { 1 }

    @Volatile
    var digest: String = "a".repeat(64)

    init {
        server.start().join()
    }

    val address: String = "127.0.0.1:${server.activeLocalPort()}"

    private fun respond(request: HttpRequest): HttpResponse {
        requests += "${request.method()} ${request.path()}"
        val key = "${request.method()} ${request.path().substringBefore('?')}"
        val body = responses[key] ?: if (key == "GET /operator/status") status() else null
        if (body != null) return HttpResponse.of(HttpStatus.OK, MediaType.JSON_UTF_8, body)
        return HttpResponse.of(HttpStatus.NOT_FOUND, MediaType.PLAIN_TEXT_UTF_8, "no such path")
    }

    private fun status(): String = OPERATOR_JSON.encodeToString(
        InstanceStatus(
            instance = instanceOf(address),
            incarnation = Incarnation(1),
            entryAddress = address,
            operatorAddress = address,
            failureDomain = FailureDomainId(domain),
            state = "serving",
            revision = revision(statusReads.getAndIncrement())?.let(::RevisionNumber),
            digest = ContentDigest(digest),
            peers = peerAddresses.map { peerAddress -> peer(peerAddress) },
            servers = SERVERS,
        ),
    )

    private fun peer(peerAddress: String) = PeerStatus(
        instance = instanceOf(peerAddress),
        operatorAddress = peerAddress,
        failureDomain = FailureDomainId(domain),
        state = peerState.first,
        reachable = peerState.second,
    )

    /** Stops the server without waiting for its shutdown, which takes seconds; no test reuses the port. */
    override fun close() {
        server.stop()
    }

    private companion object {
        fun instanceOf(operatorAddress: String) = InstanceAddress(operatorAddress.replace("127.0.0.1", "10.0.0.1"))

        val SERVERS = listOf(
            ServerStatus(BackendServerId("10.1.0.1:9000"), PoolId("decode"), "live", 20, 26_000),
            ServerStatus(BackendServerId("10.1.0.2:9000"), PoolId("decode"), "live", 3, 90_000, excluded = true),
        )
    }
}

/** Returns a loopback address on which nothing listens. */
internal fun unusedAddress(): String = ServerSocket(0).use { socket -> "127.0.0.1:${socket.localPort}" }

/** Starts [count] instances, each of which has the next as its only peer, runs [block] and stops them. */
internal fun withChain(count: Int, responses: Map<String, String> = emptyMap(), block: (List<FakeInstance>) -> Unit) {
    val instances = List(count) { FakeInstance(responses = responses) }
    instances.zipWithNext { instance, next -> instance.peerAddresses = listOf(next.address) }
    try {
        block(instances)
    } finally {
        instances.forEach { it.close() }
    }
}
