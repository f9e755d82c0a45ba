/*
 * Checks the engine emulator. It is the oracle of the failure tests, so its own faults would hide those of the router.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.DecodedStream
import org.arbutusnotch.testing.MODEL
import org.arbutusnotch.testing.RunningServer
import org.arbutusnotch.testing.awaitCondition
import org.arbutusnotch.testing.decode
import org.arbutusnotch.testing.decodeCall
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.heldReport
import org.arbutusnotch.testing.http.wireJson
import org.arbutusnotch.testing.injectFault
import org.arbutusnotch.testing.prefill
import org.arbutusnotch.testing.startEngine
import org.arbutusnotch.testing.statistics
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.filter
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.map
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

class EngineEmulatorTest {
    private val engines = mutableListOf<RunningServer>()
    private val prompt = "tower log ".repeat(1_000)

    private fun engine(settings: (String) -> EngineSettings = ::EngineSettings): RunningServer =
        startEngine(settings).also { engines += it }

    @AfterEach
    fun stop() = engines.forEach { it.close() }

    private fun prefillCall(attempt: String, text: String = prompt) = PrefillCall(attempt, model = MODEL, prompt = text)

    /** Guards against a wrong oracle: the load generator compares answers with these exact bytes. */
    @Test
    fun `a decode on another engine returns the expected output of the prompt`() {
        val prefill = engine { EngineSettings(it, EngineRole.PREFILL) }
        val decode = engine { EngineSettings(it, EngineRole.DECODE) }
        val handle = prefill.prefill(prefillCall("a/1/1")).handle

        val stream = DecodedStream(decode.decode(decodeCall(prefill, handle, "a/1/1", 8)).join().contentUtf8())

        expectThat(stream.text).isEqualTo(ExpectedOutput.text(MODEL, prompt, 8))
        expectThat(stream.end?.tokens).isEqualTo(8)
        expectThat(prefill.heldReport().held).isEmpty()
        expectThat(decode.heldReport().held).isEmpty()
        expectThat(prefill.statistics().prefillResultsUsed).isEqualTo(1)
    }

    /** Guards against a resumed stream that repeats or skips tokens. */
    @Test
    fun `a resumed decode starts at the requested token index`() {
        val engine = engine()
        val handle = engine.prefill(prefillCall("a/1/1")).handle

        val call = decodeCall(engine, handle, "a/1/2", 8).copy(firstTokenIndex = 5)
        val stream = DecodedStream(engine.decode(call).join().contentUtf8())

        expectThat(stream.tokens).map { it.index }.isEqualTo(listOf(5, 6, 7))
        expectThat(stream.tokens.first().token)
            .isEqualTo(ExpectedOutput.token(MODEL, ExpectedOutput.promptDigest(prompt), 5))
    }

    /** Guards against a prefill result that is kept forever, which would hide wasted prefill work. */
    @Test
    fun `an unused prefill result expires and counts as wasted`() {
        val engine = engine { EngineSettings(it, resultRetention = 100.milliseconds) }
        val handle = engine.prefill(prefillCall("a/1/1")).handle
        awaitCondition("expiry") { engine.heldReport().held.isEmpty() }

        expectThat(engine.statistics().prefillTokensWasted).isEqualTo(2_500)
        expectThat(engine.decode(decodeCall(engine, handle, "a/1/1", 4)).join().status()).isEqualTo(HttpStatus.GONE)
    }

    /** Guards against a prefix cache without hits, which would make cache-aware placement look useless. */
    @Test
    fun `a second prefill of a prompt finds its complete blocks in the cache`() {
        val engine = engine { EngineSettings(it, eventLag = 0.milliseconds, lostEventShare = 0.0) }
        engine.prefill(prefillCall("a/1/1"))

        expectThat(engine.prefill(prefillCall("a/1/2")).cachedTokens).isEqualTo(2_048)
        expectThat(engine.read<CacheEvents>("/engine/cache-events?after=0").events).map { it.prefixDigest }
            .isEqualTo(ExpectedOutput.prefixDigests(prompt))
    }

    /** Guards against a cancellation that leaks memory. */
    @Test
    fun `a cancellation releases a running decode`() {
        val engine = engine()
        val handle = engine.prefill(prefillCall("a/1/1")).handle
        val stream = engine.decode(decodeCall(engine, handle, "a/1/1", 10_000))
        awaitCondition("start") { engine.statistics().tokensGenerated > 0 }
        expectThat(engine.heldReport().held.single().pieces).isGreaterThan(2)

        val reply = engine.post("/engine/cancel", CancelCall("a/1/1")).join()

        expectThat(wireJson.decodeFromString<CancelReply>(reply.contentUtf8()).released).isTrue()
        expectThat(engine.heldReport().held).isEmpty()
        expectThat(runCatching { stream.join() }.isSuccess).isFalse()
    }

    /** Guards against an engine that continues work after its deadline. */
    @Test
    fun `a running decode ends at its deadline`() {
        val engine = engine()
        val handle = engine.prefill(prefillCall("a/1/1")).handle
        val call = decodeCall(engine, handle, "a/1/1", 10_000)
            .copy(deadlineEpochMillis = System.currentTimeMillis() + 200)

        expectThat(runCatching { engine.decode(call).join() }.isSuccess).isFalse()
        expectThat(engine.heldReport().held).isEmpty()
    }

    /** Guards against an engine without a capacity limit, which would make admission control look useless. */
    @Test
    fun `a decode is refused with 429 when all slots are in use`() {
        val engine = engine { EngineSettings(it, slots = 1, waitingLimit = 0) }
        val first = engine.prefill(prefillCall("a/1/1")).handle
        engine.decode(decodeCall(engine, first, "a/1/1", 10_000))
        awaitCondition("start") { engine.statistics().tokensGenerated > 0 }
        val second = engine.prefill(prefillCall("a/1/2")).handle

        expectThat(engine.decode(decodeCall(engine, second, "a/1/2", 4)).join().status())
            .isEqualTo(HttpStatus.TOO_MANY_REQUESTS)
    }

    /** Guards against an emulator that ignores priorities. */
    @Test
    fun `a waiting prefill with a higher priority runs first`() {
        val engine = engine { EngineSettings(it, maxParallelPrefills = 1, prefillPerToken = 100.microseconds) }
        val lowPriority = (1..3).map { number ->
            engine.post("/engine/prefill", prefillCall("a/1/$number", "log $number ".repeat(400)))
        }
        awaitCondition("queue") { engine.heldReport().held.size == 3 }
        val highPriority =
            engine.post("/engine/prefill", prefillCall("a/1/9", "urgent ".repeat(400)).copy(priority = 9))
        highPriority.join()

        expectThat(lowPriority.count { it.isDone }).isLessThan(3)
    }

    /** Guards against a slow fault that does not slow down decode steps. */
    @Test
    fun `a slow fault increases the time between tokens`() {
        val engine = engine()
        val normalMillis = measureTimeMillis { decodeOnce(engine, "a/1/1") }
        engine.injectFault(EngineFault.Slow(5.0, 10_000))
        val slowedMillis = measureTimeMillis { decodeOnce(engine, "a/1/2") }

        expectThat(slowedMillis).isGreaterThan(normalMillis * 2)
    }

    /** Guards against a stalled transfer that keeps its slot after the decode was cancelled. */
    @Test
    fun `a cancellation releases a stalled transfer`() {
        val engine = engine()
        engine.injectFault(EngineFault.StallTransfer(durationMillis = 60_000))
        val handle = engine.prefill(prefillCall("a/1/1")).handle
        val stream = engine.decode(decodeCall(engine, handle, "a/1/1", 4))
        awaitCondition("import") { engine.heldReport().held.any { it.kind == "decode" } }
        engine.post("/engine/cancel", CancelCall("a/1/1")).join()

        expectThat(stream.join().status()).isNotEqualTo(HttpStatus.OK)
        awaitCondition("release") { engine.heldReport().held.isEmpty() }
    }

    /** Guards against a foreign token fault that the router could not detect. */
    @Test
    fun `a foreign token carries the id of another attempt`() {
        val engine = engine()
        engine.injectFault(EngineFault.ForeignToken(1))
        val handle = engine.prefill(prefillCall("a/1/1")).handle
        val stream = DecodedStream(engine.decode(decodeCall(engine, handle, "a/1/1", 4)).join().contentUtf8())

        expectThat(stream.tokens).filter { it.attempt != "a/1/1" }.hasSize(1)
        expectThat(stream.tokens).filter { it.attempt == "a/1/1" }.hasSize(4)
    }

    /** Guards against a dropped stream that looks complete. */
    @Test
    fun `a dropped stream has no end line`() {
        val engine = engine()
        engine.injectFault(EngineFault.DropStreams(afterTokens = 2))
        val handle = engine.prefill(prefillCall("a/1/1")).handle
        val lines = StringBuilder()
        val response = engine.start(
            HttpMethod.POST,
            "/engine/decode",
            wireJson.encodeToString(decodeCall(engine, handle, "a/1/1", 4)),
        ).mapData { data -> data.also { lines.append(it.toStringUtf8()) } }

        expectThat(runCatching { response.aggregate().join() }.isSuccess).isFalse()
        expectThat(DecodedStream(lines.toString()).end).isNull()
    }

    /** Guards against an engine that ignores fencing numbers with `--fencing`, or checks them without it. */
    @Test
    fun `only an engine that checks fencing numbers refuses an old order`() {
        val order = OrderCall("load_model", model = "m", fencing = 7)
        listOf(true to HttpStatus.CONFLICT, false to HttpStatus.OK).forEach { (checkFencingNumbers, expected) ->
            val engine = engine { EngineSettings(it, checkFencingNumbers = checkFencingNumbers) }
            engine.post("/engine/orders", order).join()
            val reply = engine.post("/engine/orders", order.copy(fencing = 6)).join()
            expectThat(reply.status()).isEqualTo(expected)
            expectThat(reply.contentUtf8()).contains("\"fencing\":7")
        }
    }

    /** Guards against a load report without lag, which real engines do not have. */
    @Test
    fun `the load report lags behind the load`() {
        val engine = engine { EngineSettings(it, loadLag = 300.milliseconds) }
        val handle = engine.prefill(prefillCall("a/1/1")).handle
        engine.decode(decodeCall(engine, handle, "a/1/1", 10_000))
        awaitCondition("start") { engine.statistics().tokensGenerated > 0 }

        expectThat(engine.read<LoadReport>("/engine/load").active).isEqualTo(0)
        awaitCondition("report") { engine.read<LoadReport>("/engine/load").active == 1 }
    }

    /** Guards against parallel prefills that run as fast as a single one. */
    @Test
    fun `parallel prefills slow each other down`() {
        val engine = engine { EngineSettings(it, prefillPerToken = 100.microseconds) }
        val aloneMillis = measureTimeMillis { engine.prefill(prefillCall("a/1/1", "a".repeat(8_000))) }
        val togetherMillis = measureTimeMillis {
            listOf("b", "c").mapIndexed { index, text ->
                engine.post("/engine/prefill", prefillCall("b/1/$index", text.repeat(8_000)))
            }.forEach { it.join() }
        }

        expectThat(aloneMillis).isGreaterThan(190)
        expectThat(togetherMillis).isGreaterThan(390)
    }

    /** Guards against output that does not distinguish prompts or token indexes, which would hide wrong answers. */
    @Test
    fun `tokens differ between prompts and between indexes`() {
        val tokens = (0 until 100).map { ExpectedOutput.token(MODEL, ExpectedOutput.promptDigest("a"), it) }
        expectThat(tokens.toSet()).hasSize(100)
        expectThat(ExpectedOutput.text(MODEL, "b", 100)).isNotEqualTo(tokens.joinToString(""))
        expectThat(tokens).all { get { startsWith(" ") }.isTrue() }
    }

    private fun decodeOnce(engine: RunningServer, attempt: String) {
        val handle = engine.prefill(prefillCall(attempt)).handle
        engine.decode(decodeCall(engine, handle, attempt, 20)).join()
    }
}
