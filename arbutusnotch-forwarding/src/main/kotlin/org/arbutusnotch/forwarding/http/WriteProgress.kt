/*
 * Observes whether the peer of a connection takes what is written to it.
 */
package org.arbutusnotch.forwarding.http

import io.netty.channel.Channel
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.Clock
import kotlin.time.Duration

/** Compares the write buffer of a connection at each call with that of the previous one. */
internal class WriteProgress(private val clock: Clock) {
    private var pendingBytes = 0L
    private var partBytes = 0L
    private var progressAt: Timestamp = clock.now()

    /** Returns the time for which [channel] has had unwritten bytes of which none was taken. */
    fun stalledFor(channel: Channel): Duration {
        val now = clock.now()
        val buffer = channel.unsafe().outboundBuffer()
        val pending = buffer?.totalPendingWriteBytes() ?: 0
        val part = buffer?.currentProgress() ?: 0
        val isStalled = pending > 0 && pending >= pendingBytes && pendingBytes > 0 && part == partBytes
        pendingBytes = pending
        partBytes = part
        if (!isStalled) progressAt = now
        return now - progressAt
    }
}
