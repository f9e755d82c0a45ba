/*
 * The observed speed and availability of all backend servers, on each instance.
 *
 * Noisy neighbours slow a server by a factor of five for one to five seconds, and load reports show it two seconds
 * late. Therefore the measurements of the instance's own requests decide first, then the summaries of the owners.
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

/** Compares the servers of each pool, excludes slow ones and keeps failed ones out of use for a while. */
public class ServerTable {
    private val rows = LinkedHashMap<BackendServerId, ServerRow>()
    private var pools: Map<PoolId, List<ServerRow>> = emptyMap()
    private val latestMedians = HashMap<PoolId, Duration>()

    /** Applies the servers of [configuration]; what is known of servers that stay is kept. */
    public fun configure(configuration: DeploymentConfiguration) {
        val kinds = configuration.pools.associate { it.name to it.kind }
        val previous = rows.toMap()
        rows.clear()
        configuration.servers.forEach { definition ->
            val kind = kinds[definition.pool]?.toReservationKind() ?: return@forEach
            val perUnit = defaultPerUnit(kind, configuration)
            val row = previous[definition.address]?.takeIf { it.kind == kind } ?: ServerRow(definition, kind, perUnit)
            row.definition = definition
            row.defaultPerUnit = perUnit
            rows[definition.address] = row
        }
        pools = rows.values.groupBy { it.definition.pool }
        latestMedians.keys.retainAll(pools.keys)
    }

    /** Records that a decode stream of this instance received [tokens] output tokens in [elapsed]. */
    public fun observeTokens(server: BackendServerId, tokens: Int, elapsed: Duration, now: Timestamp) {
        rows[server]?.observe(WorkUnits.of(ReservationKind.DECODE, tokens), elapsed, tokens, now)
    }

    /** Records that a prefill of [uncachedTokens] took [elapsed], without the wait for other prefills. */
    public fun observePrefill(server: BackendServerId, uncachedTokens: Int, elapsed: Duration, now: Timestamp) {
        rows[server]?.observe(WorkUnits.of(ReservationKind.PREFILL, uncachedTokens), elapsed, 1, now)
    }

    /** Records that a service call took [elapsed]. */
    public fun observeCall(server: BackendServerId, elapsed: Duration, now: Timestamp) {
        rows[server]?.observe(1.0, elapsed, 1, now)
    }

    /**
     * Records that [requests] requests of this instance wait for [work] since at least [silence]: for one output
     * token of a stream, for a prefill of that many uncached tokens, or for a service call. It counts as if they had
     * ended now and is forgotten after 100 ms, so it has to be repeated on each tick.
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

    /** Merges the summary of an owner; the one that was measured last wins. */
    public fun merge(summary: ServerSummary) {
        rows[summary.server]?.merge(summary)
    }

    /** Merges the load that [server] reports of itself. */
    public fun merge(server: BackendServerId, report: LoadReport) {
        rows[server]?.merge(report)
    }

    /** Records that this instance sent [work] to [server], until a summary shows it. */
    public fun recordPlaced(server: BackendServerId, work: Int, now: Timestamp) {
        rows[server]?.place(work, now)
    }

    /** Records a connection error; the server is not used until a backoff has passed that doubles on each error. */
    public fun recordFailure(server: BackendServerId, now: Timestamp) {
        rows[server]?.fail(now)
    }

    /** Records that [server] answered; its backoff ends. */
    public fun recordSuccess(server: BackendServerId) {
        rows[server]?.succeed()
    }

    /** Records that an excluded [server] gets a request; the next probe is due a second later. */
    public fun claimProbe(server: BackendServerId, now: Timestamp) {
        rows[server]?.claimProbe(now)
    }

    /** Excludes slow servers and returns those whose speed is back. */
    public fun tick(now: Timestamp): List<StragglerDecision> =
        pools.flatMap { (name, members) -> compare(name, members, now) }

    private fun compare(name: PoolId, pool: List<ServerRow>, now: Timestamp): List<StragglerDecision> {
        val usable = pool.filter { it.isUsable(now) }
        val slowestFirst = measuredSlowestFirst(usable, now)
        val median = slowestFirst.median()
        if (median != null) latestMedians[name] = median
        val slow = slowestFirst.takeWhile { median != null && it.perUnit > median * RETURN_RATIO }
            .filter { it.row.excludedSince != null || it.isSlow(median) }
        val excluded = slow.take(usable.size / EXCLUDED_PART)
        val keep = excluded.mapTo(HashSet()) { it.row }
        val returned = pool.filter { it.excludedSince != null && it !in keep }.map { row ->
            row.returnToPool()
            StragglerDecision.Returned(row.definition.address, returnReason(row, slow.any { it.row === row }, now))
        }
        val added = excluded.filter { it.row.excludedSince == null }.map { measured ->
            measured.row.exclude(now)
            StragglerDecision.Excluded(measured.row.definition.address, measured.perUnit, median ?: measured.perUnit)
        }
        return returned + added
    }

    private class MeasuredServer(val row: ServerRow, val perUnit: Duration) {
        fun isSlow(median: Duration?): Boolean = median != null && perUnit > median * SLOW_RATIO
    }

    private fun measuredSlowestFirst(rows: List<ServerRow>, now: Timestamp): List<MeasuredServer> =
        rows.mapNotNull { row -> row.measured(now)?.let { MeasuredServer(row, it) } }
            .sortedByDescending { it.perUnit }

    /** Returns the lower median, so that the faster one of two servers is the measure. */
    private fun List<MeasuredServer>.median(): Duration? = getOrNull(size / 2)?.perUnit

    private fun ServerRow.isUsable(now: Timestamp): Boolean = definition.state == ServerState.LIVE && !isFailed(now)

    private fun returnReason(row: ServerRow, slow: Boolean, now: Timestamp): ReturnReason = when {
        slow -> ReturnReason.LIMIT
        row.measured(now) == null -> ReturnReason.NOT_MEASURED
        else -> ReturnReason.SPEED_IS_BACK
    }

    /** Returns the median time for one unit of work in [pool]; null when nothing was measured lately. */
    public fun poolMedian(pool: PoolId, now: Timestamp): Duration? =
        measuredSlowestFirst(pools[pool].orEmpty().filter { it.isUsable(now) }, now).median()

    /** Returns the servers of [pool] as they are known at [now]. */
    public fun servers(pool: PoolId, now: Timestamp): List<ServerView> {
        val members = pools[pool].orEmpty()
        val expected = expected(pool, now)
        return members.map { it.view(now, expected ?: it.defaultPerUnit) }
    }

    /** Returns what is known of [server] at [now]; null when the configuration does not name it. */
    public fun server(server: BackendServerId, now: Timestamp): ServerView? {
        val row = rows[server] ?: return null
        return row.view(now, expected(row.definition.pool, now) ?: row.defaultPerUnit)
    }

    /** Returns the median of [pool] at the latest tick with measurements, which saves sorting for each placement. */
    private fun expected(pool: PoolId, now: Timestamp): Duration? = latestMedians[pool] ?: poolMedian(pool, now)

    private fun defaultPerUnit(kind: ReservationKind, configuration: DeploymentConfiguration): Duration = when (kind) {
        ReservationKind.DECODE -> configuration.targets.betweenTokens
        ReservationKind.PREFILL -> DEFAULT_PREFILL_TIME
        ReservationKind.SERVICE -> DEFAULT_CALL_TIME
    }

    private companion object {
        /** At most one server of this many is excluded. */
        const val EXCLUDED_PART = 3

        const val SLOW_RATIO = 2.0

        /** Lower than [SLOW_RATIO], so that a server near the limit does not alternate. */
        const val RETURN_RATIO = 1.5

        val DEFAULT_PREFILL_TIME: Duration = 50.milliseconds
        val DEFAULT_CALL_TIME: Duration = 50.milliseconds
    }
}

internal fun PoolKind.toReservationKind(): ReservationKind = when (this) {
    PoolKind.PREFILL -> ReservationKind.PREFILL
    PoolKind.DECODE -> ReservationKind.DECODE
    PoolKind.SERVICE -> ReservationKind.SERVICE
}
