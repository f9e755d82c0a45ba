/*
 * The limits that keep one peer from using the resources of the others.
 */
package org.arbutusnotch.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the limits of a [PeerTransport].
 *
 * @property frameBytes maximum size of an encoded envelope
 * @property pendingRequests requests to one peer that wait for a reply
 * @property inboundRequests requests on one inbound connection that are processed at a time; the transport reads no
 * further request from the connection while this many run
 * @property inboundConnections inbound connections that are open at a time
 * @property connectTimeout time to open a connection
 * @property firstBackoff wait after the first failed connection attempt; it doubles with each further failure
 * @property maximumBackoff longest wait between connection attempts
 * @property silence time without a frame after which a timed out request closes its connection, because the peer's
 * host may have gone without closing it
 * @property idleTime time without a request after which an outbound connection is closed
 * @property inboundIdleTime time without a frame after which an inbound connection is closed; longer than [idleTime],
 * so that the side that sends requests closes first
 */
public data class PeerLimits(
    public val frameBytes: Int = MAXIMUM_FRAME_BYTES,
    public val pendingRequests: Int = 1_024,
    public val inboundRequests: Int = 256,
    public val inboundConnections: Int = 2_048,
    public val connectTimeout: Duration = 1.seconds,
    public val firstBackoff: Duration = 100.milliseconds,
    public val maximumBackoff: Duration = 2.seconds,
    public val silence: Duration = 3.seconds,
    public val idleTime: Duration = 2.minutes,
    public val inboundIdleTime: Duration = 5.minutes,
) {
    public companion object {
        /** Room for a configuration file of 1 MB, the largest value of the platform, and its envelope. */
        public const val MAXIMUM_FRAME_BYTES: Int = 2 * 1024 * 1024
    }
}
