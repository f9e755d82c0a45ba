/*
 * Selects the instances that confirm the configuration for the others.
 *
 * Two in each failure domain keep the calls to the store few, and one of them may stop or lose the store.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.membership.RendezvousHash

/** Selects by rendezvous hashing over the instances that serve. */
public object ConfirmingInstances {
    private const val PER_DOMAIN = 2
    private const val KEY = "configuration-confirmation"

    /** Returns whether the instance at [self] is one of the confirming instances among [serving]. */
    public fun contains(self: InstanceAddress, serving: List<InstanceView>): Boolean {
        val domain = serving.find { it.address == self }?.row?.failureDomain ?: return false
        val inDomain = serving.filter { it.row.failureDomain == domain }.map { it.address }
        return self in RendezvousHash.order(KEY, inDomain) { it.value }.take(PER_DOMAIN)
    }
}
