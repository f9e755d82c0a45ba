/*
 * Calls of engines: single replies, streams and their ends.
 */
package org.arbutusnotch.daemon.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.RawServer
import org.arbutusnotch.daemon.TestServer
import org.arbutusnotch.daemon.ample
import org.arbutusnotch.daemon.awaitUntil
import org.arbutusnotch.daemon.now
import org.arbutusnotch.daemon.test
import org.arbutusnotch.daemon.unusedAddress
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineClientTest {
    private val factory: ClientFactory = backendClientFactory()
    private val client = EngineClient(factory)

    @AfterAll
    fun closeFactory() = factory.close()

    /** Guards against a prefill request or reply whose keys differ from the engine protocol. */
    @Test
    fun `a prefill is sent and read in the form of the protocol`() = test {
        val seen = CopyOnWriteArrayList<String>()
        val reply = """{"handle":"h1","prompt_tokens":9,"cached_tokens":4,"expires_at_epoch_millis":77,"other":1}"""
        answering("/engine/prefill", reply, seen).use { server ->
            val result = client.prefill(server.id, prefill())

            expectThat(result).isEqualTo(Ok(PrefillResult("h1", 9, 4, Timestamp(77))))
            expectThat(keys(seen.single())).isEqualTo(
                setOf("attempt", "instance", "incarnation", "model", "prompt", "priority", "deadline_epoch_millis"),
            )
        }
    }

    /** Guards against refusals of an engine that are taken for one another: each has another next step. */
    @Test
    fun `refusals are told apart`() = test {
        val statuses = listOf(
            HttpStatus.TOO_MANY_REQUESTS to BackendError.RefusedFull(),
            HttpStatus.GONE to BackendError.HandleGone,
            HttpStatus.INTERNAL_SERVER_ERROR to BackendError.FailedStatus(500, "fault"),
        )
        for ((status, expected) in statuses) {
            val refusing = TestServer {
                service("/engine/prefill") { _, _ -> HttpResponse.of(status, MediaType.PLAIN_TEXT, "fault") }
                service("/engine/decode") { _, _ -> HttpResponse.of(status, MediaType.PLAIN_TEXT, "fault") }
            }
            refusing.use { server ->
                expectThat(client.prefill(server.id, prefill())).isEqualTo(Err(expected))
                expectThat(client.decode(server.id, decode()).toList()).containsExactly(DecodeEvent.Failed(expected))
            }
        }
    }

    /** Guards against tokens that are lost or split when lines and chunks do not coincide. */
    @Test
    fun `tokens arrive in order whatever the chunks are`() = test {
        val lines = List(50) { token(it) } + """{"attempt":"a/1/1","end":true,"tokens":50}"""
        val bytes = lines.joinToString(separator = "\n", postfix = "\n").toByteArray()
        for (size in listOf(1, 7, 64, bytes.size)) {
            val chunks = bytes.toList().chunked(size).map { HttpData.wrap(it.toByteArray()) }
            streaming { writer -> chunks.forEach(writer::write).also { writer.close() } }.use { server ->
                val events = client.decode(server.id, decode()).toList()

                val tokens = List(50) { DecodeEvent.Token(ATTEMPT, it, "word-$it é") }
                expectThat(events).isEqualTo(tokens + DecodeEvent.End(ATTEMPT, 50))
            }
        }
    }

    /** Guards against a stream without its end marker that is taken for a complete answer. */
    @Test
    fun `a stream that ends early is broken`() = test {
        streaming { writer ->
            writer.write(HttpData.ofUtf8(token(0) + "\n"))
            writer.close()
        }.use { server ->
            val events = client.decode(server.id, decode()).toList()

            expectThat(events).hasSize(2)
            expectThat(events.first()).isEqualTo(DecodeEvent.Token(ATTEMPT, 0, "word-0 é"))
            expectThat(events.last()).isA<DecodeEvent.Failed>().get { error }.isA<BackendError.BrokenAfterWrite>()
        }
    }

    /** Guards against a crash of the engine in the middle of a stream that surfaces as an exception. */
    @Test
    fun `a stream whose connection is reset is broken`() = test {
        val head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        val line = token(0) + "\n"
        val chunk = "%x\r\n%s\r\n".format(line.toByteArray().size, line)
        val mayReset = CompletableDeferred<Unit>()
        RawServer { connection ->
            connection.readBody(connection.readHead().orEmpty())
            connection.write(head + chunk)
            kotlinx.coroutines.runBlocking { mayReset.await() }
            connection.reset()
        }.use { server ->
            val events = mutableListOf<DecodeEvent>()
            client.decode(server.id, decode()).collect {
                events += it
                mayReset.complete(Unit)
            }

            expectThat(events).hasSize(2)
            expectThat(events.last()).isA<DecodeEvent.Failed>().get { error }.isA<BackendError.BrokenAfterWrite>()
        }
    }

    /** Guards against an engine that sends something else than tokens. */
    @Test
    fun `a malformed line ends the stream`() = test {
        val faulty = listOf("no json", """{"attempt":"a/1/1"}""", """{"attempt":"a/1/1","index":"x","token":"t"}""")
        for (line in faulty) {
            streaming { writer -> writer.write(HttpData.ofUtf8("$line\n")) }.use { server ->
                val events = client.decode(server.id, decode()).toList()

                expectThat(events).containsExactly(DecodeEvent.Failed(BackendError.Malformed(line)))
            }
        }
    }

    /** Guards against a line without an end that takes the memory of the instance. */
    @Test
    fun `a line without an end is malformed`() = test {
        val block = HttpData.wrap(ByteArray(16 * 1024) { 'x'.code.toByte() })
        streaming { writer -> repeat(8) { writer.write(block) } }.use { server ->
            val events = client.decode(server.id, decode()).toList()

            expectThat(events.single()).isA<DecodeEvent.Failed>().get { error }.isA<BackendError.Malformed>()
        }
    }

    /** Guards against a stalled stream that occupies the entry past the deadline of the request. */
    @Test
    fun `a stalled stream ends at its deadline`() = test {
        streaming { writer -> writer.write(HttpData.ofUtf8(token(0) + "\n")) }.use { server ->
            val events = client.decode(server.id, decode(now() + 300.milliseconds)).toList()

            expectThat(events.last())
                .isEqualTo(DecodeEvent.Failed(BackendError.TimedOut(mayHaveBeenReceived = true)))
        }
    }

    /** Guards against a failed connection that surfaces as an exception of the flow. */
    @Test
    fun `a decode at an absent engine reports that nothing was written`() = test {
        val events = client.decode(BackendServerId(unusedAddress()), decode()).toList()

        expectThat(events.single()).isA<DecodeEvent.Failed>().get { error }.isA<BackendError.NotConnected>()
    }

    /** Guards against engine memory that stays allocated because a cancelled stream remains open (property P1). */
    @Test
    fun `cancelling the collector closes the stream`() = test {
        val contexts = CopyOnWriteArrayList<ServiceRequestContext>()
        val firstToken = CompletableDeferred<Unit>()
        streaming(contexts) { writer -> writer.write(HttpData.ofUtf8(token(0) + "\n")) }.use { server ->
            val collector = launch { client.decode(server.id, decode()).collect { firstToken.complete(Unit) } }
            firstToken.await()
            collector.cancel()

            awaitUntil { contexts.single().isCancelled }
        }
    }

    /** Guards against the same when the collector takes only part of the stream. */
    @Test
    fun `leaving the stream early closes it`() = test {
        val contexts = CopyOnWriteArrayList<ServiceRequestContext>()
        streaming(contexts) { writer -> writer.write(HttpData.ofUtf8(token(0) + "\n")) }.use { server ->
            client.decode(server.id, decode()).first()

            awaitUntil { contexts.single().isCancelled }
        }
    }

    /** Guards against a prefill that runs on after its caller has gone. */
    @Test
    fun `cancelling a prefill closes its request`() = test {
        val contexts = CopyOnWriteArrayList<ServiceRequestContext>()
        val reached = CompletableDeferred<Unit>()
        val server = TestServer {
            service("/engine/prefill") { context, _ ->
                contexts += context
                reached.complete(Unit)
                HttpResponse.streaming()
            }
        }
        server.use {
            val prefill = launch { client.prefill(server.id, prefill()) }
            reached.await()
            prefill.cancel()

            awaitUntil { contexts.single().isCancelled }
        }
    }

    /** Guards against a new connection for every stream: an engine's answers would each cost a round trip more. */
    @Test
    fun `a complete stream leaves its connection open for the next`() = test {
        val ports = ConcurrentHashMap.newKeySet<Int>()
        val contexts = CopyOnWriteArrayList<ServiceRequestContext>()
        streaming(contexts) { writer ->
            writer.write(HttpData.ofUtf8("""{"attempt":"a/1/1","end":true,"tokens":0}""" + "\n"))
            writer.close()
        }.use { server ->
            repeat(5) { round ->
                client.decode(server.id, decode()).toList()
                awaitUntil { contexts.size == round + 1 && contexts.last().log().isComplete }
                ports += contexts.last().remoteAddress().port
            }

            expectThat(ports).hasSize(1)
        }
    }

    /** Guards against replies of the control calls that are misread. */
    @Test
    fun `cancel, held, load and cache events are read`() = test {
        val held = """{"attempt":"a/1/1","instance":"10.0.0.1:1","incarnation":7,"kind":"decode","pieces":3,""" +
            """"deadline_epoch_millis":99}"""
        val load = """{"as_of_epoch_millis":5,"active":2,"waiting":1,"capacity":20,"queued_prefill_tokens":300}"""
        val events = """{"next":8,"events":[{"sequence":7,"kind":"evicted","prefix_digest":"d"}]}"""
        val seen = CopyOnWriteArrayList<String>()
        val server = TestServer {
            service("/engine/cancel") { _, _ -> HttpResponse.of(MediaType.JSON, """{"released":true}""") }
            service("/engine/held") { _, _ -> HttpResponse.of(MediaType.JSON, """{"held":[$held]}""") }
            service("/engine/load") { _, _ -> HttpResponse.of(MediaType.JSON, load) }
            service("/engine/cache-events") { context, _ ->
                seen += context.query().orEmpty()
                HttpResponse.of(MediaType.JSON, events)
            }
        }
        server.use {
            val expectedHeld =
                HeldRequest(ATTEMPT, InstanceAddress("10.0.0.1:1"), Incarnation(7), "decode", 3, Timestamp(99))
            val expectedEvent = CacheEvent(7, CacheEventKind.EVICTED, ContentDigest("d"))
            expectThat(client.cancel(server.id, ATTEMPT, ample())).isEqualTo(Ok(true))
            expectThat(client.held(server.id, ample())).isEqualTo(Ok(listOf(expectedHeld)))
            expectThat(client.load(server.id, ample())).isEqualTo(Ok(EngineLoad(Timestamp(5), 2, 1, 20, 300)))
            expectThat(client.cacheEvents(server.id, 6, ample()))
                .isEqualTo(Ok(CacheEvents(8, listOf(expectedEvent))))
            expectThat(seen).containsExactly("after=6")
        }
    }

    /** Guards against a refused fencing number that is taken for a failed engine, which would be replaced in vain. */
    @Test
    fun `an order carries its fencing number and reports a refused one`() = test {
        val seen = CopyOnWriteArrayList<String>()
        val order = EngineOrder.LoadModel(ModelId("m"))
        answering("/engine/orders", "{}", seen).use { server ->
            expectThat(client.order(server.id, order, RevisionNumber(4), ample())).isEqualTo(Ok(Unit))
            expectThat(seen).containsExactly("""{"kind":"load_model","model":"m","fencing":4}""")
        }
        val refusing = TestServer {
            service("/engine/orders") { _, _ ->
                HttpResponse.of(HttpStatus.CONFLICT, MediaType.JSON, """{"fencing":9}""")
            }
        }
        refusing.use { server ->
            val error = client.order(server.id, EngineOrder.SetRole("decode"), RevisionNumber(4), ample()).getError()

            expectThat(error).isEqualTo(BackendError.FencingRefused(RevisionNumber(9)))
        }
    }

    /** Guards against one engine whose streams hold back those of another, or of the same, engine. */
    @Test
    fun `many streams run at the same time`() = test {
        val writers = CopyOnWriteArrayList<HttpResponseWriter>()
        val ended = CopyOnWriteArrayList<List<DecodeEvent>>()
        streaming { writer -> writers += writer }.use { server ->
            val collectors = List(STREAMS) {
                launch { ended += client.decode(server.id, decode()).toList() }
            }
            awaitUntil { writers.size == STREAMS || ended.isNotEmpty() }
            expectThat(ended).isEmpty()
            writers.forEach { it.close() }
            collectors.forEach { it.join() }

            expectThat(ended).hasSize(STREAMS)
        }
    }

    private fun answering(path: String, reply: String, seen: MutableList<String>) = TestServer {
        service(path) { _, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    seen += it.contentUtf8()
                    HttpResponse.of(MediaType.JSON, reply)
                },
            )
        }
    }

    /** [contexts] is appended to by several event loops of the server. */
    private fun streaming(
        contexts: CopyOnWriteArrayList<ServiceRequestContext> = CopyOnWriteArrayList(),
        write: (HttpResponseWriter) -> Unit,
    ) = TestServer {
        service("/engine/decode") { context, request ->
            val writer = HttpResponse.streaming()
            contexts += context
            request.aggregate().thenAccept {
                writer.write(ResponseHeaders.of(HttpStatus.OK))
                write(writer)
            }
            writer
        }
    }

    private fun keys(json: String): Set<String> = (Json.parseToJsonElement(json) as JsonObject).jsonObject.keys

    private fun token(index: Int) = """{"attempt":"a/1/1","index":$index,"token":"word-$index é"}"""

    private fun prefill() = PrefillRequest(
        attempt = ATTEMPT,
        instance = InstanceAddress("10.0.0.1:1"),
        incarnation = Incarnation(7),
        model = ModelId("m"),
        prompt = "prompt",
        priority = 3,
        deadline = ample(),
    )

    private fun decode(deadline: Timestamp = ample()) = DecodeRequest(
        attempt = ATTEMPT,
        instance = InstanceAddress("10.0.0.1:1"),
        incarnation = Incarnation(7),
        model = ModelId("m"),
        sourceServer = BackendServerId("10.0.0.2:1"),
        handle = "h1",
        firstTokenIndex = 0,
        maxTokens = 50,
        priority = 3,
        deadline = deadline,
    )

    private companion object {
        const val STREAMS = 40

        val ATTEMPT = AttemptId("a/1/1")
    }
}
