/*
 * The HTTP response to a request that is not answered. Reason, outcome and retry time are machine-readable, in headers
 * and in the body.
 */
package org.arbutusnotch.daemon.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.time.Timestamp

internal const val REQUEST_ID_HEADER: String = "x-request-id"
internal const val OUTCOME_HEADER: String = "x-outcome"
internal const val REASON_HEADER: String = "x-refusal-reason"

/** Holds the body of a refusal. */
@Serializable
internal data class RefusalBody(val error: RefusalDetail)

/** Holds the content of a [RefusalBody]; [outcome] is `not_run` or `unknown`. */
@Serializable
internal data class RefusalDetail(
    val reason: String,
    val outcome: String,
    val message: String,
    @SerialName("retry_at_epoch_millis") val retryAtEpochMillis: Long? = null,
    @SerialName("issuer_prefix") val issuerPrefix: String? = null,
)

/** Describes why a request is not answered and when it may be retried. */
internal data class Refusal(
    val reason: RefusalReason,
    val outcome: String,
    val message: String,
    val retryAt: Timestamp? = null,
    val issuerPrefix: String? = null,
) {
    /** Encodes the refusal as the JSON body. */
    fun toJson(): String = entryJson.encodeToString(
        RefusalBody(
            RefusalDetail(
                reason = reason.code,
                outcome = outcome,
                message = message,
                retryAtEpochMillis = retryAt?.epochMillis,
                issuerPrefix = issuerPrefix,
            ),
        ),
    )

    /** Builds the HTTP response for [request]. */
    fun toResponse(request: RequestId, now: Timestamp): HttpResponse {
        val headers = ResponseHeaders.builder(HttpStatus.valueOf(reason.httpStatus))
            .contentType(MediaType.JSON_UTF_8)
            .add(REQUEST_ID_HEADER, request.value)
            .add(OUTCOME_HEADER, outcome)
            .add(REASON_HEADER, reason.code)
        retryAt?.let { headers.add(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds(it, now).toString()) }
        return HttpResponse.of(headers.build(), HttpData.ofUtf8(toJson()))
    }
}

/** Rounds the wait until [retryAt] up to whole seconds, the unit of the `retry-after` header. */
private fun retryAfterSeconds(retryAt: Timestamp, now: Timestamp): Long {
    val waitMillis = (retryAt.epochMillis - now.epochMillis).coerceAtLeast(0)
    return (waitMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
}

private const val MILLIS_PER_SECOND = 1_000L
