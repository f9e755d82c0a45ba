/*
 * Tracks for how long this instance has been the dispatcher of a pool without interruption.
 *
 * Only one instance at a time may order servers to change their stage. Two instances may briefly both consider
 * themselves the dispatcher; the required tenure is longer than such a disagreement and a stage change together.
 */
package org.arbutusnotch.forwarding.dispatch

import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks the tenure of this instance for each pool.
 *
 * @param isDispatcher returns whether this instance is the dispatcher of a pool in its own membership view
 * @param seesMajority returns whether more than half of the instances that may run are reachable
 */
internal class DispatcherTenure(
    private val isDispatcher: (PoolId) -> Boolean,
    private val seesMajority: () -> Boolean,
) {
    private val since = HashMap<PoolId, Timestamp>()
    private var lastTick: Timestamp? = null

    /** Updates the tenure for [pools]; a gap between ticks resets it: a paused instance may have been replaced. */
    fun tick(pools: Collection<PoolId>, now: Timestamp) {
        val previous = lastTick
        lastTick = now
        if (previous != null && now - previous > MAXIMUM_TICK_GAP) since.clear()
        since.keys.retainAll(pools.toSet())
        pools.forEach { pool ->
            if (isDispatcher(pool) && seesMajority()) since.putIfAbsent(pool, now) else since.remove(pool)
        }
    }

    /** Whether the tenure is long enough to order stage changes. */
    fun mayOrder(pool: PoolId, now: Timestamp): Boolean = since[pool]?.let { now - it >= MINIMUM_ORDER_TENURE } ?: false

    private companion object {
        /** Time between two ticks after which the process counts as paused. */
        val MAXIMUM_TICK_GAP = 500.milliseconds

        /** Longer than the detection of a failed instance and a stage change of a server together. */
        val MINIMUM_ORDER_TENURE = 10.seconds
    }
}
