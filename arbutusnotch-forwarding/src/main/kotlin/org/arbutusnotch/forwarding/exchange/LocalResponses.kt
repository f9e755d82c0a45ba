/*
 * Responses that this instance generates itself, and the heads of forwarded answers.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.forwarding.http.ConnectionHeaders
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.ResponseHead
import java.util.Locale
import kotlin.time.Duration

internal object LocalResponses {
    const val BAD_GATEWAY: Int = 502
    const val GATEWAY_TIMEOUT: Int = 504
    const val SERVICE_UNAVAILABLE: Int = 503
    const val TOO_MANY_REQUESTS: Int = 429
    private const val UNAUTHORIZED = 401
    private const val NOT_FOUND = 404
    private const val BAD_REQUEST = 400
    private const val MILLIS_PER_SECOND = 1_000.0

    /** Gives the reason of a response that this instance generated. */
    private const val REASON_HEADER = "X-Refusal-Reason"
    private const val OUTCOME_HEADER = "X-Outcome"

    /** Characters of a reason before escaping; callers accept heads of a few kilobytes. */
    private const val MAXIMUM_REASON_CHARACTERS = 160

    /**
     * Returns a response with [status] that states that the request did not run and will not. [retryAfter] is null if
     * the request cannot run later either.
     */
    fun refusal(reason: String, retryAfter: Duration?, status: Int = SERVICE_UNAVAILABLE): ResponseHead {
        val headers = listOfNotNull(
            retryAfter?.let { HeaderField("Retry-After", seconds(it)) },
            HeaderField(OUTCOME_HEADER, "not_run"),
            reasonField(reason),
        )
        val phrase = if (status == TOO_MANY_REQUESTS) "Too Many Requests" else "Service Unavailable"
        return ResponseHead(status, phrase, headers)
    }

    private fun seconds(duration: Duration): String =
        String.format(Locale.ROOT, "%.3f", duration.inWholeMilliseconds / MILLIS_PER_SECOND)

    /** Returns a response that states that it is unknown whether the request ran. */
    fun failure(status: Int, reason: String): ResponseHead {
        val phrase = if (status == GATEWAY_TIMEOUT) "Gateway Timeout" else "Bad Gateway"
        return ResponseHead(
            status,
            phrase,
            listOf(HeaderField(OUTCOME_HEADER, "unknown"), reasonField(reason)),
        )
    }

    /** A reason may quote what a server sent, of any length and with bytes that are not allowed in a field. */
    private fun reasonField(reason: String): HeaderField {
        val escaped = reason.take(MAXIMUM_REASON_CHARACTERS).map {
            if (it in ' '..'~') it.toString() else "\\u%04x".format(it.code)
        }
        return HeaderField(REASON_HEADER, escaped.joinToString(separator = ""))
    }

    /** Returns a response that states that the request did not run, because it carries no valid key. */
    fun unauthenticated(): ResponseHead {
        val headers = listOf(
            HeaderField("WWW-Authenticate", "Bearer"),
            HeaderField(OUTCOME_HEADER, "not_run"),
            HeaderField(REASON_HEADER, "unauthenticated"),
        )
        return ResponseHead(UNAUTHORIZED, "Unauthorized", headers)
    }

    fun unknownRoute(): ResponseHead =
        ResponseHead(NOT_FOUND, "Not Found", listOf(HeaderField(REASON_HEADER, "unknown_route")))

    fun missingRequestId(): ResponseHead =
        ResponseHead(BAD_REQUEST, "Bad Request", listOf(HeaderField(REASON_HEADER, "missing_request_id")))

    /** Returns [head] of a server's answer without the header fields of its connection. */
    fun forwarded(head: ResponseHead): ResponseHead = head.copy(headers = ConnectionHeaders.forwarded(head))
}
