/*
 * The final result that is reported to the caller. Every request has exactly one outcome.
 */
package org.arbutusnotch.core.outcome

import org.arbutusnotch.core.time.Timestamp

/** Describes the final outcome of a request. */
public sealed class RequestOutcome {
    /** Name of the outcome in the `x-outcome` header and in counters. */
    public abstract val code: String

    /** The complete answer was sent. */
    public data object Answered : RequestOutcome() {
        override val code: String = "answered"
    }

    /**
     * The request did not run and will not run.
     *
     * @property reason why the request was refused
     * @property retryAt earliest time at which a retry can succeed; null when no retry can
     */
    public data class NotRun(public val reason: RefusalReason, public val retryAt: Timestamp? = null) :
        RequestOutcome() {
        override val code: String = "not_run"
    }

    /**
     * The request may have run.
     *
     * @property reason why the outcome is unknown
     * @property retryAt earliest time at which a retry can return the outcome; null when no retry can
     */
    public data class Unknown(public val reason: RefusalReason, public val retryAt: Timestamp? = null) :
        RequestOutcome() {
        override val code: String = "unknown"
    }
}
