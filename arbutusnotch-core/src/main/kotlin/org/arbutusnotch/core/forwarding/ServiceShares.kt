/*
 * Shares a resource of one instance, such as memory or connections, between the services that its requests are for.
 *
 * A request that is served keeps what it holds for as long as its server takes. The requests for one service hold at
 * most a multiple of what then remains free, so that something remains for others while its servers hang, and a service
 * has nearly everything while it is the only one that needs it.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.PoolId

/** Shares [maximum] units between the services. */
public class ServiceShares(private val maximum: Int) {
    private val held = HashMap<PoolId, Int>()

    /** Returns whether [service] may hold [units] more; a service that holds nothing always may. */
    public fun hasRoom(service: PoolId, units: Int): Boolean {
        val own = held[service] ?: 0
        val remaining = maximum - held.values.sum() - units
        return own == 0 || own + units <= remaining.toLong() * UNITS_PER_FREE_UNIT
    }

    /** Records that [service] holds [units] more. */
    public fun add(service: PoolId, units: Int) {
        if (units > 0) held.merge(service, units, Int::plus)
    }

    /** Records that [service] holds [units] less; they must have been added before. */
    public fun remove(service: PoolId, units: Int) {
        held.computeIfPresent(service) { _, before -> (before - units).takeIf { it > 0 } }
    }

    private companion object {
        /** Units that one service may hold for each that remains free: three quarters if it is the only one. */
        const val UNITS_PER_FREE_UNIT = 3
    }
}
