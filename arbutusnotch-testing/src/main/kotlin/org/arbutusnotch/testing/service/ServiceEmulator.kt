/*
 * Emulator of a plain service, such as one for bookings, check-ins, deliveries or lookups.
 */
package org.arbutusnotch.testing.service

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.testing.engine.CRASH_EXIT_CODE
import org.arbutusnotch.testing.engine.LoadHistory
import org.arbutusnotch.testing.engine.LoadReport
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.aggregatedService
import org.arbutusnotch.testing.http.decodeJson
import org.arbutusnotch.testing.http.emulatorServer
import org.arbutusnotch.testing.http.errorResponse
import org.arbutusnotch.testing.http.jsonResponse
import org.arbutusnotch.testing.http.limitLogToErrors
import org.arbutusnotch.testing.http.serveUntilTerminated
import org.arbutusnotch.testing.http.synchronousService
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

private const val NANOS_PER_MILLI = 1_000_000L
private const val DEFAULT_CALL_MILLIS = 20L
private const val DEFAULT_SLOTS = 16
private const val DEFAULT_LOAD_LAG_MILLIS = 2_000L

/** Starts the service emulator. */
public fun main(args: Array<String>) {
    ServiceEmulatorCommand().main(args)
}

private class ServiceEmulatorCommand : CliktCommand(name = "service-emulator") {
    private val listen by option("--listen", help = "Address to listen on, ip:port.").required()
    private val callMillis by option("--call-millis", help = "Time that a call takes.").long()
        .default(DEFAULT_CALL_MILLIS)
    private val slots by option("--slots", help = "Calls that run at a time; as many again wait.").int()
        .default(DEFAULT_SLOTS)
    private val loadLagMillis by option("--load-lag-millis", help = "Age of the load report.").long()
        .default(DEFAULT_LOAD_LAG_MILLIS)
    private val executionFile by option("--journal", help = "File that keeps the executions over a restart.").path()
    private val workerThreads by option("--worker-threads", help = "Number of event loops.").int().default(2)

    override fun run() {
        limitLogToErrors()
        val settings = ServiceSettings(listen, callMillis, slots, loadLagMillis, executionFile)
        ServiceEmulator(settings).server(workerThreads).serveUntilTerminated(listen)
    }
}

/** Describes a plain service. */
internal data class ServiceSettings(
    val address: String,
    val callMillis: Long = DEFAULT_CALL_MILLIS,
    val slots: Int = DEFAULT_SLOTS,
    val loadLagMillis: Long = DEFAULT_LOAD_LAG_MILLIS,
    val executionFile: Path? = null,
)

private class ServiceCall(
    val operation: String,
    val request: AggregatedHttpRequest,
    val reply: CompletableFuture<HttpResponse>,
)

/** Serves the service calls and the management calls under `/emulator/`. All state is confined to one thread. */
internal class ServiceEmulator(private val settings: ServiceSettings) {
    private val executor = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "service").apply { isDaemon = true }
    }
    private val executionLog = ExecutionLog(settings.executionFile)
    private val loadHistory = LoadHistory(settings.loadLagMillis * NANOS_PER_MILLI)
    private val faults = ServiceFaults()
    private val waitingCalls = ArrayDeque<ServiceCall>()
    private var activeCalls = 0

    fun server(workerThreads: Int): Server = emulatorServer(settings.address, workerThreads) {
        service("/call/{operation}", aggregatedService(::call))
        service("/service/load", aggregatedService { _, _ -> supplyOnExecutor { jsonResponse(loadReport()) } })
        service(
            "/emulator/executions",
            synchronousService { _, _ -> jsonResponse(executionLog.report(settings.address)) },
        )
        service(
            "/emulator/faults",
            aggregatedService { _, request ->
                val fault = request.decodeJson<ServiceFault>()
                supplyOnExecutor {
                    faults.apply(fault)
                    HttpResponse.of(HttpStatus.NO_CONTENT)
                }
            },
        )
    }

    private fun call(context: ServiceRequestContext, request: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val call = ServiceCall(context.pathParam("operation").orEmpty(), request, CompletableFuture())
        executor.execute { admit(call) }
        return call.reply
    }

    private fun admit(call: ServiceCall) {
        val refusalStatus = faults.refusalStatus()
        when {
            refusalStatus != null ->
                call.reply.complete(errorResponse(refusalStatus, "refused because of an injected fault"))

            activeCalls < settings.slots -> start(call)

            waitingCalls.size < settings.slots -> waitingCalls.addLast(call)

            else -> call.reply.complete(
                errorResponse(HttpStatus.TOO_MANY_REQUESTS, "all slots and queue places are in use"),
            )
        }
        recordLoad()
    }

    private fun start(call: ServiceCall) {
        activeCalls++
        val micros = (settings.callMillis * faults.slowdownFactor() * MICROS_PER_MILLI).toLong()
        executor.schedule({ finish(call) }, micros, TimeUnit.MICROSECONDS)
    }

    private fun finish(call: ServiceCall) {
        if (faults.crashesBefore(call.operation)) Runtime.getRuntime().halt(CRASH_EXIT_CODE)
        executionLog.add(executionOf(call))
        if (faults.crashesAfter(call.operation)) Runtime.getRuntime().halt(CRASH_EXIT_CODE)
        if (faults.consumeAnswerDrop()) {
            call.reply.complete(truncatedResponse())
        } else {
            val answer = ExpectedOutput.serviceAnswer(call.operation, call.request.content().array())
            call.reply.complete(HttpResponse.of(HttpStatus.OK, MediaType.JSON, answer))
        }
        activeCalls--
        waitingCalls.removeFirstOrNull()?.let(::start)
        recordLoad()
    }

    /** Returns a response that fails after its headers, so that the connection is closed or the stream reset. */
    private fun truncatedResponse(): HttpResponse = HttpResponse.streaming().apply {
        write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).build())
        close(AnswerDroppedException())
    }

    private fun executionOf(call: ServiceCall): Execution = Execution(
        operation = call.operation,
        idempotencyKey = call.request.headers().get("idempotency-key"),
        attempt = call.request.headers().get("x-attempt").orEmpty(),
        requestDigest = DigestUtils.sha256Hex(call.request.content().array()),
        epochMillis = System.currentTimeMillis(),
    )

    private fun recordLoad() =
        loadHistory.record(LoadReport(0, activeCalls, waitingCalls.size, settings.slots), System.nanoTime())

    private fun loadReport(): LoadReport =
        loadHistory.report(System.nanoTime(), System.currentTimeMillis(), LoadReport(0, 0, 0, settings.slots))

    private fun supplyOnExecutor(task: () -> HttpResponse): CompletableFuture<HttpResponse> =
        CompletableFuture.supplyAsync(task, executor)

    private companion object {
        const val MICROS_PER_MILLI = 1_000
    }
}

/** Signals that an injected fault dropped the answer to a call. */
internal class AnswerDroppedException : RuntimeException("the emulator dropped the answer because of an injected fault")
