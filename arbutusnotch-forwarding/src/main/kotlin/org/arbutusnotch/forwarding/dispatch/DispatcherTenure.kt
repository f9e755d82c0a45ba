/*
 * For how long this instance has been the only dispatcher of a pool.
 *
 * Orders to servers must come from one instance at a time. Two instances may both believe for a moment that they
 * dispatch; the tenure is longer than such a disagreement and than the time in which the effect of an order shows.
 */
package org.arbutusnotch.forwarding.dispatch

import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tracks the tenure of this instance for each pool. */
internal class DispatcherTenure(
    private val isDispatcher: (PoolId) -> Boolean,
    private val seesMajority: () -> Boolean,
) {
    private val since = HashMap<PoolId, Timestamp>()
    private var lastTick: Timestamp? = null

    /** Updates the tenure for [pools]; a gap between ticks ends it, since a paused instance may have been replaced. */
    fun tick(pools: Collection<PoolId>, now: Timestamp) {
        val previous = lastTick
        lastTick = now
        if (previous != null && now - previous > LONGEST_GAP) since.clear()
        since.keys.retainAll(pools.toSet())
        pools.forEach { pool ->
            if (isDispatcher(pool) && seesMajority()) since.putIfAbsent(pool, now) else since.remove(pool)
        }
    }

    /** Whether the tenure is long enough to give orders. */
    fun mayOrder(pool: PoolId, now: Timestamp): Boolean = since[pool]?.let { now - it >= ORDER_TENURE } ?: false

    private companion object {
        val LONGEST_GAP = 500.milliseconds

        /** Longer than the detection of a failed instance and the change of a server's stage together. */
        val ORDER_TENURE = 10.seconds
    }
}
