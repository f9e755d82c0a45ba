/*
 * Checks that a request has one meaning for every reader.
 *
 * What this instance takes for one request must be one request to every other program on the way. A request whose
 * length can be read in two ways is therefore rejected, and so is one without a single host.
 */
package org.arbutusnotch.forwarding.http

/** Describes why a request is rejected. */
internal enum class RequestFault(val status: Int, val reason: String) {
    MALFORMED(400, "Bad Request"),
    NOT_READ_IN_TIME(408, "Request Timeout"),
    BODY_TOO_LARGE(413, "Content Too Large"),
    TARGET_TOO_LONG(414, "URI Too Long"),
    HEAD_TOO_LARGE(431, "Request Header Fields Too Large"),
    UNKNOWN_TRANSFER_CODING(501, "Not Implemented"),
    UNSUPPORTED_VERSION(505, "HTTP Version Not Supported"),
}

internal object StrictRequests {
    private const val TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~"
    private const val DELETE_CONTROL = 127

    /** Returns what is wrong with [head], or null. */
    fun faultOf(head: RequestHead, version: String): RequestFault? {
        val codings = head.headers.filter { it.name.equals("transfer-encoding", ignoreCase = true) }
        val lengths = head.headers.filter { it.name.equals("content-length", ignoreCase = true) }
        return when {
            version != "HTTP/1.1" -> RequestFault.UNSUPPORTED_VERSION
            !isWellFormed(head) -> RequestFault.MALFORMED
            lengths.size + codings.size > 1 -> RequestFault.MALFORMED
            lengths.any { !isLength(it.value) } -> RequestFault.MALFORMED
            codings.any { !it.value.equals("chunked", ignoreCase = true) } -> RequestFault.UNKNOWN_TRANSFER_CODING
            else -> null
        }
    }

    private fun isWellFormed(head: RequestHead): Boolean {
        val validLine = isToken(head.method) && isTarget(head.target)
        val validHeaders = head.headers.all { isToken(it.name) && !hasControls(it.value) }
        return validLine && validHeaders && head.count("host") == 1
    }

    private fun isToken(text: String) = text.isNotEmpty() && text.all { isTokenCharacter(it) }

    private fun isTokenCharacter(character: Char) =
        character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in TOKEN_PUNCTUATION

    private fun isTarget(text: String) = text.startsWith('/') && text.none { it <= ' ' || it.code == DELETE_CONTROL }

    private fun isLength(text: String) = text.isNotEmpty() && text.all { it in '0'..'9' }

    private fun hasControls(text: String) = text.any { it < ' ' && it != '\t' }
}
