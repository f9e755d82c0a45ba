/*
 * Requests and answers are forwarded byte for byte.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.RawCaller
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class TransparentForwardingTest {
    private val server = ScriptedServer { answer(body = "the body") }
    private val fixture = InstanceFixture(servers = listOf(testServer("a", server.address)))

    @AfterEach
    fun close() {
        fixture.close()
        server.close()
    }

    /** Guards against HTTP libraries that normalize, decode or encode request targets. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "/safe//b", "/safe/b;x=1", "/safe/a%20b?q=%20+", "/safe/a%2Fb", "/safe/../x", "/safe/./x", "/safe/a|b",
            "/safe/caf\u00e9", "/safe/?", "/safe/a?b=/safe/../c", "/safe/{x}[y]",
        ],
    )
    fun `target reaches the server unchanged`(target: String) {
        expectThat(fixture.call(target, "r1")?.status).isEqualTo(200)
        expectThat(server.requests.single().target).isEqualTo(target)
    }

    /** Guards against header fields that are joined, reordered, re-encoded or lost. */
    @Test
    fun `header fields reach the server unchanged`() {
        fixture.call("/safe/x", "r1", headers = "Accept: a\r\nX-Odd:  b, c \r\nAccept: \u00e9|d\r\n")
        val received = server.requests.single()
        expectThat(
            received.headers.filter {
                it.first == "Accept"
            }.map { it.second },
        ).isEqualTo(listOf("a", "\u00e9|d"))
        expectThat(received.header("X-Odd")).isEqualTo("b, c")
        expectThat(received.header("id")).isEqualTo("r1")
    }

    /** Guards against a caller that removes header fields of the system by naming them in its Connection header. */
    @Test
    fun `connection header removes the fields it names except those that servers need`() {
        fixture.call("/safe/x", "r1", headers = "Connection: X-Mine, id, wait\r\nX-Mine: 1\r\nKeep-Alive: 5\r\n")
        val received = server.requests.single()
        expectThat(received.header("X-Mine")).isNull()
        expectThat(received.header("Keep-Alive")).isNull()
        expectThat(received.header("id")).isEqualTo("r1")
    }

    /** Guards against a chunked body that is truncated or reframed incorrectly. */
    @Test
    fun `chunked body reaches the server completely`() {
        RawCaller(fixture.front).use { caller ->
            caller.write("POST /safe/x HTTP/1.1\r\nHost: test\r\nid: r1\r\nTransfer-Encoding: chunked\r\n\r\n")
            caller.write("3\r\nabc\r\n")
            caller.write("4;ext=1\r\ndefg\r\n0\r\nTrailer: x\r\n\r\n")
            expectThat(caller.read()?.status).isEqualTo(200)
        }
        expectThat(String(server.requests.single().body)).isEqualTo("abcdefg")
    }

    /** Guards against answers that lose their seal, status or body. */
    @Test
    fun `answer reaches the caller with seal and body`() {
        val answer = fixture.call("/once/x", "r1")
        expectThat(answer).isNotNull()
        expectThat(answer?.header("seal")).isEqualTo("s-r1")
        expectThat(answer?.body).isEqualTo("the body")
        expectThat(answer?.complete ?: false).isTrue()
    }

    /** Guards against answers on one connection that are assigned to the wrong request. */
    @Test
    fun `pipelined requests are answered in order`() {
        RawCaller(fixture.front).use { caller ->
            caller.write((1..5).joinToString("") { fixture.request("/safe/$it", "r$it") })
            (1..5).forEach { expectThat(caller.read()?.header("seal")).isEqualTo("s-r$it") }
        }
    }

    /** Guards against request smuggling: a body that contains a request which is then run. */
    @Test
    fun `request inside a body is not run`() {
        fixture.call("/safe/x", "r1", body = fixture.request("/safe/smuggled", "r2"))
        expectThat(server.requests.map { it.target }).isEqualTo(listOf("/safe/x"))
    }

    /** Guards against a caller that waits forever for an interim response before it sends its body. */
    @Test
    fun `expect header is answered with 100 Continue`() {
        RawCaller(fixture.front).use { caller ->
            caller.write(
                "POST /safe/x HTTP/1.1\r\nHost: test\r\nid: r1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
            )
            expectThat(caller.readInterim()).contains("100 Continue")
            caller.write("ab")
            expectThat(caller.read()?.status).isEqualTo(200)
        }
        expectThat(server.requests.single().header("Expect")).isNull()
    }
}
