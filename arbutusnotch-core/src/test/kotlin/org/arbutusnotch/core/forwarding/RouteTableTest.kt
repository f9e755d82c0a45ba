/*
 * Tests the selection of routes and pools.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class RouteTableTest {
    private fun route(host: String, prefix: String, vararg targets: RouteTarget) = Route(
        name = host + prefix,
        host = host,
        prefix = prefix,
        kind = RouteKind.IdempotentCall,
        targets = targets.toList(),
        timeLimit = 1.seconds,
        objective = 1.seconds,
        maximumServers = 1,
        priority = 1,
    )

    private val table = RouteTable(
        revision = RevisionNumber(1),
        routes = listOf(route("one", "/a/"), route("one", "/a/b/"), route("two", "/a/")),
        pools = emptyMap(),
        limits = CallerLimits(1, 1, 1.seconds, 1.seconds),
    )

    @Test
    fun `route with the longest matching prefix is selected`() {
        expectThat(table.find("one", "/a/b/c")?.name).isEqualTo("one/a/b/")
        expectThat(table.find("ONE:80", "/a/x")?.name).isEqualTo("one/a/")
        expectThat(table.find("two", "/a/b/c")?.name).isEqualTo("two/a/")
    }

    @Test
    fun `other hosts and paths have no route`() {
        expectThat(table.find("three", "/a/")).isNull()
        expectThat(table.find("one", "/a")).isNull()
        expectThat(table.find("one", "/b/a/")).isNull()
    }

    /** Guards against requests to a pool with a weight of zero. */
    @Test
    fun `pools are selected by weight`() {
        val route =
            route("one", "/a/", RouteTarget(PoolId("p"), 3), RouteTarget(PoolId("q"), 1), RouteTarget(PoolId("r"), 0))
        val random = Random(1)
        val counts = (1..4_000).groupingBy { route.selectPool(random)?.value }.eachCount()
        expectThat(counts.keys).isEqualTo(setOf("p", "q"))
        expectThat(counts.getValue("p") in 2_850..3_150).isEqualTo(true)
    }
}
