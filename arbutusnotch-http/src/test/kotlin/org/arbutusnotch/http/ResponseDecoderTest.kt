/*
 * Heads of responses that arrive in parts.
 */
package org.arbutusnotch.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class ResponseDecoderTest {
    /** Holds what the decoder has made of a response; [failure] is null if the response is well-formed so far. */
    private class Decoded(val failure: String?, val fields: List<Pair<String, String>>, val body: String)

    /** Decodes [parts], each of which arrives alone. */
    private fun decode(parts: List<String>): Decoded {
        val channel = EmbeddedChannel(ResponseDecoder(isHead = false))
        parts.forEach { channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)) }
        val messages = generateSequence { channel.readInbound<HttpObject>() }.toList()
        val failures = messages.mapNotNull { it.decoderResult().cause()?.message }
        val fields = messages.filterIsInstance<HttpResponse>().flatMap { it.headers().entries() }
            .map { it.key to it.value }
        val body = messages.filterIsInstance<HttpContent>()
            .joinToString("") { it.content().toString(Charsets.ISO_8859_1) }
        channel.finishAndReleaseAll()
        return Decoded(failures.firstOrNull(), fields, body)
    }

    /** Returns [text] divided in two at each place, as one part, and in bytes. */
    private fun divisions(text: String): List<List<String>> =
        (1 until text.length).map { listOf(text.take(it), text.drop(it)) } +
            listOf(listOf(text), text.map { it.toString() })

    /** Guards against a line that is accepted depending on the reads in which it arrives. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "x y: v",
            "x : v",
            "x\ty: v",
            "x y",
            " x: v",
            "\tx: v",
            "Content-Length x: 2",
            " Content-Length: 2",
            "Transfer-Encoding : chunked",
        ],
    )
    fun `invalid line is found in any division of a head`(line: String) {
        val heads = listOf(
            "HTTP/1.1 200 OK\r\nid: 1\r\n$line\r\n",
            "HTTP/1.1 200 OK\r\n$line\r\nid: 1\r\n",
            "\r\nHTTP/1.1 200 OK\r\nid: 1\r\nseal: s\r\n$line\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nid: 1\r\n$line\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: x\r\n$line\r\n\r\nHTTP/1.1 200 OK\r\nid: 1\r\n",
        )
        heads.flatMap { divisions("$it\r\nwhole") }.forEach { parts ->
            expectThat(decode(parts)).describedAs(parts.toString()).get { failure }.isNotNull()
        }
    }

    /** Guards against a head that waits for its end although it is invalid already. */
    @ParameterizedTest
    @ValueSource(strings = ["x y: v", " x: v"])
    fun `invalid line is reported before the end of its head`(line: String) {
        divisions("HTTP/1.1 200 OK\r\nid: 1\r\n$line\r\n").forEach { parts ->
            expectThat(decode(parts).failure).isNotNull().contains(line)
        }
    }

    /** Guards against lines that other programs on the path divide in another way. */
    @Test
    fun `head with bare line feeds is invalid`() {
        divisions("HTTP/1.1 200 OK\nid: 1\n\nwhole").forEach { parts ->
            expectThat(decode(parts).failure).isNotNull()
        }
    }

    /** Guards against valid answers that fail: values with blanks, and bodies that look like an invalid head. */
    @ParameterizedTest
    @ValueSource(strings = ["x y: v\r\n\r\n", " x: v\r\n", "HTTP/1.1 200 OK\r\nx y: v\r\n\r\n"])
    fun `valid response is decoded in any division`(body: String) {
        val fields = listOf(
            "id" to "1",
            "!#$%&'*+-.^_`|~9" to "a b: c",
            "empty" to "",
            "padded" to "v",
        )
        val head = "HTTP/1.1 200 OK\r\nid:1\r\n!#$%&'*+-.^_`|~9: a b: c\r\nempty:\r\npadded: \t v \t\r\n"
        val chunks = "${Integer.toHexString(body.length)}\r\n$body\r\n0\r\n\r\n"
        val framed = "${head}Content-Length: ${body.length}\r\n\r\n$body"
        val chunked = "${head}Transfer-Encoding: chunked\r\n\r\n$chunks"
        listOf(framed, chunked).flatMap { divisions(it) }.forEach { parts ->
            val decoded = decode(parts)
            expectThat(decoded.failure).isNull()
            expectThat(decoded.fields.dropLast(1)).isEqualTo(fields)
            expectThat(decoded.body).isEqualTo(body)
        }
    }
}
