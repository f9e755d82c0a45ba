/*
 * Decides from the changes that peers know whether this instance has missed some.
 *
 * A store that loses the answer to a call leaves a waiting instance as silent as a store in which nothing changes. Its
 * peers, which wait with calls of their own, tell the two apart.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds

public class MissedChanges {
    private var expected: Expected? = null

    /** Records at [now] that a peer knows the change at [known], while this instance knows all changes up to [own]. */
    public fun onPeerKnows(known: StorePosition, own: StorePosition?, now: Timestamp) {
        if (expected == null && isBehind(own, known)) expected = Expected(known, deadline = now + DELIVERY_TIME)
    }

    /** Returns whether a change that a peer knows has not arrived in time, and then forgets it. */
    public fun isOverdue(own: StorePosition?, now: Timestamp): Boolean {
        val awaited = expected ?: return false
        val arrived = !isBehind(own, awaited.change)
        val isOverdue = !arrived && now >= awaited.deadline
        if (arrived || isOverdue) expected = null
        return isOverdue
    }

    private fun isBehind(own: StorePosition?, other: StorePosition) = own == null || own < other

    private class Expected(val change: StorePosition, val deadline: Timestamp)

    private companion object {
        /** Time within which the store tells all instances of a change, also a slow store. */
        val DELIVERY_TIME = 400.milliseconds
    }
}
