/*
 * Selects the instances that call the store more often than the others.
 *
 * Open connections of all instances may go silent at the same time, so that no peer knows of a change. The frequent
 * callers notice that first, and gossip tells the others that there is something to ask for.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.membership.RendezvousHash

/** Selects by rendezvous hashing over the instances that serve, in two failure domains if there are several. */
public object FrequentWatchers {
    private const val KEY = "frequent-watch"

    /** Returns whether the instance at [self] is one of the two selected instances among [serving]. */
    public fun contains(self: InstanceAddress, serving: List<InstanceView>): Boolean {
        val ordered = RendezvousHash.order(KEY, serving) { it.address.value }
        val first = ordered.firstOrNull() ?: return false
        val others = ordered.drop(1)
        val second = others.find { it.row.failureDomain != first.row.failureDomain } ?: others.firstOrNull()
        return self == first.address || self == second?.address
    }
}
