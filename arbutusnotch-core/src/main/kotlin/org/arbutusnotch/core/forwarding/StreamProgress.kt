/*
 * Detects streams that have stalled.
 *
 * Only complete events count as progress, because a stalled server may keep sending other bytes. A stream that is not
 * being read cannot make progress, so the timeout is suspended for as long as a slow caller holds up reading.
 *
 * A pause is told from bytes that never become an event: a server that pauses may go on, also with half an event.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Monitors one stream of a server.
 *
 * @param stallTimeout time without an event after which the stream counts as stalled
 * @param startedAt time at which the stream began
 */
public class StreamProgress(private val stallTimeout: Duration, startedAt: Timestamp) {
    private var lastProgressAt = startedAt
    private var paused = false

    /** Time of the first bytes since the latest event; null if there are none. */
    private var bytesSince: Timestamp? = null

    /** Records that an event arrived. */
    public fun recordEvent(now: Timestamp) {
        lastProgressAt = now
        bytesSince = null
    }

    /** Records that bytes arrived that complete no event. */
    public fun recordBytes(now: Timestamp) {
        bytesSince = bytesSince ?: now
    }

    /** Suspends the timeout while the stream is not read. */
    public fun pause() {
        paused = true
    }

    /** Restarts the timeout when the stream is read again. */
    public fun resume(now: Timestamp) {
        paused = false
        lastProgressAt = now
        bytesSince = null
    }

    /** Returns for how long the server has sent bytes that are no event; zero if it has sent none. */
    public fun timeOfBytesWithoutEvent(now: Timestamp): Duration = bytesSince?.let { now - it } ?: Duration.ZERO

    /** Returns whether the stream has stalled. */
    public fun isStalled(now: Timestamp): Boolean = !paused && now >= lastProgressAt + stallTimeout

    /** Returns the earliest time at which the stream can have stalled. */
    public fun nextCheckAt(now: Timestamp): Timestamp =
        if (paused) now + stallTimeout else lastProgressAt + stallTimeout
}
