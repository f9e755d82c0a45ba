/*
 * The instances through which another one may serve that reaches no server of a pool.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.seconds

/** Selects instances in turn, so that the load of those that are cut off is spread over all others. */
internal class RelayCandidates {
    /** Time of the latest answer that each instance got from a server; the next one to be selected comes first. */
    private val answeredAt = LinkedHashMap<InstanceAddress, Timestamp>()

    fun recordAnswer(instance: InstanceAddress, now: Timestamp) {
        answeredAt[instance] = now
    }

    /** Returns instances that had answers lately, for the requests of [holder]. */
    fun select(holder: InstanceAddress, now: Timestamp): List<InstanceAddress> {
        answeredAt.values.removeIf { now >= it + ANSWER_LIFETIME }
        val selected = answeredAt.keys.filter { it != holder }.take(CANDIDATES)
        selected.firstOrNull()?.let { first -> answeredAt.remove(first)?.let { answeredAt[first] = it } }
        return selected
    }

    private companion object {
        /** Instances named for one request: the second is tried if the first cannot be reached. */
        const val CANDIDATES = 2

        /** Time for which an answer shows that its instance reaches the servers, also at low load. */
        val ANSWER_LIFETIME = 3.seconds
    }
}
