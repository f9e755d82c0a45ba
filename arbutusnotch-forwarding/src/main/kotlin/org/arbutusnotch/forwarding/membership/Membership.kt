/*
 * Discovers the other instances and announces this one, by gossip over the peer link.
 */
package org.arbutusnotch.forwarding.membership

import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.FencingNumberSequence
import org.arbutusnotch.core.membership.InstanceCounts
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.membership.MembershipEvent
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.quarantine.CrashReporter
import org.arbutusnotch.telemetry.EventLog
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Maintains the view of all instances; gossip also carries the quarantine reports of [crashReporter].
 *
 * @param latestServerChange returns the latest change of the published servers that this instance knows
 * @param heardServerChange returns the latest change of them that peers have named and that this instance does not have
 */
internal class Membership(
    own: InstanceRow,
    private val link: PeerLink,
    private val random: Random,
    private val crashReporter: CrashReporter,
    private val latestServerChange: () -> StorePosition?,
    private val heardServerChange: () -> StorePosition?,
) {
    private val log = EventLog("membership")
    private val table = InstanceTable(own, reclaimsAddress = true)
    private val fencingNumbers = FencingNumberSequence()
    private var nextGossipAt = Timestamp(0)
    private var fastGossipsLeft = FAST_GOSSIPS
    private var gossipCount = 0L

    val self: InstanceId
        get() = table.self

    val state: InstanceState
        get() = table.ownRow.state

    /** Returns the instances that callers may use and that may dispatch, including this one while it serves. */
    fun serving(): List<InstanceView> = table.views().filter { it.acceptsNewWork }

    /** Returns the instances with which messages were exchanged recently, without this one. */
    fun reachablePeers(): List<InstanceView> = table.reachablePeers()

    /** Returns the instances that became unreachable recently and may still dispatch for others. */
    fun recentlyLost(now: Timestamp): List<InstanceView> = table.recentlyLost(now)

    /** Counts the known instances and the reachable ones among them, including this one. */
    fun counts(): InstanceCounts {
        val views = table.views()
        return InstanceCounts(known = views.size, reachable = views.count { it.reachable })
    }

    fun replaceSeeds(seeds: List<InstanceAddress>) {
        table.seeds = seeds
    }

    /** Changes the published row of this instance and gossips it without delay. */
    fun updateOwnRow(state: InstanceState = this.state, active: RevisionMark? = table.ownRow.active) {
        if (state == this.state && active == table.ownRow.active) return
        table.updateOwnRow(state = state, active = active)
        nextGossipAt = Timestamp(0)
        fastGossipsLeft = FAST_GOSSIPS
    }

    fun onGossip(gossip: Gossip, now: Timestamp) {
        handleEvents(table.merge(gossip.rows, now))
        handleEvents(table.mergeHeartbeats(gossip.heartbeats, now))
        crashReporter.merge(gossip.quarantined)
        fencingNumbers.observe(gossip.highestFence, now)
        if (state != InstanceState.STARTING && gossip.isFromStartingInstance()) send(gossip.sender.address, emptyList())
        table.rowOfLaterIncarnation(gossip.sender)?.let { link.send(gossip.sender.address, Gossip(self, listOf(it))) }
    }

    /** An instance that starts waits for the routes of a peer before it serves. */
    private fun Gossip.isFromStartingInstance() =
        rows.any { it.instance == sender && it.state == InstanceState.STARTING }

    private fun send(target: InstanceAddress, reports: List<QuarantineEntry>) =
        link.send(target, Gossip(self, listOf(table.ownRow), quarantined = reports))

    /** Sends new reports to every reachable instance; gossip repeats them for those that miss the message. */
    private fun sendUrgentReports() = crashReporter.urgentReports().chunked(REPORTS_PER_MESSAGE).forEach { reports ->
        reachablePeers().forEach { send(it.address, reports) }
    }

    /** Returns the fencing number for an order to a server at [now]. */
    fun nextFencingNumber(now: Timestamp): Long = fencingNumbers.next(now)

    fun tick(now: Timestamp) {
        handleEvents(table.tick(now))
        sendUrgentReports()
        if (now < nextGossipAt) return
        val fast = fastGossipsLeft > 0
        if (fast) fastGossipsLeft--
        nextGossipAt = now + if (fast) FAST_GOSSIP_INTERVAL else GOSSIP_INTERVAL
        table.incrementHeartbeat()
        val gossip = Gossip(
            sender = self,
            rows = table.rowsToSend(),
            heartbeats = table.heartbeatsToSend(),
            quarantined = crashReporter.reportsToGossip(),
            highestFence = fencingNumbers.highest,
            latestServerChange = latestServerChange(),
            heardServerChange = heardServerChange(),
        )
        gossipCount += 1
        val otherDomainCount = if (fast || gossipCount % GOSSIPS_PER_CROSS_DOMAIN == 0L) 1 else 0
        table.gossipTargets(random, sameDomainCount = 1, otherDomainCount = otherDomainCount)
            .forEach { link.send(it, gossip) }
    }

    /** Names the change that peers have named to this instance to further peers, without waiting for regular gossip. */
    fun relayServerChange() {
        val gossip = Gossip(self, rows = emptyList(), heardServerChange = heardServerChange())
        table.relayTargets(random).forEach { link.send(it, gossip) }
    }

    private fun handleEvents(events: List<MembershipEvent>) {
        events.forEach { event ->
            log.info("instance_view_changed") {
                field("change", event::class.simpleName)
                field("instance", instanceOf(event))
                field("serving", serving().size)
            }
            if (event is MembershipEvent.BecameReachable) sendMissedReports(event.instance)
        }
    }

    /** Sends the quarantine reports that [instance] missed while it was starting or unreachable. */
    private fun sendMissedReports(instance: InstanceId) {
        val reports = crashReporter.reportsForNewPeer()
        if (reports.isNotEmpty()) send(instance.address, reports)
    }

    private fun instanceOf(event: MembershipEvent): InstanceId = when (event) {
        is MembershipEvent.BecameReachable -> event.instance
        is MembershipEvent.BecameUnreachable -> event.instance
        is MembershipEvent.Replaced -> event.current
        is MembershipEvent.Removed -> event.instance
        is MembershipEvent.OwnAddressTaken -> event.current
        is MembershipEvent.IncarnationRaised -> event.current
    }

    private companion object {
        /** Quarantine reports in one message; this many fit into a datagram. */
        const val REPORTS_PER_MESSAGE = 256

        /** Time between two gossip rounds. */
        val GOSSIP_INTERVAL = 250.milliseconds

        /** One gossip round in this many also goes to another failure domain, where each byte incurs a cost. */
        const val GOSSIPS_PER_CROSS_DOMAIN = 2L

        /** Time between the first gossip rounds after a start or a change. */
        val FAST_GOSSIP_INTERVAL = 60.milliseconds

        /** Gossip rounds at the shorter interval. */
        const val FAST_GOSSIPS = 8
    }
}
