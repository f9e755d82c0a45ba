/*
 * Observes how long the calls of each route take; generations are observed by GenerationDurations.
 *
 * An instance that shuts down needs this to decide which requests it can still answer.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.collection.RecentValues
import kotlin.time.Duration

public class RouteDurations {
    private val recent = RecentValues<String, Duration>(keyLimit = MAXIMUM_ROUTES, valueLimit = OBSERVATIONS)

    /** Records that a request of the route named [route] was answered after [elapsed]. */
    public fun record(route: String, elapsed: Duration): Unit = recent.add(route, elapsed)

    /** Returns how long a request of [route] may take: the longest of the latest ones, or the objective if longer. */
    public fun expected(route: Route): Duration = maxOf(
        route.objective,
        recent[route.name].maxOrNull() ?: Duration.ZERO,
    )

    private companion object {
        /** Latest requests of a route that are considered. */
        const val OBSERVATIONS = 16

        /** Limit of observed routes; the routes of removed configurations are evicted first. */
        const val MAXIMUM_ROUTES = 4_096
    }
}
