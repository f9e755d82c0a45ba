/*
 * Stands in for a plain service: bookings, check-ins, deliveries and lookups.
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
import org.arbutusnotch.testing.http.aggregated
import org.arbutusnotch.testing.http.emulatorServer
import org.arbutusnotch.testing.http.immediate
import org.arbutusnotch.testing.http.json
import org.arbutusnotch.testing.http.jsonResponse
import org.arbutusnotch.testing.http.problem
import org.arbutusnotch.testing.http.quietLog
import org.arbutusnotch.testing.http.serveUntilTerminated
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
    private val journal by option("--journal", help = "File that keeps the executions over a restart.").path()
    private val workerThreads by option("--worker-threads", help = "Number of event loops.").int().default(2)

    override fun run() {
        quietLog()
        val settings = ServiceSettings(listen, callMillis, slots, loadLagMillis, journal)
        ServiceEmulator(settings).server(workerThreads).serveUntilTerminated(listen)
    }
}

/** Describes a plain service. */
internal data class ServiceSettings(
    val address: String,
    val callMillis: Long = DEFAULT_CALL_MILLIS,
    val slots: Int = DEFAULT_SLOTS,
    val loadLagMillis: Long = DEFAULT_LOAD_LAG_MILLIS,
    val journal: Path? = null,
)

private class ServiceCall(
    val operation: String,
    val request: AggregatedHttpRequest,
    val reply: CompletableFuture<HttpResponse>,
)

/** Serves the service calls and the management calls under `/emulator/`; all state changes on one thread. */
internal class ServiceEmulator(private val settings: ServiceSettings) {
    private val thread = ScheduledThreadPoolExecutor(1) { task ->
        Thread(task, "service").apply { isDaemon = true }
    }
    private val log = ExecutionLog(settings.journal)
    private val load = LoadHistory(settings.loadLagMillis * NANOS_PER_MILLI)
    private val faults = ServiceFaults()
    private val waiting = ArrayDeque<ServiceCall>()
    private var active = 0

    fun server(workerThreads: Int): Server = emulatorServer(settings.address, workerThreads) {
        service("/call/{operation}", aggregated(::call))
        service("/service/load", aggregated { _, _ -> ask { jsonResponse(loadReport()) } })
        service("/emulator/executions", immediate { _, _ -> jsonResponse(log.report(settings.address)) })
        service(
            "/emulator/faults",
            aggregated { _, request ->
                val fault = request.json<ServiceFault>()
                ask {
                    faults.apply(fault)
                    HttpResponse.of(HttpStatus.NO_CONTENT)
                }
            },
        )
    }

    private fun call(context: ServiceRequestContext, request: AggregatedHttpRequest): CompletableFuture<HttpResponse> {
        val call = ServiceCall(context.pathParam("operation").orEmpty(), request, CompletableFuture())
        thread.execute { accept(call) }
        return call.reply
    }

    private fun accept(call: ServiceCall) {
        val refusal = faults.refusal()
        when {
            refusal != null -> call.reply.complete(problem(refusal, "refused on command"))
            active < settings.slots -> start(call)
            waiting.size < settings.slots -> waiting.addLast(call)
            else -> call.reply.complete(problem(HttpStatus.TOO_MANY_REQUESTS, "slots are full"))
        }
        recordLoad()
    }

    private fun start(call: ServiceCall) {
        active++
        val micros = (settings.callMillis * faults.slowness() * MICROS_PER_MILLI).toLong()
        thread.schedule({ finish(call) }, micros, TimeUnit.MICROSECONDS)
    }

    private fun finish(call: ServiceCall) {
        if (faults.crashesBefore(call.operation)) Runtime.getRuntime().halt(CRASH_EXIT_CODE)
        log.add(execution(call))
        if (faults.crashesAfter(call.operation)) Runtime.getRuntime().halt(CRASH_EXIT_CODE)
        if (faults.takeDrop()) {
            call.reply.complete(brokenAnswer())
        } else {
            val answer = ExpectedOutput.serviceAnswer(call.operation, call.request.content().array())
            call.reply.complete(HttpResponse.of(HttpStatus.OK, MediaType.JSON, answer))
        }
        active--
        waiting.removeFirstOrNull()?.let(::start)
        recordLoad()
    }

    /** Returns a response that breaks after its headers, which closes the connection or resets the stream. */
    private fun brokenAnswer(): HttpResponse = HttpResponse.streaming().apply {
        write(ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).build())
        close(AnswerDropped())
    }

    private fun execution(call: ServiceCall): Execution = Execution(
        operation = call.operation,
        idempotencyKey = call.request.headers().get("idempotency-key"),
        attempt = call.request.headers().get("x-attempt").orEmpty(),
        requestDigest = DigestUtils.sha256Hex(call.request.content().array()),
        epochMillis = System.currentTimeMillis(),
    )

    private fun recordLoad() = load.record(LoadReport(0, active, waiting.size, settings.slots), System.nanoTime())

    private fun loadReport(): LoadReport =
        load.report(System.nanoTime(), System.currentTimeMillis(), LoadReport(0, 0, 0, settings.slots))

    private fun ask(task: () -> HttpResponse): CompletableFuture<HttpResponse> =
        CompletableFuture.supplyAsync(task, thread)

    private companion object {
        const val MICROS_PER_MILLI = 1_000
    }
}

/** Signals that a fault broke the connection. */
internal class AnswerDropped : RuntimeException("the answer was dropped on command")
