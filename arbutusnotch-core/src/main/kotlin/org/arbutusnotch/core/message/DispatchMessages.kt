/*
 * The messages between the instance that holds a request and the instance that dispatches the requests of its pool.
 *
 * Clocks of instances differ, so these messages carry the time that is left. Each receiver turns it into a deadline of
 * its own clock at once.
 */
package org.arbutusnotch.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.TicketId

/** Is implemented by the messages between holders of requests and dispatchers. */
@Serializable
public sealed interface DispatchMessage : PeerMessage

/** Describes what a request needs of a backend server. */
@Serializable
public sealed interface DispatchWork {
    /** A plain call that takes one slot. */
    @Serializable
    @SerialName("c")
    public data object Call : DispatchWork

    /**
     * A generation.
     *
     * @property promptTokens tokens to read
     * @property outputTokens tokens that are expected to be generated
     * @property direct whether the decode server is to read the prompt itself
     */
    @Serializable
    @SerialName("g")
    public data class Generation(
        @SerialName("p") public val promptTokens: Int,
        @SerialName("o") public val outputTokens: Int,
        @SerialName("d") public val direct: Boolean = false,
    ) : DispatchWork
}

/**
 * Asks for a place at a backend server. It is repeated under the same [ticket] until a reply arrives, and from time to
 * time while the request is queued, so that a new dispatcher learns of it.
 *
 * @property objectiveMillis time left until the answer is late; negative when it is late already
 * @property beginMillis time left until the request is refused rather than kept waiting
 * @property remainingMillis time left until the caller gives up
 * @property excluded servers that this request must not go to again
 * @property repeats arrivals at servers, beyond the first one of the request, that a place causes
 * @property askedBefore whether a place was asked for before, under another ticket
 * @property begun whether the caller has already got a part of the answer
 */
@Serializable
@SerialName("dispatch")
public data class DispatchRequest(
    @SerialName("t") public val ticket: TicketId,
    @SerialName("h") public val holder: InstanceId,
    @SerialName("f") public val failureDomain: FailureDomainId,
    @SerialName("p") public val pool: PoolId,
    @SerialName("w") public val work: DispatchWork,
    @SerialName("u") public val priority: Int,
    @SerialName("o") public val objectiveMillis: Long,
    @SerialName("b") public val beginMillis: Long,
    @SerialName("d") public val remainingMillis: Long,
    @SerialName("x") public val excluded: List<BackendServerId> = emptyList(),
    @SerialName("r") public val repeats: Int = 0,
    @SerialName("a") public val askedBefore: Boolean = false,
    @SerialName("g") public val begun: Boolean = false,
) : DispatchMessage

/** Names why a request gets no place. */
@Serializable
public enum class DispatchRefusal {
    /** The queue is so long that the caller gives up before the request would run. */
    OVERLOADED,

    /** No server of the pool is known or left. */
    NO_SERVER,

    /** Too many requests were sent to servers more than once lately. */
    RETRY_BUDGET,

    /** Every server that is left has asked the holder to stay away for longer than the request can wait. */
    SERVERS_PAUSED,
}

/** Answers a [DispatchRequest]. */
@Serializable
public sealed interface DispatchReply : DispatchMessage {
    /** Ticket of the request. */
    public val ticket: TicketId

    /** The request waits for a place. */
    @Serializable
    @SerialName("dispatch-queued")
    public data class Queued(@SerialName("t") override val ticket: TicketId) : DispatchReply

    /**
     * The request may go to [server].
     *
     * @property prefillServer server that reads the prompt first; null when [server] runs the whole request
     */
    @Serializable
    @SerialName("dispatch-granted")
    public data class Granted(
        @SerialName("t") override val ticket: TicketId,
        @SerialName("s") public val server: BackendServerId,
        @SerialName("p") public val prefillServer: BackendServerId? = null,
    ) : DispatchReply

    /** The request gets no place; [retryMillis] is the time after which a new one is likely to get one. */
    @Serializable
    @SerialName("dispatch-refused")
    public data class Refused(
        @SerialName("t") override val ticket: TicketId,
        @SerialName("r") public val reason: DispatchRefusal,
        @SerialName("m") public val retryMillis: Long,
    ) : DispatchReply
}

/** Tells how the use of a place ended. */
@Serializable
public enum class PlaceOutcome {
    /** The server answered completely. */
    COMPLETED,

    /** The server answered that it failed. */
    SERVER_FAILED,

    /** The server did not run the request. */
    NOT_RUN,

    /** No connection could be established. */
    UNREACHABLE,

    /** The connection or the answer broke. */
    BROKEN,

    /** The server has sent nothing for too long; it may still be at work, so that its place stays taken. */
    SILENT,

    /** The holder did not use the place, or stopped because its caller left. */
    UNUSED,
}

/** Names the part of a granted place. */
@Serializable
public enum class PlacePart {
    /** The reading of the prompt at a prefill server. */
    PREFILL,

    /** The run of a call, or of a generation with or without its prompt. */
    RUN,
}

/**
 * Returns a place, or withdraws a queued request when no server is named.
 *
 * @property elapsedMillis time from the sending of the request to the end of the answer
 * @property slowdownPercent time that work takes on the server's machine by its latest answer, 100 as usual; 0 unknown
 */
@Serializable
@SerialName("dispatch-release")
public data class DispatchRelease(
    @SerialName("t") public val ticket: TicketId,
    @SerialName("p") public val pool: PoolId,
    @SerialName("s") public val server: BackendServerId? = null,
    @SerialName("a") public val part: PlacePart = PlacePart.RUN,
    @SerialName("o") public val outcome: PlaceOutcome = PlaceOutcome.UNUSED,
    @SerialName("e") public val elapsedMillis: Long = 0,
    @SerialName("l") public val slowdownPercent: Int = 0,
) : DispatchMessage

/** Describes a place that a holder uses. */
@Serializable
public data class HeldPlace(
    @SerialName("t") public val ticket: TicketId,
    @SerialName("s") public val server: BackendServerId,
    @SerialName("a") public val part: PlacePart,
    @SerialName("k") public val tokens: Int,
)

/** Lists every place of [pool] that [holder] uses; places that it does not list are free. */
@Serializable
@SerialName("dispatch-held")
public data class HeldPlaces(
    @SerialName("h") public val holder: InstanceId,
    @SerialName("p") public val pool: PoolId,
    @SerialName("l") public val places: List<HeldPlace>,
) : DispatchMessage

/** Passes on to the dispatcher what a server of [pool] said of itself in an answer. */
@Serializable
public sealed interface ServerNotice : DispatchMessage {
    /** Pool of the server. */
    public val pool: PoolId

    /** The server that answered. */
    public val server: BackendServerId

    /**
     * The server leaves and must get no more requests.
     *
     * @property startedAt start of the server's process by its own account, in epoch milliseconds
     */
    @Serializable
    @SerialName("server-leaves")
    public data class Leaving(
        @SerialName("p") override val pool: PoolId,
        @SerialName("s") override val server: BackendServerId,
        @SerialName("a") public val startedAt: Long,
    ) : ServerNotice

    /** The server wants no requests of [holder] for [pauseMillis]. */
    @Serializable
    @SerialName("server-pauses")
    public data class Pause(
        @SerialName("p") override val pool: PoolId,
        @SerialName("s") override val server: BackendServerId,
        @SerialName("h") public val holder: InstanceId,
        @SerialName("m") public val pauseMillis: Long,
    ) : ServerNotice
}
