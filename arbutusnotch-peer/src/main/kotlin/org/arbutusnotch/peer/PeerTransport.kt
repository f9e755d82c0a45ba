/*
 * Exchanges requests and replies between instances as CBOR frames over TCP.
 *
 * Each pair of instances uses one connection for each direction.
 */
package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.PeerMessage
import java.nio.channels.UnresolvedAddressException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Exchanges messages with other instances.
 *
 * Every peer has its own connections, queues and limits, so that a slow or faulty peer does not delay the others.
 */
public class PeerTransport(
    private val limits: PeerLimits = PeerLimits(),
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) : AutoCloseable {
    /** Traffic by message type, in both directions. */
    public val traffic: PeerTraffic = PeerTraffic()

    private val scope = CoroutineScope(SupervisorJob() + dispatcher + CoroutineName("peer-transport"))
    private val selector = SelectorManager(Dispatchers.IO)
    private val codec = FrameCodec(limits.maximumFrameBytes)
    private val clients = ConcurrentHashMap<InstanceAddress, PeerClient>()
    private val inbound = ConcurrentHashMap.newKeySet<InboundConnection>()

    @Volatile
    private var listeningSocket: ServerSocket? = null

    /** Number of open inbound connections. */
    public val inboundConnectionCount: Int get() = inbound.size

    /**
     * Listens on [bind] and replies to each request with the result of [handler].
     *
     * Port 0 selects a free port. The handler runs concurrently, also for requests of the same peer.
     *
     * @return the bound address
     */
    public suspend fun start(
        bind: InstanceAddress,
        handler: suspend (PeerMessage) -> PeerMessage,
    ): Result<InstanceAddress, BindError> {
        val address = parseAddress(bind) ?: return Err(BindError(bind, "not of the form ip:port"))
        val socket = try {
            aSocket(selector).tcp().bind(address) { reuseAddress = true }
        } catch (failure: IOException) {
            return Err(BindError(bind, describe(failure)))
        } catch (_: UnresolvedAddressException) {
            return Err(BindError(bind, "cannot be resolved"))
        }
        listeningSocket = socket
        scope.launch { acceptConnections(socket, handler) }
        scope.launch { closeIdleConnections() }
        val port = (socket.localAddress as InetSocketAddress).port
        return Ok(InstanceAddress("${address.hostname}:$port"))
    }

    /**
     * Sends [message] to the instance at [address] and returns its reply.
     *
     * The error states whether the request may have been sent. The [timeout] includes the time to connect.
     */
    public suspend fun request(
        address: InstanceAddress,
        message: PeerMessage,
        timeout: Duration,
    ): Result<PeerMessage, PeerError> {
        val client = clients.computeIfAbsent(address) { PeerClient(it, scope, codec, limits, ::connect) }
        var usedConnection: OutboundConnection? = null
        var pendingRequest: PendingRequest? = null
        try {
            val reply = withTimeoutOrNull(timeout) {
                client.request(message) { connection, pending ->
                    usedConnection = connection
                    pendingRequest = pending
                }
            }
            if (reply != null) return reply
            usedConnection?.closeIfSilent()
            return Err(PeerError.TimedOut(requestSent = pendingRequest?.cancel() ?: false))
        } finally {
            pendingRequest?.let { pending ->
                pending.cancel()
                usedConnection?.removePending(pending)
            }
        }
    }

    /** Closes every connection; requests without a reply fail with [PeerError.ConnectionLost]. */
    override fun close() {
        listeningSocket?.close()
        scope.cancel()
        clients.values.forEach { it.close() }
        inbound.forEach { it.close() }
        selector.close()
    }

    private suspend fun connect(address: InstanceAddress): Result<OutboundConnection, PeerError> {
        val target = parseAddress(address) ?: return Err(PeerError.Unreachable(address, "not of the form ip:port"))
        val socket = try {
            withTimeoutOrNull(limits.connectTimeout) { aSocket(selector).tcp().connect(target) { noDelay = true } }
        } catch (failure: IOException) {
            return Err(PeerError.Unreachable(address, describe(failure)))
        } catch (_: UnresolvedAddressException) {
            return Err(PeerError.Unreachable(address, "cannot be resolved"))
        }
        if (socket == null) return Err(PeerError.Unreachable(address, "no connection within ${limits.connectTimeout}"))
        return Ok(OutboundConnection(scope, socket, codec, limits, traffic))
    }

    private suspend fun acceptConnections(serverSocket: ServerSocket, handler: suspend (PeerMessage) -> PeerMessage) {
        while (scope.isActive) {
            try {
                serve(serverSocket.accept(), handler)
            } catch (_: IOException) {
                if (serverSocket.socketContext.isCompleted) return
                delay(ACCEPT_RETRY_DELAY)
            }
        }
    }

    private fun serve(socket: Socket, handler: suspend (PeerMessage) -> PeerMessage) {
        if (inbound.size >= limits.maximumInboundConnections) {
            socket.close()
            return
        }
        val connection = InboundConnection(scope, socket, codec, limits, traffic, handler)
        inbound.add(connection)
        connection.start { inbound.remove(connection) }
    }

    private suspend fun closeIdleConnections() {
        while (scope.isActive) {
            delay(IDLE_CHECK_INTERVAL)
            clients.values.forEach { it.closeIdleConnection() }
            clients.values.removeIf { it.isUnused() }
            inbound.filter { it.isIdleFor(limits.inboundIdleTimeout) }.forEach { it.close() }
        }
    }

    private fun parseAddress(address: InstanceAddress): InetSocketAddress? {
        val host = address.value.substringBeforeLast(':', missingDelimiterValue = "")
        val port = address.value.substringAfterLast(':').toIntOrNull()
        if (host.isEmpty() || port == null || port !in PORT_RANGE) return null
        return InetSocketAddress(host.removeSurrounding("[", "]"), port)
    }

    private fun describe(failure: IOException): String = failure.message ?: failure.javaClass.simpleName

    private companion object {
        val PORT_RANGE = 0..65_535
        val IDLE_CHECK_INTERVAL = 10.seconds

        /** Delay after a failed accept, for example when the process has no free file descriptor. */
        val ACCEPT_RETRY_DELAY = 1.seconds
    }
}
