/*
 * Tests how long a request of a route is expected to take.
 */
package org.arbutusnotch.core.forwarding

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RouteDurationsTest {
    private val durations = RouteDurations()
    private val route = Route(
        name = "r",
        host = "h",
        prefix = "/",
        kind = RouteKind.IdempotentCall,
        targets = emptyList(),
        timeLimit = 10.seconds,
        objective = 300.milliseconds,
        maximumServers = 1,
        priority = 0,
    )

    @Test
    fun `objective is expected while nothing longer was observed`() {
        durations.record("r", 100.milliseconds)
        expectThat(durations.expected(route)).isEqualTo(300.milliseconds)
    }

    /** Guards against one long request that lets an instance refuse requests for the rest of its life. */
    @Test
    fun `longest of the latest requests is expected`() {
        durations.record("r", 2.seconds)
        repeat(15) { durations.record("r", 400.milliseconds) }
        expectThat(durations.expected(route)).isEqualTo(2.seconds)
        durations.record("r", 400.milliseconds)
        expectThat(durations.expected(route)).isEqualTo(400.milliseconds)
    }
}
