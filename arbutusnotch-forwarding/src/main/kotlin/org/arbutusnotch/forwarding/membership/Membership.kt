/*
 * Finds the other instances and tells them of this one, by gossip over the peer link.
 */
package org.arbutusnotch.forwarding.membership

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.FencingNumberSequence
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

/** Keeps the view of all instances, and passes on the reports of [crashes] with it. */
internal class Membership(
    own: InstanceRow,
    private val link: PeerLink,
    private val random: Random,
    private val crashes: CrashReporter,
) {
    private val log = EventLog("membership")
    private val table = InstanceTable(own, reclaimsAddress = true)
    private val fences = FencingNumberSequence()
    private var nextGossip = Timestamp(0)
    private var hurriedGossips = HURRIED_GOSSIPS
    private var gossips = 0L

    val self: InstanceId
        get() = table.self

    val state: InstanceState
        get() = table.ownRow.state

    /** Instances that are given to callers and that dispatch; this one is among them while it serves. */
    fun serving(): List<InstanceView> = table.views().filter { it.acceptsNewWork }

    /** Instances with which messages were exchanged lately, without this one. */
    fun reachablePeers(): List<InstanceView> = table.reachablePeers()

    /** Returns which part of the known instances is reachable, this one included. */
    fun reachableShare(): Double {
        val views = table.views()
        return views.count { it.reachable }.toDouble() / views.size
    }

    /** Whether more than half of the known instances are reachable; a minority that is cut off must give no orders. */
    fun seesMajority(): Boolean = reachableShare() > HALF

    fun replaceSeeds(seeds: List<InstanceAddress>) {
        table.seeds = seeds
    }

    /** Changes what the other instances learn of this one, and tells some of them at once. */
    fun describe(state: InstanceState = this.state, inForce: RevisionMark? = table.ownRow.active) {
        if (state == this.state && inForce == table.ownRow.active) return
        table.updateOwnRow(state = state, active = inForce)
        nextGossip = Timestamp(0)
        hurriedGossips = HURRIED_GOSSIPS
    }

    fun onGossip(gossip: Gossip, now: Timestamp) {
        report(table.merge(gossip.rows, now))
        report(table.mergeHeartbeats(gossip.heartbeats, now))
        crashes.merge(gossip.quarantined)
        fences.observe(gossip.highestFence, now)
        table.rowOfLaterIncarnation(gossip.sender)?.let { link.send(gossip.sender.address, Gossip(self, listOf(it))) }
    }

    /** Sends [reports] to every reachable instance at once. */
    fun spread(reports: List<QuarantineEntry>): Unit = reachablePeers().forEach { send(it.address, reports) }

    private fun send(target: InstanceAddress, reports: List<QuarantineEntry>) =
        link.send(target, Gossip(self, listOf(table.ownRow), quarantined = reports))

    /** Returns the number of an order to a server that is given at [now]. */
    fun nextFence(now: Timestamp): Long = fences.next(now)

    fun tick(now: Timestamp) {
        report(table.tick(now))
        if (now < nextGossip) return
        val hurried = hurriedGossips > 0
        if (hurried) hurriedGossips--
        nextGossip = now + if (hurried) HURRIED_INTERVAL else INTERVAL
        table.incrementHeartbeat()
        val gossip = Gossip(
            sender = self,
            rows = table.rowsToSend(),
            heartbeats = table.heartbeatsToSend(),
            quarantined = crashes.reportsToGossip(),
            highestFence = fences.highest,
        )
        gossips += 1
        val far = if (hurried || gossips % FAR_EVERY == 0L) 1 else 0
        table.gossipTargets(random, sameDomainCount = 1, otherDomainCount = far).forEach { link.send(it, gossip) }
    }

    private fun report(events: List<MembershipEvent>) {
        events.forEach { event ->
            log.info("instance_view_changed") {
                field("change", event::class.simpleName)
                field("instance", instanceOf(event))
                field("serving", serving().size)
            }
            if (event is MembershipEvent.BecameReachable) greet(event.instance)
        }
    }

    /** Tells an instance that starts, or was out of reach, what has been spread meanwhile. */
    private fun greet(instance: InstanceId) {
        val reports = crashes.reportsForNewcomer()
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
        const val HALF = 0.5

        /** Time between two gossips. */
        val INTERVAL = 250.milliseconds

        /** One gossip of so many also goes to another failure domain, where each byte is paid for. */
        const val FAR_EVERY = 2L

        /** Time between the first gossips after a start or a change. */
        val HURRIED_INTERVAL = 60.milliseconds
        const val HURRIED_GOSSIPS = 8
    }
}
