/*
 * HTTP requests to backend servers and the classification of their failures.
 *
 * HTTP/1.1 is used with one connection per running request: cancelling a request closes only its own connection, a slow
 * stream does not consume the flow-control window of another, and a server cannot report a written request as
 * unprocessed, as HTTP/2 permits.
 */
package org.arbutusnotch.daemon.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryBuilder
import com.linecorp.armeria.client.ClientFactoryOptions
import com.linecorp.armeria.client.ClientRequestContext
import com.linecorp.armeria.client.Clients
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.ResponseTimeoutException
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.logging.RequestLogProperty
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.future.await
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.http.ResponseGuard
import java.time.Duration
import java.util.function.Consumer
import kotlin.time.Duration.Companion.milliseconds

/** Creates the client factory, with its connection pool, for backend servers; the caller closes it. */
public fun backendClientFactory(): ClientFactory = ClientFactory.builder()
    .connectTimeout(CONNECT_TIMEOUT)
    .idleTimeout(CONNECTION_IDLE_TIMEOUT)
    .useHttp1Pipelining(false)
    .maxNumEventLoopsPerHttp1Endpoint(1)
    .rejectMalformedResponses()
    .build()

/** Creates the client factory of the daemon, which uses [workerThreads] threads; the caller closes it. */
internal fun daemonClientFactory(workerThreads: Int): ClientFactory = ClientFactory.builder()
    .workerGroup(workerThreads)
    .rejectMalformedResponses()
    .build()

/** Breaks off a response in whose head Armeria would accept lines that are no header fields. */
private fun ClientFactoryBuilder.rejectMalformedResponses(): ClientFactoryBuilder =
    option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, Consumer { it.addFirst(ResponseGuard()) })

/**
 * Describes one request to [server].
 *
 * @property path path and query, percent-encoded
 * @property maximumResponseBytes limit of the response body; 0 for none
 */
internal data class BackendCall(
    val server: BackendServerId,
    val method: HttpMethod,
    val path: String,
    val deadline: Timestamp,
    val headers: HttpHeaders = HttpHeaders.of(),
    val body: HttpData = HttpData.empty(),
    val maximumResponseBytes: Long = DEFAULT_MAXIMUM_RESPONSE_BYTES,
)

/** Holds the response of a request that was started. */
internal class StartedCall(val response: HttpResponse, private val context: ClientRequestContext) {
    /** Returns the error for [failure], which the response threw. */
    fun classify(failure: Throwable): BackendError {
        val causes = generateSequence(failure) { it.cause }.toList()
        val detail = describe(causes.last())
        return when {
            causes.any { it is UnprocessedRequestException } && !isHeadWritten() -> BackendError.NotConnected(detail)
            causes.any { it is ResponseTimeoutException } -> BackendError.TimedOut(mayHaveBeenReceived = true)
            causes.any { it is ContentTooLargeException } -> BackendError.Malformed("response exceeds the size limit")
            else -> BackendError.BrokenAfterWrite(detail)
        }
    }

    /**
     * Returns whether Armeria recorded that the request head was written. A request counts as unwritten only if both
     * this record and the exception type say so.
     */
    private fun isHeadWritten(): Boolean {
        val log = context.log()
        if (!log.isAvailable(RequestLogProperty.REQUEST_FIRST_BYTES_TRANSFERRED_TIME)) return false
        return log.partial().requestFirstBytesTransferredTimeNanos() != null
    }

    private fun describe(cause: Throwable): String =
        listOfNotNull(cause.javaClass.simpleName, cause.message).joinToString(": ")
}

/** Sends requests to backend servers and classifies failures as [BackendError]s. */
internal class BackendHttp(factory: ClientFactory, private val clock: () -> Timestamp) {
    // By default, WebClient neither retries nor follows redirects.
    private val client = WebClient.builder().factory(factory).build()

    /** Sends [call] and returns the complete response, whatever its status. */
    @Suppress("TooGenericExceptionCaught")
    suspend fun exchange(call: BackendCall): Result<AggregatedHttpResponse, BackendError> {
        val started = start(call) ?: return Err(BackendError.TimedOut(mayHaveBeenReceived = false))
        return try {
            Ok(started.response.aggregate().await())
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            Err(started.classify(failure))
        } finally {
            // Closes the connection when the coroutine was cancelled; has no effect on a complete response.
            started.response.abort()
        }
    }

    /** Starts [call]; returns null without sending anything when its deadline has passed. */
    fun start(call: BackendCall): StartedCall? {
        val remaining = (call.deadline - clock()).inWholeMilliseconds
        if (remaining <= 0) return null
        val options = RequestOptions.builder()
            .responseTimeoutMillis(remaining)
            .writeTimeoutMillis(remaining)
            .maxResponseLength(call.maximumResponseBytes)
            .build()
        return Clients.newContextCaptor().use { captor ->
            val response = client.execute(request(call), options)
            StartedCall(response, captor.get())
        }
    }

    private fun request(call: BackendCall): HttpRequest {
        val headers = RequestHeaders.builder(call.method, "h1c://${call.server}${call.path}")
            .add(call.headers)
            .build()
        return HttpRequest.of(headers, call.body)
    }
}

/** Returns the error for a response with [status]; null when it is a success. */
internal fun statusError(status: HttpStatus, headers: HttpHeaders, body: String, now: Timestamp): BackendError? = when {
    status.isSuccess -> null
    status == HttpStatus.TOO_MANY_REQUESTS -> BackendError.RefusedFull(parseRetryAfter(headers, now))
    status == HttpStatus.GONE -> BackendError.HandleGone
    else -> BackendError.FailedStatus(status.code(), body.take(MAXIMUM_DETAIL_CHARACTERS))
}

/** Returns the time given by the `retry-after` header, in seconds from [now]; null when it is missing or invalid. */
internal fun parseRetryAfter(headers: HttpHeaders, now: Timestamp): Timestamp? {
    val seconds = headers.get(HttpHeaderNames.RETRY_AFTER)?.toDoubleOrNull() ?: return null
    return now + (seconds.coerceIn(0.0, MAXIMUM_RETRY_AFTER_SECONDS) * MILLIS_PER_SECOND).toLong().milliseconds
}

/** Length at which text of a response is cut off in an error. */
internal const val MAXIMUM_DETAIL_CHARACTERS: Int = 200

/** Largest response that is held in memory. */
internal const val DEFAULT_MAXIMUM_RESPONSE_BYTES: Long = 4L * 1024 * 1024

private val CONNECT_TIMEOUT = Duration.ofSeconds(1)

/**
 * Shorter than the idle timeouts of common servers (5 s and more): a request on a connection that the server closes
 * at that moment has the outcome `unknown`.
 */
private val CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(4)

private const val MAXIMUM_RETRY_AFTER_SECONDS = 3_600.0
private const val MILLIS_PER_SECOND = 1_000
