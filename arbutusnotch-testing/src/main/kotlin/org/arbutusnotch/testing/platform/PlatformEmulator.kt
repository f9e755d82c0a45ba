/*
 * Emulator of the platform: a program that serves the configuration value and the instance list.
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
import org.arbutusnotch.testing.http.aggregatedService
import org.arbutusnotch.testing.http.decodeJson
import org.arbutusnotch.testing.http.emulatorServer
import org.arbutusnotch.testing.http.errorResponse
import org.arbutusnotch.testing.http.jsonResponse
import org.arbutusnotch.testing.http.limitLogToErrors
import org.arbutusnotch.testing.http.serveUntilTerminated
import org.arbutusnotch.testing.http.synchronousService
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.io.path.readBytes
import kotlin.io.path.readText

private const val MAX_CONFIGURATION_BYTES = 1_048_576
private const val MAX_WAIT_MILLIS = 60_000L
private const val DEFAULT_CALLS_PER_SECOND = 2_000
private const val DEFAULT_LIST_LAG_MILLIS = 2_000L

/** Starts the platform emulator. */
public fun main(args: Array<String>) {
    PlatformEmulatorCommand().main(args)
}

private class PlatformEmulatorCommand : CliktCommand(name = "platform-emulator") {
    private val listen by option("--listen", help = "Address to listen on, ip:port.").required()
    private val config by option("--config", help = "File with the first version of the configuration.").path()
    private val instances by option("--instances", help = "JSON file with the first instance list.").path()
    private val listLagMillis by option("--list-lag-millis", help = "Time until an instance list is published.").long()
        .default(DEFAULT_LIST_LAG_MILLIS)
    private val callsPerSecond by option("--calls-per-second", help = "Budget over all readers.").int()
        .default(DEFAULT_CALLS_PER_SECOND)
    private val workerThreads by option("--worker-threads", help = "Number of event loops.").int().default(2)

    override fun run() {
        limitLogToErrors()
        val platform = PlatformEmulator(callsPerSecond, listLagMillis)
        config?.let { platform.store.putConfiguration(it.readBytes()) }
        instances?.let {
            val update = wireJson.decodeFromString<InstanceUpdate>(it.readText())
            platform.store.putInstances(update.instances, immediately = true)
        }
        platform.server(listen, workerThreads).serveUntilTerminated(listen)
    }
}

/** Serves the platform API and the management calls under `/emulator/`. */
internal class PlatformEmulator(callsPerSecond: Int, listLagMillis: Long) {
    private val clock: () -> Long = System::currentTimeMillis

    val store: PlatformStore = PlatformStore(listLagMillis, clock)
    private val rateLimiter = CallRateLimiter(callsPerSecond, clock, store::pendingWatches)

    fun server(address: String, workerThreads: Int): Server = emulatorServer(address, workerThreads) {
        service("/platform/config", rateLimited(::watchConfiguration))
        service("/platform/instances", rateLimited { _, _ -> completed(jsonResponse(store.visibleInstances())) })
        service("/emulator/config", synchronousService { _, request -> putConfiguration(request) })
        service(
            "/emulator/instances",
            synchronousService { _, request ->
                store.putInstances(request.decodeJson<InstanceUpdate>().instances)
                HttpResponse.of(HttpStatus.NO_CONTENT)
            },
        )
        service(
            "/emulator/faults",
            synchronousService { _, request ->
                store.apply(request.decodeJson<PlatformFault>())
                HttpResponse.of(HttpStatus.NO_CONTENT)
            },
        )
    }

    private fun putConfiguration(request: AggregatedHttpRequest): HttpResponse {
        if (request.content().length() > MAX_CONFIGURATION_BYTES) {
            return errorResponse(
                HttpStatus.REQUEST_ENTITY_TOO_LARGE,
                "the configuration exceeds $MAX_CONFIGURATION_BYTES bytes",
            )
        }
        return jsonResponse(mapOf("version" to store.putConfiguration(request.content().array())))
    }

    private fun rateLimited(
        handler: (ServiceRequestContext, AggregatedHttpRequest) -> CompletableFuture<HttpResponse>,
    ): HttpService = aggregatedService { context, request ->
        when {
            !rateLimiter.tryAcquire() ->
                completed(errorResponse(HttpStatus.TOO_MANY_REQUESTS, "the call rate limit is exceeded"))

            store.isDown ->
                completed(errorResponse(HttpStatus.SERVICE_UNAVAILABLE, "down because of an injected fault"))

            else -> handler(context, request)
        }
    }

    private fun watchConfiguration(
        context: ServiceRequestContext,
        @Suppress("UNUSED_PARAMETER") request: AggregatedHttpRequest,
    ): CompletableFuture<HttpResponse> {
        val afterVersion = context.queryParam("after")?.toLongOrNull() ?: 0
        val waitMillis = (context.queryParam("wait_millis")?.toLongOrNull() ?: 0).coerceIn(0, MAX_WAIT_MILLIS)
        val watch = store.watch()
        if (hasVersionAfter(afterVersion) || waitMillis == 0L) watch.complete(Unit)
        context.whenRequestCancelling().thenRun { watch.complete(Unit) }
        return watch.completeOnTimeout(Unit, waitMillis, TimeUnit.MILLISECONDS)
            .thenApply { versionResponse(afterVersion) }
    }

    private fun hasVersionAfter(afterVersion: Long): Boolean =
        store.visibleVersion().let { it != null && it.version > afterVersion }

    private fun versionResponse(afterVersion: Long): HttpResponse {
        val visible = store.visibleVersion()
        return when {
            store.isDown -> errorResponse(HttpStatus.SERVICE_UNAVAILABLE, "down because of an injected fault")

            visible == null || visible.version <= afterVersion -> HttpResponse.of(HttpStatus.NOT_MODIFIED)

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
