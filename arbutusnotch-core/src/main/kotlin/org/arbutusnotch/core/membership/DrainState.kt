/*
 * The graceful shutdown of an instance.
 *
 * The instance is first removed from the entry point lists and is no longer selected as an issuer. It then waits until
 * the lists that callers have cached expire, until its requests complete, and until every token that it issued expires.
 * This includes issuer prefixes that callers have received but not yet used, because the issuer must be reachable when
 * such a token is used.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.time.Timestamp

/**
 * Counts the work that an instance still has to finish before it can stop.
 *
 * @property requests number of running requests
 * @property tokens number of unexpired records in the permit table
 * @property lastTokenExpiry latest expiry of these records; null when there are none
 */
public data class DrainWork(
    public val requests: Int,
    public val tokens: Int,
    public val lastTokenExpiry: Timestamp? = null,
)

/** Represents the progress of a graceful shutdown. */
public sealed class DrainState {
    /** Returns the state at [now], given the remaining [work]. */
    public abstract fun advance(now: Timestamp, work: DrainWork): DrainState

    /** Returns the final state of a shutdown that ends immediately and abandons the remaining [work]. */
    public open fun interrupt(work: DrainWork): DrainState = Done(work.requests, work.tokens)

    /** Whether entry point lists must leave out the instance. */
    public open val leaving: Boolean = true

    /** The instance serves requests; no shutdown has been requested. */
    public data object Serving : DrainState() {
        override val leaving: Boolean = false

        override fun advance(now: Timestamp, work: DrainWork): DrainState = this
    }

    /** Callers may use cached lists that contain this instance until [listsEnd]. */
    public data class LeavingLists(
        public val listsEnd: Timestamp,
        public val prefixesEnd: Timestamp,
        public val hardDeadline: Timestamp,
    ) : DrainState() {
        override fun advance(now: Timestamp, work: DrainWork): DrainState = when {
            now >= hardDeadline -> interrupt(work)
            now < listsEnd -> this
            else -> FinishingRequests(prefixesEnd, hardDeadline).advance(now, work)
        }
    }

    /** Cached lists have expired; the instance waits for its running requests. */
    public data class FinishingRequests(public val prefixesEnd: Timestamp, public val hardDeadline: Timestamp) :
        DrainState() {
        override fun advance(now: Timestamp, work: DrainWork): DrainState = when {
            work.requests > 0 && now >= hardDeadline -> interrupt(work)
            work.requests > 0 -> this
            else -> WaitingForTokens(tokensEnd(work), hardDeadline).advance(now, work)
        }

        private fun tokensEnd(work: DrainWork): Timestamp = maxOf(prefixesEnd, work.lastTokenExpiry ?: prefixesEnd)
    }

    /** The instance grants permits for the tokens that it issued until [tokensEnd]. */
    public data class WaitingForTokens(public val tokensEnd: Timestamp, public val hardDeadline: Timestamp) :
        DrainState() {
        override fun advance(now: Timestamp, work: DrainWork): DrainState {
            val end = maxOf(tokensEnd, work.lastTokenExpiry ?: tokensEnd)
            return when {
                work.requests > 0 && now < hardDeadline -> this
                work.requests == 0 && now >= end -> Done(0, 0)
                now >= hardDeadline -> interrupt(work)
                else -> copy(tokensEnd = end)
            }
        }
    }

    /** The shutdown is over and the process may exit; the properties count the work that was interrupted. */
    public data class Done(public val interruptedRequests: Int, public val interruptedTokens: Int) : DrainState() {
        override fun advance(now: Timestamp, work: DrainWork): DrainState = this

        override fun interrupt(work: DrainWork): DrainState = this
    }

    /** Starts a graceful shutdown. */
    public companion object {
        /**
         * Returns the initial state of a shutdown.
         *
         * @param listsEnd time at which the last list that contains this instance expires
         * @param prefixesEnd time at which the last issuer prefix that names this instance expires
         * @param hardDeadline time at which the shutdown ends even if work remains
         */
        public fun begin(listsEnd: Timestamp, prefixesEnd: Timestamp, hardDeadline: Timestamp): DrainState =
            LeavingLists(listsEnd, prefixesEnd, hardDeadline)
    }
}
