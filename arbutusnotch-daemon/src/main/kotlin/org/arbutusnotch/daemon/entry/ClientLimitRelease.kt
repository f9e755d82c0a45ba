/*
 * Gives back the place that a request takes in its client's limit.
 */
package org.arbutusnotch.daemon.entry

import org.arbutusnotch.core.id.ClientId
import java.util.concurrent.atomic.AtomicBoolean

/** Counts a request of [client] as ended, once. */
internal class ClientLimitRelease(private val entry: EntryContext, private val client: ClientId) {
    private val released = AtomicBoolean(false)

    /** Whether the response ends the request instead of the code that admitted it. */
    var handedOver: Boolean = false

    /** Ends the request; later calls have no effect. */
    fun release() {
        if (released.compareAndSet(false, true)) entry.onControl { clientLimits.finish(client) }
    }
}
