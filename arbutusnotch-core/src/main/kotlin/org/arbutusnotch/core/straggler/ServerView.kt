/*
 * The state of one backend server that the router uses to place a request.
 */
package org.arbutusnotch.core.straggler

import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.configuration.ServerState
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.reservation.LoadReport
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Describes the state of a backend server at one point in time.
 *
 * @property freeSlots free slots in the latest summary, minus the requests that this instance has placed since
 * @property queuedWork unfinished prefill tokens, or queued reservations
 * @property timePerUnit expected time for an output token, for 1,000 uncached prompt tokens or for a call
 * @property measured whether [timePerUnit] comes from a recent measurement of this server
 * @property excluded whether the server is a straggler that gets no new work except probes
 * @property probeDue whether an excluded server may get one probe request
 * @property backoffUntil end of the backoff after connection errors; null when the server is in use
 * @property load latest load report of the server
 */
public data class ServerView(
    public val definition: ServerDefinition,
    public val kind: ReservationKind,
    public val freeSlots: Int,
    public val queuedWork: Int,
    public val timePerUnit: Duration,
    public val measured: Boolean,
    public val excluded: Boolean,
    public val probeDue: Boolean,
    public val backoffUntil: Timestamp?,
    public val load: LoadReport?,
) {
    /** Address of the server. */
    public val server: BackendServerId
        get() = definition.address

    /** Whether the configuration takes the server out of service. */
    public val leaving: Boolean
        get() = definition.state == ServerState.LEAVING
}
