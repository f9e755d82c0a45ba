/*
 * A request that waits for a place at a backend server, and the dispatcher's decision about it.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Describes a waiting request, with all deadlines in the dispatcher's clock.
 *
 * @property objectiveAt time after which the answer counts as late
 * @property startDeadline time by which the request must have a place; it is refused when it cannot get one by then
 * @property deadlineAt time at which the caller gives up
 * @property begun whether the caller has already received part of the answer
 * @property version software version that the request needs; null for any
 * @property workspace workspace of the caller; null if there is none
 * @property route name of the route; null if it is not known
 * @property waitingSince time at which the request arrived at the dispatcher
 * @property expiresAt time at which the request is dropped unless its holder sends it again
 */
internal data class WaitingRequest(
    val ticket: TicketId,
    val holder: InstanceId,
    val domain: FailureDomainId,
    val work: DispatchWork,
    val priority: Int,
    val objectiveAt: Timestamp,
    val startDeadline: Timestamp,
    val deadlineAt: Timestamp,
    val excluded: Set<BackendServerId>,
    val begun: Boolean,
    val version: SoftwareVersion?,
    val workspace: WorkspaceId?,
    val route: String?,
    val waitingSince: Timestamp,
    val expiresAt: Timestamp,
) {
    /** Returns whether [server] may get the request, regardless of its state and load. */
    fun accepts(server: BackendServer): Boolean =
        server.id !in excluded && (version == null || server.version == version)

    companion object {
        /** Time without a repeated message after which the holder is considered lost; four are sent in that time. */
        val HOLDER_TIMEOUT = 1_000.milliseconds

        fun of(request: DispatchRequest, now: Timestamp): WaitingRequest = WaitingRequest(
            ticket = request.ticket,
            holder = request.holder,
            domain = request.failureDomain,
            work = request.work,
            priority = request.priority,
            objectiveAt = Timestamp(now.epochMillis + request.objectiveMillis),
            startDeadline = Timestamp(now.epochMillis + request.beginMillis),
            deadlineAt = Timestamp(now.epochMillis + request.remainingMillis),
            excluded = request.excluded.toSet(),
            begun = request.begun,
            version = request.version,
            workspace = request.workspace,
            route = request.route,
            waitingSince = now,
            expiresAt = now + HOLDER_TIMEOUT,
        )
    }
}

/** Tells a holder how its request was decided. */
public sealed interface DispatchDecision {
    /** The request. */
    public val ticket: TicketId

    /** The instance that holds the request. */
    public val holder: InstanceId

    /**
     * The request may be sent to [server], after the prefill at [prefillServer] if that is not null; [limited] tells
     * whether one of them has a request limit.
     */
    public data class Granted(
        override val ticket: TicketId,
        override val holder: InstanceId,
        public val server: BackendServerId,
        public val prefillServer: BackendServerId?,
        public val limited: Boolean = false,
    ) : DispatchDecision

    /** The request waits for a place. */
    public data class Queued(override val ticket: TicketId, override val holder: InstanceId) : DispatchDecision

    /**
     * The request gets no place; a new request is likely to get one after [retryAfter], or at once through one of
     * [relays].
     */
    public data class Refused(
        override val ticket: TicketId,
        override val holder: InstanceId,
        public val reason: DispatchRefusal,
        public val retryAfter: Duration,
        public val relays: List<InstanceAddress> = emptyList(),
    ) : DispatchDecision
}
