/*
 * Test fixture: a dispatcher with servers, requests and a manual clock.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.retry.RetryBudget
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class DispatchFixture(
    servers: List<BackendServer>,
    engine: EngineProfile? = null,
    budget: RetryBudget = RetryBudget(),
    reported: Boolean = true,
    policy: DispatchPolicy = DispatchPolicy(),
    pacesServers: Boolean = policy.pacesServers,
) {
    val dispatcher =
        PoolDispatcher(budget, policy.copy(pacesServers = pacesServers)).also { it.configure(servers, engine) }
    var now = Timestamp(1_000_000)
    private var lastTicket = 0

    init {
        if (reported) dispatcher.reconcile(HeldPlaces(HOLDER, POOL, emptyList()), now)
    }

    fun advance(time: Duration) {
        now += time
    }

    fun submit(request: DispatchRequest): List<DispatchDecision> = dispatcher.submit(request, now)

    fun submitCall(objective: Duration = 300.milliseconds, retry: Boolean = false): List<DispatchDecision> =
        submit(request(DispatchWork.Call, objective = objective, retry = retry))

    fun request(
        work: DispatchWork,
        objective: Duration = 300.milliseconds,
        remaining: Duration = 4.seconds,
        wait: Duration = remaining,
        priority: Int = 1,
        retry: Boolean = false,
        excluded: List<BackendServerId> = emptyList(),
        holder: InstanceId = HOLDER,
    ): DispatchRequest {
        lastTicket += 1
        return DispatchRequest(
            ticket = TicketId("t$lastTicket"),
            holder = holder,
            failureDomain = DOMAIN,
            pool = POOL,
            work = work,
            priority = priority,
            objectiveMillis = objective.inWholeMilliseconds,
            beginMillis = wait.inWholeMilliseconds,
            remainingMillis = remaining.inWholeMilliseconds,
            excluded = excluded,
            repeats = if (retry) 1 else 0,
            askedBefore = retry,
        )
    }

    fun release(
        granted: DispatchDecision.Granted,
        part: PlacePart = PlacePart.RUN,
        outcome: PlaceOutcome = PlaceOutcome.COMPLETED,
        elapsed: Duration = 50.milliseconds,
    ): List<DispatchDecision> {
        val server = if (part == PlacePart.PREFILL) granted.prefillServer else granted.server
        val release = DispatchRelease(
            ticket = granted.ticket,
            pool = POOL,
            server = server,
            part = part,
            outcome = outcome,
            elapsedMillis = elapsed.inWholeMilliseconds,
        )
        return dispatcher.release(release, now)
    }

    companion object {
        val POOL = PoolId("pool")
        val DOMAIN = FailureDomainId("one")
        val HOLDER = InstanceId(InstanceAddress("127.0.0.1:1"), Incarnation(1))

        fun server(
            id: String,
            stage: ServerStage = ServerStage.WHOLE,
            slots: Int = 2,
            startedAt: Long = 1,
            version: String = "1",
        ) = BackendServer(
            id = BackendServerId(id),
            pool = POOL,
            address = "127.0.0.1:2",
            failureDomain = DOMAIN,
            stage = stage,
            slots = slots,
            leaving = false,
            startedAt = startedAt,
            version = SoftwareVersion(version),
        )
    }
}

internal fun List<DispatchDecision>.granted(): List<DispatchDecision.Granted> =
    filterIsInstance<DispatchDecision.Granted>()

internal fun List<DispatchDecision>.refused(): List<DispatchDecision.Refused> =
    filterIsInstance<DispatchDecision.Refused>()
