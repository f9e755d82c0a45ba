/*
 * Interfaces to the protocol of callers and backend servers.
 *
 * An adapter implements these interfaces. It is stateless and only translates between header fields, bodies and these
 * types; all decisions are made elsewhere.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.DeclaredLength
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.PromptPartId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHead
import org.arbutusnotch.forwarding.http.ResponseHead
import kotlin.time.Duration

/**
 * Holds the properties of a request that its caller declares.
 *
 * @property remaining time that the caller waits; null when not declared
 * @property promptTokens number of tokens of the prompt; 0 for plain calls
 * @property outputLength number of tokens to generate
 * @property sharedParts parts of the prompt that other requests may contain too, in order; without the last part, which
 * belongs to the request or to its session alone
 * @property resumedStream id of the request that brought the first event of the stream that this request takes up;
 * null when not declared
 * @property resumeAfter id of the last event that the caller has of a stream that it takes up; null for a new request
 */
public data class CallerRequest(
    public val id: RequestId,
    public val remaining: Duration?,
    public val promptTokens: Int,
    public val outputLength: DeclaredLength,
    public val sharedParts: List<PromptPartId> = emptyList(),
    public val resumedStream: RequestId? = null,
    public val resumeAfter: String? = null,
)

/** Selects the part of a request that a backend server runs. */
public sealed class RunPart {
    /** The whole request. */
    public data object Whole : RunPart()

    /** Only the prefill. */
    public data object Prefill : RunPart()

    /** Only the decode; the KV cache of the prompt is fetched from the server at [address] under [handle]. */
    public data class Decode(public val address: String, public val handle: String) : RunPart()
}

/** Describes the pause that a server requests from this instance when it rejects a request. */
public sealed class ServerPause {
    /** The server did not ask for a pause. */
    public data object None : ServerPause()

    /** The server asks this instance to send it no requests for [duration]. */
    public data class For(public val duration: Duration) : ServerPause()

    /** The server sent a malformed pause; [text] is the received value. */
    public data class Unreadable(public val text: String) : ServerPause()
}

/** Describes the request limit that a server names in an answer. */
public sealed class ServerLimit {
    /** The answer says nothing about a limit of the server that was asked. */
    public data object Unknown : ServerLimit()

    /** The server has no limit. */
    public data object None : ServerLimit()

    /** The server takes [perSecond] requests a second from all instances together; 0 or more, and finite. */
    public data class Named(public val perSecond: Double) : ServerLimit()

    /** The server sent a malformed limit; [text] is the received value. */
    public data class Unreadable(public val text: String) : ServerLimit()
}

/**
 * Holds the information in the head of an answer.
 *
 * @property requestId id of the answered request; null when missing
 * @property sealed whether the answer carries the seal of its server
 * @property notRun whether the server states that it did not run the request
 * @property slowdownPercent time that work takes on the server's machine in percent of the normal time; 0 when unknown
 * @property leaving whether the server announces that it is leaving
 * @property pause pause that the server requests from this instance
 * @property limit request limit that the server names
 */
public data class ServerAnswer(
    public val requestId: RequestId?,
    public val sealed: Boolean,
    public val notRun: Boolean,
    public val slowdownPercent: Int,
    public val leaving: Boolean = false,
    public val pause: ServerPause = ServerPause.None,
    public val limit: ServerLimit = ServerLimit.Unknown,
)

/**
 * Tells a backend server who sent a request, in place of the key.
 *
 * @property workspace workspace of the key; null if the route needs none
 */
public data class CallerIdentity(public val workspace: WorkspaceId?)

/** Translates the messages between callers and backend servers. */
public interface ForwardingProtocol {
    /** Lower-case names of header fields that a `Connection` header must not remove. */
    public val endToEndHeaders: Set<String>

    /** Lower-case name of the header field that carries the key of a workspace. */
    public val keyHeader: String

    /** Returns the SHA-256 digest of the key in [head]; null when it is missing or malformed. */
    public fun readKey(head: RequestHead): ContentDigest?

    /** Parses [head]; returns null when the request has no id. */
    public fun readRequest(head: RequestHead): CallerRequest?

    /**
     * Returns the head of a request to [server] that runs [part] within [remaining].
     *
     * @param head head of the caller's request without the header fields of its connection
     * @param resumeAfter id of the event after which the stream resumes; null for a new stream
     * @param identity replaces the key of the caller; null to forward the key, as without workspaces
     */
    public fun serverRequest(
        head: RequestHead,
        server: BackendServerId,
        part: RunPart,
        remaining: Duration,
        resumeAfter: String? = null,
        identity: CallerIdentity? = null,
    ): RequestHead

    /** Returns [head] of a caller's request for another instance, which handles it within [remaining]. */
    public fun relayedRequest(head: RequestHead, remaining: Duration): RequestHead

    /** Parses the head of an answer. */
    public fun readAnswer(head: ResponseHead): ServerAnswer

    /** Returns the handle of the KV cache from the [body] of a prefill answer, or null when it has none. */
    public fun readPrefillHandle(body: ByteArray): String?

    /**
     * Returns the request that orders [server] to change to [stage], which is not [ServerStage.WHOLE].
     *
     * @param holder name of the instance that sends the order
     * @param fencingNumber number that is higher than that of every earlier order
     */
    public fun stageOrder(
        server: BackendServerId,
        stage: ServerStage,
        holder: String,
        fencingNumber: Long,
    ): HttpRequestMessage

    /** Returns the request that frees the KV cache of [handle] at [server]. */
    public fun freeHandle(server: BackendServerId, handle: String): HttpRequestMessage
}

/** Translates the address lookups of callers. */
public interface DirectoryProtocol {
    /** Returns the failure domain of the caller; null when the lookup does not name one. */
    public fun readDomain(head: RequestHead): FailureDomainId?

    /** Returns whether [head] is an address lookup. */
    public fun isAddressLookup(head: RequestHead): Boolean

    /** Returns the body of the answer with [addresses], which are valid for [validity]. */
    public fun addresses(addresses: List<String>, validity: Duration): ByteArray
}
