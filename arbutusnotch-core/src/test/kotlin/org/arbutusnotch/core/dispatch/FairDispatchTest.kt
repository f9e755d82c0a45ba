/*
 * Tests what the callers of different workspaces, routes and failure domains get while capacity is too small for all.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.WorkspaceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FairDispatchTest {
    private val end = 40.seconds

    /** Plays [loads], which map "workspace/route/domain" to requests per second, with several seeds. */
    private fun play(policy: DispatchPolicy, loads: Map<String, Double>): List<PlayedRequest> =
        (1..SEEDS).flatMap { play(policy, loads, seed = it) }

    private fun play(policy: DispatchPolicy, loads: Map<String, Double>, seed: Int): List<PlayedRequest> {
        val simulation = LoadSimulation(List(4) { 1.0 }, policy, seed = seed).decorated { played, request ->
            val (workspace, route, domain) = played.kind.split("/")
            request.copy(
                workspace = WorkspaceId(workspace),
                route = route,
                failureDomain = FailureDomainId(domain),
            )
        }
        loads.forEach { (kind, perSecond) -> simulation.load(perSecond, Duration.ZERO, end, kind) }
        return simulation.play()
    }

    private fun List<PlayedRequest>.onTimeShare(select: (String) -> Boolean): Double =
        filter { select(it.kind) }.let { kind -> kind.count { it.isOnTime }.toDouble() / kind.size }

    private fun expectTotalKept(before: List<PlayedRequest>, after: List<PlayedRequest>) {
        val required = before.count { it.isOnTime } * KEPT_SHARE
        expectThat(after.count { it.isOnTime }.toDouble()).isGreaterThanOrEqualTo(required)
    }

    /** Guards against a workspace whose load rises to 7.5 times the usual one at the expense of all others. */
    @Test
    fun `workspace with many times its load leaves the others their places`() {
        val loads = (1..4).associate { "w$it/r/one" to 2.0 } + ("w5/r/one" to 15.0)
        val before = play(DispatchPolicy(sharesFairly = false), loads)
        val after = play(DispatchPolicy(), loads)
        val others = { kind: String -> !kind.startsWith("w5") }
        expectThat(after.onTimeShare(others)).isGreaterThan(before.onTimeShare(others))
        expectThat(after.onTimeShare(others)).isGreaterThan(MOSTLY_SERVED)
        expectTotalKept(before, after)
    }

    /** Guards against a rare kind of request that waits behind a frequent one of the same priority. */
    @Test
    fun `rare kind is served at least as often as a frequent one`() {
        val loads = mapOf("w/frequent/one" to 18.0, "w/rare/one" to 1.0)
        val before = play(DispatchPolicy(sharesFairly = false), loads)
        val after = play(DispatchPolicy(), loads)
        expectThat(after.onTimeShare { "rare" in it }).isGreaterThanOrEqualTo(after.onTimeShare { "frequent" in it })
        expectThat(after.onTimeShare { "rare" in it }).isGreaterThan(before.onTimeShare { "rare" in it })
        expectThat(after.onTimeShare { "rare" in it }).isGreaterThan(MOSTLY_SERVED)
        expectTotalKept(before, after)
    }

    /** Guards against a failure domain with few callers that gets little of what is left by one with many. */
    @Test
    fun `failure domain with few callers does not starve`() {
        val loads = mapOf("w/r/one" to 16.0, "w/r/two" to 3.0, "w/r/three" to 3.0)
        val before = play(DispatchPolicy(sharesFairly = false), loads)
        val after = play(DispatchPolicy(), loads)
        listOf("two", "three").forEach { domain ->
            expectThat(after.onTimeShare { it.endsWith(domain) }).isGreaterThan(MOSTLY_SERVED)
        }
        expectThat(after.onTimeShare { it.endsWith("one") }).isGreaterThan(0.0)
        expectTotalKept(before, after)
    }

    /** Guards against a different order, and thus other results, while there is one kind of caller or capacity. */
    @Test
    fun `order is as before in calm or with one kind of caller`() {
        listOf(mapOf("w1/r/one" to 3.0, "w2/s/two" to 3.0), mapOf("w/r/one" to 20.0)).forEach { loads ->
            val before = play(DispatchPolicy(sharesFairly = false), loads)
            val after = play(DispatchPolicy(), loads)
            expectThat(
                after.map {
                    it.server to it.firstEventAt
                },
            ).isEqualTo(before.map { it.server to it.firstEventAt })
        }
    }

    private companion object {
        const val SEEDS = 4

        /** Share of the requests on time that must remain when the order changes. */
        const val KEPT_SHARE = 0.98

        /** Share of its requests that a caller gets on time who asks for less than its share of the capacity. */
        const val MOSTLY_SERVED = 0.8
    }
}
