/*
 * HTTP requests to backend servers and the classification of their failures.
 *
 * HTTP/1.1 is used with one connection per running request: cancelling a request closes its own connection only, a slow
 * stream takes no flow control window of another, and no server can report a request as unprocessed after it was
 * written, as HTTP/2 permits.
 */
package org.arbutusnotch.daemon.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.linecorp.armeria.client.ClientFactory
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
import java.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Builds the connection pool for backend servers; the caller closes it. */
public fun backendClientFactory(): ClientFactory = ClientFactory.builder()
    .connectTimeout(CONNECT_TIMEOUT)
    .idleTimeout(CONNECTION_IDLE_TIME)
    .useHttp1Pipelining(false)
    .maxNumEventLoopsPerHttp1Endpoint(1)
    .build()

/**
 * Describes one request.
 *
 * @property path path and query, already encoded
 * @property maximumBytes limit of the answer's body; 0 for none
 */
internal data class BackendCall(
    val server: BackendServerId,
    val method: HttpMethod,
    val path: String,
    val deadline: Timestamp,
    val headers: HttpHeaders = HttpHeaders.of(),
    val body: HttpData = HttpData.empty(),
    val maximumBytes: Long = DEFAULT_MAXIMUM_BYTES,
)

/** Holds a started request. */
internal class StartedCall(val response: HttpResponse, private val context: ClientRequestContext) {
    /** Returns the error that [failure], thrown by the response, stands for. */
    fun classify(failure: Throwable): BackendError {
        val causes = generateSequence(failure) { it.cause }.toList()
        val detail = describe(causes.last())
        return when {
            causes.any { it is UnprocessedRequestException } && !headWritten() -> BackendError.NotConnected(detail)
            causes.any { it is ResponseTimeoutException } -> BackendError.TimedOut(mayHaveBeenReceived = true)
            causes.any { it is ContentTooLargeException } -> BackendError.Malformed("answer is over its size limit")
            else -> BackendError.BrokenAfterWrite(detail)
        }
    }

    /** Whether Armeria recorded that the request head left. This and the exception type must agree that it did not. */
    private fun headWritten(): Boolean {
        val log = context.log()
        if (!log.isAvailable(RequestLogProperty.REQUEST_FIRST_BYTES_TRANSFERRED_TIME)) return false
        return log.partial().requestFirstBytesTransferredTimeNanos() != null
    }

    private fun describe(cause: Throwable): String =
        listOfNotNull(cause.javaClass.simpleName, cause.message).joinToString(": ")
}

internal class BackendHttp(factory: ClientFactory, private val clock: () -> Timestamp) {
    // WebClient retries nothing and follows no redirect unless it is configured to.
    private val client = WebClient.builder().factory(factory).build()

    /** Returns the complete answer, whatever its status. */
    @Suppress("TooGenericExceptionCaught")
    suspend fun exchange(call: BackendCall): Result<AggregatedHttpResponse, BackendError> {
        val started = start(call) ?: return Err(BackendError.TimedOut(mayHaveBeenReceived = false))
        return try {
            Ok(started.response.aggregate().await())
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            Err(started.classify(failure))
        } finally {
            // Closes the connection when the coroutine was cancelled; without effect on a complete response.
            started.response.abort()
        }
    }

    /** Starts [call]; null when its deadline has passed, in which case nothing is sent. */
    fun start(call: BackendCall): StartedCall? {
        val remaining = (call.deadline - clock()).inWholeMilliseconds
        if (remaining <= 0) return null
        val options = RequestOptions.builder()
            .responseTimeoutMillis(remaining)
            .writeTimeoutMillis(remaining)
            .maxResponseLength(call.maximumBytes)
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

/** Returns the error for an answer of an engine; null when the answer is a success. */
internal fun statusError(status: HttpStatus, headers: HttpHeaders, body: String, now: Timestamp): BackendError? = when {
    status.isSuccess -> null
    status == HttpStatus.TOO_MANY_REQUESTS -> BackendError.RefusedFull(retryAt(headers, now))
    status == HttpStatus.GONE -> BackendError.HandleGone
    else -> BackendError.FailedStatus(status.code(), body.take(DETAIL_CHARACTERS))
}

/** Returns the time that the `retry-after` header of an answer names in seconds. */
internal fun retryAt(headers: HttpHeaders, now: Timestamp): Timestamp? {
    val seconds = headers.get(HttpHeaderNames.RETRY_AFTER)?.toDoubleOrNull() ?: return null
    return now + (seconds.coerceIn(0.0, MAXIMUM_RETRY_SECONDS) * MILLIS_PER_SECOND).toLong().milliseconds
}

internal const val DETAIL_CHARACTERS: Int = 200

/** Largest answer that is held in memory. */
internal const val DEFAULT_MAXIMUM_BYTES: Long = 4L * 1024 * 1024

private val CONNECT_TIMEOUT = Duration.ofSeconds(1)

/** Below the idle times of common servers (5 s and more): a request on a connection they close is `unknown`. */
private val CONNECTION_IDLE_TIME = Duration.ofSeconds(4)

private const val MAXIMUM_RETRY_SECONDS = 3_600.0
private const val MILLIS_PER_SECOND = 1_000
