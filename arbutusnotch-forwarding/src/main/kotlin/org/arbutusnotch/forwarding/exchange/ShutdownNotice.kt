/*
 * Tells the open requests that the instance shuts down.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.time.Timestamp

/**
 * Announces by when each request must have its final answer.
 *
 * @param hasServingPeer returns whether another instance serves callers
 */
internal class ShutdownNotice(private val hasServingPeer: () -> Boolean = { false }) {
    private var answerBy: Timestamp? = null

    /** Time at which the shutdown began; null before it. */
    var beganAt: Timestamp? = null
        private set

    private var listsExpireAt: Timestamp? = null
    private val listeners = LinkedHashSet<(Timestamp) -> Unit>()

    /** Calls [listener] once the shutdown begins, or at once after that, until the returned function is called. */
    fun observe(listener: (answerBy: Timestamp) -> Unit): () -> Unit {
        listeners += listener
        answerBy?.let { listener(it) }
        return { listeners -= listener }
    }

    /** Whether callers no longer learn of this instance, and another one serves those that still come. */
    fun isReplaced(now: Timestamp): Boolean = listsExpireAt.let { it != null && now >= it } && hasServingPeer()

    /** Announces at [now] that each request must have its final answer at [time], and when address lists expire. */
    fun announce(time: Timestamp, now: Timestamp, listsExpireAt: Timestamp = now) {
        beganAt = beganAt ?: now
        this.listsExpireAt = this.listsExpireAt ?: listsExpireAt
        answerBy = time
        listeners.toList().forEach { it(time) }
    }
}
