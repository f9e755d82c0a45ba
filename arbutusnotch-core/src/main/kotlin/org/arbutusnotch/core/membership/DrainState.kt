/*
 * The shutdown of an instance without interrupting a request.
 *
 * The instance first leaves the entry point lists and stops being named as an issuer. It then waits until the lists
 * that callers hold have expired, until its requests have completed, and until every token in its name has ended.
 * Tokens include prefixes that callers hold and have not used yet: their issuer must still be there when they are.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.time.Timestamp

/**
 * Holds the work that an instance still has.
 *
 * @property requests requests of callers that are running
 * @property tokens live records of the permit table
 * @property lastTokenExpiry latest expiry of these records; null when there is none
 */
public data class DrainWork(
    public val requests: Int,
    public val tokens: Int,
    public val lastTokenExpiry: Timestamp? = null,
)

/** Describes how far a shutdown has come. */
public sealed class DrainState {
    /** Returns the state after [now], given the [work] that is left. */
    public abstract fun advance(now: Timestamp, work: DrainWork): DrainState

    /** Returns the state after the shutdown was told to end at once, with [work] left. */
    public open fun interrupt(work: DrainWork): DrainState = Done(work.requests, work.tokens)

    /** Whether the instance is removed from entry point lists. */
    public open val leaving: Boolean = true

    /** No shutdown was requested. */
    public data object Serving : DrainState() {
        override val leaving: Boolean = false

        override fun advance(now: Timestamp, work: DrainWork): DrainState = this
    }

    /** Callers may hold lists with this instance until [listsEnd]. */
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

    /** Requests are running. */
    public data class FinishingRequests(public val prefixesEnd: Timestamp, public val hardDeadline: Timestamp) :
        DrainState() {
        override fun advance(now: Timestamp, work: DrainWork): DrainState = when {
            work.requests > 0 && now >= hardDeadline -> interrupt(work)
            work.requests > 0 -> this
            else -> WaitingForTokens(tokensEnd(work), hardDeadline).advance(now, work)
        }

        private fun tokensEnd(work: DrainWork): Timestamp = maxOf(prefixesEnd, work.lastTokenExpiry ?: prefixesEnd)
    }

    /** Tokens in the name of this instance get permits until [tokensEnd]. */
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

    /** The process may exit. */
    public data class Done(public val interruptedRequests: Int, public val interruptedTokens: Int) : DrainState() {
        override fun advance(now: Timestamp, work: DrainWork): DrainState = this

        override fun interrupt(work: DrainWork): DrainState = this
    }

    /** Begins shutdowns. */
    public companion object {
        /**
         * Returns the first state of a shutdown.
         *
         * @param listsEnd time at which the last returned list that names this instance has expired
         * @param prefixesEnd time at which the last returned issuer prefix that names this instance has expired
         * @param hardDeadline time at which the shutdown ends whatever is left
         */
        public fun begin(listsEnd: Timestamp, prefixesEnd: Timestamp, hardDeadline: Timestamp): DrainState =
            LeavingLists(listsEnd, prefixesEnd, hardDeadline)
    }
}
