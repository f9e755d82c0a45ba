package org.arbutusnotch.core.routing

import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.prefillServer
import org.arbutusnotch.core.fixture.summary
import org.arbutusnotch.core.reservation.LoadReport
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

/** Guards against baseline policies that behave differently from the plain load balancers that they represent. */
internal class BaselinePolicyTest {
    @Test
    fun `round robin selects the servers in rotation`() {
        val fixture = RouterFixture(deployment(decodeServers = 3), RoutingPolicy.RoundRobin)
        val first = (1..6).map { fixture.placed().decode.first().server }
        expectThat(first).containsExactly((0..5).map { decodeServer(it % 3) })
    }

    @Test
    fun `round robin places requests on slow and full servers instead of refusing them`() {
        val fixture = RouterFixture(deployment(decodeServers = 3), RoutingPolicy.RoundRobin)
        (0..2).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = 0, queuedWork = 500)) }
        expectThat(fixture.placeCompletion(fixture.completion(timeout = 1.milliseconds))).isA<Placement.Placed>()
    }

    @Test
    fun `least reported load uses the load report of the server instead of the owner's count`() {
        val fixture = RouterFixture(deployment(decodeServers = 3), RoutingPolicy.LeastReportedLoad)
        (0..2).forEach { fixture.servers.merge(decodeServer(it), LoadReport(START, active = 10 - it, capacity = 20)) }
        fixture.servers.merge(summary(decodeServer(2), START, freeSlots = 0))
        expectThat(fixture.placed().decode.map { it.server })
            .containsExactly(decodeServer(2), decodeServer(1), decodeServer(0))
    }

    @Test
    fun `least reported load compares prefill servers by queued tokens`() {
        val fixture = RouterFixture(deployment(prefillServers = 2), RoutingPolicy.LeastReportedLoad)
        fixture.servers.merge(prefillServer(0), LoadReport(START, active = 1, queuedPrefillTokens = 9_000))
        fixture.servers.merge(prefillServer(1), LoadReport(START, active = 5, queuedPrefillTokens = 500))
        expectThat(fixture.placed().prefill.first().server).isEqualTo(prefillServer(1))
    }

    @Test
    fun `policies are found by their names in the settings`() {
        expectThat(RoutingPolicy.ofCode("chosen")).isEqualTo(RoutingPolicy.Predictive)
        expectThat(RoutingPolicy.ofCode("round-robin")).isEqualTo(RoutingPolicy.RoundRobin)
        expectThat(RoutingPolicy.ofCode("least-reported-load")).isEqualTo(RoutingPolicy.LeastReportedLoad)
        expectThat(RoutingPolicy.ofCode("other")).isNull()
    }
}
