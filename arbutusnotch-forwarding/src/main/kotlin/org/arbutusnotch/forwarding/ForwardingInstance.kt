/*
 * One instance that forwards requests: its parts and its life from start to shutdown.
 *
 * Everything runs on one event loop, so that no state is shared between threads. The work of an instance is small; what
 * matters on a small machine is memory and a quick start.
 */
package org.arbutusnotch.forwarding

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onOk
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.arbutusnotch.core.dispatch.StageChange
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.CallerLimits
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchReply
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.message.ServerNotice
import org.arbutusnotch.core.quarantine.RequestQuarantine
import org.arbutusnotch.core.retry.RetryBudget
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.dispatch.DispatchClient
import org.arbutusnotch.forwarding.dispatch.DispatchService
import org.arbutusnotch.forwarding.dispatch.DispatcherTenure
import org.arbutusnotch.forwarding.entry.ControlHandler
import org.arbutusnotch.forwarding.entry.DirectoryHandler
import org.arbutusnotch.forwarding.entry.MetricsHandler
import org.arbutusnotch.forwarding.entry.ReadinessHandler
import org.arbutusnotch.forwarding.exchange.AnnouncementReader
import org.arbutusnotch.forwarding.exchange.ForwardingContext
import org.arbutusnotch.forwarding.exchange.ForwardingCounters
import org.arbutusnotch.forwarding.exchange.FrontHandler
import org.arbutusnotch.forwarding.http.BufferedCall
import org.arbutusnotch.forwarding.http.CallEnd
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.HttpEndpoint
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHandler
import org.arbutusnotch.forwarding.http.RequestHead
import org.arbutusnotch.forwarding.http.socketAddress
import org.arbutusnotch.forwarding.membership.Membership
import org.arbutusnotch.forwarding.membership.PeerLink
import org.arbutusnotch.forwarding.quarantine.CrashReporter
import org.arbutusnotch.forwarding.registry.PublishedState
import org.arbutusnotch.forwarding.registry.SnapshotItem
import org.arbutusnotch.forwarding.registry.SnapshotPart
import org.arbutusnotch.forwarding.registry.StoreFollower
import org.arbutusnotch.forwarding.registry.StoreItemReader
import org.arbutusnotch.forwarding.registry.StoreListener
import org.arbutusnotch.forwarding.registry.StoreProtocol
import org.arbutusnotch.forwarding.registry.StoreSnapshot
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import org.arbutusnotch.telemetry.MonotonicClock
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Bundles the translations that an adapter supplies. */
public class Protocols(
    public val forwarding: ForwardingProtocol,
    public val directory: DirectoryProtocol,
    public val store: StoreProtocol,
    public val items: StoreItemReader,
)

/**
 * Runs one instance.
 *
 * @param clock tells the time; it must not step while the process runs
 * @param readSeeds reads the seeds of the settings again; they may change while the process runs
 */
public class ForwardingInstance(
    private val settings: ForwardingSettings,
    private val protocols: Protocols,
    private val clock: Clock = MonotonicClock(),
    private val readSeeds: () -> List<InstanceAddress>?,
) {
    private val log = EventLog("instance")
    private val random = Random(System.nanoTime())
    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val counters = ForwardingCounters(metrics)
    private val self = InstanceId(settings.peerAddress, Incarnation(clock.now().epochMillis))
    private val link = PeerLink(settings.peerAddress, group)
    private val quarantine = RequestQuarantine(self.address)
    private val crashes: CrashReporter = CrashReporter(
        quarantine = quarantine,
        now = { clock.now() },
        probe = { server, onResult -> probe(server, onResult) },
        broadcast = { membership.broadcast(it) },
    )
    private val membership: Membership = Membership(ownRow(), link, random, crashes)
    private val registry = ServerRegistry(settings.drainTime * REMOVED_SHARE, TROUBLED_GRACE)
    private val answerMemory = AnswerBufferBudget(ANSWER_MEMORY)
    private val published = PublishedState(protocols.items, clock, registry) { onRoutes(it) }
    private val routeFollower = follower(protocols.items.routePrefix, published.routeListener)
    private val serverFollower = follower(protocols.items.serverPrefix, published.serverListener)
    private val dispatchService = DispatchService(
        servers = { registry.usable(it) },
        recordLeaving = { server, startedAt -> registry.recordLeaving(server, startedAt) },
        poolDefinition = { published.routes?.pools?.get(it) },
        newBudget = { RetryBudget(requestsPerRetry(), (settings.retryAllowance * DISPATCHER_SHARE).toInt()) },
        retryShare = { membership.reachableShare() },
        mayOrderStageChange = { pool, now -> tenure.mayOrder(pool, now) },
        orderStageChange = { change, onNotSent -> orderStage(change, onNotSent) },
        reply = { target, reply -> deliver(target, reply) },
    )
    private val dispatchClient = DispatchClient(
        self = self,
        domain = settings.failureDomain,
        registry = registry,
        candidates = { membership.serving().map { it.address } },
        send = { target, message -> deliver(target, message) },
        now = { clock.now() },
    )
    private val tenure = DispatcherTenure({ dispatchClient.isDispatcher(it) }, { membership.seesMajority() })
    private val announcements = AnnouncementReader(
        registry = registry,
        now = { clock.now() },
        onLeaving = { dispatchClient.announceLeaving(it) },
        onPause = { server, time -> dispatchClient.announcePause(server.pool, server.id, time) },
    )
    private val context = ForwardingContext(
        clock = clock,
        group = group,
        protocol = protocols.forwarding,
        registry = registry,
        dispatch = dispatchClient,
        announcements = announcements,
        crashes = crashes,
        random = random,
        counters = counters,
        answerMemory = answerMemory,
    )
    private val front = endpoint(settings.frontAddress, FrontHandler(context) { published.routes })
    private val others = listOf(
        endpoint(settings.readyAddress, ReadinessHandler { membership.state == InstanceState.SERVING }),
        endpoint(settings.controlAddress, ControlHandler(::snapshot)),
        endpoint(settings.metricsAddress, MetricsHandler(metrics)),
        endpoint(
            settings.directoryAddress,
            DirectoryHandler(protocols.directory, settings.failureDomain) { membership.serving() },
        ),
    )
    private val ended = CountDownLatch(1)
    private var stopping: Shutdown? = null
    private var lastTick = clock.now()
    private var nextHousekeeping = Timestamp(0)
    private var nextSeedReading = Timestamp(0)
    private var nextPeerFetch = Timestamp(0)

    /** Binds all addresses and begins to follow the store; throws [java.io.IOException] when an address is taken. */
    public fun start() {
        link.onMessage = { message, sender -> onMessage(message, sender) }
        link.open()
        others.forEach { it.open() }
        front.open()
        counters.gauge("arbutusnotch_dispatch_waiting") { dispatchService.queueLength }
        counters.gauge("arbutusnotch_dispatch_places") { dispatchService.placesInUse }
        counters.gauge("arbutusnotch_quarantined") { quarantine.refusedDigests(clock.now()).size }
        group.execute {
            membership.replaceSeeds(settings.seeds)
            routeFollower.start()
            serverFollower.start()
        }
        group.scheduleAtFixedRate(::tick, 0, TICK.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        log.info("started") {
            field("instance", self)
            field("failure_domain", settings.failureDomain)
            field("front", settings.frontAddress)
            field("seeds", settings.seeds.joinToString(","))
        }
    }

    /** Begins a shutdown that interrupts no request; calling it again has no effect. */
    public fun stop() {
        group.execute { beginShutdown() }
    }

    /** Reads the settings again. */
    public fun reload() {
        group.execute {
            log.info("reloaded")
            nextSeedReading = clock.now()
        }
    }

    /** Waits until the shutdown has ended. */
    public fun awaitEnd(): Unit = ended.await()

    private fun ownRow() = InstanceRow(
        instance = self,
        entryAddress = settings.frontAddress,
        operatorAddress = settings.controlAddress,
        failureDomain = settings.failureDomain,
        state = InstanceState.STARTING,
        heartbeat = 0,
    )

    private fun follower(prefix: String, listener: StoreListener) = StoreFollower(
        prefix = prefix,
        address = socketAddress(settings.storeAddress),
        protocol = protocols.store,
        group = group,
        clock = clock,
        random = random,
        listener = listener,
        memory = answerMemory,
    )

    private fun endpoint(address: String, handler: RequestHandler) =
        HttpEndpoint(socketAddress(address), group, clock, { published.routes?.limits ?: FIRST_LIMITS }, handler)

    private fun requestsPerRetry(): Int = (1 / (settings.retryRatio * DISPATCHER_SHARE)).toInt()

    private fun onRoutes(table: RouteTable) {
        membership.updateOwnRow(active = RevisionMark(table.revision, ContentDigest("")))
        beginServing()
    }

    /** The instance serves as soon as it has routes and has listed the servers once. */
    private fun beginServing() {
        if (membership.state != InstanceState.STARTING) return
        if (published.routes == null || serverFollower.revision < 0) return
        membership.updateOwnRow(state = InstanceState.SERVING)
        log.info("serving") { field("instance", self) }
    }

    private fun deliver(target: InstanceAddress, message: PeerMessage) {
        if (target == self.address) onMessage(message, target) else link.send(target, message)
    }

    private fun onMessage(message: PeerMessage, sender: InstanceAddress) {
        val now = clock.now()
        when (message) {
            is Gossip -> membership.onGossip(message, now)

            is DispatchRequest -> dispatchService.onRequest(message, now)

            is DispatchRelease -> dispatchService.onRelease(message, now)

            is HeldPlaces -> dispatchService.onHeldPlaces(message, now)

            is ServerNotice -> dispatchService.onNotice(message, now)

            is DispatchReply -> dispatchClient.onReply(message, sender)

            else -> log.warn("unexpected_message") {
                field("sender", sender)
                field("type", message::class.simpleName)
            }
        }
    }

    @Suppress("TooGenericExceptionCaught") // A scheduled task that throws is never run again.
    private fun tick() {
        val now = clock.now()
        val gap = now - lastTick
        lastTick = now
        if (gap > LATE_TICK) log.warn("tick_late") { field("gap_millis", gap.inWholeMilliseconds) }
        try {
            membership.tick(now)
            tenure.tick(published.routes?.pools?.keys.orEmpty(), now)
            dispatchService.tick(now)
            dispatchClient.tick(now)
            housekeeping(now)
            advanceShutdown(now)
        } catch (failure: RuntimeException) {
            log.error("tick_failed", failure)
        }
    }

    private fun housekeeping(now: Timestamp) {
        if (now < nextHousekeeping) return
        nextHousekeeping = now + HOUSEKEEPING
        beginServing()
        front.closeTimedOut()
        others.forEach { it.closeTimedOut() }
        if (now >= nextSeedReading) {
            nextSeedReading = now + SEED_READING
            readSeeds()?.let { membership.replaceSeeds(it) }
        }
        if (now >= nextPeerFetch && needsPeerState()) {
            nextPeerFetch = now + PEER_FETCH
            fetchFromPeer()
        }
    }

    private fun needsPeerState(): Boolean {
        val own = published.routes?.revision
        val behind = membership.reachablePeers().any { peer ->
            val theirs = peer.row.active?.revision
            theirs != null && (own == null || theirs > own)
        }
        return behind || routeFollower.isFailing || serverFollower.isFailing
    }

    private fun fetchFromPeer() {
        val peers = membership.reachablePeers().filter { it.row.active != null }
        val newest = peers.maxOfOrNull { it.row.active?.revision?.value ?: 0 } ?: return
        val peer = peers.filter { it.row.active?.revision?.value == newest }.random(random)
        val head =
            RequestHead("GET", ControlHandler.SNAPSHOT_PATH, listOf(HeaderField("Host", peer.row.operatorAddress)))
        BufferedCall(HttpRequestMessage(head, ByteArray(0)), PEER_TIME, PEER_TIME, answerMemory) { result ->
            result.fold(
                success = { adopt(it.body, peer.address) },
                failure = { end ->
                    log.info("peer_state_unavailable") {
                        field("peer", peer.address)
                        field("detail", end)
                    }
                },
            )
        }.start(socketAddress(peer.row.operatorAddress), group)
    }

    private fun adopt(bytes: ByteArray, peer: InstanceAddress) = StoreSnapshot.decode(bytes).fold(
        success = { snapshot ->
            snapshot.parts.forEach { part ->
                followers()[part.prefix]?.adopt(part.storeItems(), part.revision)
            }
        },
        failure = { detail ->
            log.warn("malformed_snapshot") {
                field("peer", peer)
                field("detail", detail)
            }
        },
    )

    /** Finds out whether connections to [server] are refused; nothing is sent to it. */
    private fun probe(server: BackendServer, onResult: (Boolean) -> Unit) {
        val request = HttpRequestMessage(RequestHead("GET", "/", emptyList()), ByteArray(0))
        BufferedCall(request, PROBE_TIME, PROBE_TIME, answerMemory, maySend = { false }) { result ->
            onResult((result.getError() as? CallEnd.NotSent)?.refused ?: false)
        }.start(socketAddress(server.address), group)
    }

    private fun orderStage(change: StageChange, onNotSent: () -> Unit) {
        val server = change.server
        val fence = membership.nextFencingNumber(clock.now())
        val order = protocols.forwarding.stageOrder(server.id, change.stage, self.address.value, fence)
        log.info("stage_ordered") {
            field("server", server.id)
            field("pool", server.pool)
            field("stage", change.stage)
        }
        val mayOrder = { registry.findUsable(server.id, clock.now()) != null }
        BufferedCall(order, ORDER_TIME, ORDER_TIME, answerMemory, maySend = mayOrder) { result ->
            result.onOk { announcements.read(server, protocols.forwarding.readAnswer(it.head)) }
            log.info("stage_order_ended") {
                field("server", server.id)
                field("result", result.fold(success = { "status ${it.head.status}" }, failure = { it.toString() }))
            }
            // Without an answer the order may have been accepted.
            if (result.getError().let { it is CallEnd.NotSent || it is CallEnd.Withheld }) onNotSent()
        }.start(socketAddress(server.address), group)
    }

    private fun followers() =
        mapOf(protocols.items.routePrefix to routeFollower, protocols.items.serverPrefix to serverFollower)

    private fun snapshot() = StoreSnapshot(
        followers().map { (prefix, follower) ->
            val items = follower.snapshot().map { SnapshotItem(it.key, it.revision, it.value) }
            SnapshotPart(prefix, follower.revision, items)
        },
    )

    private fun beginShutdown() {
        if (stopping != null) return
        val now = clock.now()
        stopping = Shutdown(
            listsEnd = now + LISTS_LIFETIME,
            idleEnd = now + settings.shutdownTime * IDLE_SHARE,
            hardEnd = now + settings.shutdownTime - EXIT_TIME,
        )
        membership.updateOwnRow(state = InstanceState.DRAINING)
        front.startDraining()
        log.info("stopping") {
            field("busy_connections", front.busyConnections)
            field("connections", front.openConnections)
        }
    }

    private fun advanceShutdown(now: Timestamp) {
        val shutdown = stopping ?: return
        if (now >= shutdown.idleEnd) front.closeIdle()
        val quiet = now >= shutdown.listsEnd && front.openConnections == 0
        val drained = now >= shutdown.idleEnd && front.busyConnections == 0
        if (!quiet && !drained && now < shutdown.hardEnd) return
        if (ended.count > 0L) log.info("stopped") { field("interrupted_requests", front.busyConnections) }
        ended.countDown()
    }

    /**
     * Holds the times of a shutdown.
     *
     * @property listsEnd time from which no caller has a list with this instance
     * @property idleEnd time at which connections without a request are closed
     * @property hardEnd time at which the process ends whatever is left
     */
    private class Shutdown(val listsEnd: Timestamp, val idleEnd: Timestamp, val hardEnd: Timestamp)

    private companion object {
        /** Time between two runs of the periodic work; it bounds how late a queued request is refused or repeated. */
        val TICK = 25.milliseconds

        /** Gap between two ticks that is reported; the process was paused, or its processor was taken. */
        val LATE_TICK = 400.milliseconds
        val HOUSEKEEPING = 200.milliseconds
        val SEED_READING = 1.seconds

        /** Time between two questions to a peer for the state of the store, and time that one may take. */
        val PEER_FETCH = 600.milliseconds
        val PEER_TIME = 500.milliseconds

        /**
         * Bytes of all answers that are kept at a time. Joining the parts of one and passing it on take as much again,
         * and the whole must fit into the heap of a small instance.
         */
        const val ANSWER_MEMORY = 12 * 1_024 * 1_024

        /** Share of the drain time for which a server whose entry disappeared still gets work. */
        const val REMOVED_SHARE = 0.6

        /** Time for which lapsed entries are believed after trouble with the store: live servers return by then. */
        val TROUBLED_GRACE = 2_500.milliseconds

        /** Share of the fleet's retry budget that one dispatcher gives out; a second one may dispatch beside it. */
        const val DISPATCHER_SHARE = 0.5

        /** Time to connect to a server that closed a connection: some round trips, since its host has just answered. */
        val PROBE_TIME = 300.milliseconds

        /** Time to connect for an order to a server, and time until its answer. */
        val ORDER_TIME = 1.seconds

        /** Longest use of a list of addresses by a caller. */
        val LISTS_LIFETIME: Duration = 3.seconds

        /** Share of the shutdown time after which connections without a request are closed. */
        const val IDLE_SHARE = 0.6

        /** Time that the end of the process takes. */
        val EXIT_TIME = 800.milliseconds

        /** Limits until the first routes are known. */
        val FIRST_LIMITS = CallerLimits(
            headBytes = 16_384,
            bodyBytes = 4_194_304,
            headTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )
    }
}
