/*
 * What forwarding needs to know of the protocol that callers and backend servers speak.
 *
 * An adapter implements these interfaces. It only translates between header lines, bodies and these types; it decides
 * nothing and keeps no state.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHead
import org.arbutusnotch.forwarding.http.ResponseHead
import kotlin.time.Duration

/**
 * Holds what a caller says about its request.
 *
 * @property remaining time that the caller waits; null when it does not say
 * @property promptTokens tokens of the prompt; 0 for plain calls
 * @property maximumOutputTokens most tokens that the caller wants
 * @property expectedOutputTokens tokens that the caller expects; null when it does not say
 */
public data class CallerRequest(
    public val id: RequestId,
    public val remaining: Duration?,
    public val promptTokens: Int,
    public val maximumOutputTokens: Int,
    public val expectedOutputTokens: Int?,
)

/** Tells a backend server which part of a request it runs. */
public sealed class RunPart {
    /** The whole request. */
    public data object Whole : RunPart()

    /** Only the reading of the prompt. */
    public data object Prefill : RunPart()

    /** The generation; the memory of the prompt is fetched from the server at [address] under [handle]. */
    public data class Decode(public val address: String, public val handle: String) : RunPart()
}

/** Says for how long a server that turned a request away wants none from this instance. */
public sealed class ServerPause {
    /** The server did not ask for a pause. */
    public data object None : ServerPause()

    /** The server wants no requests for [time]. */
    public data class For(public val time: Duration) : ServerPause()

    /** The server asked for a pause in a form that means nothing here; [text] is what it sent. */
    public data class Unreadable(public val text: String) : ServerPause()
}

/**
 * Holds what the head of an answer says.
 *
 * @property requestId id of the request that is answered; null when it is missing
 * @property sealed whether the server vouches for the answer
 * @property notRun whether the server states that it did not run the request
 * @property slowdownPercent time that work takes on the server's machine, 100 as usual; 0 when it does not say
 * @property leaving whether the server says that it leaves
 * @property pause what the server asks of this instance
 */
public data class ServerAnswer(
    public val requestId: RequestId?,
    public val sealed: Boolean,
    public val notRun: Boolean,
    public val slowdownPercent: Int,
    public val leaving: Boolean = false,
    public val pause: ServerPause = ServerPause.None,
)

/** Translates the messages between callers and backend servers. */
public interface ForwardingProtocol {
    /** Lower-case names of header lines that a `Connection` header must not remove. */
    public val endToEndHeaders: Set<String>

    /** Returns what [head] says, or null when the request has no id. */
    public fun readRequest(head: RequestHead): CallerRequest?

    /**
     * Returns the head for [server] that runs [part] of the request within [remaining].
     *
     * @param head head of the caller's request without the header lines that concern its connection
     * @param resumeAfter identifier of the event after which the stream goes on; null for one that begins
     */
    public fun serverRequest(
        head: RequestHead,
        server: BackendServerId,
        part: RunPart,
        remaining: Duration,
        resumeAfter: String? = null,
    ): RequestHead

    /** Returns what the head of an answer says. */
    public fun readAnswer(head: ResponseHead): ServerAnswer

    /** Returns the handle of a prompt that was read, or null when [body] names none. */
    public fun readPrefillHandle(body: ByteArray): String?

    /**
     * Returns the request that orders [server] to change to [stage], which is not [ServerStage.WHOLE].
     *
     * @param holder name of the instance that gives the order
     * @param fence number that is higher than that of every earlier order
     */
    public fun stageOrder(server: BackendServerId, stage: ServerStage, holder: String, fence: Long): HttpRequestMessage

    /** Returns the request that frees the memory of [handle] at the server that holds it. */
    public fun freeHandle(server: BackendServerId, handle: String): HttpRequestMessage
}

/** Translates the question of callers for the addresses to use. */
public interface DirectoryProtocol {
    /** Returns the failure domain of the caller; null when the question does not name one. */
    public fun readDomain(head: RequestHead): FailureDomainId?

    /** Returns whether [head] asks for addresses. */
    public fun isQuestion(head: RequestHead): Boolean

    /** Returns the body of the answer. */
    public fun addresses(addresses: List<String>, validity: Duration): ByteArray
}
