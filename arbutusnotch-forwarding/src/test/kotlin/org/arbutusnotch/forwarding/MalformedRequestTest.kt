/*
 * Ambiguous, malformed and incomplete requests are rejected and reach no server.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.RawCaller
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class MalformedRequestTest {
    private val server = ScriptedServer { answer() }
    private val fixture = InstanceFixture(servers = listOf(testServer("a", server.address)))

    @AfterEach
    fun close() {
        fixture.close()
        server.close()
    }

    private fun expectRejected(request: String, status: Int) {
        RawCaller(fixture.front).use { caller ->
            caller.write(request)
            expectThat(caller.read()?.status).isEqualTo(status)
            expectThat(caller.endsWithoutMore()).isTrue()
        }
        expectThat(server.requests).isEmpty()
    }

    private fun head(headers: String) = "POST /safe/x HTTP/1.1\r\nHost: test\r\nid: r1\r\n$headers\r\n"

    /** Guards against request smuggling with two content lengths. */
    @Test
    fun `conflicting content lengths are rejected`() =
        expectRejected(head("Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd", 400)

    /** Guards against request smuggling with a content length and a transfer coding. */
    @Test
    fun `content length with a transfer coding is rejected`() =
        expectRejected(head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400)

    /** Guards against a transfer coding that resembles chunked. */
    @Test
    fun `unknown transfer coding is rejected`() =
        expectRejected(head("Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n", 501)

    @Test
    fun `list of transfer codings is rejected`() =
        expectRejected(head("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n", 501)

    @Test
    fun `content length that is not a number is rejected`() =
        expectRejected(head("Content-Length: +3\r\n") + "abc", 400)

    /** Guards against a header line that another HTTP implementation joins with the request line. */
    @Test
    fun `folded first header line is rejected`() =
        expectRejected("POST /safe/x HTTP/1.1\r\n X: folded\r\nHost: test\r\nid: r1\r\n\r\n", 400)

    @Test
    fun `space before the colon is rejected`() = expectRejected(head("Content-Length : 3\r\n") + "abc", 400)

    @Test
    fun `missing host is rejected`() = expectRejected("GET /safe/x HTTP/1.1\r\nid: r1\r\n\r\n", 400)

    @Test
    fun `second host is rejected`() = expectRejected(head("Host: other\r\n"), 400)

    @Test
    fun `target without slash is rejected`() = expectRejected("GET safe HTTP/1.1\r\nHost: test\r\nid: r1\r\n\r\n", 400)

    @Test
    fun `unsupported version is rejected`() =
        expectRejected("GET /safe/x HTTP/1.0\r\nHost: test\r\nid: r1\r\n\r\n", 505)

    @Test
    fun `chunk without a size is rejected`() = expectRejected(head("Transfer-Encoding: chunked\r\n") + "zz\r\nabc", 400)

    @Test
    fun `head over the limit is rejected`() = expectRejected(head("X: ${"a".repeat(5_000)}\r\n"), 431)

    @Test
    fun `body over the limit is rejected`() =
        expectRejected(head("Content-Length: 200000\r\n") + "a".repeat(110_000), 413)

    /** Guards against connections that hold memory for a request that is never completed. */
    @Test
    fun `incomplete head is rejected after the head timeout`() =
        expectRejected("POST /safe/x HTTP/1.1\r\nHost: te", 408)

    @Test
    fun `unknown route is rejected`() {
        expectThat(fixture.call("/nowhere/x", "r1")?.status).isEqualTo(404)
        expectThat(server.requests).isEmpty()
    }
}
