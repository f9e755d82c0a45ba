/*
 * Tracks how recently the configuration of this instance was known to be the newest one.
 *
 * The store and peers confirm it. A process that was paused, possibly without its monotonic clock counting the pause,
 * must not use an old confirmation, so every use follows a check for pauses.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks confirmations. All times but those named `wall` are times of the monotonic clock.
 *
 * Call [checkForPause] before every other function.
 */
public class ConfirmationTracker {
    private var lastTick: Timestamp? = null
    private var lastNow: Timestamp? = null
    private var lastWall = Timestamp(0)
    private var confirmation: Confirmation? = null
    private var peersCountFrom = Timestamp(0)

    /** Time before which calls to the store were sent that confirm nothing, because the process was paused since. */
    public var voidBefore: Timestamp = Timestamp(0)
        private set

    /** Records a tick of the periodic work. */
    public fun recordTick(now: Timestamp) {
        lastTick = now
    }

    /** Voids all confirmations if the process was paused since the previous check; returns whether it was. */
    public fun checkForPause(now: Timestamp, wall: Timestamp): Boolean {
        val tickGap = lastTick?.let { now - it } ?: Duration.ZERO
        val uncounted = lastNow?.let { (wall - lastWall) - (now - it) } ?: Duration.ZERO
        lastNow = now
        lastWall = wall
        val paused = tickGap > MAXIMUM_TICK_GAP || uncounted > MAXIMUM_UNCOUNTED
        if (paused) {
            lastTick = now
            confirmation = null
            voidBefore = now
            peersCountFrom = now + PEER_DELAY_AFTER_PAUSE
        }
        return paused
    }

    /** Records that a call to the store, sent at [sentAt], showed that the configuration was current at [validAt]. */
    public fun confirmByStore(sentAt: Timestamp, validAt: Timestamp) {
        if (sentAt >= voidBefore) confirm(validAt)
    }

    /** Records that a peer with the same revision knew [age] ago, at the time of sending, that it was the newest. */
    public fun confirmByPeer(age: Duration, now: Timestamp) {
        if (now >= peersCountFrom && !age.isNegative()) confirm(now - age - TRANSIT_ALLOWANCE)
    }

    private fun confirm(validAt: Timestamp) {
        val current = confirmation
        val now = lastNow ?: validAt
        if (current != null && age(current, now) <= now - validAt) return
        confirmation = Confirmation(validAt, wallLead = lastWall - now)
    }

    /** Returns the time since the configuration was known to be the newest one; null if that is not known. */
    public fun age(now: Timestamp): Duration? = confirmation?.let { age(it, now) }

    /** Adds time that only the wall clock has counted, as in pauses that are too short to be detected. */
    private fun age(of: Confirmation, now: Timestamp): Duration {
        val uncounted = (lastWall - (lastNow ?: now)) - of.wallLead
        return now - of.validAt + uncounted.coerceAtLeast(Duration.ZERO)
    }

    /** Holds a confirmation and by how much the wall clock was ahead of the monotonic one when it was recorded. */
    private class Confirmation(val validAt: Timestamp, val wallLead: Duration)

    private companion object {
        /** Gap between two ticks above which the process counts as paused; ticks are 25 ms apart. */
        val MAXIMUM_TICK_GAP = 500.milliseconds

        /** Time that only the wall clock has counted and above which the process counts as paused. */
        val MAXIMUM_UNCOUNTED = 1.seconds

        /** Time after a pause in which messages of peers may come from a socket buffer. */
        val PEER_DELAY_AFTER_PAUSE = 500.milliseconds

        /** Age that a confirmation gains on the way from a peer: many times the delay of a datagram between regions. */
        val TRANSIT_ALLOWANCE = 250.milliseconds
    }
}
