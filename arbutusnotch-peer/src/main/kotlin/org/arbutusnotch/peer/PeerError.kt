/*
 * Defines the errors of requests to other instances.
 *
 * Every error states whether the peer may have acted on the request; the outcome reported to a caller depends on it.
 */
package org.arbutusnotch.peer

import org.arbutusnotch.core.id.InstanceAddress

/** Describes why a request to a peer received no reply. */
public sealed interface PeerError {
    /** Whether a byte of the request may have been sent; if false, the peer cannot have acted on it. */
    public val requestSent: Boolean

    /** No connection could be opened, or the backoff after a failed connection attempt has not elapsed. */
    public data class Unreachable(public val address: InstanceAddress, public val detail: String) : PeerError {
        override val requestSent: Boolean get() = false
    }

    /** The number of requests to the peer that wait for a reply has reached its limit. */
    public data class TooManyPending(public val address: InstanceAddress) : PeerError {
        override val requestSent: Boolean get() = false
    }

    /** No reply arrived within the timeout. */
    public data class TimedOut(override val requestSent: Boolean) : PeerError

    /** The connection ended before the reply arrived. */
    public data class ConnectionLost(override val requestSent: Boolean) : PeerError

    /** The request, or the reply if [requestSent] is true, exceeds the maximum frame size. */
    public data class FrameTooLarge(public val bytes: Long, override val requestSent: Boolean) : PeerError

    /** The peer sent bytes that are not a valid frame; its connection was closed. */
    public data class Malformed(public val detail: String, override val requestSent: Boolean) : PeerError

    /** The peer received the request but failed to process it. */
    public data object NotProcessed : PeerError {
        override val requestSent: Boolean get() = true
    }
}

/** Describes why the transport could not listen on [address]. */
public data class BindError(public val address: InstanceAddress, public val detail: String)
