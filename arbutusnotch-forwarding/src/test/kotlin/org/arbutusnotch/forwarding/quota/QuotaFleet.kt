/*
 * Instances that count the requests of one workspace together, with messages that are lost, duplicated and reordered.
 */
package org.arbutusnotch.forwarding.quota

import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.membership.InstanceCounts
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.membership.RendezvousHash
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.QuotaReply
import org.arbutusnotch.core.message.QuotaRequest
import org.arbutusnotch.core.message.QuotaReturn
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.workspace.QuotaTolerance
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.core.workspace.WorkspaceQuota
import org.arbutusnotch.forwarding.fixture.testRoutes
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

internal val WORKSPACE = WorkspaceId("workspace")

/** Returns routes with a workspace that has [quota]. */
internal fun routesWith(quota: WorkspaceQuota, revision: Long = 1): RouteTable {
    val table = testRoutes(revision)
    val workspace = Workspace(WORKSPACE, emptySet(), quota = quota, plainRequestTokens = 10)
    return RouteTable(table.revision, table.routes, table.pools, table.limits, listOf(workspace))
}

/** A request that ran, or was rejected, at [time]. */
internal class QuotaEvent(val time: Timestamp, val tokens: Int)

internal class QuotaFleet(size: Int, quota: WorkspaceQuota, private val tolerance: QuotaTolerance, seed: Int) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.time }.thenBy { it.number })
    private var eventCount = 0L
    private var table = routesWith(quota)
    var now = Timestamp(1_000_000)
        private set
    val instances = MutableList(size) { Instance(InstanceAddress("10.0.0.$it:1")) }
    val runs = mutableListOf<QuotaEvent>()
    val rejections = mutableListOf<QuotaEvent>()

    /** Returns whether two instances reach each other now. */
    var reaches: (Instance, Instance) -> Boolean = { _, _ -> true }

    /** Fraction of the granted requests that no server runs. */
    var notRunShare = 0.0

    val owner: Instance
        get() = RendezvousHash.select(WORKSPACE.value, instances.filter { it.isUp }) { it.id.address.value }!!

    fun schedule(delay: Duration, action: () -> Unit) {
        eventCount += 1
        events += Event(now + delay, eventCount, action)
    }

    fun setQuota(quota: WorkspaceQuota) {
        table = routesWith(quota, table.revision.value + 1)
    }

    /** Sends requests of [tokens] for [duration]; [mayRequest] decides every [interval] whether one is sent. */
    fun load(duration: Duration, interval: Duration, tokens: () -> Int, mayRequest: (Int) -> Boolean = { true }) {
        val end = now + duration
        fun next() {
            if (now >= end) return
            val needed = tokens()
            val holder = instances.filter { it.isUp && now >= it.pausedUntil }.randomOrNull(random)
            if (holder != null && mayRequest(needed)) holder.request(needed)
            schedule(interval * random.nextDouble(0.5, 1.5)) { next() }
        }
        next()
    }

    fun run(duration: Duration) {
        val end = now + duration
        while (events.isNotEmpty() && events.peek().time <= end) {
            val event = events.poll()
            now = event.time
            event.action()
        }
        now = end
    }

    inner class Instance(address: InstanceAddress) {
        val id = InstanceId(address, Incarnation(now.epochMillis))
        var isUp = true
        var pausedUntil = now

        /** Times from which other instances were not reached. */
        private val unreachedSince = HashMap<Instance, Timestamp>()
        private var view: List<InstanceId> = emptyList()
        private val owners = QuotaOwners(
            self = id,
            candidates = { view },
            recentlyLost = {
                lost { now < it + SUSPICION + InstanceTable.RECENTLY_LOST_TIME }.map { it.id }
            },
            counts = { InstanceCounts(view.size + lost { true }.size, view.size) },
            now = { now },
        )
        private val service = QuotaService(tolerance, owners, { table }) { target, reply -> send(target, reply) }
        private val client = QuotaClient(id, owners, { table.revision }, ::send, now = { now })

        init {
            observe()
            schedule(random.nextInt(25).milliseconds) { tick() }
        }

        private fun lost(isCounted: (Timestamp) -> Boolean) =
            unreachedSince.filterValues { now >= it + SUSPICION && isCounted(it) }.keys

        private fun tick() {
            if (!isUp) return
            if (now >= pausedUntil) {
                observe()
                service.tick(now)
                client.tick(now)
            }
            schedule(25.milliseconds) { tick() }
        }

        /** Updates the view of the others, which notices a change after the time of suspicion. */
        private fun observe() {
            instances.orEmpty().forEach { other ->
                val isReached = other === this || (other.isUp && now >= other.pausedUntil && reaches(this, other))
                if (isReached) unreachedSince.remove(other) else unreachedSince.putIfAbsent(other, now)
            }
            val gone = lost { true }
            val latest = (instances.orEmpty().filter { it !in gone }.map { it.id } + id).distinct()
            if (latest != view) view = latest
        }

        fun request(tokens: Int) {
            var ticket: QuotaTicket? = null
            ticket = client.request(WORKSPACE, tokens.toLong()) { result ->
                when (result) {
                    QuotaResult.Granted -> if (random.nextDouble() < notRunShare) {
                        schedule(random.nextInt(1_000).milliseconds) { ticket?.let { client.giveBack(it) } }
                    } else {
                        runs += QuotaEvent(now, tokens)
                    }

                    is QuotaResult.Exceeded -> rejections += QuotaEvent(now, tokens)
                }
            }
        }

        private fun send(target: InstanceAddress, message: PeerMessage) {
            if (target == id.address) return receive(message, target)
            val copies = if (random.nextDouble() < DUPLICATES) 2 else 1
            repeat(copies) {
                if (random.nextDouble() < LOSS) return@repeat
                schedule(random.nextInt(1, 30).milliseconds) {
                    val receiver = instances.find { it.id.address == target && it.isUp }
                    if (receiver != null && isUp && reaches(this, receiver)) receiver.arrive(message, id.address)
                }
            }
        }

        private fun arrive(message: PeerMessage, sender: InstanceAddress) {
            if (now < pausedUntil) {
                schedule(pausedUntil - now) { arrive(message, sender) }
            } else if (isUp) {
                receive(message, sender)
            }
        }

        private fun receive(message: PeerMessage, sender: InstanceAddress) = when (message) {
            is QuotaRequest -> service.onRequest(message, now)
            is QuotaReturn -> service.onReturn(message, now)
            is QuotaReply -> client.onReply(message, sender)
            else -> error("unexpected $message")
        }
    }

    private class Event(val time: Timestamp, val number: Long, val action: () -> Unit)

    private companion object {
        val SUSPICION = 1_500.milliseconds
        const val LOSS = 0.03
        const val DUPLICATES = 0.05
    }
}

/** Returns the most tokens that ran in any [window]. */
internal fun List<QuotaEvent>.maximumIn(window: Duration): Int {
    val ordered = sortedBy { it.time }
    var first = 0
    var sum = 0
    return ordered.maxOfOrNull { event ->
        sum += event.tokens
        while (ordered[first].time + window <= event.time) sum -= ordered[first++].tokens
        sum
    } ?: 0
}

/** Returns a check of whether a request still lies within [quota]: an independent token bucket. */
internal fun conforming(quota: WorkspaceQuota, now: () -> Timestamp): (Int) -> Boolean {
    val start = now()
    var spent = 0.0
    return { tokens ->
        val earned = quota.burst + quota.perSecond * (now() - start).toDouble(DurationUnit.SECONDS)
        spent = maxOf(spent, earned - quota.burst)
        (spent + tokens <= earned).also { if (it) spent += tokens }
    }
}
