/*
 * What the router sees of one backend server when it places a request.
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
 * Describes a backend server at one time.
 *
 * @property freeSlots free slots by the latest summary, less the requests that this instance placed since
 * @property queuedWork prefill tokens that are not finished, or reservations that wait for a slot
 * @property perUnit expected time for an output token, for 1,000 uncached prompt tokens or for a call
 * @property measured whether [perUnit] was measured on this server lately
 * @property excluded whether the server is slow and gets no new work but probes
 * @property probeDue whether an excluded server may get one request
 * @property failedUntil time until which the server is not used after connection errors; null when it is used
 * @property load latest load report of the server itself
 */
public data class ServerView(
    public val definition: ServerDefinition,
    public val kind: ReservationKind,
    public val freeSlots: Int,
    public val queuedWork: Int,
    public val perUnit: Duration,
    public val measured: Boolean,
    public val excluded: Boolean,
    public val probeDue: Boolean,
    public val failedUntil: Timestamp?,
    public val load: LoadReport?,
) {
    /** Address of the server. */
    public val server: BackendServerId
        get() = definition.address

    /** Whether the configuration takes the server out of service. */
    public val leaving: Boolean
        get() = definition.state == ServerState.LEAVING
}
