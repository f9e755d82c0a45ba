/*
 * The messages between the instance that holds a request and the instance that dispatches the requests of its pool.
 *
 * The clocks of instances differ, so these messages carry remaining times. A receiver converts them to deadlines in its
 * own clock on arrival.
 */
package org.arbutusnotch.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId

/** Marks the messages between holders of requests and dispatchers. */
@Serializable
public sealed interface DispatchMessage : PeerMessage

/** Describes the work that a request needs from a backend server. */
@Serializable
public sealed interface DispatchWork {
    /** A plain call that takes one slot. */
    @Serializable
    @SerialName("c")
    public data object Call : DispatchWork

    /**
     * A generation.
     *
     * @property promptTokens tokens of the prompt
     * @property expectedOutputTokens tokens that the request is expected to generate; it may generate more
     * @property direct whether the decode server is to prefill the prompt itself
     */
    @Serializable
    @SerialName("g")
    public data class Generation(
        @SerialName("p") public val promptTokens: Int,
        @SerialName("o") public val expectedOutputTokens: Int,
        @SerialName("d") public val direct: Boolean = false,
    ) : DispatchWork
}

/**
 * Tells what a backend server said about its request limit in an answer to the sender.
 *
 * @property startedAt start of the server's process as the server reports it, in epoch milliseconds
 * @property perSecond requests per second that the server takes from all instances together; null for no limit
 * @property ageMillis time since the answer arrived
 */
@Serializable
public data class LimitReport(
    @SerialName("s") public val server: BackendServerId,
    @SerialName("a") public val startedAt: Long,
    @SerialName("n") public val perSecond: Double? = null,
    @SerialName("m") public val ageMillis: Long = 0,
)

/**
 * Tells that a backend server has announced in an answer that it is leaving.
 *
 * @property startedAt start of the server's process as the server reports it, in epoch milliseconds
 */
@Serializable
public data class LeavingReport(
    @SerialName("s") public val server: BackendServerId,
    @SerialName("a") public val startedAt: Long,
)

/**
 * Requests a place at a backend server. It is sent again with the same [ticket] until a reply arrives, and periodically
 * while the request is queued, so that a new dispatcher learns of it.
 *
 * @property objectiveMillis time left until the answer is late; negative when it is already late
 * @property beginMillis time left for which the request may wait; it is refused without a place by then
 * @property remainingMillis time left until the caller gives up
 * @property excluded servers that must not get this request again
 * @property repeats attempts at servers that a place causes, beyond the first attempt of the request
 * @property askedBefore whether a place was already requested with another ticket
 * @property begun whether the caller has already received part of the answer
 * @property limits request limits that servers of the pool have named to the holder; with them and [leaving], a
 * dispatcher never knows less than the instance for which it decides
 * @property leaving servers of the pool that have announced to the holder that they are leaving, although their entries
 * do not say so
 * @property version software version that began the stream, which no other version may continue; null for any version
 * @property workspace workspace of the caller; null if the request needs no key
 * @property route name of the route, which stands for a kind of request; null if the holder does not send it
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
    @SerialName("l") public val limits: List<LimitReport> = emptyList(),
    @SerialName("v") public val leaving: List<LeavingReport> = emptyList(),
    @SerialName("s") public val version: SoftwareVersion? = null,
    @SerialName("k") public val workspace: WorkspaceId? = null,
    @SerialName("n") public val route: String? = null,
) : DispatchMessage

/** Gives the reason why a request gets no place. */
@Serializable
public enum class DispatchRefusal {
    /** The request would not start, or not complete, before the caller gives up. */
    OVERLOADED,

    /** The pool has no server, or every server is excluded for this request. */
    NO_SERVER,

    /** The retry budget is spent: too many recent requests were sent to servers more than once. */
    RETRY_BUDGET,

    /** Every remaining server has paused the holder for longer than the request can wait. */
    SERVERS_PAUSED,

    /** Every remaining server limits its requests, and the limits admit the request later than it can wait. */
    SERVERS_LIMITED,

    /** The holder reaches none of the remaining servers although other instances do. */
    SERVERS_UNREACHABLE,
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
     * @property prefillServer server that prefills the prompt; null when [server] runs the whole request
     * @property limited whether the dispatcher counts on a request limit of one of the servers; the holder then reports
     * what their answers say about it
     */
    @Serializable
    @SerialName("dispatch-granted")
    public data class Granted(
        @SerialName("t") override val ticket: TicketId,
        @SerialName("s") public val server: BackendServerId,
        @SerialName("p") public val prefillServer: BackendServerId? = null,
        @SerialName("l") public val limited: Boolean = false,
    ) : DispatchReply

    /**
     * The request gets no place; a new request is likely to get one after [retryMillis].
     *
     * @property relays instances that reach the servers although the holder does not, best first
     */
    @Serializable
    @SerialName("dispatch-refused")
    public data class Refused(
        @SerialName("t") override val ticket: TicketId,
        @SerialName("r") public val reason: DispatchRefusal,
        @SerialName("m") public val retryMillis: Long,
        @SerialName("i") public val relays: List<InstanceAddress> = emptyList(),
    ) : DispatchReply
}

/** Describes how the use of a place ended. */
@Serializable
public enum class PlaceOutcome {
    /** The server sent a complete answer. */
    COMPLETED,

    /** The server answered with a failure. */
    SERVER_FAILED,

    /** The server did not run the request. */
    NOT_RUN,

    /** No connection to the server could be established. */
    UNREACHABLE,

    /** The connection or the answer broke off. */
    BROKEN,

    /** The server has sent nothing for too long; it may still be running, so the place stays in use. */
    SILENT,

    /** The holder did not use the place, or cancelled because its caller left. */
    UNUSED,
}

/** Names a part of a granted place. */
@Serializable
public enum class PlacePart {
    /** The prefill of the prompt at a prefill server. */
    PREFILL,

    /** The run of a call, or of a generation with or without its prefill. */
    RUN,
}

/**
 * Releases a place, or cancels a queued request when no server is named.
 *
 * @property elapsedMillis time from sending the request to the end of the answer
 * @property slowdownPercent duration of work on the server's machine by its latest answer, in percent of the normal
 * duration; 0 when unknown
 * @property limit what the server last said about its request limit; null when that is not known or not of interest
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
    @SerialName("n") public val limit: LimitReport? = null,
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

/** Forwards to the dispatcher what a server of [pool] has announced in an answer. */
@Serializable
public sealed interface ServerNotice : DispatchMessage {
    /** Pool of the server. */
    public val pool: PoolId

    /** The server that answered. */
    public val server: BackendServerId

    /**
     * The server is leaving the pool and must get no more requests.
     *
     * @property startedAt start of the server's process as the server reports it, in epoch milliseconds
     */
    @Serializable
    @SerialName("server-leaves")
    public data class Leaving(
        @SerialName("p") override val pool: PoolId,
        @SerialName("s") override val server: BackendServerId,
        @SerialName("a") public val startedAt: Long,
    ) : ServerNotice

    /** The server named a limit, or no longer names one. */
    @Serializable
    @SerialName("server-names-limit")
    public data class Limit(
        @SerialName("p") override val pool: PoolId,
        @SerialName("r") public val report: LimitReport,
    ) : ServerNotice {
        override val server: BackendServerId
            get() = report.server
    }

    /** The server asks for no requests of [holder] for [pauseMillis]. */
    @Serializable
    @SerialName("server-pauses")
    public data class Pause(
        @SerialName("p") override val pool: PoolId,
        @SerialName("s") override val server: BackendServerId,
        @SerialName("h") public val holder: InstanceId,
        @SerialName("m") public val pauseMillis: Long,
    ) : ServerNotice
}
