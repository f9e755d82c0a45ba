/*
 * Reports which servers of a pool are held back because their answers fail, for the operators.
 *
 * It decides nothing: the share of failures is judged again for each request that gets a place.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Describes the answers of a server to callers of one failure domain.
 *
 * @property share weighted share of the answers that failed, from 0 to 1; recent answers weigh most
 * @property samples number of answers that the share covers
 * @property answeredAt time of the latest answer
 * @property nextProbeAt time from which the server may get its next request
 */
public data class FailureSummary(
    public val share: Double,
    public val samples: Int,
    public val answeredAt: Timestamp,
    public val nextProbeAt: Timestamp,
)

/** Tells that [server] is held back for callers in [domain] from now on, or no longer if not [isHeldBack]. */
public data class HeldBackChange(
    public val server: BackendServerId,
    public val domain: FailureDomainId,
    public val isHeldBack: Boolean,
    public val failures: FailureSummary,
)

/** Compares the [trackedServers] of a pool with those that were held back before. */
internal class HeldBackServers(private val trackedServers: Map<BackendServerId, TrackedServer>) {
    private val heldBack = LinkedHashSet<Pair<TrackedServer, FailureDomainId>>()
    private var nextCheckAt = Timestamp(0)

    /** Returns the changes since the previous check; none if that is recent at [now]. */
    fun check(now: Timestamp): List<HeldBackChange> {
        if (now < nextCheckAt) return emptyList()
        nextCheckAt = now + CHECK_INTERVAL
        // A server that has been restarted is tracked anew.
        heldBack.removeIf { (tracked, _) -> tracked !in trackedServers.values }
        return trackedServers.values.groupBy { it.server.stage }.values.flatMap { checkStage(it, now) }
    }

    private fun checkStage(servers: List<TrackedServer>, now: Timestamp): List<HeldBackChange> {
        val domains = servers.flatMapTo(LinkedHashSet()) { it.health.domainsWithFailures }
        return (domains + heldBack.map { (_, domain) -> domain }).flatMap { domain ->
            val median = StageHealth.medianFailureShare(servers, domain)
            servers.mapNotNull { change(it, domain, it.health.failsTooOften(domain, median, now)) }
        }
    }

    /** Remembers whether [tracked] is held back for callers in [domain]; returns null if that was known. */
    private fun change(tracked: TrackedServer, domain: FailureDomainId, isHeldBack: Boolean): HeldBackChange? {
        val key = tracked to domain
        val isChanged = if (isHeldBack) heldBack.add(key) else heldBack.remove(key)
        if (!isChanged) return null
        return HeldBackChange(tracked.server.id, domain, isHeldBack, tracked.health.failures(domain))
    }

    private companion object {
        /** Interval of the checks, which bounds the log of a server whose share of failures rises and falls. */
        val CHECK_INTERVAL = 500.milliseconds
    }
}
