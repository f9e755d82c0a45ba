/*
 * Tells the open requests that the instance shuts down.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Holds the times of a planned shutdown.
 *
 * @property beganAt time at which the shutdown began
 * @property answerBy time by which each request must have its final answer
 * @property estimatesEndAt time from which a stream begins to run only if its declared maximum ends in time
 * @property listsExpireAt time after which no caller holds an address list that contains this instance
 * @property replacedBy time by which this process has ended, so that another one serves in its place
 */
internal data class ShutdownSchedule(
    val beganAt: Timestamp,
    val answerBy: Timestamp,
    val estimatesEndAt: Timestamp,
    val listsExpireAt: Timestamp,
    val replacedBy: Timestamp,
)

/**
 * Announces by when each request must have its final answer.
 *
 * @param hasServingPeer returns whether another instance serves callers
 * @param hasStartingPeer returns whether another instance is about to serve callers
 */
internal class ShutdownNotice(
    private val hasServingPeer: () -> Boolean = { false },
    private val hasStartingPeer: () -> Boolean = { false },
) {
    /** Times of the shutdown; null before it. */
    var schedule: ShutdownSchedule? = null
        private set

    private val listeners = LinkedHashSet<(ShutdownSchedule) -> Unit>()

    /** Calls [listener] once the shutdown begins, or at once after that, until the returned function is called. */
    fun observe(listener: (ShutdownSchedule) -> Unit): () -> Unit {
        listeners += listener
        schedule?.let { listener(it) }
        return { listeners -= listener }
    }

    /** Whether callers no longer learn of this instance, and another one serves those that still come. */
    fun isReplaced(now: Timestamp): Boolean = schedule.let { it != null && now >= it.listsExpireAt } && hasServingPeer()

    /** Whether a stream may begin to run whose end is known only from its caller's estimate of the length. */
    fun acceptsEstimates(now: Timestamp): Boolean = schedule.let { it == null || now < it.estimatesEndAt }

    /** Returns the time after which an instance is expected to serve the caller of a request that is refused now. */
    fun retryAfter(now: Timestamp): Duration {
        val replacedBy = schedule?.replacedBy ?: now
        return when {
            hasServingPeer() -> Duration.ZERO
            hasStartingPeer() -> STARTING_PEER_RETRY
            else -> maxOf(replacedBy - now, STARTING_PEER_RETRY)
        }
    }

    /** Announces that the shutdown has the times of [schedule]. */
    fun announce(schedule: ShutdownSchedule) {
        this.schedule = schedule
        listeners.toList().forEach { it(schedule) }
    }

    private companion object {
        /** Time in which an instance that starts has read the store and serves. */
        val STARTING_PEER_RETRY = 1.seconds
    }
}
