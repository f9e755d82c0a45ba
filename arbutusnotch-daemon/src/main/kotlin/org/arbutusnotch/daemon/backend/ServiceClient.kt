/*
 * HTTP client for plain services.
 */
package org.arbutusnotch.daemon.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp
import java.net.URLEncoder

/**
 * Describes a call of a plain service.
 *
 * @property idempotencyKey token of a non-idempotent request; null for an idempotent one
 * @property contentType content type of [body], as the caller sent it
 */
public class ServiceCall(
    public val operation: String,
    public val attempt: AttemptId,
    public val body: ByteArray,
    public val deadline: Timestamp,
    public val idempotencyKey: String? = null,
    public val contentType: String? = null,
)

/** Holds the complete response of a plain service, whatever its status. */
public class ServiceResponse(public val status: Int, public val contentType: String?, public val body: ByteArray)

/** Holds the load that a plain service reported as of [asOf]; the report lags behind the actual load. */
@Serializable
public data class ServiceLoad(
    @SerialName("as_of_epoch_millis") public val asOf: Timestamp,
    public val active: Int,
    public val waiting: Int = 0,
    public val capacity: Int,
)

/**
 * Sends requests to plain services.
 *
 * @param maximumResponseBytes size above which a response is treated as malformed
 */
public class ServiceClient(
    factory: ClientFactory,
    private val maximumResponseBytes: Long = DEFAULT_MAXIMUM_RESPONSE_BYTES,
    private val clock: () -> Timestamp = { Timestamp(System.currentTimeMillis()) },
) {
    private val http = BackendHttp(factory, clock)

    /** Sends [call] to [server] once. Any complete response except 429 ([BackendError.RefusedFull]) is a success. */
    public suspend fun call(server: BackendServerId, call: ServiceCall): Result<ServiceResponse, BackendError> =
        http.exchange(toBackendCall(server, call)).andThen(::toServiceResponse)

    /** Returns the load that [server] reports. */
    public suspend fun load(server: BackendServerId, deadline: Timestamp): Result<ServiceLoad, BackendError> =
        http.exchange(BackendCall(server, HttpMethod.GET, "/service/load", deadline)).andThen { response ->
            val body = response.contentUtf8()
            val error = statusError(response.status(), response.headers(), body, clock())
            val load = if (error == null) decodeJsonOrNull(ServiceLoad.serializer(), body) else null
            if (load != null) Ok(load) else Err(error ?: BackendError.Malformed(body.take(MAXIMUM_DETAIL_CHARACTERS)))
        }

    private fun toServiceResponse(response: AggregatedHttpResponse): Result<ServiceResponse, BackendError> {
        if (response.status() == HttpStatus.TOO_MANY_REQUESTS) {
            return Err(BackendError.RefusedFull(parseRetryAfter(response.headers(), clock())))
        }
        val contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE)
        return Ok(ServiceResponse(response.status().code(), contentType, response.content().array()))
    }

    private fun toBackendCall(server: BackendServerId, call: ServiceCall): BackendCall {
        val headers = HttpHeaders.builder()
        headers.add(ATTEMPT_HEADER, call.attempt.value)
        call.idempotencyKey?.let { headers.add(IDEMPOTENCY_KEY_HEADER, it) }
        call.contentType?.let { headers.add(HttpHeaderNames.CONTENT_TYPE, it) }
        return BackendCall(
            server = server,
            method = HttpMethod.POST,
            path = "/call/${encodePathSegment(call.operation)}",
            deadline = call.deadline,
            headers = headers.build(),
            body = HttpData.wrap(call.body),
            maximumResponseBytes = maximumResponseBytes,
        )
    }

    private fun encodePathSegment(segment: String): String =
        URLEncoder.encode(segment, Charsets.UTF_8).replace("+", "%20")

    private companion object {
        const val ATTEMPT_HEADER = "x-attempt"
        const val IDEMPOTENCY_KEY_HEADER = "idempotency-key"
    }
}
