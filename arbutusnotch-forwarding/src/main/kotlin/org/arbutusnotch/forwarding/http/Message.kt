/*
 * HTTP messages in their wire form.
 *
 * Targets and header values are preserved byte for byte: each character represents one byte (ISO 8859-1), and nothing
 * is decoded, normalized or joined. Backend servers compare what they receive with what the caller sent.
 */
package org.arbutusnotch.forwarding.http

/** Holds one header line. */
public data class HeaderField(public val name: String, public val value: String)

/** Describes what the heads of requests and responses have in common. */
public sealed interface MessageHead {
    /** The header lines in the order received. */
    public val headers: List<HeaderField>

    /** Returns the value of the first header line with [name], ignoring case. */
    public fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the number of header lines with [name], ignoring case. */
    public fun count(name: String): Int = headers.count { it.name.equals(name, ignoreCase = true) }
}

/** Holds the head of a request; [target] is the request target as received. */
public data class RequestHead(
    public val method: String,
    public val target: String,
    override val headers: List<HeaderField>,
) : MessageHead {
    /** The part of the target before the query. */
    public val path: String
        get() = target.substringBefore('?')
}

/** Holds the head of a response. */
public data class ResponseHead(
    public val status: Int,
    public val reason: String,
    override val headers: List<HeaderField>,
) : MessageHead

/** Holds a complete request. */
public class HttpRequestMessage(public val head: RequestHead, public val body: RequestBody) {
    /** Creates a request whose body is a single array. */
    public constructor(head: RequestHead, body: ByteArray) : this(head, RequestBody.of(body))
}

/** Holds a complete response. */
public class HttpResponseMessage(public val head: ResponseHead, public val body: ByteArray)

/** Filters out hop-by-hop headers, which apply to a single connection only. */
internal object ConnectionHeaders {
    private val hopByHop = setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )

    /**
     * Returns the header lines of [head] that are forwarded. A `Connection` header cannot remove the lines whose
     * lower-case names are in [endToEnd]: backend servers need these lines as the caller sent them.
     */
    fun forwarded(head: MessageHead, endToEnd: Set<String> = emptySet()): List<HeaderField> {
        val nominated = head.headers.filter { it.name.equals("connection", ignoreCase = true) }
            .flatMap { it.value.split(',') }
            .map { it.trim().lowercase() }
            .filter { it !in endToEnd }
        return head.headers.filter { it.name.lowercase() !in hopByHop && it.name.lowercase() !in nominated }
    }
}
