/*
 * Tests dispatching for several pools.
 */
package org.arbutusnotch.forwarding.dispatch

import org.arbutusnotch.core.dispatch.PaceState
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchReply
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.retry.RetryBudget
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class DispatchServiceTest {
    private val holder = InstanceId(InstanceAddress("127.0.0.1:1"), Incarnation(1))
    private val now = Timestamp(1_000_000)

    private fun request(ticket: String, pool: String, remaining: Long) = DispatchRequest(
        ticket = TicketId(ticket),
        holder = holder,
        failureDomain = FailureDomainId("one"),
        pool = PoolId(pool),
        work = DispatchWork.Call,
        priority = 1,
        objectiveMillis = 100,
        beginMillis = remaining,
        remainingMillis = remaining,
    )

    private fun service(
        pacesServers: Boolean = false,
        recordPaceChange: (PaceState) -> Unit = {},
        onReply: (DispatchReply) -> Unit,
    ) = DispatchService(
        servers = { listOf(testServer("a", "127.0.0.1:2", pool = "first")) },
        recordLeaving = { _, _ -> },
        poolDefinition = { null },
        newBudget = { RetryBudget() },
        retryShare = { 1.0 },
        requestShare = { _, _ -> 1.0 },
        mayOrderStageChange = { _, _ -> false },
        orderStageChange = { _, _ -> },
        reply = { _, reply -> onReply(reply) },
        pacesServers = pacesServers,
        recordPaceChange = recordPaceChange,
    )

    /** Guards against limited servers that operators cannot see, and against a change that is counted twice. */
    @Test
    fun `changes in the pace of servers are counted once`() {
        val states = mutableListOf<PaceState>()
        val service = service(pacesServers = true, recordPaceChange = { states += it }) { }
        service.onRequest(request("r1", "first", remaining = 5_000), now)
        expectThat(service.pacedServers).isEqualTo(1)
        service.onRequest(request("r2", "first", remaining = 5_000), now)
        listOf("r1", "r2").forEach { ticket ->
            val server = BackendServerId("a")
            val release = DispatchRelease(
                ticket = TicketId(ticket),
                pool = PoolId("first"),
                server = server,
                outcome = PlaceOutcome.COMPLETED,
                elapsedMillis = 20,
            )
            service.onRelease(release, now)
        }
        service.tick(now)
        expectThat(states).containsExactly(PaceState.ESTABLISHED)
        expectThat(service.pacedServers).isEqualTo(0)
    }

    /**
     * Guards against a concurrent modification of the dispatchers: a decision delivered by the periodic tick may start
     * a request for a pool that has no dispatcher yet.
     */
    @Test
    fun `dispatcher may be created while decisions are delivered`() {
        val replies = mutableListOf<DispatchReply>()
        var reentrantService: DispatchService? = null
        val service = service { reply ->
            replies += reply
            val refused = reply is DispatchReply.Refused && reply.ticket.value == "waits"
            if (refused) reentrantService?.onRequest(request("next", "second", remaining = 1_000), now)
        }
        reentrantService = service
        repeat(5) { service.onRequest(request("r$it", "first", remaining = 5_000), now) }
        service.onRequest(request("waits", "first", remaining = 200), now)
        service.tick(Timestamp(now.epochMillis + 190))
        expectThat(replies.map { it.ticket.value }).contains("next")
    }
}
