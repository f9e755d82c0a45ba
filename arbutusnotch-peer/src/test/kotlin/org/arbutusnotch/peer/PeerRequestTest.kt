/*
 * Tests requests and replies between two transports.
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
    /** Guards against a message type that the shared CBOR format cannot encode, in particular a null byte array. */
    @Test
    fun `configuration content arrives with and without bytes`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message ->
                    val fetch = message as ConfigurationFetch
                    if (fetch.mark == revisionMark(1)) {
                        configurationContent(1_000_000)
                    } else {
                        ConfigurationContent(fetch.mark, null)
                    }
                }

                val present = client.request(address, ConfigurationFetch(revisionMark(1)), REQUEST_TIMEOUT).get()
                val absent = client.request(address, ConfigurationFetch(revisionMark(2)), REQUEST_TIMEOUT).get()

                expectThat(present).isA<ConfigurationContent>().get { bytes?.toList() }
                    .isEqualTo(configurationContent(1_000_000).bytes?.toList())
                expectThat(absent).isA<ConfigurationContent>().get { bytes }.isNull()
            }
        }
    }

    /** Guards against replies to the wrong request when both sides send many at a time on shared connections. */
    @Test
    fun `concurrent requests in both directions get their own replies`() = test {
        val echo: suspend (PeerMessage) -> PeerMessage = { it }
        PeerTransport().use { left ->
            PeerTransport().use { right ->
                val leftAddress = left.listen(handler = echo)
                val rightAddress = right.listen(handler = echo)

                val toRight = List(REQUEST_COUNT) {
                    async { left.request(rightAddress, releaseRequest(it), REQUEST_TIMEOUT) }
                }
                val toLeft = List(REQUEST_COUNT) {
                    async { right.request(leftAddress, releaseRequest(it), REQUEST_TIMEOUT) }
                }

                val expected = List(REQUEST_COUNT) { Ok(releaseRequest(it)) }
                expectThat(toRight.awaitAll()).isEqualTo(expected)
                expectThat(toLeft.awaitAll()).isEqualTo(expected)
                expectThat(left.inboundConnectionCount).isEqualTo(1)
                expectThat(right.inboundConnectionCount).isEqualTo(1)
            }
        }
    }

    /** Guards against a late reply that is delivered to another request on the same connection. */
    @Test
    fun `a reply after the timeout is not delivered to another request`() = test {
        val firstMayReply = CompletableDeferred<Unit>()
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message ->
                    if (message == releaseRequest(1)) firstMayReply.await()
                    message
                }

                val first = client.request(address, releaseRequest(1), 100.milliseconds)
                firstMayReply.complete(Unit)
                val second = client.request(address, releaseRequest(2), REQUEST_TIMEOUT)

                expectThat(first).isEqualTo(Err(PeerError.TimedOut(requestSent = true)))
                expectThat(second).isEqualTo(Ok(releaseRequest(2)))
            }
        }
    }

    /** Guards against a handler failure that closes the connection and so fails the other requests on it. */
    @Test
    fun `a failing handler fails only its own request`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message -> if (message == releaseRequest(1)) error("fault") else message }

                expectThat(client.request(address, releaseRequest(1), REQUEST_TIMEOUT))
                    .isEqualTo(Err(PeerError.NotProcessed))
                expectThat(client.request(address, releaseRequest(2), REQUEST_TIMEOUT)).isEqualTo(Ok(releaseRequest(2)))
                expectThat(server.inboundConnectionCount).isEqualTo(1)
            }
        }
    }

    /** Guards against cancelled requests that still count against the limit of pending requests to a peer. */
    @Test
    fun `a cancelled request does not count as pending`() = test {
        val requestReceived = CompletableDeferred<Unit>()
        PeerTransport().use { server ->
            PeerTransport(PeerLimits(maximumPendingRequests = 1)).use { client ->
                val address = server.listen { message ->
                    if (message == releaseRequest(1)) {
                        requestReceived.complete(Unit)
                        CompletableDeferred<Unit>().await()
                    }
                    message
                }
                val waiting = launch { client.request(address, releaseRequest(1), REQUEST_TIMEOUT) }
                requestReceived.await()

                val refused = client.request(address, releaseRequest(2), REQUEST_TIMEOUT)
                waiting.cancel()
                waiting.join()
                val accepted = client.request(address, releaseRequest(3), REQUEST_TIMEOUT)

                expectThat(refused).isEqualTo(Err(PeerError.TooManyPending(address)))
                expectThat(accepted).isEqualTo(Ok(releaseRequest(3)))
            }
        }
    }

    /** Guards against control traffic that is missing from the traffic counters. */
    @Test
    fun `traffic is counted by message type on both sides`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                val address = server.listen { Acknowledged }
                repeat(3) { client.request(address, releaseRequest(it), REQUEST_TIMEOUT) }

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

    /** Guards against processing more requests of one peer at a time than the limit allows. */
    @Test
    fun `concurrent inbound requests of one peer reach the limit and all get a reply`() = test {
        val running = java.util.concurrent.atomic.AtomicInteger()
        val highestRunning = java.util.concurrent.atomic.AtomicInteger()
        val mayFinish = CompletableDeferred<Unit>()
        PeerTransport(PeerLimits(maximumInboundRequests = REQUEST_LIMIT)).use { server ->
            PeerTransport().use { client ->
                val address = server.listen { message ->
                    highestRunning.accumulateAndGet(running.incrementAndGet(), ::maxOf)
                    mayFinish.await()
                    running.decrementAndGet()
                    message
                }

                val requests = List(REQUEST_LIMIT * 3) {
                    async { client.request(address, releaseRequest(it), REQUEST_TIMEOUT) }
                }
                awaitUntil { running.get() == REQUEST_LIMIT }
                awaitUntil { client.traffic.of("release")?.messagesOut == REQUEST_LIMIT * 3L }
                mayFinish.complete(Unit)

                expectThat(requests.awaitAll())
                    .isEqualTo(List(REQUEST_LIMIT * 3) { Ok<PeerMessage>(releaseRequest(it)) })
                expectThat(highestRunning.get()).isEqualTo(REQUEST_LIMIT)
            }
        }
    }

    private companion object {
        const val REQUEST_COUNT = 1_000
        const val REQUEST_LIMIT = 8
    }
}
