/*
 * The speed and availability of all backend servers, as observed by this instance.
 *
 * Noisy neighbours slow a server down by a factor of five for one to five seconds, and load reports lag by two
 * seconds. Therefore measurements of the requests of this instance take precedence over summaries of slot owners.
 */
package org.arbutusnotch.core.straggler

import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.PoolKind
import org.arbutusnotch.core.configuration.ServerState
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ServerSummary
import org.arbutusnotch.core.reservation.LoadReport
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Compares the servers of each pool, excludes stragglers and applies a backoff to failed servers. */
public class ServerTable {
    private val rows = LinkedHashMap<BackendServerId, ServerRow>()
    private var pools: Map<PoolId, List<ServerRow>> = emptyMap()
    private val lastMedians = HashMap<PoolId, Duration>()

    /** Applies the servers of [configuration]; the state of servers that remain is kept. */
    public fun configure(configuration: DeploymentConfiguration) {
        val kinds = configuration.pools.associate { it.name to it.kind }
        val previous = rows.toMap()
        rows.clear()
        configuration.servers.forEach { definition ->
            val kind = kinds[definition.pool]?.toReservationKind() ?: return@forEach
            val timePerUnit = defaultTimePerUnit(kind, configuration)
            val row = previous[definition.address]?.takeIf { it.kind == kind }
                ?: ServerRow(definition, kind, timePerUnit)
            row.definition = definition
            row.defaultTimePerUnit = timePerUnit
            rows[definition.address] = row
        }
        pools = rows.values.groupBy { it.definition.pool }
        lastMedians.keys.retainAll(pools.keys)
    }

    /** Records that a decode stream of this instance received [tokens] output tokens in [elapsed]. */
    public fun observeTokens(server: BackendServerId, tokens: Int, elapsed: Duration, now: Timestamp) {
        rows[server]?.observe(WorkUnits.of(ReservationKind.DECODE, tokens), elapsed, tokens, now)
    }

    /** Records that a prefill of [uncachedTokens] took [elapsed], excluding the wait for other prefills. */
    public fun observePrefill(server: BackendServerId, uncachedTokens: Int, elapsed: Duration, now: Timestamp) {
        rows[server]?.observe(WorkUnits.of(ReservationKind.PREFILL, uncachedTokens), elapsed, 1, now)
    }

    /** Records that a service call took [elapsed]. */
    public fun observeCall(server: BackendServerId, elapsed: Duration, now: Timestamp) {
        rows[server]?.observe(1.0, elapsed, 1, now)
    }

    /**
     * Records that [requests] requests of this instance have waited for [work] for at least [silence]: for one output
     * token of a stream, for a prefill of that many uncached tokens, or for a service call. The wait counts as if it
     * ended now. The record expires after 100 ms and must be repeated on each tick.
     */
    public fun observeSilence(
        server: BackendServerId,
        requests: Int,
        silence: Duration,
        now: Timestamp,
        work: Int = 1,
    ) {
        val row = rows[server] ?: return
        row.observeSilence(requests, silence / WorkUnits.of(row.kind, work), now)
    }

    /** Merges the summary of a slot owner; the latest measurement wins. */
    public fun merge(summary: ServerSummary) {
        rows[summary.server]?.merge(summary)
    }

    /** Merges a load report of [server]; the latest measurement wins. */
    public fun merge(server: BackendServerId, report: LoadReport) {
        rows[server]?.merge(report)
    }

    /** Records that this instance placed [work] on [server]; it counts until a summary includes it. */
    public fun recordPlaced(server: BackendServerId, work: Int, now: Timestamp) {
        rows[server]?.recordPlaced(work, now)
    }

    /** Records a connection error; the server is not used during a backoff that doubles with each error. */
    public fun recordFailure(server: BackendServerId, now: Timestamp) {
        rows[server]?.recordFailure(now)
    }

    /** Records that [server] answered; its backoff ends. */
    public fun recordSuccess(server: BackendServerId) {
        rows[server]?.recordSuccess()
    }

    /** Records that an excluded [server] gets a probe request; the next probe is due one second later. */
    public fun claimProbe(server: BackendServerId, now: Timestamp) {
        rows[server]?.claimProbe(now)
    }

    /** Excludes stragglers and returns recovered servers to their pools. */
    public fun tick(now: Timestamp): List<StragglerDecision> =
        pools.flatMap { (name, members) -> updateExclusions(name, members, now) }

    private fun updateExclusions(name: PoolId, pool: List<ServerRow>, now: Timestamp): List<StragglerDecision> {
        val usable = pool.filter { it.isUsable(now) }
        val slowestFirst = measuredSlowestFirst(usable, now)
        val median = slowestFirst.median()
        if (median != null) lastMedians[name] = median
        val slow = slowestFirst.takeWhile { median != null && it.timePerUnit > median * RETURN_RATIO }
            .filter { it.row.excludedSince != null || it.isSlow(median) }
        val excluded = slow.take(usable.size / SERVERS_PER_EXCLUSION)
        val excludedRows = excluded.mapTo(HashSet()) { it.row }
        val returned = pool.filter { it.excludedSince != null && it !in excludedRows }.map { row ->
            row.returnToPool()
            StragglerDecision.Returned(row.definition.address, returnReason(row, slow.any { it.row === row }, now))
        }
        val added = excluded.filter { it.row.excludedSince == null }.map { measured ->
            measured.row.exclude(now)
            StragglerDecision.Excluded(
                measured.row.definition.address,
                measured.timePerUnit,
                median ?: measured.timePerUnit,
            )
        }
        return returned + added
    }

    private class MeasuredServer(val row: ServerRow, val timePerUnit: Duration) {
        fun isSlow(median: Duration?): Boolean = median != null && timePerUnit > median * EXCLUSION_RATIO
    }

    private fun measuredSlowestFirst(rows: List<ServerRow>, now: Timestamp): List<MeasuredServer> =
        rows.mapNotNull { row -> row.measuredTimePerUnit(now)?.let { MeasuredServer(row, it) } }
            .sortedByDescending { it.timePerUnit }

    /** Returns the lower median: of two servers, the faster one is the reference. */
    private fun List<MeasuredServer>.median(): Duration? = getOrNull(size / 2)?.timePerUnit

    private fun ServerRow.isUsable(now: Timestamp): Boolean = definition.state == ServerState.LIVE && !isFailed(now)

    private fun returnReason(row: ServerRow, slow: Boolean, now: Timestamp): ReturnReason = when {
        slow -> ReturnReason.LIMIT
        row.measuredTimePerUnit(now) == null -> ReturnReason.NOT_MEASURED
        else -> ReturnReason.SPEED_IS_BACK
    }

    /** Returns the median time for one unit of work in [pool]; null without recent measurements. */
    public fun poolMedian(pool: PoolId, now: Timestamp): Duration? =
        measuredSlowestFirst(pools[pool].orEmpty().filter { it.isUsable(now) }, now).median()

    /** Returns the state of each server of [pool] at [now]. */
    public fun servers(pool: PoolId, now: Timestamp): List<ServerView> {
        val members = pools[pool].orEmpty()
        val expected = expectedTimePerUnit(pool, now)
        return members.map { it.view(now, expected ?: it.defaultTimePerUnit) }
    }

    /** Returns the state of [server] at [now]; null when the configuration does not contain it. */
    public fun server(server: BackendServerId, now: Timestamp): ServerView? {
        val row = rows[server] ?: return null
        return row.view(now, expectedTimePerUnit(row.definition.pool, now) ?: row.defaultTimePerUnit)
    }

    /** Returns the median of [pool] at the last tick with measurements, to avoid sorting for each placement. */
    private fun expectedTimePerUnit(pool: PoolId, now: Timestamp): Duration? =
        lastMedians[pool] ?: poolMedian(pool, now)

    private fun defaultTimePerUnit(kind: ReservationKind, configuration: DeploymentConfiguration): Duration =
        when (kind) {
            ReservationKind.DECODE -> configuration.targets.betweenTokens
            ReservationKind.PREFILL -> DEFAULT_PREFILL_TIME_PER_UNIT
            ReservationKind.SERVICE -> DEFAULT_CALL_TIME
        }

    private companion object {
        /** At most one in this many servers is excluded. */
        const val SERVERS_PER_EXCLUSION = 3

        const val EXCLUSION_RATIO = 2.0

        /** Lower than [EXCLUSION_RATIO], so that a server near the limit is not excluded and returned in turn. */
        const val RETURN_RATIO = 1.5

        val DEFAULT_PREFILL_TIME_PER_UNIT: Duration = 50.milliseconds
        val DEFAULT_CALL_TIME: Duration = 50.milliseconds
    }
}

internal fun PoolKind.toReservationKind(): ReservationKind = when (this) {
    PoolKind.PREFILL -> ReservationKind.PREFILL
    PoolKind.DECODE -> ReservationKind.DECODE
    PoolKind.SERVICE -> ReservationKind.SERVICE
}
