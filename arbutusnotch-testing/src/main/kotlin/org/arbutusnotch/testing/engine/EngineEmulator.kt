/*
 * Emulator of an inference engine: a program that serves the engine protocol for prefill, decode or both.
 */
package org.arbutusnotch.testing.engine

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientOptions
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import org.arbutusnotch.testing.http.aggregatedService
import org.arbutusnotch.testing.http.decodeJson
import org.arbutusnotch.testing.http.emulatorServer
import org.arbutusnotch.testing.http.jsonResponse
import org.arbutusnotch.testing.http.limitLogToErrors
import org.arbutusnotch.testing.http.serveUntilTerminated
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

private const val CONNECT_TIMEOUT_MILLIS = 1_000L
private const val MAX_KV_DESCRIPTION_BYTES = 65_536L

/** Starts the engine emulator. */
public fun main(args: Array<String>) {
    EngineEmulatorCommand().main(args)
}

private class EngineEmulatorCommand : CliktCommand(name = "engine-emulator") {
    private val listen by option("--listen", help = "Address to listen on, ip:port.").required()
    private val role by option("--role", help = "Work that the engine does.")
        .choice(EngineRole.entries.associateBy { it.code }).default(EngineRole.BOTH)
    private val slots by option("--slots", help = "Decode requests that run at a time.").int()
        .default(defaults.slots)
    private val waitingLimit by option("--waiting-limit", help = "Requests that wait; more get 429.").int()
        .default(defaults.waitingLimit)
    private val stepMicros by option("--step-micros", help = "Base time of a decode step.").long()
        .default(defaults.stepBase.inWholeMicroseconds)
    private val stepMicrosPerRequest by option("--step-micros-per-request", help = "Step time per request.").long()
        .default(defaults.stepPerRequest.inWholeMicroseconds)
    private val prefillMicrosPerToken by option("--prefill-micros-per-token", help = "Time per uncached token.")
        .double().default(defaults.prefillPerToken.inWholeNanoseconds / NANOS_PER_MICRO)
    private val maxParallelPrefills by option("--prefill-parallel", help = "Prefills that run at a time.").int()
        .default(defaults.maxParallelPrefills)
    private val retentionMillis by option("--retention-millis", help = "Time that a prefill result is kept.").long()
        .default(defaults.resultRetention.inWholeMilliseconds)
    private val linkTokensPerSecond by option("--link-tokens-per-second", help = "Rate of KV cache transfer.")
        .double().default(defaults.linkTokensPerSecond)
    private val cacheBlocks by option("--cache-blocks", help = "Blocks of the prefix cache.").int()
        .default(defaults.cacheBlocks)
    private val memoryBlocks by option("--memory-blocks", help = "Blocks of working memory.").int()
        .default(defaults.memoryBlocks)
    private val loadLagMillis by option("--load-lag-millis", help = "Age of the load report.").long()
        .default(defaults.loadLag.inWholeMilliseconds)
    private val eventLagMillis by option("--event-lag-millis", help = "Delay of cache events.").long()
        .default(defaults.eventLag.inWholeMilliseconds)
    private val lostEventShare by option("--lost-event-share", help = "Share of cache events that get lost.").double()
        .default(defaults.lostEventShare)
    private val checkFencingNumbers by option("--fencing", help = "Refuse orders with an old fencing number.").flag()
    private val releaseOnDisconnect by option("--release-on-disconnect", help = "Stop when the caller leaves.").flag()
    private val seed by option("--seed", help = "Seed of the lost cache events.").long().default(1)
    private val workerThreads by option("--worker-threads", help = "Number of event loops.").int().default(2)

    override fun run() {
        limitLogToErrors()
        EngineEmulator(settings()).server(workerThreads).serveUntilTerminated(listen)
    }

    private fun settings(): EngineSettings = EngineSettings(
        address = listen,
        role = role,
        slots = slots,
        waitingLimit = waitingLimit,
        stepBase = stepMicros.microseconds,
        stepPerRequest = stepMicrosPerRequest.microseconds,
        prefillPerToken = prefillMicrosPerToken.microseconds,
        maxParallelPrefills = maxParallelPrefills,
        resultRetention = retentionMillis.milliseconds,
        linkTokensPerSecond = linkTokensPerSecond,
        cacheBlocks = cacheBlocks,
        memoryBlocks = memoryBlocks,
        loadLag = loadLagMillis.milliseconds,
        eventLag = eventLagMillis.milliseconds,
        lostEventShare = lostEventShare,
        checkFencingNumbers = checkFencingNumbers,
        releaseOnDisconnect = releaseOnDisconnect,
        seed = seed,
    )

    private companion object {
        const val NANOS_PER_MICRO = 1_000.0
        val defaults = EngineSettings(address = "")
    }
}

/** Serves the engine protocol and the management calls under `/emulator/`. */
internal class EngineEmulator(private val settings: EngineSettings) {
    private val clients = ClientFactory.builder()
        .workerGroup(1)
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .build()
    private val engine = Engine(settings, ::fetchKv)

    fun server(workerThreads: Int): Server = emulatorServer(settings.address, workerThreads) {
        requestRoutes()
        reportRoutes()
        service(
            "/emulator/faults",
            aggregatedService { _, request ->
                engine.applyFault(request.decodeJson()).thenApply { HttpResponse.of(HttpStatus.NO_CONTENT) }
            },
        )
    }

    private fun ServerBuilder.requestRoutes() {
        service(
            "/engine/prefill",
            aggregatedService { context, request ->
                val call = request.decodeJson<PrefillCall>()
                context.whenRequestCancelling().thenRun { engine.onCallerDisconnected(call.attempt) }
                engine.prefill(call)
            },
        )
        service(
            "/engine/decode",
            aggregatedService { context, request ->
                val call = request.decodeJson<DecodeCall>()
                context.whenRequestCancelling().thenRun { engine.onCallerDisconnected(call.attempt) }
                engine.decode(call)
            },
        )
        service(
            "/engine/kv/{handle}",
            aggregatedService { context, _ ->
                engine.export(context.pathParam("handle").orEmpty(), context.whenRequestCancelling())
            },
        )
        service(
            "/engine/cancel",
            aggregatedService { _, request ->
                engine.cancel(request.decodeJson<CancelCall>().attempt).thenApply { jsonResponse(it) }
            },
        )
        service(
            "/engine/orders",
            aggregatedService { _, request ->
                engine.submitOrder(request.decodeJson()).thenApply { (accepted, reply) ->
                    jsonResponse(reply, if (accepted) HttpStatus.OK else HttpStatus.CONFLICT)
                }
            },
        )
    }

    private fun ServerBuilder.reportRoutes() {
        service("/engine/held", reportService { engine.heldReport().thenApply { jsonResponse(it) } })
        service("/engine/load", reportService { engine.loadReport().thenApply { jsonResponse(it) } })
        service("/emulator/statistics", reportService { engine.statistics().thenApply { jsonResponse(it) } })
        service(
            "/engine/cache-events",
            aggregatedService { context, _ ->
                val after = context.queryParam("after")?.toLongOrNull() ?: 0
                engine.cacheEvents(after).thenApply { jsonResponse(it) }
            },
        )
    }

    private fun reportService(report: () -> CompletableFuture<HttpResponse>): HttpService =
        aggregatedService { _, _ -> report() }

    private fun fetchKv(sourceServer: String, handle: String): HttpResponse = WebClient.builder("http://$sourceServer")
        .factory(clients)
        .option(ClientOptions.RESPONSE_TIMEOUT_MILLIS, 0L)
        .option(ClientOptions.MAX_RESPONSE_LENGTH, MAX_KV_DESCRIPTION_BYTES)
        .build()
        .get("/engine/kv/$handle")
}
