/*
 * The pause of an instance between two calls to the store while many items change one after the other.
 *
 * An answer brings all changes since the previous one. When the servers of a deployment register within a few seconds,
 * each change would otherwise be answered on its own, to every instance. Single changes are not delayed.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides how long to wait before the next call, from the times of the latest answers with changes. */
public class WatchSpacing {
    private val answers = ArrayDeque<Timestamp>()

    /** Records an answer with changes at [now] and returns the time to wait before the next call. */
    public fun recordAnswer(now: Timestamp): Duration {
        answers.addLast(now)
        while (answers.first() + PERIOD < now) answers.removeFirst()
        return if (answers.size > ANSWERS_WITHOUT_PAUSE) PAUSE else Duration.ZERO
    }

    private companion object {
        /** Answers with changes in [PERIOD] after which calls are spaced. */
        const val ANSWERS_WITHOUT_PAUSE = 3
        val PERIOD = 2.seconds

        /** Longest delay of a change; a small part of the time after which a leaving server must get no work. */
        val PAUSE = 400.milliseconds
    }
}
