/*
 * What a backend server last said about the rate of requests that it takes.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp

/**
 * Describes the request limit in an answer of a backend server.
 *
 * @property startedAt start of the server's process, as in [BackendServer.startedAt]
 * @property perSecond requests per second that the server takes from all instances together; null for no limit
 * @property observedAt arrival of the answer, in the clock of this instance
 */
public data class LimitObservation(
    public val server: BackendServerId,
    public val startedAt: Long,
    public val perSecond: Double?,
    public val observedAt: Timestamp,
)
