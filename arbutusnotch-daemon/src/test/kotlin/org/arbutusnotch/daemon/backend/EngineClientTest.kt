/*
 * Tests of the engine client: single responses and decode streams.
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
import org.arbutusnotch.daemon.awaitUntil
import org.arbutusnotch.daemon.distantDeadline
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

    /** Guards against a prefill request or response whose keys differ from the engine protocol. */
    @Test
    fun `prefill messages follow the engine protocol`() = test {
        val requestBodies = CopyOnWriteArrayList<String>()
        val reply = """{"handle":"h1","prompt_tokens":9,"cached_tokens":4,"expires_at_epoch_millis":77,"other":1}"""
        respondingServer("/engine/prefill", reply, requestBodies).use { server ->
            val result = client.prefill(server.id, prefill())

            expectThat(result).isEqualTo(Ok(PrefillResult("h1", 9, 4, Timestamp(77))))
            expectThat(keys(requestBodies.single())).isEqualTo(
                setOf("attempt", "instance", "incarnation", "model", "prompt", "priority", "deadline_epoch_millis"),
            )
        }
    }

    /** Guards against error statuses that map to the wrong error: each requires a different reaction. */
    @Test
    fun `each error status maps to its own error`() = test {
        val statuses = listOf(
            HttpStatus.TOO_MANY_REQUESTS to BackendError.RefusedFull(),
            HttpStatus.GONE to BackendError.HandleGone,
            HttpStatus.INTERNAL_SERVER_ERROR to BackendError.FailedStatus(500, "fault"),
        )
        for ((status, expected) in statuses) {
            val failing = TestServer {
                service("/engine/prefill") { _, _ -> HttpResponse.of(status, MediaType.PLAIN_TEXT, "fault") }
                service("/engine/decode") { _, _ -> HttpResponse.of(status, MediaType.PLAIN_TEXT, "fault") }
            }
            failing.use { server ->
                expectThat(client.prefill(server.id, prefill())).isEqualTo(Err(expected))
                expectThat(client.decode(server.id, decode()).toList()).containsExactly(DecodeEvent.Failed(expected))
            }
        }
    }

    /** Guards against tokens that are lost or split when line and chunk boundaries differ. */
    @Test
    fun `tokens arrive in order for any chunk size`() = test {
        val lines = List(50) { token(it) } + """{"attempt":"a/1/1","end":true,"tokens":50}"""
        val bytes = lines.joinToString(separator = "\n", postfix = "\n").toByteArray()
        for (size in listOf(1, 7, 64, bytes.size)) {
            val chunks = bytes.toList().chunked(size).map { HttpData.wrap(it.toByteArray()) }
            streamingServer { writer -> chunks.forEach(writer::write).also { writer.close() } }.use { server ->
                val events = client.decode(server.id, decode()).toList()

                val tokens = List(50) { DecodeEvent.Token(ATTEMPT, it, "word-$it é") }
                expectThat(events).isEqualTo(tokens + DecodeEvent.End(ATTEMPT, 50))
            }
        }
    }

    /** Guards against a stream without its end marker that is treated as complete. */
    @Test
    fun `a stream without its end marker is broken`() = test {
        streamingServer { writer ->
            writer.write(HttpData.ofUtf8(token(0) + "\n"))
            writer.close()
        }.use { server ->
            val events = client.decode(server.id, decode()).toList()

            expectThat(events).hasSize(2)
            expectThat(events.first()).isEqualTo(DecodeEvent.Token(ATTEMPT, 0, "word-0 é"))
            expectThat(events.last()).isA<DecodeEvent.Failed>().get { error }.isA<BackendError.BrokenAfterWrite>()
        }
    }

    /** Guards against an engine crash during a stream that is thrown as an exception. */
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

    /** Guards against invalid lines that are accepted or skipped. */
    @Test
    fun `a malformed line ends the stream`() = test {
        val invalidLines =
            listOf("no json", """{"attempt":"a/1/1"}""", """{"attempt":"a/1/1","index":"x","token":"t"}""")
        for (line in invalidLines) {
            streamingServer { writer -> writer.write(HttpData.ofUtf8("$line\n")) }.use { server ->
                val events = client.decode(server.id, decode()).toList()

                expectThat(events).containsExactly(DecodeEvent.Failed(BackendError.Malformed(line)))
            }
        }
    }

    /** Guards against an endless line that exhausts the memory of the instance. */
    @Test
    fun `a line over the size limit is malformed`() = test {
        val block = HttpData.wrap(ByteArray(16 * 1024) { 'x'.code.toByte() })
        streamingServer { writer -> repeat(8) { writer.write(block) } }.use { server ->
            val events = client.decode(server.id, decode()).toList()

            expectThat(events.single()).isA<DecodeEvent.Failed>().get { error }.isA<BackendError.Malformed>()
        }
    }

    /** Guards against a stalled stream that stays open past the deadline of the request. */
    @Test
    fun `a stalled stream ends at its deadline`() = test {
        streamingServer { writer -> writer.write(HttpData.ofUtf8(token(0) + "\n")) }.use { server ->
            val events = client.decode(server.id, decode(now() + 300.milliseconds)).toList()

            expectThat(events.last())
                .isEqualTo(DecodeEvent.Failed(BackendError.TimedOut(mayHaveBeenReceived = true)))
        }
    }

    /** Guards against a failed connection that is thrown as an exception by the flow. */
    @Test
    fun `a refused connection is reported as not connected`() = test {
        val events = client.decode(BackendServerId(unusedAddress()), decode()).toList()

        expectThat(events.single()).isA<DecodeEvent.Failed>().get { error }.isA<BackendError.NotConnected>()
    }

    /** Guards against engine memory that stays allocated because a cancelled stream remains open. */
    @Test
    fun `cancelling the collector closes the stream`() = test {
        val contexts = CopyOnWriteArrayList<ServiceRequestContext>()
        val firstToken = CompletableDeferred<Unit>()
        streamingServer(contexts) { writer -> writer.write(HttpData.ofUtf8(token(0) + "\n")) }.use { server ->
            val collector = launch { client.decode(server.id, decode()).collect { firstToken.complete(Unit) } }
            firstToken.await()
            collector.cancel()

            awaitUntil { contexts.single().isCancelled }
        }
    }

    /** Guards against engine memory that stays allocated after a partial collection of the stream. */
    @Test
    fun `stopping collection early closes the stream`() = test {
        val contexts = CopyOnWriteArrayList<ServiceRequestContext>()
        streamingServer(contexts) { writer -> writer.write(HttpData.ofUtf8(token(0) + "\n")) }.use { server ->
            client.decode(server.id, decode()).first()

            awaitUntil { contexts.single().isCancelled }
        }
    }

    /** Guards against a prefill that keeps running after its caller was cancelled. */
    @Test
    fun `cancelling a prefill cancels its request`() = test {
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

    /** Guards against a new connection for every stream, which costs an additional round trip. */
    @Test
    fun `the connection of a complete stream is reused`() = test {
        val ports = ConcurrentHashMap.newKeySet<Int>()
        val contexts = CopyOnWriteArrayList<ServiceRequestContext>()
        streamingServer(contexts) { writer ->
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

    /** Guards against responses to control calls that are decoded wrongly. */
    @Test
    fun `responses to cancel, held, load and cache-events are decoded`() = test {
        val held = """{"attempt":"a/1/1","instance":"10.0.0.1:1","incarnation":7,"kind":"decode","pieces":3,""" +
            """"deadline_epoch_millis":99}"""
        val load = """{"as_of_epoch_millis":5,"active":2,"waiting":1,"capacity":20,"queued_prefill_tokens":300}"""
        val events = """{"next":8,"events":[{"sequence":7,"kind":"evicted","prefix_digest":"d"}]}"""
        val queries = CopyOnWriteArrayList<String>()
        val server = TestServer {
            service("/engine/cancel") { _, _ -> HttpResponse.of(MediaType.JSON, """{"released":true}""") }
            service("/engine/held") { _, _ -> HttpResponse.of(MediaType.JSON, """{"held":[$held]}""") }
            service("/engine/load") { _, _ -> HttpResponse.of(MediaType.JSON, load) }
            service("/engine/cache-events") { context, _ ->
                queries += context.query().orEmpty()
                HttpResponse.of(MediaType.JSON, events)
            }
        }
        server.use {
            val expectedAllocation =
                EngineAllocation(ATTEMPT, InstanceAddress("10.0.0.1:1"), Incarnation(7), "decode", 3, Timestamp(99))
            val expectedEvent = CacheEvent(7, CacheEventKind.EVICTED, ContentDigest("d"))
            expectThat(client.cancel(server.id, ATTEMPT, distantDeadline())).isEqualTo(Ok(true))
            expectThat(client.allocations(server.id, distantDeadline())).isEqualTo(Ok(listOf(expectedAllocation)))
            expectThat(client.load(server.id, distantDeadline())).isEqualTo(Ok(EngineLoad(Timestamp(5), 2, 1, 20, 300)))
            expectThat(client.cacheEvents(server.id, 6, distantDeadline()))
                .isEqualTo(Ok(CacheEvents(8, listOf(expectedEvent))))
            expectThat(queries).containsExactly("after=6")
        }
    }

    /** Guards against needlessly replacing an engine that rejected a fencing number, as if it had failed. */
    @Test
    fun `a command carries its fencing number and reports a rejected one`() = test {
        val requestBodies = CopyOnWriteArrayList<String>()
        val command = EngineCommand.LoadModel(ModelId("m"))
        respondingServer("/engine/orders", "{}", requestBodies).use { server ->
            expectThat(client.sendCommand(server.id, command, RevisionNumber(4), distantDeadline())).isEqualTo(Ok(Unit))
            expectThat(requestBodies).containsExactly("""{"kind":"load_model","model":"m","fencing":4}""")
        }
        val refusing = TestServer {
            service("/engine/orders") { _, _ ->
                HttpResponse.of(HttpStatus.CONFLICT, MediaType.JSON, """{"fencing":9}""")
            }
        }
        refusing.use { server ->
            val error = client
                .sendCommand(server.id, EngineCommand.SetRole("decode"), RevisionNumber(4), distantDeadline())
                .getError()

            expectThat(error).isEqualTo(BackendError.FencingRefused(RevisionNumber(9)))
        }
    }

    /** Guards against streams that delay each other, on one engine or on several. */
    @Test
    fun `many streams run concurrently`() = test {
        val writers = CopyOnWriteArrayList<HttpResponseWriter>()
        val ended = CopyOnWriteArrayList<List<DecodeEvent>>()
        streamingServer { writer -> writers += writer }.use { server ->
            val collectors = List(STREAM_COUNT) {
                launch { ended += client.decode(server.id, decode()).toList() }
            }
            awaitUntil { writers.size == STREAM_COUNT || ended.isNotEmpty() }
            expectThat(ended).isEmpty()
            writers.forEach { it.close() }
            collectors.forEach { it.join() }

            expectThat(ended).hasSize(STREAM_COUNT)
        }
    }

    private fun respondingServer(path: String, reply: String, requestBodies: MutableList<String>) = TestServer {
        service(path) { _, request ->
            HttpResponse.of(
                request.aggregate().thenApply {
                    requestBodies += it.contentUtf8()
                    HttpResponse.of(MediaType.JSON, reply)
                },
            )
        }
    }

    /** Streams the elements that [write] writes; several event loops of the server append to [contexts]. */
    private fun streamingServer(
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
        deadline = distantDeadline(),
    )

    private fun decode(deadline: Timestamp = distantDeadline()) = DecodeRequest(
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
        const val STREAM_COUNT = 40

        val ATTEMPT = AttemptId("a/1/1")
    }
}
