/*
 * Decides from the changes that peers name whether this instance has missed some, and which of them it passes on.
 *
 * A store that loses the answer to a call leaves a waiting instance as silent as a store in which nothing changes. Its
 * peers, which wait with calls of their own, tell the two apart. What a peer names is unverified until the store has
 * been asked: it never changes the own position, and the store is asked for each named change only once.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.time.backoff
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

public class MissedChanges {
    private var expected: Expected? = null

    /** The latest change that a peer has named since [expected] was set. */
    private var newest: Expected? = null

    /** Changes for which the store was asked and that this instance does not have; the latest ones. */
    private val unconfirmed = LinkedHashSet<StorePosition>()

    /** Number of queries to the store in a row that did not lead to the change that a peer had named. */
    private var unconfirmedQueries = 0
    private var nextQueryAt = Timestamp(0)
    private var nextRelayAt = Timestamp(0)

    /**
     * Records at [now] that a peer names the change at [known], while this instance knows all changes up to [own]; an
     * instance that knows none is about to list them. Returns whether to name the change to other peers at once.
     */
    public fun onPeerKnows(known: StorePosition, own: StorePosition?, now: Timestamp): Boolean {
        if (own == null || known <= own || known in unconfirmed) return false
        val heard = Expected(known, deadline = now + DELIVERY_TIME)
        if (newest.let { it == null || it.change < known }) newest = heard
        if (expected != null) return false
        expected = heard
        if (now < nextRelayAt || now < nextQueryAt) return false
        nextRelayAt = now + RELAY_INTERVAL
        return true
    }

    /**
     * Returns the latest change that peers have named and that is later than [own]; null when there is none, and from
     * the query to the store on. While queries are delayed because earlier ones found no change, there is none either.
     */
    public fun heard(own: StorePosition?, now: Timestamp): StorePosition? =
        newest?.change?.takeIf { own != null && own < it && now >= nextQueryAt }

    /**
     * Returns whether a change that a peer named has not arrived in time, so that the caller has to ask the store for
     * it, and then forgets it.
     */
    public fun isOverdue(own: StorePosition?, now: Timestamp): Boolean {
        if (own != null && unconfirmed.removeAll { it <= own }) onConfirmed()
        if (own != null) forgetArrived(own)
        val awaited = expected ?: return false
        if (now < awaited.deadline || now < nextQueryAt) return false
        recordQuery(listOfNotNull(awaited, newest).map { it.change }, now)
        return true
    }

    private fun onConfirmed() {
        unconfirmedQueries = 0
        nextQueryAt = Timestamp(0)
    }

    private fun forgetArrived(own: StorePosition) {
        newest = newest?.takeIf { own < it.change }
        expected = expected?.takeIf { own < it.change } ?: newest
    }

    private fun recordQuery(changes: List<StorePosition>, now: Timestamp) {
        expected = null
        newest = null
        changes.forEach { unconfirmed += it }
        while (unconfirmed.size > UNCONFIRMED_LIMIT) unconfirmed -= unconfirmed.first()
        nextQueryAt = now + INITIAL_QUERY_DELAY.backoff(unconfirmedQueries, MAXIMUM_QUERY_DELAY)
        unconfirmedQueries += 1
    }

    private class Expected(val change: StorePosition, val deadline: Timestamp)

    private companion object {
        /** Time within which the store tells all instances of a change, also a slow store. */
        val DELIVERY_TIME = 400.milliseconds

        /** Time between two changes that are named to other peers at once; those between go with regular gossip. */
        val RELAY_INTERVAL = 500.milliseconds

        /**
         * Time between a query that did not lead to the change and the next one; it doubles with each further one. The
         * maximum is that of [WatchTime], after which an instance learns of changes without its peers.
         */
        val INITIAL_QUERY_DELAY = 1.seconds
        val MAXIMUM_QUERY_DELAY = 20.seconds

        /** Number of changes to remember; a peer that names more of them in turn is bounded by the delay of queries. */
        const val UNCONFIRMED_LIMIT = 16
    }
}
