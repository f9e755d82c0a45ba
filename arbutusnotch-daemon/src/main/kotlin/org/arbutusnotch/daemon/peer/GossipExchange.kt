/*
 * Gossip between instances: membership, configuration revisions, the owners' summaries of backend servers, and requests
 * that crashed those servers.
 */
package org.arbutusnotch.daemon.peer

import org.arbutusnotch.core.configuration.revisionReport
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.message.ServerSummary
import org.arbutusnotch.daemon.control.ControlEvent
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.daemon.control.ControlState
import org.arbutusnotch.daemon.control.TableUpdater
import org.arbutusnotch.telemetry.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Time between two gossip rounds of an instance. */
internal val GOSSIP_INTERVAL: Duration = 250.milliseconds

/** Describes one gossip round: [message] is sent to each of [targets]. */
internal data class GossipRound(val targets: List<InstanceAddress>, val message: Gossip)

/** Builds gossip messages and merges those received from peers. */
internal class GossipExchange(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val updater: TableUpdater,
) {
    private var nextSummaryIndex = 0

    /** Builds the next round. */
    suspend fun nextRound(): GossipRound = loop.run {
        val now = clock.now()
        instances.incrementHeartbeat()
        val message = Gossip(
            sender = self,
            rows = instances.rowsToSend(),
            heartbeats = instances.heartbeatsToSend(),
            summaries = nextSummaries(),
            quarantined = quarantine.entriesToGossip(now),
        )
        GossipRound(instances.gossipTargets(random), message)
    }

    /** Builds a round to every reachable peer with the urgent crash reports; returns null when there are none. */
    suspend fun urgentRound(): GossipRound? = loop.run {
        val reports = quarantine.drainUrgentReports()
        if (reports.isEmpty()) null else GossipRound(reachablePeers(), urgentMessage(reports))
    }

    /** Merges [gossip] and returns the changes. */
    suspend fun merge(gossip: Gossip): List<ControlEvent> = loop.run {
        val now = clock.now()
        val changes = instances.merge(gossip.rows, now) + instances.mergeHeartbeats(gossip.heartbeats, now)
        val events = changes.flatMap { updater.apply(it, now) }.toMutableList()
        gossip.rows.map { it.instance.address }.filter { it != self.address }.forEach { address ->
            // A forwarded row may be older than the known one, so the report comes from the instance table.
            val known = instances.find(address) ?: return@forEach
            events += revisions.merge(address, known.row.revisionReport).flatMap { updater.apply(it, now) }
        }
        gossip.summaries.forEach(servers::merge)
        quarantine.merge(gossip.quarantined, now)
        events
    }

    private fun ControlState.urgentMessage(reports: List<QuarantineEntry>): Gossip =
        Gossip(sender = self, rows = listOf(instances.ownRow), quarantined = reports)

    /** Returns summaries of at most [SUMMARY_LIMIT] owned servers, in rotation over all of them. */
    private fun ControlState.nextSummaries(): List<ServerSummary> {
        val all = reservations.summaries(clock.now())
        all.forEach(servers::merge)
        if (all.size <= SUMMARY_LIMIT) return all
        val start = nextSummaryIndex % all.size
        nextSummaryIndex = start + SUMMARY_LIMIT
        return (all + all).subList(start, start + SUMMARY_LIMIT)
    }

    private companion object {
        /** Maximum number of server summaries in one message. */
        const val SUMMARY_LIMIT = 16
    }
}
