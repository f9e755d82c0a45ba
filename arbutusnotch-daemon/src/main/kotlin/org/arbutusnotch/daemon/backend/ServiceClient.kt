/*
 * Client of plain services.
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

/** Holds the complete answer of a plain service, with whatever status the service chose. */
public class ServiceAnswer(public val status: Int, public val contentType: String?, public val body: ByteArray)

/** Holds a plain service's own, lagging report of its load at [asOf]. */
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
 * @param maximumAnswerBytes size over which an answer is refused as malformed
 */
public class ServiceClient(
    factory: ClientFactory,
    private val maximumAnswerBytes: Long = DEFAULT_MAXIMUM_BYTES,
    private val clock: () -> Timestamp = { Timestamp(System.currentTimeMillis()) },
) {
    private val http = BackendHttp(factory, clock)

    /** Sends [call] to [server] once. Any complete answer but 429 ([BackendError.RefusedFull]) is a success. */
    public suspend fun call(server: BackendServerId, call: ServiceCall): Result<ServiceAnswer, BackendError> =
        http.exchange(toBackendCall(server, call)).andThen(::answer)

    /** Returns the load that [server] reports. */
    public suspend fun load(server: BackendServerId, deadline: Timestamp): Result<ServiceLoad, BackendError> =
        http.exchange(BackendCall(server, HttpMethod.GET, "/service/load", deadline)).andThen { response ->
            val body = response.contentUtf8()
            val error = statusError(response.status(), response.headers(), body, clock())
            val load = if (error == null) parse(ServiceLoad.serializer(), body) else null
            if (load != null) Ok(load) else Err(error ?: BackendError.Malformed(body.take(DETAIL_CHARACTERS)))
        }

    private fun answer(response: AggregatedHttpResponse): Result<ServiceAnswer, BackendError> {
        if (response.status() == HttpStatus.TOO_MANY_REQUESTS) {
            return Err(BackendError.RefusedFull(retryAt(response.headers(), clock())))
        }
        val contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE)
        return Ok(ServiceAnswer(response.status().code(), contentType, response.content().array()))
    }

    private fun toBackendCall(server: BackendServerId, call: ServiceCall): BackendCall {
        val headers = HttpHeaders.builder()
        headers.add(ATTEMPT, call.attempt.value)
        call.idempotencyKey?.let { headers.add(IDEMPOTENCY_KEY, it) }
        call.contentType?.let { headers.add(HttpHeaderNames.CONTENT_TYPE, it) }
        return BackendCall(
            server = server,
            method = HttpMethod.POST,
            path = "/call/${encodePathSegment(call.operation)}",
            deadline = call.deadline,
            headers = headers.build(),
            body = HttpData.wrap(call.body),
            maximumBytes = maximumAnswerBytes,
        )
    }

    private fun encodePathSegment(segment: String): String =
        URLEncoder.encode(segment, Charsets.UTF_8).replace("+", "%20")

    private companion object {
        const val ATTEMPT = "x-attempt"
        const val IDEMPOTENCY_KEY = "idempotency-key"
    }
}
