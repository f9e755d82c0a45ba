/*
 * Tracks whether this instance is one of those that call the store more often than the others.
 */
package org.arbutusnotch.forwarding.registry

import org.arbutusnotch.core.forwarding.FrequentWatchers
import org.arbutusnotch.core.forwarding.WatchTime
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks the role of the instance at [self].
 *
 * @param serving returns the instances that serve
 * @param reachable returns the number of reachable instances, this one included
 */
internal class WatchRole(
    private val self: InstanceAddress,
    private val serving: () -> List<InstanceView>,
    private val reachable: () -> Int,
) {
    private val log = EventLog("store")
    private var isFrequent = false
    private var nextCheckAt = Timestamp(0)

    /** Time for which the next call to the store waits for changes. */
    val watchTime: Duration
        get() = if (isFrequent) WatchTime.FREQUENT else WatchTime.of(reachable())

    /** Updates the role at [now]; returns whether it begins, so that a call that already waits is too long. */
    fun begins(now: Timestamp): Boolean {
        if (now < nextCheckAt) return false
        nextCheckAt = now + CHECK_INTERVAL
        val wasFrequent = isFrequent
        isFrequent = FrequentWatchers.contains(self, serving())
        if (isFrequent != wasFrequent) log.info("watch_role_changed") { field("frequent", isFrequent) }
        return isFrequent && !wasFrequent
    }

    private companion object {
        /** Time within which an instance replaces one that has left. */
        val CHECK_INTERVAL = 500.milliseconds
    }
}
