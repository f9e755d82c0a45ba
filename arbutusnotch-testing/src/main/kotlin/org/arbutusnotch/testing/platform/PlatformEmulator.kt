/*
 * Stands in for the platform: the configuration service and the instance list.
 */
package org.arbutusnotch.testing.platform

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import org.arbutusnotch.testing.http.aggregated
import org.arbutusnotch.testing.http.emulatorServer
import org.arbutusnotch.testing.http.immediate
import org.arbutusnotch.testing.http.json
import org.arbutusnotch.testing.http.jsonResponse
import org.arbutusnotch.testing.http.problem
import org.arbutusnotch.testing.http.quietLog
import org.arbutusnotch.testing.http.serveUntilTerminated
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.readBytes
import kotlin.io.path.readText

private const val MAX_VALUE_BYTES = 1_048_576
private const val MAX_WAIT_MILLIS = 60_000L
private const val DEFAULT_CALLS_PER_SECOND = 2_000
private const val DEFAULT_LAG_MILLIS = 2_000L

/** Starts the platform emulator. */
public fun main(args: Array<String>) {
    PlatformEmulatorCommand().main(args)
}

private class PlatformEmulatorCommand : CliktCommand(name = "platform-emulator") {
    private val listen by option("--listen", help = "Address to listen on, ip:port.").required()
    private val config by option("--config", help = "File with the first version of the configuration.").path()
    private val instances by option("--instances", help = "JSON file with the first instance list.").path()
    private val lagMillis by option("--list-lag-millis", help = "Time until an instance list is published.").long()
        .default(DEFAULT_LAG_MILLIS)
    private val callsPerSecond by option("--calls-per-second", help = "Budget over all readers.").int()
        .default(DEFAULT_CALLS_PER_SECOND)
    private val workerThreads by option("--worker-threads", help = "Number of event loops.").int().default(2)

    override fun run() {
        quietLog()
        val platform = PlatformEmulator(callsPerSecond, lagMillis)
        config?.let { platform.store.putConfiguration(it.readBytes()) }
        instances?.let {
            val update = wireJson.decodeFromString<InstanceUpdate>(it.readText())
            platform.store.putInstances(update.instances, immediately = true)
        }
        platform.server(listen, workerThreads).serveUntilTerminated(listen)
    }
}

/** Serves the platform calls and the management calls under `/emulator/`. */
internal class PlatformEmulator(callsPerSecond: Int, lagMillis: Long) {
    private val clock: () -> Long = System::currentTimeMillis

    val store: PlatformStore = PlatformStore(lagMillis, clock)
    private val budget = CallBudget(callsPerSecond, clock, store::pendingWatches)

    fun server(address: String, workerThreads: Int): Server = emulatorServer(address, workerThreads) {
        service("/platform/config", limited(::configuration))
        service("/platform/instances", limited { _, _ -> completed(jsonResponse(store.listing())) })
        service("/emulator/config", immediate { _, request -> putConfiguration(request) })
        service(
            "/emulator/instances",
            immediate { _, request ->
                store.putInstances(request.json<InstanceUpdate>().instances)
                HttpResponse.of(HttpStatus.NO_CONTENT)
            },
        )
        service(
            "/emulator/faults",
            immediate { _, request ->
                store.apply(request.json<PlatformFault>())
                HttpResponse.of(HttpStatus.NO_CONTENT)
            },
        )
    }

    private fun putConfiguration(request: AggregatedHttpRequest): HttpResponse {
        if (request.content().length() > MAX_VALUE_BYTES) {
            return problem(HttpStatus.REQUEST_ENTITY_TOO_LARGE, "a value has at most $MAX_VALUE_BYTES bytes")
        }
        return jsonResponse(mapOf("version" to store.putConfiguration(request.content().array())))
    }

    private fun limited(
        answer: (ServiceRequestContext, AggregatedHttpRequest) -> CompletableFuture<HttpResponse>,
    ): HttpService = aggregated { context, request ->
        when {
            !budget.tryCall() -> completed(problem(HttpStatus.TOO_MANY_REQUESTS, "call budget spent"))
            store.isDown -> completed(problem(HttpStatus.SERVICE_UNAVAILABLE, "down"))
            else -> answer(context, request)
        }
    }

    private fun configuration(
        context: ServiceRequestContext,
        @Suppress("UNUSED_PARAMETER") request: AggregatedHttpRequest,
    ): CompletableFuture<HttpResponse> {
        val after = context.queryParam("after")?.toLongOrNull() ?: 0
        val waitMillis = (context.queryParam("wait_millis")?.toLongOrNull() ?: 0).coerceIn(0, MAX_WAIT_MILLIS)
        val watch = store.watch()
        if (changedSince(after) || waitMillis == 0L) watch.complete(Unit)
        context.whenRequestCancelling().thenRun { watch.complete(Unit) }
        return watch.completeOnTimeout(Unit, waitMillis, TimeUnit.MILLISECONDS).thenApply { versionResponse(after) }
    }

    private fun changedSince(after: Long): Boolean = store.visibleVersion().let { it != null && it.version > after }

    private fun versionResponse(after: Long): HttpResponse {
        val visible = store.visibleVersion()
        return when {
            store.isDown -> problem(HttpStatus.SERVICE_UNAVAILABLE, "down")

            visible == null || visible.version <= after -> HttpResponse.of(HttpStatus.NOT_MODIFIED)

            else -> HttpResponse.of(
                ResponseHeaders.builder(HttpStatus.OK)
                    .contentType(MediaType.OCTET_STREAM)
                    .add("x-store-version", visible.version.toString())
                    .build(),
                HttpData.wrap(visible.bytes),
            )
        }
    }

    private fun completed(response: HttpResponse): CompletableFuture<HttpResponse> =
        CompletableFuture.completedFuture(response)
}
