/*
 * Defines the limits that keep one peer from exhausting resources that the others need.
 */
package org.arbutusnotch.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the limits of a [PeerTransport].
 *
 * @property maximumFrameBytes maximum size of an encoded envelope in bytes, without its length prefix
 * @property maximumPendingRequests maximum number of requests to one peer that wait for a reply
 * @property maximumInboundRequests maximum number of requests on one inbound connection that are processed at a time;
 * the transport reads no further request from the connection while this many are processed
 * @property maximumInboundConnections maximum number of open inbound connections
 * @property connectTimeout maximum time to open a connection
 * @property initialBackoff delay after the first failed connection attempt; it doubles with each further failure
 * @property maximumBackoff upper bound of the delay between connection attempts
 * @property silenceTimeout time without a frame from the peer after which a request that times out closes its
 * connection, because the peer's host may have failed without closing it
 * @property idleTimeout time without a request after which an outbound connection is closed
 * @property inboundIdleTimeout time without a frame after which an inbound connection is closed; longer than
 * [idleTimeout], so that the side that sends the requests closes first
 */
public data class PeerLimits(
    public val maximumFrameBytes: Int = MAXIMUM_FRAME_BYTES,
    public val maximumPendingRequests: Int = 1_024,
    public val maximumInboundRequests: Int = 256,
    public val maximumInboundConnections: Int = 2_048,
    public val connectTimeout: Duration = 1.seconds,
    public val initialBackoff: Duration = 100.milliseconds,
    public val maximumBackoff: Duration = 2.seconds,
    public val silenceTimeout: Duration = 3.seconds,
    public val idleTimeout: Duration = 2.minutes,
    public val inboundIdleTimeout: Duration = 5.minutes,
) {
    public companion object {
        /** Fits a configuration file of 1 MB, the largest value that the platform stores, with its envelope. */
        public const val MAXIMUM_FRAME_BYTES: Int = 2 * 1024 * 1024
    }
}
