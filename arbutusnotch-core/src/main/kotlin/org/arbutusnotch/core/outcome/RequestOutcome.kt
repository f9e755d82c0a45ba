/*
 * What a caller is told in the end. Every request gets exactly one of these outcomes.
 */
package org.arbutusnotch.core.outcome

import org.arbutusnotch.core.time.Timestamp

/** Describes the final outcome of a request. */
public sealed class RequestOutcome {
    /** Name of the outcome in the `x-outcome` header and in counters. */
    public abstract val code: String

    /** The whole answer was sent. */
    public data object Answered : RequestOutcome() {
        override val code: String = "answered"
    }

    /**
     * Nothing ran and nothing will run for this request.
     *
     * @property reason why the request was refused
     * @property retryAt earliest time at which another try can succeed; null when no try can
     */
    public data class NotRun(public val reason: RefusalReason, public val retryAt: Timestamp? = null) :
        RequestOutcome() {
        override val code: String = "not_run"
    }

    /**
     * The request may have run.
     *
     * @property reason why the outcome is not known
     * @property retryAt earliest time at which asking again can help; null when it cannot
     */
    public data class Unknown(public val reason: RefusalReason, public val retryAt: Timestamp? = null) :
        RequestOutcome() {
        override val code: String = "unknown"
    }
}
