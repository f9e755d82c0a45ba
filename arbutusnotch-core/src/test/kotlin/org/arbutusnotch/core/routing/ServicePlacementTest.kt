package org.arbutusnotch.core.routing

import org.arbutusnotch.core.fixture.OPERATION
import org.arbutusnotch.core.fixture.SERVICE
import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.serviceServer
import org.arbutusnotch.core.fixture.summary
import org.arbutusnotch.core.outcome.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against calls to replicas that are full, leaving or failed. */
internal class ServicePlacementTest {
    private val fixture = RouterFixture()

    private fun servers(placement: ServicePlacement) =
        (placement as ServicePlacement.Placed).candidates.map { it.server }

    @Test
    fun `a replica with free slots is tried first`() {
        (0..2).forEach { fixture.servers.merge(summary(serviceServer(it), START, freeSlots = if (it == 1) 5 else 0)) }
        repeat(20) { expectThat(servers(fixture.placeCall()).first()).isEqualTo(serviceServer(1)) }
    }

    @Test
    fun `leaving, failed and excluded replicas are not candidates`() {
        val router = RouterFixture(deployment(serviceServers = 4, leaving = setOf(serviceServer(0))))
        router.servers.recordFailure(serviceServer(1), START)
        expectThat(servers(router.placeCall(excluded = setOf(serviceServer(2))))).containsExactly(serviceServer(3))
    }

    @Test
    fun `a call that cannot start in time is refused immediately`() {
        (0..2).forEach { fixture.servers.merge(summary(serviceServer(it), START, freeSlots = 0, queuedWork = 1_000)) }
        expectThat(fixture.placeCall(timeout = 100.milliseconds)).isA<ServicePlacement.Refused>().and {
            get { reason }.isEqualTo(RefusalReason.CAPACITY)
            get { retryAt }.isGreaterThan(START)
        }
    }

    @Test
    fun `a call that failed on every replica is refused with a short retry delay`() {
        val refused = fixture.placeCall(excluded = (0..2).map { serviceServer(it) }.toSet())
        expectThat(refused).isA<ServicePlacement.Refused>().get { retryAt - START < 1.seconds }.isEqualTo(true)
    }

    @Test
    fun `an unknown service is refused`() {
        val request = ServiceRequest("unknown", OPERATION, 0, START)
        expectThat(fixture.router.placeService(request, START)).isA<ServicePlacement.Refused>().get { reason }
            .isEqualTo(RefusalReason.UNKNOWN_ROUTE)
    }

    @Test
    fun `the explanation lists every replica`() {
        val explanation = fixture.router.explain(ServiceRequest(SERVICE, OPERATION, 0, START + 1.seconds), START)
        expectThat(explanation.candidates).hasSize(3)
        expectThat(explanation.selectedServers).hasSize(1)
    }
}
