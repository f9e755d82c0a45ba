/*
 * Fixtures that start emulators in the test process and call them as a daemon does.
 */
package org.arbutusnotch.testing

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.Server
import org.arbutusnotch.testing.engine.DecodeCall
import org.arbutusnotch.testing.engine.EndLine
import org.arbutusnotch.testing.engine.EngineEmulator
import org.arbutusnotch.testing.engine.EngineFault
import org.arbutusnotch.testing.engine.EngineSettings
import org.arbutusnotch.testing.engine.EngineStatistics
import org.arbutusnotch.testing.engine.HeldReport
import org.arbutusnotch.testing.engine.PrefillCall
import org.arbutusnotch.testing.engine.PrefillReply
import org.arbutusnotch.testing.engine.TokenLine
import org.arbutusnotch.testing.http.limitLogToErrors
import org.arbutusnotch.testing.http.stopPromptly
import org.arbutusnotch.testing.http.wireJson
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture

internal const val MODEL = "briefing"

internal fun freeAddress(): String = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
    "127.0.0.1:${it.localPort}"
}

internal class RunningServer(val address: String, private val server: Server) : AutoCloseable {
    private val client = WebClient.builder("http://$address").responseTimeoutMillis(10_000).build()

    init {
        limitLogToErrors()
        server.start().join()
    }

    fun get(path: String): AggregatedHttpResponse = client.get(path).aggregate().join()

    fun send(method: HttpMethod, path: String, body: String): CompletableFuture<AggregatedHttpResponse> =
        start(method, path, body).aggregate()

    fun start(method: HttpMethod, path: String, body: String): HttpResponse =
        client.prepare().method(method).path(path).content(com.linecorp.armeria.common.MediaType.JSON, body).execute()

    inline fun <reified T> post(path: String, value: T): CompletableFuture<AggregatedHttpResponse> =
        send(HttpMethod.POST, path, wireJson.encodeToString(value))

    inline fun <reified T> read(path: String): T = wireJson.decodeFromString(get(path).contentUtf8())

    override fun close() {
        server.stopPromptly()
    }
}

internal fun startEngine(settings: (String) -> EngineSettings = { EngineSettings(it) }): RunningServer {
    val address = freeAddress()
    return RunningServer(address, EngineEmulator(settings(address)).server(workerThreads = 1))
}

internal fun RunningServer.injectFault(fault: EngineFault): AggregatedHttpResponse =
    post<EngineFault>("/emulator/faults", fault).join()

internal fun RunningServer.prefill(call: PrefillCall): PrefillReply =
    wireJson.decodeFromString(post("/engine/prefill", call).join().contentUtf8())

internal fun RunningServer.decode(call: DecodeCall): CompletableFuture<AggregatedHttpResponse> =
    post("/engine/decode", call)

internal fun RunningServer.heldReport(): HeldReport = read("/engine/held")

internal fun RunningServer.statistics(): EngineStatistics = read("/emulator/statistics")

/** Parses the lines of a decode stream. */
internal class DecodedStream(body: String) {
    private val lines = body.lines().filter { it.isNotEmpty() }
    val end: EndLine? = lines.lastOrNull()?.takeIf { "\"end\"" in it }?.let { wireJson.decodeFromString<EndLine>(it) }
    val tokens: List<TokenLine> =
        lines.filter { "\"token\"" in it }.map { wireJson.decodeFromString<TokenLine>(it) }
    val text: String = tokens.joinToString("") { it.token }
}

internal fun decodeCall(source: RunningServer, handle: String, attempt: String, maxTokens: Int) = DecodeCall(
    attempt = attempt,
    model = MODEL,
    sourceServer = source.address,
    handle = handle,
    maxTokens = maxTokens,
)

/** Waits until [condition], described by [description], holds; fails when that takes longer than [timeoutMillis]. */
internal fun awaitCondition(description: String, timeoutMillis: Long = 5_000, condition: () -> Boolean) {
    val deadline = System.nanoTime() + timeoutMillis * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) { "$description did not happen within $timeoutMillis ms" }
        Thread.sleep(10)
    }
}
