/*
 * Shared HTTP support of the emulators: an Armeria server on loopback with few threads, JSON bodies and a log that is
 * limited to errors.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.testing.http

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private const val MAX_REQUEST_BYTES = 4L * 1024 * 1024
private const val STOP_TIMEOUT_MILLIS = 200L

/** Encodes and decodes the JSON of all emulators; property names are in snake case on the wire. */
public val wireJson: Json = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
    classDiscriminator = "kind"
}

/**
 * Limits the log to errors, so that standard output carries only the lines that the program itself prints. Armeria logs
 * a warning for every stream that an injected fault breaks.
 */
internal fun limitLogToErrors() {
    (LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as? Logger)?.level = Level.ERROR
}

/** Builds an Armeria server for [address], `ip:port`, with [workerThreads] event loops. */
internal fun emulatorServer(address: String, workerThreads: Int, routes: ServerBuilder.() -> Unit): Server {
    val builder = Server.builder()
        .http(socketAddress(address))
        .workerGroup(workerThreads)
        .blockingTaskExecutor(1)
        .requestTimeoutMillis(0)
        .maxRequestLength(MAX_REQUEST_BYTES)
        .gracefulShutdownTimeoutMillis(0, STOP_TIMEOUT_MILLIS)
    builder.routes()
    return builder.build()
}

/** Starts the server, prints `listening=<address>` and returns when the server is closed. */
internal fun Server.serveUntilTerminated(address: String) {
    start().join()
    Runtime.getRuntime().addShutdownHook(Thread { stopPromptly() })
    println("listening=$address")
    System.out.flush()
    whenClosed().join()
}

/**
 * Closes the port and the connections. Waits only long enough for that, because the event loops take seconds to
 * terminate.
 */
internal fun Server.stopPromptly() {
    try {
        stop().get(2 * STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    } catch (_: TimeoutException) {
        // The port is closed by now; only the event loops are still terminating.
    }
}

/** Parses [address], `ip:port`. */
internal fun socketAddress(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

/**
 * Creates a service that reads the complete request body before it runs [handler]. A body that is not valid JSON is
 * answered with status 400.
 */
internal fun aggregatedService(
    handler: (ServiceRequestContext, AggregatedHttpRequest) -> CompletableFuture<HttpResponse>,
): HttpService = HttpService { context, request ->
    HttpResponse.of(
        request.aggregate().thenCompose { aggregated ->
            try {
                handler(context, aggregated)
            } catch (failure: SerializationException) {
                CompletableFuture.completedFuture(errorResponse(HttpStatus.BAD_REQUEST, failure.message.orEmpty()))
            }
        },
    )
}

/** Creates a service whose [handler] returns the response synchronously. */
internal fun synchronousService(handler: (ServiceRequestContext, AggregatedHttpRequest) -> HttpResponse): HttpService =
    aggregatedService { context, request -> CompletableFuture.completedFuture(handler(context, request)) }

/** Decodes the body as JSON. */
internal inline fun <reified T> AggregatedHttpRequest.decodeJson(): T = wireJson.decodeFromString<T>(contentUtf8())

/** Returns [value] as a JSON response. */
internal inline fun <reified T> jsonResponse(value: T, status: HttpStatus = HttpStatus.OK): HttpResponse =
    HttpResponse.of(status, MediaType.JSON, wireJson.encodeToString(value))

/** Returns an error response with a JSON body that contains [message]. */
internal fun errorResponse(status: HttpStatus, message: String): HttpResponse =
    jsonResponse(mapOf("error" to message), status)
