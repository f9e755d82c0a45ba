/*
 * Rejects requests that different HTTP implementations could interpret differently.
 *
 * Bytes that are one request to this instance must be one request to every other program on the path, which rules out
 * request smuggling. A request with an ambiguous length or without exactly one `Host` header is therefore rejected.
 */
package org.arbutusnotch.forwarding.http

import org.arbutusnotch.http.HttpSyntax

/** Describes why a request is rejected, with the status of the response. */
internal enum class RequestError(val status: Int, val reason: String) {
    MALFORMED(400, "Bad Request"),
    REQUEST_TIMEOUT(408, "Request Timeout"),
    BODY_TOO_LARGE(413, "Content Too Large"),
    TARGET_TOO_LONG(414, "URI Too Long"),
    HEAD_TOO_LARGE(431, "Request Header Fields Too Large"),
    UNKNOWN_TRANSFER_CODING(501, "Not Implemented"),
    OVERLOADED(503, "Service Unavailable"),
    UNSUPPORTED_VERSION(505, "HTTP Version Not Supported"),
}

internal object RequestValidator {
    private const val DELETE_CHARACTER = 127

    /** Returns the first error in [head], or null when it is valid. */
    fun findError(head: RequestHead, version: String): RequestError? {
        val codings = head.headers.filter { it.name.equals("transfer-encoding", ignoreCase = true) }
        val lengths = head.headers.filter { it.name.equals("content-length", ignoreCase = true) }
        return when {
            version != "HTTP/1.1" -> RequestError.UNSUPPORTED_VERSION
            !isWellFormed(head) -> RequestError.MALFORMED
            lengths.size + codings.size > 1 -> RequestError.MALFORMED
            lengths.any { !isLength(it.value) } -> RequestError.MALFORMED
            codings.any { !it.value.equals("chunked", ignoreCase = true) } -> RequestError.UNKNOWN_TRANSFER_CODING
            else -> null
        }
    }

    private fun isWellFormed(head: RequestHead): Boolean {
        val validLine = HttpSyntax.isToken(head.method) && isTarget(head.target)
        val validHeaders = head.headers.all { HttpSyntax.isToken(it.name) && !hasControlCharacters(it.value) }
        return validLine && validHeaders && head.count("host") == 1
    }

    private fun isTarget(text: String) = text.startsWith('/') && text.none { it <= ' ' || it.code == DELETE_CHARACTER }

    private fun isLength(text: String) = text.isNotEmpty() && text.all { it in '0'..'9' }

    private fun hasControlCharacters(text: String) = text.any { it < ' ' && it != '\t' }
}
