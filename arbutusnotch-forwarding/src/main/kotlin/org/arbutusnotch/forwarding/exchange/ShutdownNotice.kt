/*
 * Tells the open requests that the instance shuts down.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.time.Timestamp

/** Announces by when each request must have its final answer. */
internal class ShutdownNotice {
    private var answerBy: Timestamp? = null

    /** Time at which the shutdown began; null before it. */
    var beganAt: Timestamp? = null
        private set
    private val listeners = LinkedHashSet<(Timestamp) -> Unit>()

    /** Calls [listener] once the shutdown begins, or at once after that, until the returned function is called. */
    fun observe(listener: (answerBy: Timestamp) -> Unit): () -> Unit {
        listeners += listener
        answerBy?.let { listener(it) }
        return { listeners -= listener }
    }

    /** Announces at [now] that each request must have its final answer at [time]. */
    fun announce(time: Timestamp, now: Timestamp) {
        beganAt = beganAt ?: now
        answerBy = time
        listeners.toList().forEach { it(time) }
    }
}
