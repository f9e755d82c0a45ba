/*
 * Gossip between instances: who is there, which revision each has, what owners know of backend servers, and which
 * requests crashed them.
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
import org.arbutusnotch.daemon.control.TickSystems
import org.arbutusnotch.telemetry.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Time between two gossip rounds of an instance. */
internal val GOSSIP_INTERVAL: Duration = 250.milliseconds

/** Describes one round: [message] goes to each of [targets]. */
internal data class GossipRound(val targets: List<InstanceAddress>, val message: Gossip)

/** Builds gossip messages and merges those of peers. */
internal class GossipExchange(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val systems: TickSystems,
) {
    private var nextSummary = 0

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

    /** Builds a message to every live peer with the crash reports that must not wait; null when there are none. */
    suspend fun urgentRound(): GossipRound? = loop.run {
        val reports = quarantine.drainUrgentReports()
        if (reports.isEmpty()) null else GossipRound(reachablePeers(), urgentMessage(reports))
    }

    /** Merges [gossip] and returns what changed. */
    suspend fun merge(gossip: Gossip): List<ControlEvent> = loop.run {
        val now = clock.now()
        val changes = instances.merge(gossip.rows, now) + instances.mergeHeartbeats(gossip.heartbeats, now)
        val events = changes.flatMap { systems.apply(it, now) }.toMutableList()
        gossip.rows.map { it.instance.address }.filter { it != self.address }.forEach { address ->
            // A forwarded row may be older than the known one, so the marks are taken from the view.
            val known = instances.find(address) ?: return@forEach
            events += revisions.merge(address, known.row.revisionReport).flatMap { systems.apply(it, now) }
        }
        gossip.summaries.forEach(servers::merge)
        quarantine.merge(gossip.quarantined, now)
        events
    }

    private fun ControlState.urgentMessage(reports: List<QuarantineEntry>): Gossip =
        Gossip(sender = self, rows = listOf(instances.ownRow), quarantined = reports)

    /** Returns summaries of owned servers, at most [SUMMARY_LIMIT], in turn. */
    private fun ControlState.nextSummaries(): List<ServerSummary> {
        val all = reservations.summaries(clock.now())
        all.forEach(servers::merge)
        if (all.size <= SUMMARY_LIMIT) return all
        val start = nextSummary % all.size
        nextSummary = start + SUMMARY_LIMIT
        return (all + all).subList(start, start + SUMMARY_LIMIT)
    }

    private companion object {
        /** Largest number of server summaries in one message. */
        const val SUMMARY_LIMIT = 16
    }
}
