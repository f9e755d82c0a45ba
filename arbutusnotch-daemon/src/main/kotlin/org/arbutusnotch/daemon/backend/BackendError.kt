/*
 * The failure modes of a request to a backend server.
 *
 * A permit may be returned only when the backend server cannot have run the request, so every error states whether the
 * request may have been received.
 */
package org.arbutusnotch.daemon.backend

import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.time.Timestamp

/** Describes why a request to a backend server produced no usable response. */
public sealed interface BackendError {
    /**
     * Whether the backend server may have received the request; false means that no complete request head was written,
     * so the request cannot have run.
     */
    public val mayHaveBeenReceived: Boolean

    /** No connection was opened, or it failed before the request head was written. */
    public data class NotConnected(public val detail: String) : BackendError {
        override val mayHaveBeenReceived: Boolean get() = false
    }

    /** The backend server returned status 429: it is full. [retryAt] is null when it gave no time. */
    public data class RefusedFull(public val retryAt: Timestamp? = null) : BackendError {
        override val mayHaveBeenReceived: Boolean get() = true
    }

    /** The engine returned status 410: the prefill result no longer exists. */
    public data object HandleGone : BackendError {
        override val mayHaveBeenReceived: Boolean get() = true
    }

    /** The engine returned status 409 to a command: it has seen the higher fencing number [fencing]. */
    public data class FencingRefused(public val fencing: RevisionNumber?) : BackendError {
        override val mayHaveBeenReceived: Boolean get() = true
    }

    /** The backend server returned any other unsuccessful status. */
    public data class FailedStatus(public val status: Int, public val detail: String) : BackendError {
        override val mayHaveBeenReceived: Boolean get() = true
    }

    /** The connection failed after the request was written and before the response was complete. */
    public data class BrokenAfterWrite(public val detail: String) : BackendError {
        override val mayHaveBeenReceived: Boolean get() = true
    }

    /** The deadline passed; [mayHaveBeenReceived] is false only when it had passed before the request was sent. */
    public data class TimedOut(override val mayHaveBeenReceived: Boolean) : BackendError

    /** The response violates the protocol or exceeds its size limit. */
    public data class Malformed(public val detail: String) : BackendError {
        override val mayHaveBeenReceived: Boolean get() = true
    }
}
