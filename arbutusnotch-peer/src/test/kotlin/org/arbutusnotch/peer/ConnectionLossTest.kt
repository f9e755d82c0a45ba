/*
 * Peers that go away, refuse, stall or come back.
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
    /** Guards against an outcome `unknown` for a request that no peer can have received. */
    @Test
    fun `a refused connection is reported as not sent`() = test {
        PeerTransport().use { client ->
            val error = client.request(unusedAddress(), release(1), AMPLE).getError()

            expectThat(error).isA<PeerError.Unreachable>().get { requestSent }.isFalse()
        }
    }

    /** Guards against an outcome `not_run` for a request that the peer read before it went away. */
    @Test
    fun `a connection that ends after the request arrived is reported as sent`() = test {
        RawServer { connection ->
            connection.read()
            connection.close()
        }.use { server ->
            PeerTransport().use { client ->
                val result = client.request(server.address, release(1), AMPLE)

                expectThat(result).isEqualTo(Err(PeerError.ConnectionLost(requestSent = true)))
            }
        }
    }

    /** Guards against connection attempts without a pause towards a peer that accepts and closes. */
    @Test
    fun `a peer that closes every connection is contacted with backoff`() = test {
        RawServer { it.close() }.use { server ->
            PeerTransport(PeerLimits(firstBackoff = 200.milliseconds)).use { client ->
                val started = TimeSource.Monotonic.markNow()
                var requests = 0
                while (server.accepted < 4) {
                    client.request(server.address, release(requests), AMPLE)
                    requests += 1
                }

                // Three waits of 200, 400 and 800 ms, each shortened to no less than half.
                expectThat(started.elapsedNow()).isGreaterThan(600.milliseconds)
            }
        }
    }

    /** Guards against a transport that never finds a peer again after its process was replaced at the same address. */
    @Test
    fun `a restarted peer is reached again`() = test {
        PeerTransport().use { client ->
            val first = PeerTransport()
            val address = first.listen()
            expectThat(client.request(address, release(1), AMPLE)).isEqualTo(Ok(Acknowledged))
            first.close()
            awaitUntil { connectionIsRefused(address) }
            val whileDown = client.request(address, release(2), AMPLE).getError()

            PeerTransport().use { second ->
                second.listen(address)
                while (client.request(address, release(3), AMPLE).isErr) delay(5.milliseconds)

                expectThat(whileDown).isNotNull()
                expectThat(second.traffic.of("release")?.messagesIn).isEqualTo(1)
            }
        }
    }

    /** Guards against requests that hang when the transport is closed while they wait. */
    @Test
    fun `closing the transport fails the requests that wait`() = test {
        val reached = CompletableDeferred<Unit>()
        PeerTransport().use { server ->
            val address = server.listen {
                reached.complete(Unit)
                CompletableDeferred<Unit>().await()
                Acknowledged
            }
            val client = PeerTransport()
            val waiting = async { client.request(address, release(1), AMPLE) }
            reached.await()
            client.close()

            expectThat(waiting.await()).isEqualTo(Err(PeerError.ConnectionLost(requestSent = true)))
            expectThat(client.request(address, release(2), AMPLE).getError()).isNotNull().get { requestSent }.isFalse()
        }
    }

    /** Guards against one stalled peer that delays requests to the others. */
    @Test
    fun `a peer that reads nothing delays no other peer`() = test {
        RawServer { Thread.sleep(Long.MAX_VALUE) }.use { stalled ->
            PeerTransport().use { healthy ->
                PeerTransport().use { client ->
                    val address = healthy.listen()
                    val blocked = List(STALLED_REQUESTS) {
                        async { client.request(stalled.address, content(1_000_000), 2.seconds) }
                    }
                    awaitUntil { stalled.accepted == 1 }
                    val started = TimeSource.Monotonic.markNow()
                    repeat(100) { expectThat(client.request(address, release(it), AMPLE)).isEqualTo(Ok(Acknowledged)) }
                    val elapsed = started.elapsedNow()

                    val errors = blocked.awaitAll().map { it.getError() }
                    expectThat(elapsed).isLessThan(2.seconds)
                    expectThat(errors).all { isA<PeerError.TimedOut>() }
                    // The first fills the socket's buffers; the last never gets its turn and must not count as sent.
                    expectThat(errors.count { it?.requestSent == false }).isGreaterThan(0)
                    expectThat(errors.count { it?.requestSent == true }).isGreaterThan(0)
                }
            }
        }
    }

    /** Guards against a connection to a vanished host that is kept although nothing arrives on it any more. */
    @Test
    fun `a connection on which the peer is silent is replaced`() = test {
        RawServer { connection -> while (true) connection.read() }.use { silent ->
            PeerTransport(PeerLimits(silence = 100.milliseconds, firstBackoff = 1.milliseconds)).use { client ->
                while (silent.accepted < 2) {
                    val result = client.request(silent.address, release(1), 150.milliseconds)
                    expectThat(result.isErr).isEqualTo(true)
                }
            }
        }
    }

    private fun unusedAddress(): InstanceAddress {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return InstanceAddress("127.0.0.1:$port")
    }

    private fun connectionIsRefused(address: InstanceAddress): Boolean =
        runCatching { RawConnection.open(address).close() }.isFailure

    private companion object {
        const val STALLED_REQUESTS = 20
    }
}
