/*
 * Discovers the other instances and announces this one, by gossip over the peer link.
 */
package org.arbutusnotch.forwarding.membership

import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.DispatchCandidates
import org.arbutusnotch.core.membership.FencingNumberSequence
import org.arbutusnotch.core.membership.InstanceCounts
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.membership.MembershipEvent
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.GossipQuestion
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.quarantine.CrashReporter
import org.arbutusnotch.telemetry.EventLog
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Maintains the view of all instances; gossip also carries the quarantine reports of [crashReporter].
 *
 * @param send sends a message to the instance at an address, without a delivery guarantee
 * @param latestServerChange returns the latest change of the published servers that this instance knows
 * @param heardServerChange returns the latest change of them that peers have named and that this instance does not have
 */
internal class Membership(
    own: InstanceRow,
    private val send: (InstanceAddress, PeerMessage) -> Unit,
    private val random: Random,
    private val crashReporter: CrashReporter,
    private val latestServerChange: () -> StorePosition?,
    private val heardServerChange: () -> StorePosition?,
) {
    private val log = EventLog("membership")
    private val table =
        InstanceTable(own, reclaimsAddress = true, questionsBeforeSuspicion = QUESTIONS_BEFORE_SUSPICION)
    private val fencingNumbers = FencingNumberSequence()
    private var nextGossipAt = Timestamp(0)
    private var fastGossipsLeft = FAST_GOSSIPS
    private var gossipCount = 0L

    /** Time from which this instance asks another peer for the rows of all instances. */
    private var nextRowQuestionAt = Timestamp(0)

    /** Number of those questions since this instance serves. */
    private var rowQuestions = 0

    /** Instances whose rows were asked for, with the time until which no other peer is asked. */
    private val wantedUntil = HashMap<InstanceAddress, Timestamp>()

    /** Instances that have not answered, with the time until which gossip names them. */
    private val suspectedUntil = LinkedHashMap<InstanceId, Timestamp>()
    private val servingInstances = DerivedView { table.views().filter { it.acceptsNewWork } }
    private val dispatchingInstances = DerivedView { DispatchCandidates.of(serving()).map { it.instance } }
    private val instanceCounts = DerivedView { countInstances() }

    val self: InstanceId
        get() = table.self

    val state: InstanceState
        get() = table.ownRow.state

    /** Returns the instances that callers may use and that may dispatch, including this one while it serves. */
    fun serving(): List<InstanceView> = servingInstances.get()

    /** Returns the instances that dispatch the requests of pools, including this one if it may. */
    fun dispatchCandidates(): List<InstanceId> = dispatchingInstances.get()

    /** Returns the instances with which messages were exchanged recently, without this one. */
    fun reachablePeers(): List<InstanceView> = table.reachablePeers()

    /** Returns the instances that became unreachable recently and may still dispatch for others. */
    fun recentlyLost(now: Timestamp): List<InstanceView> = table.recentlyLost(now)

    /** Counts the known instances and the reachable ones among them, including this one. */
    fun counts(): InstanceCounts = instanceCounts.get()

    /**
     * Whether more than half of the instances that may run are reachable. Those include the seeds of which nothing is
     * known: they and the instances that they know may form a fleet that this instance has not found.
     */
    fun reachesMajority(): Boolean = counts().let { it.copy(known = it.known + table.unknownSeedCount) }.hasMajority

    private fun countInstances(): InstanceCounts {
        val views = table.views()
        return InstanceCounts(known = views.size, reachable = views.count { it.reachable })
    }

    fun replaceSeeds(seeds: List<InstanceAddress>) {
        table.seeds = seeds
    }

    /**
     * Changes the published row of this instance and gossips it without delay. A changed state is sent to all peers at
     * once: as long as they disagree on who serves, they disagree on the dispatchers of pools too.
     */
    fun updateOwnRow(state: InstanceState = this.state, active: RevisionMark? = table.ownRow.active) {
        val previous = this.state
        if (state == previous && active == table.ownRow.active) return
        table.updateOwnRow(state = state, active = active)
        if (state != previous) reachablePeers().forEach { send(it.address, Gossip(self, listOf(table.ownRow))) }
        nextGossipAt = Timestamp(0)
        fastGossipsLeft = FAST_GOSSIPS
    }

    fun onGossip(gossip: Gossip, now: Timestamp) {
        handleEvents(table.merge(gossip.rows, now))
        handleEvents(table.mergeHeartbeats(gossip.heartbeats, now))
        crashReporter.merge(gossip.quarantined)
        fencingNumbers.observe(gossip.highestFence, now)
        if (state != InstanceState.STARTING && gossip.isFromStartingInstance()) {
            sendReports(gossip.sender.address, emptyList())
        }
        table.rowOfLaterIncarnation(gossip.sender)?.let { send(gossip.sender.address, Gossip(self, listOf(it))) }
        gossip.suspected.filter { table.find(it.address)?.instance == it }.forEach { table.verify(it.address, now) }
        answer(gossip)
        askForRows(gossip, now)
    }

    /** Asks the instance at [address], which has not answered other messages, whether it runs. */
    fun verify(address: InstanceAddress, now: Timestamp): Unit = table.verify(address, now)

    /** Records that a message from [sender] arrived, which shows that it runs. */
    fun onMessageFrom(sender: InstanceAddress, now: Timestamp): Unit = handleEvents(table.recordMessage(sender, now))

    private fun answer(gossip: Gossip) {
        val rows = when (gossip.question) {
            null -> table.rowsOf(gossip.wantedRows)
            GossipQuestion.RUNNING -> listOf(table.ownRow)
            GossipQuestion.ALL_ROWS -> table.allRows()
        }
        rows.chunked(ROWS_PER_MESSAGE).forEach { send(gossip.sender.address, Gossip(self, it)) }
    }

    /**
     * Asks the sender of [gossip] for rows that this instance lacks. Rows spread more slowly than heartbeats, and an
     * instance that knows few others when it begins to serve takes the wrong ones for dispatchers.
     */
    private fun askForRows(gossip: Gossip, now: Timestamp) {
        if (rowQuestions < MAXIMUM_ROW_QUESTIONS && now >= nextRowQuestionAt) {
            if (state != InstanceState.STARTING) rowQuestions += 1
            nextRowQuestionAt = now + ROW_QUESTION_INTERVAL * (1 shl rowQuestions)
            send(gossip.sender.address, Gossip(self, listOf(table.ownRow), question = GossipQuestion.ALL_ROWS))
            return
        }
        wantedUntil.values.removeIf { it <= now }
        val wanted = table.unknownAmong(gossip.heartbeats).filter { it !in wantedUntil }
        if (wanted.isEmpty()) return
        wanted.forEach { wantedUntil[it] = now + ROW_QUESTION_INTERVAL }
        send(gossip.sender.address, Gossip(self, listOf(table.ownRow), wantedRows = wanted))
    }

    /** An instance that starts waits for the routes of a peer before it serves. */
    private fun Gossip.isFromStartingInstance() =
        rows.any { it.instance == sender && it.state == InstanceState.STARTING }

    private fun sendReports(target: InstanceAddress, reports: List<QuarantineEntry>) =
        send(target, Gossip(self, listOf(table.ownRow), quarantined = reports))

    /** Sends new reports to every reachable instance; gossip repeats them for those that miss the message. */
    private fun sendUrgentReports() = crashReporter.urgentReports().chunked(REPORTS_PER_MESSAGE).forEach { reports ->
        reachablePeers().forEach { sendReports(it.address, reports) }
    }

    /** Returns the fencing number for an order to a server at [now]. */
    fun nextFencingNumber(now: Timestamp): Long = fencingNumbers.next(now)

    fun tick(now: Timestamp) {
        val events = table.tick(now)
        handleEvents(events)
        spreadSuspicions(events.filterIsInstance<MembershipEvent.BecameUnreachable>().map { it.instance }, now)
        table.peersToAsk(now, QUESTIONS_PER_TICK).forEach {
            send(it, Gossip(self, listOf(table.ownRow), question = GossipQuestion.RUNNING))
        }
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
            suspected = suspectedUntil.filterValues { now < it }.keys.take(MAXIMUM_SUSPECTED),
        )
        gossipCount += 1
        val otherDomainCount = if (fast || gossipCount % GOSSIPS_PER_CROSS_DOMAIN == 0L) 1 else 0
        table.gossipTargets(random, sameDomainCount = 1, otherDomainCount = otherDomainCount)
            .forEach { send(it, gossip) }
    }

    /** Names instances that have not answered to some peers, which ask them and do the same. */
    private fun spreadSuspicions(silent: List<InstanceId>, now: Timestamp) {
        suspectedUntil.values.removeIf { it <= now }
        if (silent.isEmpty()) return
        silent.forEach { suspectedUntil[it] = now + SUSPECTED_TIME }
        val gossip = Gossip(self, rows = emptyList(), suspected = silent.take(MAXIMUM_SUSPECTED))
        table.relayTargets(random).forEach { send(it, gossip) }
    }

    /** Names the change that peers have named to this instance to further peers, without waiting for regular gossip. */
    fun relayServerChange() {
        val gossip = Gossip(self, rows = emptyList(), heardServerChange = heardServerChange())
        table.relayTargets(random).forEach { send(it, gossip) }
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
        if (reports.isNotEmpty()) sendReports(instance.address, reports)
    }

    private fun instanceOf(event: MembershipEvent): InstanceId = when (event) {
        is MembershipEvent.BecameReachable -> event.instance
        is MembershipEvent.BecameUnreachable -> event.instance
        is MembershipEvent.Replaced -> event.current
        is MembershipEvent.Removed -> event.instance
        is MembershipEvent.OwnAddressTaken -> event.current
        is MembershipEvent.IncarnationRaised -> event.current
    }

    /** Keeps what [derive] returns until the view of the instances changes. */
    private inner class DerivedView<T : Any>(private val derive: () -> T) {
        private var value: T? = null
        private var changeCount = -1L

        fun get(): T {
            val known = value
            if (known != null && changeCount == table.changeCount) return known
            changeCount = table.changeCount
            return derive().also { value = it }
        }
    }

    private companion object {
        /** Unanswered questions after which a silent instance is suspected: single messages are lost at times. */
        const val QUESTIONS_BEFORE_SUSPICION = 3

        /** Questions in one tick, so that the loss of many instances does not fill the link. */
        const val QUESTIONS_PER_TICK = 8

        /** Full rows in a message that answers a question. */
        const val ROWS_PER_MESSAGE = 32

        /** Time between two questions for the same rows: a message may be lost. */
        val ROW_QUESTION_INTERVAL = 500.milliseconds

        /**
         * Questions for the rows of all instances after the start, each after twice the time of the one before: in a
         * fleet that starts as a whole, the peers know few instances at first.
         */
        const val MAXIMUM_ROW_QUESTIONS = 5

        /** Suspected instances in one message, and the time for which gossip names one: several rounds. */
        const val MAXIMUM_SUSPECTED = 32
        val SUSPECTED_TIME = 2.seconds

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
