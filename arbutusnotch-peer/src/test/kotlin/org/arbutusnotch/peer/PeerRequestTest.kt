/*
 * Requests and replies between two transports that work.
 */
package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import org.arbutusnotch.core.message.Acknowledged
import org.arbutusnotch.core.message.ConfigurationContent
import org.arbutusnotch.core.message.ConfigurationFetch
import org.arbutusnotch.core.message.PeerMessage
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

class PeerRequestTest {
    /** Guards against a message type that the shared CBOR format cannot carry, above all one with a null byte array. */
    @Test
    fun `configuration content arrives with and without bytes`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message ->
                    val fetch = message as ConfigurationFetch
                    if (fetch.mark == mark(1)) content(1_000_000) else ConfigurationContent(fetch.mark, null)
                }

                val present = client.request(address, ConfigurationFetch(mark(1)), AMPLE).get()
                val absent = client.request(address, ConfigurationFetch(mark(2)), AMPLE).get()

                expectThat(present).isA<ConfigurationContent>().get { bytes?.toList() }
                    .isEqualTo(content(1_000_000).bytes?.toList())
                expectThat(absent).isA<ConfigurationContent>().get { bytes }.isNull()
            }
        }
    }

    /** Guards against replies that reach the wrong request when both sides send many at once on shared connections. */
    @Test
    fun `concurrent requests in both directions get their own replies`() = test {
        val echo: suspend (PeerMessage) -> PeerMessage = { it }
        PeerTransport().use { left ->
            PeerTransport().use { right ->
                val leftAddress = left.listen(handler = echo)
                val rightAddress = right.listen(handler = echo)

                val toRight = List(REQUESTS) { async { left.request(rightAddress, release(it), AMPLE) } }
                val toLeft = List(REQUESTS) { async { right.request(leftAddress, release(it), AMPLE) } }

                val expected = List(REQUESTS) { Ok(release(it)) }
                expectThat(toRight.awaitAll()).isEqualTo(expected)
                expectThat(toLeft.awaitAll()).isEqualTo(expected)
                expectThat(left.inboundConnections).isEqualTo(1)
                expectThat(right.inboundConnections).isEqualTo(1)
            }
        }
    }

    /** Guards against a late reply that is delivered to a later request on the same connection. */
    @Test
    fun `a reply after the timeout is not taken for the reply of another request`() = test {
        val firstMayReply = CompletableDeferred<Unit>()
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message ->
                    if (message == release(1)) firstMayReply.await()
                    message
                }

                val first = client.request(address, release(1), 100.milliseconds)
                firstMayReply.complete(Unit)
                val second = client.request(address, release(2), AMPLE)

                expectThat(first).isEqualTo(Err(PeerError.TimedOut(requestSent = true)))
                expectThat(second).isEqualTo(Ok(release(2)))
            }
        }
    }

    /** Guards against a faulty handler that ends the connection and with it the requests of others. */
    @Test
    fun `a failing handler fails its own request only`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message -> if (message == release(1)) error("fault") else message }

                expectThat(client.request(address, release(1), AMPLE)).isEqualTo(Err(PeerError.NotProcessed))
                expectThat(client.request(address, release(2), AMPLE)).isEqualTo(Ok(release(2)))
                expectThat(server.inboundConnections).isEqualTo(1)
            }
        }
    }

    /** Guards against cancelled requests that keep their place among the pending requests of a peer. */
    @Test
    fun `a cancelled request makes room for another`() = test {
        val reached = CompletableDeferred<Unit>()
        PeerTransport().use { server ->
            PeerTransport(PeerLimits(pendingRequests = 1)).use { client ->
                val address = server.listen { message ->
                    if (message == release(1)) {
                        reached.complete(Unit)
                        CompletableDeferred<Unit>().await()
                    }
                    message
                }
                val waiting = launch { client.request(address, release(1), AMPLE) }
                reached.await()

                val refused = client.request(address, release(2), AMPLE)
                waiting.cancel()
                waiting.join()
                val accepted = client.request(address, release(3), AMPLE)

                expectThat(refused).isEqualTo(Err(PeerError.TooManyPending(address)))
                expectThat(accepted).isEqualTo(Ok(release(3)))
            }
        }
    }

    /** Guards against control traffic that the measured figure leaves out. */
    @Test
    fun `traffic is counted by message type on both sides`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { Acknowledged }
                repeat(3) { client.request(address, release(it), AMPLE) }

                val sent = client.traffic.of("release")
                val received = server.traffic.of("release")
                expectThat(client.traffic.snapshot().map { it.type }).containsExactly("ack", "release")
                expectThat(sent).isNotNull().get { messagesOut }.isEqualTo(3)
                expectThat(sent?.bytesOut ?: 0).isGreaterThan(0)
                expectThat(received?.messagesIn).isEqualTo(3)
                expectThat(received?.bytesIn).isEqualTo(sent?.bytesOut)
                awaitUntil { server.traffic.of("ack")?.bytesOut == client.traffic.of("ack")?.bytesIn }
            }
        }
    }

    /** Guards against a request handler that runs more requests of one peer at a time than the limit allows. */
    @Test
    fun `inbound requests of one peer run up to the limit and all get a reply`() = test {
        val running = java.util.concurrent.atomic.AtomicInteger()
        val highest = java.util.concurrent.atomic.AtomicInteger()
        val mayFinish = CompletableDeferred<Unit>()
        PeerTransport(PeerLimits(inboundRequests = LIMIT)).use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message ->
                    highest.accumulateAndGet(running.incrementAndGet(), ::maxOf)
                    mayFinish.await()
                    running.decrementAndGet()
                    message
                }

                val requests = List(LIMIT * 3) { async { client.request(address, release(it), AMPLE) } }
                awaitUntil { running.get() == LIMIT }
                awaitUntil { client.traffic.of("release")?.messagesOut == LIMIT * 3L }
                mayFinish.complete(Unit)

                expectThat(requests.awaitAll()).isEqualTo(List(LIMIT * 3) { Ok<PeerMessage>(release(it)) })
                expectThat(highest.get()).isEqualTo(LIMIT)
            }
        }
    }

    private companion object {
        const val REQUESTS = 1_000
        const val LIMIT = 8
    }
}
