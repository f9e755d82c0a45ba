/*
 * Recently released or finished attempts. A late duplicate of their request or report must not take a slot again.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Stores ended attempts for [RETENTION], at most [MAXIMUM_ATTEMPTS] of them. */
internal class EndedAttempts {
    private val deadlines = LinkedHashMap<Key, Timestamp>()

    fun add(server: BackendServerId, attempt: AttemptId, now: Timestamp) {
        val key = Key(server, attempt)
        deadlines.remove(key)
        deadlines[key] = now + RETENTION
        if (deadlines.size > MAXIMUM_ATTEMPTS) deadlines.remove(deadlines.keys.first())
    }

    fun contains(server: BackendServerId, attempt: AttemptId): Boolean = Key(server, attempt) in deadlines

    fun expire(now: Timestamp) {
        val iterator = deadlines.values.iterator()
        while (iterator.hasNext() && iterator.next() <= now) iterator.remove()
    }

    private data class Key(val server: BackendServerId, val attempt: AttemptId)

    private companion object {
        const val MAXIMUM_ATTEMPTS = 16_384
        val RETENTION: Duration = 5.seconds
    }
}
