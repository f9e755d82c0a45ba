/*
 * The reservations of all backend servers that this instance owns.
 *
 * The owner counts exactly the reservations that pass through it. The table is soft state: after a loss it is rebuilt
 * from the stream reports of the entries. A wrong count only reduces efficiency because every engine has its own
 * admission control.
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

/** Grants, queues, renews and ends reservations; later calls decide the queued requests. */
public class ReservationTable {
    private val servers = LinkedHashMap<BackendServerId, ServerReservations>()
    private val ended = EndedAttempts()
    private val incarnations = HashMap<InstanceAddress, Incarnation>()
    private var owned: Set<BackendServerId>? = null
    private var revision = RevisionNumber(0)
    private var nextSequence = 0L

    /**
     * Applies the servers of [configuration]. Queued requests of leaving and removed servers are refused;
     * reservations on a leaving server are kept until they end.
     */
    public fun configure(configuration: DeploymentConfiguration, now: Timestamp): List<ReservationDecision> {
        revision = configuration.revision
        val kinds = configuration.pools.associate { it.name to it.kind }
        val decisions = removeUnlisted(configuration, now)
        configuration.servers.forEach { definition ->
            val kind = kinds[definition.pool] ?: return@forEach
            val timePerUnit = defaultTimePerUnit(kind, configuration)
            val row = servers[definition.address]?.takeIf { it.kind == kind.toReservationKind() }
            if (row == null) {
                servers[definition.address] = ServerReservations(definition, kind.toReservationKind(), timePerUnit)
            } else {
                row.definition = definition
                row.defaultTimePerUnit = timePerUnit
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
     * Sets the servers that this instance owns; before the first call it owns all servers. Drops the reservations of
     * all other servers and refuses their queued requests, because the entries report to the new owner.
     */
    public fun setOwnedServers(addresses: Set<BackendServerId>, now: Timestamp): List<ReservationDecision> {
        owned = addresses
        return servers.values.filter { it.definition.address !in addresses }.flatMap { row ->
            row.reservations.keys.toList().forEach { row.remove(it, now) }
            refuseQueue(row, ReservationRefusal.NOT_OWNER, now)
        }
    }

    /**
     * Records whether [server] is excluded as a straggler. An excluded server runs only a few probes at a time. Its
     * queued requests are refused, except those that have no other server.
     */
    public fun setExcluded(server: BackendServerId, excluded: Boolean, now: Timestamp): List<ReservationDecision> {
        val row = servers[server] ?: return emptyList()
        val previous = row.excludedSince
        row.setExcluded(excluded, now)
        if (!excluded || previous != null) return processQueue(row, now)
        return refuseQueue(row, ReservationRefusal.EXCLUDED, now) { !it.lastResort }
    }

    /**
     * Decides a request immediately or queues it. A repeated request renews an existing reservation or replaces a
     * queued request, so that a refusal is always final for its attempt.
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
        row.recordDemand(request.priority, now)
        val existing = row.reservations[request.attempt]
        return when {
            existing != null -> grant(row, existing.renewed(now), now)
            row.leaving -> request.refused(ReservationRefusal.LEAVING, now, row)
            row.isExcludedFor(request) -> request.refused(ReservationRefusal.EXCLUDED, now, row)
            else -> grantOrQueue(row, QueuedReservation(request, queued?.sequence ?: nextSequence++), now)
        }
    }

    private fun grantOrQueue(
        row: ServerReservations,
        candidate: QueuedReservation,
        now: Timestamp,
    ): ReservationDecision {
        val request = candidate.request
        val ahead = row.queue.filter { queueOrder.compare(it, candidate) < 0 }
        if (request.startDeadline < now) return request.refused(ReservationRefusal.DEADLINE_TOO_CLOSE, now, row)
        if (ahead.isEmpty() && row.canStart(request, now)) return grant(row, request.toReservation(now), now)
        row.recordShortage(now)
        val wait = row.predictedWait(request, ahead, now)
        if (now + wait > request.startDeadline || row.queue.size >= MAXIMUM_QUEUE_LENGTH) {
            return request.refused(ReservationRefusal.NO_CAPACITY, now, row, wait)
        }
        row.queue.add(candidate)
        row.queue.sortWith(queueOrder)
        return ReservationDecision.Queued(request.server, request.attempt, request.holder, now + wait)
    }

    /** Ends the reservation or queued request of [attempt] and grants the freed resources to queued requests. */
    public fun release(server: BackendServerId, attempt: AttemptId, now: Timestamp): List<ReservationDecision> {
        val row = servers[server] ?: return emptyList()
        expire(row, now)
        endAttempt(row, attempt, now)
        return processQueue(row, now)
    }

    private fun endAttempt(row: ServerReservations, attempt: AttemptId, now: Timestamp) {
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
        decisions += processQueue(row, now)
        return ReportResult(row.summary(now), decisions)
    }

    private fun apply(
        row: ServerReservations,
        holder: InstanceId,
        progress: AttemptProgress,
        decisions: MutableList<ReservationDecision>,
        now: Timestamp,
    ) {
        if (ended.contains(row.definition.address, progress.attempt)) return
        row.observe(progress, now)
        val existing = row.reservations[progress.attempt]
        val queued = row.queue.firstOrNull { it.request.attempt == progress.attempt }
        when {
            progress.finished -> endAttempt(row, progress.attempt, now)

            existing != null -> row.put(existing.renewed(now), now)

            queued != null -> {
                row.queue.remove(queued)
                decisions += grant(row, queued.request.toReservation(now), now)
            }

            else -> adopt(row, holder, progress, now)
        }
    }

    private fun adopt(row: ServerReservations, holder: InstanceId, progress: AttemptProgress, now: Timestamp) {
        row.recordAdopted(progress.work)
        row.recordDemand(progress.priority, now)
        val deadline = now + RESERVATION_LIFETIME
        val adopted = Reservation(progress.attempt, holder, progress.priority, progress.work, now, deadline)
        row.put(adopted, now)
    }

    /** Corrects the occupancy of [server] with the load that the server reports. */
    public fun applyLoadReport(server: BackendServerId, report: LoadReport, now: Timestamp): List<ReservationDecision> {
        val row = servers[server] ?: return emptyList()
        row.applyLoadReport(report, now)
        return processQueue(row, now)
    }

    /** Removes all reservations and queued requests of the terminated instance [holder]. */
    public fun removeHolder(holder: InstanceId, now: Timestamp): List<ReservationDecision> =
        servers.values.flatMap { row ->
            val attempts = row.reservations.values.filter { it.holder == holder }.map { it.attempt }
            attempts.forEach { row.remove(it, now) }
            row.queue.removeAll { it.request.holder == holder }
            if (owns(row.definition.address)) processQueue(row, now) else emptyList()
        }

    /** Ends expired reservations and decides every queued request that can now be granted or refused. */
    public fun tick(now: Timestamp): List<ReservationDecision> {
        ended.expire(now)
        return servers.values.filter { it.isBusy }.flatMap { row ->
            expire(row, now)
            processQueue(row, now)
        }
    }

    /** Returns the state of each server that this instance owns. */
    public fun summaries(now: Timestamp): List<ServerSummary> =
        servers.values.filter { owns(it.definition.address) }.map { it.summary(now) }

    /** Returns the state of [server]; null when this instance does not own it. */
    public fun summary(server: BackendServerId, now: Timestamp): ServerSummary? =
        servers[server]?.takeIf { owns(server) }?.summary(now)

    /** Returns the current reservations of [server]. */
    public fun reservations(server: BackendServerId): List<Reservation> =
        servers[server]?.reservations?.values?.toList().orEmpty()

    /** Returns the queued attempts of [server], in the order in which they are granted. */
    public fun queued(server: BackendServerId): List<AttemptId> =
        servers[server]?.queue?.map { it.request.attempt }.orEmpty()

    private fun owns(server: BackendServerId): Boolean = owned?.contains(server) ?: true

    /** Returns whether a later incarnation than [holder] is known at its address; records [holder] otherwise. */
    private fun isTerminated(holder: InstanceId): Boolean {
        val latest = incarnations[holder.address]
        if (latest != null && holder.incarnation < latest) return true
        incarnations[holder.address] = holder.incarnation
        return false
    }

    private fun expire(row: ServerReservations, now: Timestamp) {
        val expired = row.reservations.values.filter { it.deadline <= now }.map { it.attempt }
        expired.forEach { row.remove(it, now) }
    }

    private fun processQueue(row: ServerReservations, now: Timestamp): List<ReservationDecision> {
        if (row.queue.isEmpty()) return emptyList()
        val decisions = refuseOverdue(row, now)
        decisions += refuseQueue(row, ReservationRefusal.EXCLUDED, now) { row.isExcludedFor(it) }
        while (row.queue.isNotEmpty() && row.canStart(row.queue.first().request, now)) {
            val head = row.queue.removeAt(0).request
            decisions += grant(row, head.toReservation(now), now)
        }
        decisions += refusePredictedLate(row, now)
        return decisions
    }

    private fun refuseOverdue(row: ServerReservations, now: Timestamp): MutableList<ReservationDecision> {
        val overdue = row.queue.filter { it.request.startDeadline < now }
        row.queue.removeAll(overdue)
        return overdue.mapTo(mutableListOf()) { it.request.refused(ReservationRefusal.DEADLINE_TOO_CLOSE, now, row) }
    }

    /** Refuses queued requests that are predicted to miss their start deadline, so that their entries try elsewhere. */
    private fun refusePredictedLate(row: ServerReservations, now: Timestamp): List<ReservationDecision> {
        val remaining = mutableListOf<QueuedReservation>()
        val decisions = mutableListOf<ReservationDecision>()
        row.queue.forEach { queued ->
            val wait = row.predictedWait(queued.request, remaining, now)
            if (now + wait > queued.request.startDeadline) {
                decisions += queued.request.refused(ReservationRefusal.NO_CAPACITY, now, row, wait)
            } else {
                remaining += queued
            }
        }
        if (decisions.isNotEmpty()) row.recordShortage(now)
        row.queue.clear()
        row.queue.addAll(remaining)
        return decisions
    }

    private fun refuseQueue(
        row: ServerReservations,
        refusal: ReservationRefusal,
        now: Timestamp,
        condition: (ReserveRequest) -> Boolean = { true },
    ): List<ReservationDecision> {
        val refused = row.queue.filter { condition(it.request) }
        row.queue.removeAll(refused)
        return refused.map { it.request.refused(refusal, now, row) }
    }

    private fun grant(row: ServerReservations, reservation: Reservation, now: Timestamp): ReservationDecision {
        row.put(reservation, now)
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
        row: ServerReservations? = null,
        wait: Duration? = null,
    ): ReservationDecision.Refused {
        val predicted = wait ?: row?.predictedWait(this, row.queue.toList(), now) ?: Duration.ZERO
        val delay = predicted.coerceIn(minimumRetryDelay(refusal, this), MAXIMUM_RETRY_DELAY)
        return ReservationDecision.Refused(server, attempt, holder, refusal, now + delay, row?.summary(now))
    }

    private fun minimumRetryDelay(refusal: ReservationRefusal, request: ReserveRequest): Duration = when (refusal) {
        ReservationRefusal.NO_CAPACITY, ReservationRefusal.DEADLINE_TOO_CLOSE -> TICK_INTERVAL

        ReservationRefusal.EXCLUDED, ReservationRefusal.NOT_OWNER -> GOSSIP_INTERVAL

        ReservationRefusal.LEAVING -> CONFIGURATION_ACTIVATION_TIME

        ReservationRefusal.UNKNOWN_SERVER ->
            if (request.revision > revision) GOSSIP_INTERVAL else CONFIGURATION_ACTIVATION_TIME
    }

    private fun defaultTimePerUnit(kind: PoolKind, configuration: DeploymentConfiguration): Duration = when (kind) {
        PoolKind.DECODE -> configuration.targets.betweenTokens
        PoolKind.PREFILL -> DEFAULT_PREFILL_TIME_PER_UNIT
        PoolKind.SERVICE -> DEFAULT_CALL_TIME
    }

    public companion object {
        /** Time after which a reservation expires unless its holder reports it. */
        public val RESERVATION_LIFETIME: Duration = 2.seconds

        private const val MAXIMUM_QUEUE_LENGTH = 256
        private val TICK_INTERVAL: Duration = 20.milliseconds
        private val GOSSIP_INTERVAL: Duration = 250.milliseconds

        /** Time within which a new configuration becomes active on every instance. */
        private val CONFIGURATION_ACTIVATION_TIME: Duration = 9.seconds
        private val MAXIMUM_RETRY_DELAY: Duration = 30.seconds
        private val DEFAULT_PREFILL_TIME_PER_UNIT: Duration = 50.milliseconds
        private val DEFAULT_CALL_TIME: Duration = 50.milliseconds
    }
}
