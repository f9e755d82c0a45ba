/*
 * Whether a stream still makes progress.
 *
 * Only events count: a stalled server may go on to send bytes that are none. A stream that nobody reads for the moment
 * cannot make progress, so that a slow caller stops the clock.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Follows one stream of a server.
 *
 * @param limit time without an event after which the stream has stalled
 * @param begunAt time at which the stream began
 */
public class StreamProgress(private val limit: Duration, begunAt: Timestamp) {
    private var progressAt = begunAt
    private var paused = false

    /** Records that an event arrived. */
    public fun noteEvent(now: Timestamp) {
        progressAt = now
    }

    /** Records that the stream is not read any more. */
    public fun pause() {
        paused = true
    }

    /** Records that the stream is read again. */
    public fun resume(now: Timestamp) {
        paused = false
        progressAt = now
    }

    /** Returns whether the stream has stalled. */
    public fun isStalled(now: Timestamp): Boolean = !paused && now >= progressAt + limit

    /** Returns the earliest time at which the stream can have stalled. */
    public fun nextCheck(now: Timestamp): Timestamp = if (paused) now + limit else progressAt + limit
}
