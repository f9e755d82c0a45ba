/*
 * The ways in which a request to another instance fails.
 *
 * An outcome sent to a caller depends on whether the peer may have acted on the request, so every error states it.
 */
package org.arbutusnotch.peer

import org.arbutusnotch.core.id.InstanceAddress

/** Describes why a request to a peer has no reply. */
public sealed interface PeerError {
    /** Whether a byte of the request may have been sent; when false, the peer cannot have acted on it. */
    public val requestSent: Boolean

    /** No connection could be opened, or the last attempt failed too recently to try again. */
    public data class Unreachable(public val address: InstanceAddress, public val detail: String) : PeerError {
        override val requestSent: Boolean get() = false
    }

    /** The peer has the maximum number of unanswered requests of this instance. */
    public data class TooManyPending(public val address: InstanceAddress) : PeerError {
        override val requestSent: Boolean get() = false
    }

    /** No reply arrived within the timeout. */
    public data class TimedOut(override val requestSent: Boolean) : PeerError

    /** The connection ended before the reply arrived. */
    public data class ConnectionLost(override val requestSent: Boolean) : PeerError

    /** The request, or with [requestSent] the reply, is larger than the maximum frame size. */
    public data class FrameTooLarge(public val bytes: Long, override val requestSent: Boolean) : PeerError

    /** The peer sent bytes that are not a valid frame; its connection was closed. */
    public data class Malformed(public val detail: String, override val requestSent: Boolean) : PeerError

    /** The peer received the request and failed while processing it. */
    public data object NotProcessed : PeerError {
        override val requestSent: Boolean get() = true
    }
}

/** Describes why the transport does not listen on [address]. */
public data class BindError(public val address: InstanceAddress, public val detail: String)
