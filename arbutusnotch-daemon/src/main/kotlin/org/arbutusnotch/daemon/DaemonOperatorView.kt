/*
 * The view of this instance that the operator interface serves.
 */
package org.arbutusnotch.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.withTimeoutOrNull
import org.arbutusnotch.core.configuration.PoolDefinition
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.routing.CompletionRequest
import org.arbutusnotch.core.routing.ExplainedServer
import org.arbutusnotch.core.routing.PlacementExplanation
import org.arbutusnotch.core.routing.ServiceRequest
import org.arbutusnotch.core.straggler.ServerView
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.daemon.control.ControlState
import org.arbutusnotch.daemon.operator.CandidateStatus
import org.arbutusnotch.daemon.operator.ExplainQuery
import org.arbutusnotch.daemon.operator.ExplainReply
import org.arbutusnotch.daemon.operator.OperatorView
import org.arbutusnotch.daemon.operator.PeerStatus
import org.arbutusnotch.daemon.operator.QuarantinedDigest
import org.arbutusnotch.daemon.operator.ServerStatus
import org.arbutusnotch.daemon.operator.StatusReply
import org.arbutusnotch.daemon.telemetry.CounterValue
import org.arbutusnotch.daemon.telemetry.Counters
import org.arbutusnotch.daemon.telemetry.QuarantineEvent
import org.arbutusnotch.telemetry.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Accesses the tables of the instance [self] on the control thread. */
internal class DaemonOperatorView(
    private val self: InstanceId,
    private val loop: ControlLoop,
    private val clock: Clock,
    private val counters: Counters,
    private val startDrain: suspend () -> Unit,
) : OperatorView {
    override suspend fun isHealthy(): Boolean = withTimeoutOrNull(HEALTH_TIMEOUT) { loop.run { true } } ?: false

    override suspend fun isReady(): Boolean =
        loop.run { instances.ownRow.state == InstanceState.SERVING && instances.successor == null }

    override suspend fun status(): StatusReply = loop.run {
        val row = instances.ownRow
        StatusReply(
            instance = self.address,
            incarnation = self.incarnation,
            entryAddress = row.entryAddress,
            operatorAddress = row.operatorAddress,
            failureDomain = row.failureDomain,
            state = row.state.name.lowercase(),
            revision = revisions.active?.mark?.revision,
            digest = revisions.active?.mark?.digest,
            candidateRevision = revisions.candidate?.mark?.revision,
            conflicts = revisions.conflictCount.toLong(),
            peers = instances.views().drop(1).map { peerStatus(it) },
            servers = serverViews().map { serverStatus(it) },
        )
    }

    override suspend fun explain(query: ExplainQuery): Result<ExplainReply, RefusalReason> = loop.run {
        val now = clock.now()
        if (directory == null) {
            Err(RefusalReason.NO_CONFIGURATION)
        } else {
            when (query) {
                is ExplainQuery.Completion -> explainCompletion(query, now)
                is ExplainQuery.Service -> explainService(query, now)
            }
        }
    }

    override suspend fun drain(): Unit = startDrain()

    override suspend fun quarantine(): List<QuarantinedDigest> = loop.run {
        quarantine.list(clock.now()).filter { it.quarantined }.map { digest ->
            QuarantinedDigest(digest.digest, digest.reports.map { it.server }, digest.until)
        }
    }

    override suspend fun clearQuarantine(): Int {
        val cleared = loop.run { quarantine.clear(clock.now()) }
        repeat(cleared) { counters.countQuarantineEvent(QuarantineEvent.CLEARED) }
        return cleared
    }

    override suspend fun counters(): List<CounterValue> = counters.snapshot()

    override suspend fun metrics(): String = counters.scrape()

    private fun ControlState.serverViews(): List<ServerView> =
        directory?.configuration?.pools.orEmpty().map(PoolDefinition::name).flatMap { servers.servers(it, clock.now()) }

    private fun ControlState.explainCompletion(
        query: ExplainQuery.Completion,
        now: Timestamp,
    ): Result<ExplainReply, RefusalReason> {
        val current = checkNotNull(directory)
        current.model(query.model) ?: return Err(RefusalReason.UNKNOWN_ROUTE)
        val request = CompletionRequest(
            model = query.model,
            prefixDigests = emptyList(),
            promptTokens = query.promptTokens,
            maxTokens = ASSUMED_OUTPUT_TOKENS,
            priority = query.priority,
            firstTokenDeadline = now + current.configuration.targets.firstToken,
        )
        return Ok(explainReply(router.explain(request, now), query.promptTokens))
    }

    private fun ControlState.explainService(
        query: ExplainQuery.Service,
        now: Timestamp,
    ): Result<ExplainReply, RefusalReason> {
        val operation = checkNotNull(directory).operation(query.service, query.operation)
            ?: return Err(RefusalReason.UNKNOWN_ROUTE)
        val request = ServiceRequest(
            query.service,
            query.operation,
            priority = 0,
            startDeadline =
            now + operation.timeout,
        )
        return Ok(explainReply(router.explain(request, now), promptTokens = 0))
    }

    private fun ControlState.explainReply(explanation: PlacementExplanation, promptTokens: Int): ExplainReply {
        val refusal = explanation.refusal
        val decision = refusal?.code ?: explanation.selectedServers.joinToString(" ")
        return ExplainReply(decision, explanation.candidates.map { candidateStatus(it, explanation, promptTokens) })
    }

    private fun ControlState.candidateStatus(
        server: ExplainedServer,
        explanation: PlacementExplanation,
        promptTokens: Int,
    ): CandidateStatus = CandidateStatus(
        server = server.server,
        pool = directory?.server(server.server)?.pool ?: PoolId(""),
        freeSlots = server.freeSlots,
        cachedTokens = server.uncachedTokens?.let { promptTokens - it } ?: 0,
        predictedMillis = (server.predictedWait + server.predictedWorkTime).inWholeMilliseconds,
        excluded = server.skipReason != null,
        selected = server.server in explanation.selectedServers,
        note = server.skipReason?.code.orEmpty(),
    )

    private fun peerStatus(view: InstanceView) = PeerStatus(
        instance = view.address,
        operatorAddress = view.row.operatorAddress,
        failureDomain = view.row.failureDomain,
        state = if (view.publishedLeaving) LEAVING_STATE else view.row.state.name.lowercase(),
        revision = view.row.active?.revision,
        digest = view.row.active?.digest,
        reachable = view.reachable,
    )

    private fun serverStatus(view: ServerView) = ServerStatus(
        server = view.server,
        pool = view.definition.pool,
        state = view.definition.state.code,
        freeSlots = view.freeSlots,
        tokenIntervalMicros = if (view.measured) view.timePerUnit.inWholeMicroseconds else 0,
        excluded = view.excluded,
    )

    private companion object {
        val HEALTH_TIMEOUT: Duration = 1.seconds
        const val ASSUMED_OUTPUT_TOKENS = 64
        const val LEAVING_STATE = "leaving"
    }
}
