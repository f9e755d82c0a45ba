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
    private val changes = mutableListOf<HeldBackChange>()
    private var nextCheckAt = Timestamp(0)

    /** Returns the changes since the previous call. */
    fun takeChanges(): List<HeldBackChange> = changes.toList().also { changes.clear() }

    /** Looks for changes at [now] unless the previous check is recent. */
    fun check(now: Timestamp) {
        if (now < nextCheckAt) return
        nextCheckAt = now + CHECK_INTERVAL
        // A server that has been restarted is tracked anew.
        heldBack.removeIf { (tracked, _) -> tracked !in trackedServers.values }
        trackedServers.values.groupBy { it.server.stage }.values.forEach { checkStage(it, now) }
    }

    private fun checkStage(servers: List<TrackedServer>, now: Timestamp) {
        val domains = servers.flatMapTo(LinkedHashSet()) { it.health.domainsWithFailures }
        (domains + heldBack.map { (_, domain) -> domain }).forEach { domain ->
            val median = medianFailureShare(servers, domain)
            servers.forEach { update(it, domain, it.health.failsTooOften(domain, median, now)) }
        }
    }

    private fun update(tracked: TrackedServer, domain: FailureDomainId, isHeldBack: Boolean) {
        val key = tracked to domain
        val isChanged = if (isHeldBack) heldBack.add(key) else heldBack.remove(key)
        if (!isChanged) return
        changes += HeldBackChange(tracked.server.id, domain, isHeldBack, tracked.health.failures(domain))
    }

    companion object {
        /** Interval of the checks, which bounds the log of a server whose share of failures rises and falls. */
        private val CHECK_INTERVAL = 500.milliseconds

        /** Returns the median over [servers] of the share of failures that callers in [domain] have seen. */
        fun medianFailureShare(servers: Collection<TrackedServer>, domain: FailureDomainId): Double =
            servers.map { it.health.failureShare(domain) }.sorted().getOrElse((servers.size - 1) / 2) { 0.0 }
    }
}
