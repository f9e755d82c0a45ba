/*
 * Tests of the distinction between requests that were not written and requests that may have been received, which
 * decides whether a permit may be returned.
 */
package org.arbutusnotch.daemon.backend

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.linecorp.armeria.client.ClientFactory
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.daemon.RawConnection
import org.arbutusnotch.daemon.RawServer
import org.arbutusnotch.daemon.distantDeadline
import org.arbutusnotch.daemon.headerOf
import org.arbutusnotch.daemon.now
import org.arbutusnotch.daemon.test
import org.arbutusnotch.daemon.unusedAddress
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class FailureClassificationTest {
    private val factory: ClientFactory = backendClientFactory()
    private val daemonFactory: ClientFactory = daemonClientFactory(workerThreads = 1)
    private val client = ServiceClient(factory)

    @AfterAll
    fun closeFactories() = listOf(factory, daemonFactory).forEach { it.close() }

    /** Guards against the outcome `unknown` for a request that no server can have received. */
    @Test
    fun `a request on a refused connection was not written`() = test {
        val error = client.call(BackendServerId(unusedAddress()), call("1")).getError()

        expectThat(error).isA<BackendError.NotConnected>().get { mayHaveBeenReceived }.isFalse()
    }

    /** Guards against a request that is sent after its deadline. */
    @Test
    fun `a request whose deadline has passed is not written`() = test {
        val receivedHeads = CopyOnWriteArrayList<String>()
        RawServer { connection -> connection.readHead()?.let(receivedHeads::add) }.use { server ->
            val error = client.call(server.id, call("1", deadline = now() - 1.milliseconds)).getError()

            expectThat(error).isEqualTo(BackendError.TimedOut(mayHaveBeenReceived = false))
            expectThat(receivedHeads).isEmpty()
        }
    }

    /** Guards against a permit that is returned after the server read the request and then failed. */
    @Test
    fun `a server that reads the request and closes may have received it`() = test {
        RawServer { connection -> connection.readHead() }.use { server ->
            val error = client.call(server.id, call("1")).getError()

            expectThat(error).isA<BackendError.BrokenAfterWrite>().get { mayHaveBeenReceived }.isTrue()
        }
    }

    /** Guards against a permit that is returned because the response is late. */
    @Test
    fun `a server that responds too late may have received the request`() = test {
        RawServer { connection ->
            connection.readHead()
            connection.readHead()
        }.use { server ->
            val error = client.call(server.id, call("1", deadline = now() + 200.milliseconds)).getError()

            expectThat(error).isEqualTo(BackendError.TimedOut(mayHaveBeenReceived = true))
        }
    }

    /** Guards against a truncated response that is returned as complete. */
    @Test
    fun `a server that closes during its response may have run the request`() = test {
        val truncated = listOf(
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            "HTTP/1.1 200 OK\r\ncontent-le",
        )
        for (response in truncated) {
            RawServer { connection ->
                connection.readBody(connection.readHead().orEmpty())
                connection.write(response)
            }.use { server ->
                val error = client.call(server.id, call("1")).getError()

                expectThat(error).isA<BackendError.BrokenAfterWrite>()
            }
        }
    }

    /** Guards against a body, a status or a pause that lines state which are no header fields. */
    @ParameterizedTest
    @CsvSource(
        "200 OK, x y: v",
        "200 OK, Content-Length x: 2",
        "200 OK, Transfer-Encoding : chunked",
        "429 Busy, retry-after x: 9",
    )
    fun `a response with an invalid line may have run the request`(status: String, line: String) = test {
        val heads = listOf("$line\r\ncontent-type: a", "content-type: a\r\n$line", "content-type: a\r\n $line")
        val clients = listOf(client, ServiceClient(daemonFactory))
        for ((head, client) in heads.flatMap { head -> clients.map { head to it } }) {
            RawServer { connection ->
                connection.readBody(connection.readHead().orEmpty())
                connection.write("HTTP/1.1 $status\r\n$head\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
            }.use { server ->
                val error = client.call(server.id, call("1")).getError()

                expectThat(error).isA<BackendError.BrokenAfterWrite>()
            }
        }
    }

    /** Guards against valid responses on one connection that fail because of an earlier one. */
    @Test
    fun `responses that follow each other on a connection are complete`() = test {
        val written = listOf(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nx y: \r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n x: y",
        )
        RawServer { connection ->
            generateSequence { connection.readHead() }.forEachIndexed { index, head ->
                connection.readBody(head)
                connection.write(written[index % written.size])
            }
        }.use { server ->
            val responses = List(4) { client.call(server.id, call("$it")).get() }

            expectThat(responses.map { it?.body?.decodeToString() }).containsExactly("x y: ", " x: y", "x y: ", " x: y")
        }
    }

    /** Guards against automatic retries or redirects of the HTTP client, which would run the operation twice. */
    @Test
    fun `a failed request reaches the server once`() = test {
        val receivedHeads = CopyOnWriteArrayList<String>()
        RawServer { connection ->
            connection.readHead()?.let(receivedHeads::add)
            connection.write("HTTP/1.1 307 Temporary Redirect\r\nlocation: /call/again\r\ncontent-length: 0\r\n\r\n")
        }.use { server ->
            client.call(server.id, call("1"))
            expectThat(receivedHeads).hasSize(1)
        }
        RawServer { connection -> connection.readHead()?.let(receivedHeads::add) }.use { server ->
            client.call(server.id, call("2"))
            expectThat(receivedHeads.mapNotNull { headerOf(it, "x-attempt") }).containsExactly("1", "2")
        }
    }

    /**
     * Guards against a failure that is reported as not written although the server read the request, including failures
     * on a pooled connection that the server closes at the same time.
     */
    @Test
    fun `a request that a server read is never reported as not written`() = test {
        val readAttempts = ConcurrentHashMap.newKeySet<String>()
        val random = Random(SEED)
        RawServer { connection -> serveWithRandomFailures(connection, random, readAttempts) }.use { server ->
            val outcomes = ConcurrentHashMap<String, BackendError>()
            for (round in 0 until ROUNDS) {
                val calls = List(CONCURRENT_CALLS) { index ->
                    val attempt = "$round-$index"
                    async { client.call(server.id, call(attempt)).getError()?.let { outcomes[attempt] = it } }
                }
                calls.awaitAll()
            }

            val notWritten = outcomes.filterValues { !it.mayHaveBeenReceived }.keys
            val received = outcomes.filterValues { it.mayHaveBeenReceived }.keys
            expectThat(notWritten.intersect(readAttempts)).isEmpty()
            expectThat(received).isNotEmpty()
        }
    }

    /** Closes the connection before, during or after a request, orderly or with a reset, as [random] decides. */
    private fun serveWithRandomFailures(connection: RawConnection, random: Random, readAttempts: MutableSet<String>) {
        while (true) {
            if (random.nextInt(FAILURE_ODDS) == 0) return closeConnection(connection, random)
            val head = connection.readHead() ?: return
            headerOf(head, "x-attempt")?.let(readAttempts::add)
            connection.readBody(head)
            if (random.nextInt(FAILURE_ODDS) == 0) return closeConnection(connection, random)
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n")
            if (random.nextInt(FAILURE_ODDS) == 0) return closeConnection(connection, random)
            connection.write("done")
        }
    }

    private fun closeConnection(connection: RawConnection, random: Random) {
        if (random.nextBoolean()) connection.reset() else connection.close()
    }

    private fun call(attempt: String, deadline: org.arbutusnotch.core.time.Timestamp = distantDeadline()) = ServiceCall(
        operation = "book",
        attempt = AttemptId(attempt),
        body = "{}".toByteArray(),
        deadline = deadline,
        idempotencyKey = "key",
        contentType = "application/json",
    )

    private companion object {
        const val SEED = 20_261
        const val ROUNDS = 100
        const val CONCURRENT_CALLS = 10
        const val FAILURE_ODDS = 4
    }
}
