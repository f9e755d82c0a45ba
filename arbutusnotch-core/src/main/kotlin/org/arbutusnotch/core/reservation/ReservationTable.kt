/*
 * The reservations of all backend servers that this instance owns.
 *
 * The owner counts exactly what passes through it. Its view is soft state: a lost table is rebuilt from the stream
 * reports of the entries, and a wrong count costs only efficiency because every engine has its own admission control.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.PoolKind
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.message.AttemptProgress
import org.arbutusnotch.core.message.ReservationRefusal
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.message.ServerSummary
import org.arbutusnotch.core.message.StreamReport
import org.arbutusnotch.core.straggler.toReservationKind
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Grants, queues, renews and ends reservations; queued requests are decided by later calls. */
public class ReservationTable {
    private val servers = LinkedHashMap<BackendServerId, ReservedServer>()
    private val ended = EndedAttempts()
    private val incarnations = HashMap<InstanceAddress, Incarnation>()
    private var owned: Set<BackendServerId>? = null
    private var revision = RevisionNumber(0)
    private var nextSequence = 0L

    /**
     * Applies the servers of [configuration]. Queued requests of leaving and removed servers are refused;
     * reservations on a leaving server stay until they end.
     */
    public fun configure(configuration: DeploymentConfiguration, now: Timestamp): List<ReservationDecision> {
        revision = configuration.revision
        val kinds = configuration.pools.associate { it.name to it.kind }
        val decisions = removeUnlisted(configuration, now)
        configuration.servers.forEach { definition ->
            val kind = kinds[definition.pool] ?: return@forEach
            val perUnit = defaultPerUnit(kind, configuration)
            val row = servers[definition.address]?.takeIf { it.kind == kind.toReservationKind() }
            if (row == null) {
                servers[definition.address] = ReservedServer(definition, kind.toReservationKind(), perUnit)
            } else {
                row.definition = definition
                row.defaultPerUnit = perUnit
            }
        }
        servers.values.filter { it.leaving }.forEach { row ->
            decisions += refuseQueue(row, ReservationRefusal.LEAVING, now)
        }
        return decisions
    }

    private fun removeUnlisted(
        configuration: DeploymentConfiguration,
        now: Timestamp,
    ): MutableList<ReservationDecision> {
        val kinds = configuration.pools.associate { it.name to it.kind.toReservationKind() }
        val listed = configuration.servers.associate { it.address to kinds[it.pool] }
        val decisions = mutableListOf<ReservationDecision>()
        val removed = servers.values.filter { listed[it.definition.address] != it.kind }
        removed.forEach { row ->
            decisions += refuseQueue(row, ReservationRefusal.UNKNOWN_SERVER, now)
            servers.remove(row.definition.address)
        }
        return decisions
    }

    /**
     * Sets the servers that this instance owns; until the first call it owns all. The reservations of other servers are
     * dropped and their queued requests refused, because the entries report to the new owner.
     */
    public fun setOwned(addresses: Set<BackendServerId>, now: Timestamp): List<ReservationDecision> {
        owned = addresses
        return servers.values.filter { it.definition.address !in addresses }.flatMap { row ->
            row.held.keys.toList().forEach { row.remove(it, now) }
            refuseQueue(row, ReservationRefusal.NOT_OWNER, now)
        }
    }

    /**
     * Records whether [server] is excluded as slow. An excluded server gets only a few probes at a time; its queue is
     * refused.
     */
    public fun setExcluded(server: BackendServerId, excluded: Boolean, now: Timestamp): List<ReservationDecision> {
        val row = servers[server] ?: return emptyList()
        val before = row.excludedSince
        row.setExcluded(excluded, now)
        if (!excluded || before != null) return decide(row, now)
        return refuseQueue(row, ReservationRefusal.EXCLUDED, now) { !it.lastResort }
    }

    /**
     * Decides a request at once or queues it. A repeated request renews a held reservation and replaces a queued one,
     * so that a refusal is always final for its attempt.
     */
    public fun reserve(request: ReserveRequest, now: Timestamp): ReservationDecision {
        val row = servers[request.server]?.takeIf { it.kind == request.kind }
            ?: return request.refused(ReservationRefusal.UNKNOWN_SERVER, now)
        if (!owns(request.server)) return request.refused(ReservationRefusal.NOT_OWNER, now)
        expire(row, now)
        val queued = row.queue.firstOrNull { it.request.attempt == request.attempt }
        row.queue.remove(queued)
        if (isTerminated(request.holder) || ended.contains(request.server, request.attempt)) {
            return request.refused(ReservationRefusal.DEADLINE_TOO_CLOSE, now, row)
        }
        row.noteDemand(request.priority, now)
        val held = row.held[request.attempt]
        return when {
            held != null -> granted(row, held.renewed(now), now)
            row.leaving -> request.refused(ReservationRefusal.LEAVING, now, row)
            row.isExcludedFor(request) -> request.refused(ReservationRefusal.EXCLUDED, now, row)
            else -> grantOrQueue(row, QueuedReservation(request, queued?.sequence ?: nextSequence++), now)
        }
    }

    private fun grantOrQueue(row: ReservedServer, candidate: QueuedReservation, now: Timestamp): ReservationDecision {
        val request = candidate.request
        val ahead = row.queue.filter { queueOrder.compare(it, candidate) < 0 }
        if (request.startDeadline < now) return request.refused(ReservationRefusal.DEADLINE_TOO_CLOSE, now, row)
        if (ahead.isEmpty() && row.canStart(request, now)) return granted(row, request.toReservation(now), now)
        row.noteShortage(now)
        val wait = row.predictedWait(request, ahead, now)
        if (now + wait > request.startDeadline || row.queue.size >= QUEUE_LIMIT) {
            return request.refused(ReservationRefusal.NO_CAPACITY, now, row, wait)
        }
        row.queue.add(candidate)
        row.queue.sortWith(queueOrder)
        return ReservationDecision.Queued(request.server, request.attempt, request.holder, now + wait)
    }

    /** Ends the reservation or the queued request of [attempt] and grants what became free. */
    public fun release(server: BackendServerId, attempt: AttemptId, now: Timestamp): List<ReservationDecision> {
        val row = servers[server] ?: return emptyList()
        expire(row, now)
        end(row, attempt, now)
        return decide(row, now)
    }

    private fun end(row: ReservedServer, attempt: AttemptId, now: Timestamp) {
        row.remove(attempt, now)
        row.queue.removeAll { it.request.attempt == attempt }
        ended.add(row.definition.address, attempt, now)
    }

    /** Renews the reservations of the reported attempts, adopts unknown ones and ends finished ones. */
    public fun report(report: StreamReport, now: Timestamp): ReportResult {
        val row = servers[report.server] ?: return ReportResult(null)
        if (!owns(report.server) || isTerminated(report.holder)) return ReportResult(null)
        expire(row, now)
        val decisions = mutableListOf<ReservationDecision>()
        report.attempts.forEach { progress ->
            if (progress.kind == row.kind) apply(row, report.holder, progress, decisions, now)
        }
        decisions += decide(row, now)
        return ReportResult(row.summary(now), decisions)
    }

    private fun apply(
        row: ReservedServer,
        holder: InstanceId,
        progress: AttemptProgress,
        decisions: MutableList<ReservationDecision>,
        now: Timestamp,
    ) {
        if (ended.contains(row.definition.address, progress.attempt)) return
        row.observe(progress, now)
        val held = row.held[progress.attempt]
        val queued = row.queue.firstOrNull { it.request.attempt == progress.attempt }
        when {
            progress.finished -> end(row, progress.attempt, now)

            held != null -> row.hold(held.renewed(now), now)

            queued != null -> {
                row.queue.remove(queued)
                decisions += granted(row, queued.request.toReservation(now), now)
            }

            else -> adopt(row, holder, progress, now)
        }
    }

    private fun adopt(row: ReservedServer, holder: InstanceId, progress: AttemptProgress, now: Timestamp) {
        row.noteAdopted(progress.work)
        row.noteDemand(progress.priority, now)
        val deadline = now + RESERVATION_LIFETIME
        val adopted = Reservation(progress.attempt, holder, progress.priority, progress.work, now, deadline)
        row.hold(adopted, now)
    }

    /** Corrects the count of [server] by the load that it reports of itself. */
    public fun correct(server: BackendServerId, report: LoadReport, now: Timestamp): List<ReservationDecision> {
        val row = servers[server] ?: return emptyList()
        row.correct(report, now)
        return decide(row, now)
    }

    /** Removes everything that [terminated] holds or waits for. */
    public fun removeTerminated(terminated: InstanceId, now: Timestamp): List<ReservationDecision> =
        servers.values.flatMap { row ->
            val attempts = row.held.values.filter { it.holder == terminated }.map { it.attempt }
            attempts.forEach { row.remove(it, now) }
            row.queue.removeAll { it.request.holder == terminated }
            if (owns(row.definition.address)) decide(row, now) else emptyList()
        }

    /** Ends expired reservations and decides every queued request whose outcome is now known. */
    public fun tick(now: Timestamp): List<ReservationDecision> {
        ended.expire(now)
        return servers.values.filter { it.isBusy }.flatMap { row ->
            expire(row, now)
            decide(row, now)
        }
    }

    /** Returns what this instance knows of each server that it owns. */
    public fun summaries(now: Timestamp): List<ServerSummary> =
        servers.values.filter { owns(it.definition.address) }.map { it.summary(now) }

    /** Returns what this instance knows of [server]; null when it does not own the server. */
    public fun summary(server: BackendServerId, now: Timestamp): ServerSummary? =
        servers[server]?.takeIf { owns(server) }?.summary(now)

    /** Returns the reservations that hold resources of [server]. */
    public fun reservations(server: BackendServerId): List<Reservation> =
        servers[server]?.held?.values?.toList().orEmpty()

    /** Returns the attempts that wait for [server], in the order in which they are granted. */
    public fun queued(server: BackendServerId): List<AttemptId> =
        servers[server]?.queue?.map { it.request.attempt }.orEmpty()

    private fun owns(server: BackendServerId): Boolean = owned?.contains(server) ?: true

    /** Tells whether a later incarnation than [holder] was seen at its address, and records later ones. */
    private fun isTerminated(holder: InstanceId): Boolean {
        val latest = incarnations[holder.address]
        if (latest != null && holder.incarnation < latest) return true
        incarnations[holder.address] = holder.incarnation
        return false
    }

    private fun expire(row: ReservedServer, now: Timestamp) {
        val expired = row.held.values.filter { it.deadline <= now }.map { it.attempt }
        expired.forEach { row.remove(it, now) }
    }

    private fun decide(row: ReservedServer, now: Timestamp): List<ReservationDecision> {
        if (row.queue.isEmpty()) return emptyList()
        val decisions = refuseOverdue(row, now)
        decisions += refuseQueue(row, ReservationRefusal.EXCLUDED, now) { row.isExcludedFor(it) }
        while (row.queue.isNotEmpty() && row.canStart(row.queue.first().request, now)) {
            val head = row.queue.removeAt(0).request
            decisions += granted(row, head.toReservation(now), now)
        }
        decisions += refuseHopeless(row, now)
        return decisions
    }

    private fun refuseOverdue(row: ReservedServer, now: Timestamp): MutableList<ReservationDecision> {
        val overdue = row.queue.filter { it.request.startDeadline < now }
        row.queue.removeAll(overdue)
        return overdue.mapTo(mutableListOf()) { it.request.refused(ReservationRefusal.DEADLINE_TOO_CLOSE, now, row) }
    }

    /** Refuses the queued requests that can no longer start in time, so that their entries try elsewhere. */
    private fun refuseHopeless(row: ReservedServer, now: Timestamp): List<ReservationDecision> {
        val kept = mutableListOf<QueuedReservation>()
        val decisions = mutableListOf<ReservationDecision>()
        row.queue.forEach { queued ->
            val wait = row.predictedWait(queued.request, kept, now)
            if (now + wait > queued.request.startDeadline) {
                decisions += queued.request.refused(ReservationRefusal.NO_CAPACITY, now, row, wait)
            } else {
                kept += queued
            }
        }
        if (decisions.isNotEmpty()) row.noteShortage(now)
        row.queue.clear()
        row.queue.addAll(kept)
        return decisions
    }

    private fun refuseQueue(
        row: ReservedServer,
        refusal: ReservationRefusal,
        now: Timestamp,
        condition: (ReserveRequest) -> Boolean = { true },
    ): List<ReservationDecision> {
        val refused = row.queue.filter { condition(it.request) }
        row.queue.removeAll(refused)
        return refused.map { it.request.refused(refusal, now, row) }
    }

    private fun granted(row: ReservedServer, reservation: Reservation, now: Timestamp): ReservationDecision {
        row.hold(reservation, now)
        return ReservationDecision.Granted(
            row.definition.address,
            reservation.attempt,
            reservation.holder,
            reservation.deadline,
            row.summary(now),
        )
    }

    private fun Reservation.renewed(now: Timestamp) = copy(deadline = maxOf(deadline, now + RESERVATION_LIFETIME))

    private fun ReserveRequest.toReservation(now: Timestamp) =
        Reservation(attempt, holder, priority, work, now, now + RESERVATION_LIFETIME)

    private fun ReserveRequest.refused(
        refusal: ReservationRefusal,
        now: Timestamp,
        row: ReservedServer? = null,
        wait: Duration? = null,
    ): ReservationDecision.Refused {
        val predicted = wait ?: row?.predictedWait(this, row.queue.toList(), now) ?: Duration.ZERO
        val delay = predicted.coerceIn(shortestRetry(refusal, this), LONGEST_RETRY)
        return ReservationDecision.Refused(server, attempt, holder, refusal, now + delay, row?.summary(now))
    }

    private fun shortestRetry(refusal: ReservationRefusal, request: ReserveRequest): Duration = when (refusal) {
        ReservationRefusal.NO_CAPACITY, ReservationRefusal.DEADLINE_TOO_CLOSE -> TICK

        ReservationRefusal.EXCLUDED, ReservationRefusal.NOT_OWNER -> GOSSIP_INTERVAL

        ReservationRefusal.LEAVING -> CONFIGURATION_INTERVAL

        ReservationRefusal.UNKNOWN_SERVER ->
            if (request.revision > revision) GOSSIP_INTERVAL else CONFIGURATION_INTERVAL
    }

    private fun defaultPerUnit(kind: PoolKind, configuration: DeploymentConfiguration): Duration = when (kind) {
        PoolKind.DECODE -> configuration.targets.betweenTokens
        PoolKind.PREFILL -> DEFAULT_PREFILL_TIME
        PoolKind.SERVICE -> DEFAULT_CALL_TIME
    }

    public companion object {
        /** Time after which a reservation ends unless its holder reports it. */
        public val RESERVATION_LIFETIME: Duration = 2.seconds

        private const val QUEUE_LIMIT = 256
        private val TICK: Duration = 20.milliseconds
        private val GOSSIP_INTERVAL: Duration = 250.milliseconds

        /** Time within which a changed configuration is active on every instance. */
        private val CONFIGURATION_INTERVAL: Duration = 9.seconds
        private val LONGEST_RETRY: Duration = 30.seconds
        private val DEFAULT_PREFILL_TIME: Duration = 50.milliseconds
        private val DEFAULT_CALL_TIME: Duration = 50.milliseconds
    }
}
