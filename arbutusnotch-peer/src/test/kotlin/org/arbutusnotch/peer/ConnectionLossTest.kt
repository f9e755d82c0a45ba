/*
 * Tests requests to peers that close or refuse connections, stall or restart.
 */
package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.Acknowledged
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class ConnectionLossTest {
    /** Guards against reporting the outcome `unknown` for a request that no peer can have received. */
    @Test
    fun `a request whose connection is refused is reported as not sent`() = test {
        PeerTransport().use { client ->
            val error = client.request(closedPortAddress(), releaseRequest(1), REQUEST_TIMEOUT).getError()

            expectThat(error).isA<PeerError.Unreachable>().get { requestSent }.isFalse()
        }
    }

    /** Guards against reporting the outcome `not_run` for a request that the peer read before it disconnected. */
    @Test
    fun `a request whose connection ends after it arrived is reported as sent`() = test {
        RawServer { connection ->
            connection.readEnvelope()
            connection.close()
        }.use { server ->
            PeerTransport().use { client ->
                val result = client.request(server.address, releaseRequest(1), REQUEST_TIMEOUT)

                expectThat(result).isEqualTo(Err(PeerError.ConnectionLost(requestSent = true)))
            }
        }
    }

    /** Guards against reconnecting without delay to a peer that accepts connections and closes them immediately. */
    @Test
    fun `a peer that closes every connection is contacted with backoff`() = test {
        RawServer { it.close() }.use { server ->
            PeerTransport(PeerLimits(initialBackoff = 200.milliseconds)).use { client ->
                val started = TimeSource.Monotonic.markNow()
                var requests = 0
                while (server.acceptedConnections < 4) {
                    client.request(server.address, releaseRequest(requests), REQUEST_TIMEOUT)
                    requests += 1
                }

                // Three delays of 200, 400 and 800 ms, each reduced by jitter to no less than half.
                expectThat(started.elapsedNow()).isGreaterThan(600.milliseconds)
            }
        }
    }

    /** Guards against a transport that cannot reconnect to a peer whose process was replaced at the same address. */
    @Test
    fun `requests reach a restarted peer again`() = test {
        PeerTransport().use { client ->
            val first = PeerTransport()
            val address = first.listen()
            expectThat(client.request(address, releaseRequest(1), REQUEST_TIMEOUT)).isEqualTo(Ok(Acknowledged))
            first.close()
            awaitUntil { isConnectionRefused(address) }
            val whileDown = client.request(address, releaseRequest(2), REQUEST_TIMEOUT).getError()

            PeerTransport().use { second ->
                second.listen(address)
                while (client.request(address, releaseRequest(3), REQUEST_TIMEOUT).isErr) delay(5.milliseconds)

                expectThat(whileDown).isNotNull()
                expectThat(second.traffic.of("release")?.messagesIn).isEqualTo(1)
            }
        }
    }

    /** Guards against requests that hang when the transport is closed before their reply arrives. */
    @Test
    fun `closing the transport fails pending requests`() = test {
        val requestReceived = CompletableDeferred<Unit>()
        PeerTransport().use { server ->
            val address = server.listen {
                requestReceived.complete(Unit)
                CompletableDeferred<Unit>().await()
                Acknowledged
            }
            val client = PeerTransport()
            val waiting = async { client.request(address, releaseRequest(1), REQUEST_TIMEOUT) }
            requestReceived.await()
            client.close()

            expectThat(waiting.await()).isEqualTo(Err(PeerError.ConnectionLost(requestSent = true)))
            expectThat(client.request(address, releaseRequest(2), REQUEST_TIMEOUT).getError())
                .isNotNull().get { requestSent }.isFalse()
        }
    }

    /** Guards against a stalled peer that delays requests to other peers. */
    @Test
    fun `a peer that reads nothing does not delay other peers`() = test {
        RawServer { Thread.sleep(Long.MAX_VALUE) }.use { stalled ->
            PeerTransport().use { healthy ->
                PeerTransport().use { client ->
                    val address = healthy.listen()
                    val blocked = List(STALLED_REQUEST_COUNT) {
                        async { client.request(stalled.address, configurationContent(1_000_000), 2.seconds) }
                    }
                    awaitUntil { stalled.acceptedConnections == 1 }
                    val started = TimeSource.Monotonic.markNow()
                    repeat(100) {
                        expectThat(client.request(address, releaseRequest(it), REQUEST_TIMEOUT))
                            .isEqualTo(Ok(Acknowledged))
                    }
                    val elapsed = started.elapsedNow()

                    val errors = blocked.awaitAll().map { it.getError() }
                    expectThat(elapsed).isLessThan(2.seconds)
                    expectThat(errors).all { isA<PeerError.TimedOut>() }
                    // The first fills the socket's buffers; the last is never written and must not count as sent.
                    expectThat(errors.count { it?.requestSent == false }).isGreaterThan(0)
                    expectThat(errors.count { it?.requestSent == true }).isGreaterThan(0)
                }
            }
        }
    }

    /** Guards against keeping a connection on which nothing arrives because the host of the peer has failed. */
    @Test
    fun `a connection on which the peer is silent is replaced`() = test {
        RawServer { connection -> while (true) connection.readEnvelope() }.use { silent ->
            val limits = PeerLimits(silenceTimeout = 100.milliseconds, initialBackoff = 1.milliseconds)
            PeerTransport(limits).use { client ->
                while (silent.acceptedConnections < 2) {
                    val result = client.request(silent.address, releaseRequest(1), 150.milliseconds)
                    expectThat(result.isErr).isEqualTo(true)
                }
            }
        }
    }

    private fun closedPortAddress(): InstanceAddress {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return InstanceAddress("127.0.0.1:$port")
    }

    private fun isConnectionRefused(address: InstanceAddress): Boolean =
        runCatching { RawConnection.open(address).close() }.isFailure

    private companion object {
        const val STALLED_REQUEST_COUNT = 20
    }
}
