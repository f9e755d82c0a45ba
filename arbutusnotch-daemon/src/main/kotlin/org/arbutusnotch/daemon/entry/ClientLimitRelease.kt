/*
 * Removes an ended request from the concurrency limit of its client.
 */
package org.arbutusnotch.daemon.entry

import org.arbutusnotch.core.id.ClientId
import java.util.concurrent.atomic.AtomicBoolean

/** Counts one request of [client] as ended, exactly once. */
internal class ClientLimitRelease(private val entry: EntryContext, private val client: ClientId) {
    private val released = AtomicBoolean(false)

    /** Whether the end of the response calls [release], instead of the code that admitted the request. */
    var releasedByResponse: Boolean = false

    /** Counts the request as ended; later calls have no effect. */
    fun release() {
        if (released.compareAndSet(false, true)) entry.launchOnControlThread { clientLimits.finish(client) }
    }
}
