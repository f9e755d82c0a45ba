/*
 * Wires the components of an instance that forwards requests and runs it from start to shutdown.
 *
 * Everything runs on a single event loop, so that no state is shared between threads. The load of an instance is low;
 * on a small machine, memory use and a fast start matter more.
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
import org.arbutusnotch.core.forwarding.MissedChanges
import org.arbutusnotch.core.forwarding.RequestMemoryBudget
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.forwarding.StartupRoutes
import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.LimitShare
import org.arbutusnotch.core.message.ConfigurationConfirmation
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchReply
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.QuotaReply
import org.arbutusnotch.core.message.QuotaRequest
import org.arbutusnotch.core.message.QuotaReturn
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.message.ServerNotice
import org.arbutusnotch.core.message.StreamMessage
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
import org.arbutusnotch.forwarding.exchange.AnnouncementHandler
import org.arbutusnotch.forwarding.exchange.ForwardingContext
import org.arbutusnotch.forwarding.exchange.ForwardingMetrics
import org.arbutusnotch.forwarding.exchange.FrontHandler
import org.arbutusnotch.forwarding.exchange.RelayedRequests
import org.arbutusnotch.forwarding.exchange.ShutdownNotice
import org.arbutusnotch.forwarding.exchange.ShutdownSchedule
import org.arbutusnotch.forwarding.explain.ExplainHandler
import org.arbutusnotch.forwarding.http.BufferedCall
import org.arbutusnotch.forwarding.http.CallEnd
import org.arbutusnotch.forwarding.http.ClientIntake
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.HttpEndpoint
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHandler
import org.arbutusnotch.forwarding.http.RequestHead
import org.arbutusnotch.forwarding.http.socketAddress
import org.arbutusnotch.forwarding.membership.Membership
import org.arbutusnotch.forwarding.membership.PeerLink
import org.arbutusnotch.forwarding.quarantine.CrashReporter
import org.arbutusnotch.forwarding.quota.QuotaClient
import org.arbutusnotch.forwarding.quota.QuotaOwners
import org.arbutusnotch.forwarding.quota.QuotaService
import org.arbutusnotch.forwarding.registry.PublishedState
import org.arbutusnotch.forwarding.registry.SnapshotItem
import org.arbutusnotch.forwarding.registry.SnapshotPart
import org.arbutusnotch.forwarding.registry.StoreFollower
import org.arbutusnotch.forwarding.registry.StoreHistoryReader
import org.arbutusnotch.forwarding.registry.StoreItemReader
import org.arbutusnotch.forwarding.registry.StoreListener
import org.arbutusnotch.forwarding.registry.StoreProtocol
import org.arbutusnotch.forwarding.registry.StoreSnapshot
import org.arbutusnotch.forwarding.registry.WatchRole
import org.arbutusnotch.forwarding.stream.OriginResolver
import org.arbutusnotch.forwarding.stream.StreamOrigins
import org.arbutusnotch.forwarding.workspace.ConfirmedConfiguration
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import org.arbutusnotch.telemetry.MonotonicClock
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Bundles the protocols that an adapter implements. */
public class Protocols(
    public val forwarding: ForwardingProtocol,
    public val directory: DirectoryProtocol,
    public val store: StoreProtocol,
    public val items: StoreItemReader,
)

/**
 * Runs one instance.
 *
 * @param clock clock of the instance; it must not jump while the process runs
 * @param wallClock clock that counts pauses of the machine, during which [clock] may stand still; it may jump
 * @param readSeeds rereads the seeds, which may change while the process runs; null keeps the previous ones
 */
public class ForwardingInstance(
    private val settings: ForwardingSettings,
    private val protocols: Protocols,
    private val clock: Clock = MonotonicClock(),
    private val wallClock: Clock = Clock { Timestamp(System.currentTimeMillis()) },
    private val readSeeds: () -> List<InstanceAddress>?,
) : AutoCloseable {
    private val log = EventLog("instance")
    private val random = Random(System.nanoTime())
    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val meterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val metrics = ForwardingMetrics(meterRegistry)
    private val self = InstanceId(settings.peerAddress, Incarnation(clock.now().epochMillis))
    private val link = PeerLink(settings.peerAddress, group)
    private val quarantine = RequestQuarantine(self.address)
    private val crashReporter: CrashReporter = CrashReporter(
        quarantine = quarantine,
        now = { clock.now() },
        probe = { server, onResult -> probe(server, onResult) },
        hasEnded = { server -> registry.hasEnded(server, clock.now()) },
    )
    private val missedServerChanges = MissedChanges()
    private val membership: Membership = Membership(
        own = ownRow(),
        send = { target, message -> link.send(target, message) },
        random = random,
        crashReporter = crashReporter,
        latestServerChange = { serverFollower.latestChange },
        heardServerChange = { missedServerChanges.heard(serverFollower.position, clock.now()) },
    )
    private val registry = ServerRegistry(settings.drainTime * REMOVED_SERVER_GRACE_SHARE, OUTAGE_GRACE)
    private val heapBytes = Runtime.getRuntime().maxMemory()
    private val answerBufferBudget =
        AnswerBufferBudget(minOf(ANSWER_BUFFER_BYTES, (heapBytes * ANSWER_HEAP_SHARE).toInt()))
    private val intake = ClientIntake(
        RequestMemoryBudget((heapBytes * REQUEST_HEAP_SHARE).toLong().coerceAtMost(MAXIMUM_REQUEST_MEMORY).toInt()),
        clock,
    ) { metrics.recordRejectedClient(it.code()) }
    private val connectionBounds = ConnectionBounds(settings.maximumDescriptors)
    private val watchRole =
        WatchRole(self.address, serving = { membership.serving() }, reachable = { membership.counts().reachable })
    private val publishedState = PublishedState(protocols.items, clock, registry) { onRouteTable(it) }
    private val configuration: ConfirmedConfiguration = ConfirmedConfiguration(
        self = self.address,
        clock = clock,
        wallClock = wallClock,
        revocationTime = settings.revocationTime,
        routes = { publishedState.routes },
        serving = { membership.serving() },
        peers = { membership.reachablePeers() },
        send = { target, message -> link.send(target, message) },
        queryStore = { notBefore -> routeFollower.confirm(notBefore) },
    )
    private val routeFollower: StoreFollower = follower(
        prefix = protocols.items.routePrefix,
        listener = publishedState.routeListener,
        watchTime = { configuration.watchTime ?: watchRole.watchTime },
        onCurrent = { sentAt, validAt -> configuration.onStoreAnswer(sentAt, validAt) },
    )
    private val serverFollower: StoreFollower = follower(protocols.items.serverPrefix, publishedState.serverListener)
    private val followers =
        mapOf(protocols.items.routePrefix to routeFollower, protocols.items.serverPrefix to serverFollower)
    private val dispatchService = DispatchService(
        servers = { registry.usable(it) },
        recordLeaving = { server, startedAt -> registry.recordLeaving(server, startedAt) },
        poolDefinition = { publishedState.routes?.pools?.get(it) },
        newBudget = { RetryBudget(requestsPerRetry(), (settings.fixedRetries * DISPATCHER_RETRY_SHARE).toInt()) },
        retryShare = { membership.counts().reachableShare },
        requestShare = { pool, dispatcher ->
            LimitShare.of(membership.counts(), dispatchClient.roleIn(pool)) { dispatcher.holderCount }
        },
        sharesCapacity = { publishedState.routes?.workspaces != null },
        placeShare = { pool, dispatcher ->
            LimitShare.ofPlaces(membership.counts(), dispatchClient.roleIn(pool)) { dispatcher.holderCount }
        },
        mayOrderStageChange = { pool, now -> tenure.mayOrder(pool, now) },
        orderStageChange = { change, onNotSent -> orderStage(change, onNotSent) },
        reply = { target, reply -> deliver(target, reply) },
        pacesServers = settings.pacesServers,
        recordPaceChange = { metrics.recordPaceChange(it) },
        recordHeldBack = { pool, isHeldBack -> metrics.recordHeldBack(pool, isHeldBack) },
    )
    private val dispatchClient = DispatchClient(
        self = self,
        domain = settings.failureDomain,
        registry = registry,
        candidates = { membership.dispatchCandidates() },
        recentlyLost = { membership.recentlyLost(clock.now()).map { it.instance } },
        send = { target, message -> deliver(target, message) },
        onSilent = { membership.verify(it, clock.now()) },
        now = { clock.now() },
    )
    private val quotaOwners = QuotaOwners(
        self = self,
        candidates = { membership.dispatchCandidates() },
        recentlyLost = { membership.recentlyLost(clock.now()).map { it.instance } },
        counts = { membership.counts() },
        now = { clock.now() },
    )
    private val quotaService = QuotaService(
        tolerance = settings.quotaTolerance,
        owners = quotaOwners,
        routes = { publishedState.routes },
        reply = { target, reply -> deliver(target, reply) },
    )
    private val quotaClient = QuotaClient(
        self = self,
        owners = quotaOwners,
        revision = { publishedState.routes?.revision },
        send = { target, message -> deliver(target, message) },
        onSilent = { membership.verify(it, clock.now()) },
        record = { workspace, result -> metrics.recordQuota(workspace, result) },
        now = { clock.now() },
    )
    private val tenure = DispatcherTenure({ dispatchClient.isDispatcher(it) }, { membership.reachesMajority() })
    private val announcementHandler = AnnouncementHandler(
        registry = registry,
        now = { clock.now() },
        onLeaving = { dispatchClient.announceLeaving(it) },
        onPause = { server, time -> dispatchClient.announcePause(server.pool, server.id, time) },
        onLimit = { server, observation -> dispatchClient.announceLimit(server, observation) },
    )
    private val streamOrigins = StreamOrigins(
        serving = { membership.serving().filter { it.address != self.address } },
        asked = { membership.reachablePeers() + membership.recentlyLost(clock.now()) },
        send = { target, message -> deliver(target, message) },
        now = { clock.now() },
    )
    private val historyReader = StoreHistoryReader(
        address = socketAddress(settings.storeAddress),
        protocol = protocols.store,
        items = protocols.items,
        group = group,
        memory = answerBufferBudget,
        position = { serverFollower.position },
        readServer = { publishedState.readServer(it) },
    )
    private val context = ForwardingContext(
        clock = clock,
        group = group,
        protocol = protocols.forwarding,
        registry = registry,
        dispatch = dispatchClient,
        quotas = quotaClient,
        announcementHandler = announcementHandler,
        crashReporter = crashReporter,
        originResolver = OriginResolver(streamOrigins, registry, historyReader) { clock.now() },
        random = random,
        metrics = metrics,
        answerBufferBudget = answerBufferBudget,
        shutdownNotice = ShutdownNotice(
            hasServingPeer = { membership.serving().any { it.address != self.address } },
            hasStartingPeer = { membership.reachablePeers().any { it.row.state == InstanceState.STARTING } },
        ),
        relays = RelayedRequests { peer -> membership.serving().find { it.address == peer }?.row?.operatorAddress },
    )
    private val frontHandler = FrontHandler(context, ::routesInUse, configuration::decide)
    private val explainHandler = ExplainHandler(
        self = self,
        domain = settings.failureDomain,
        routes = ::routesInUse,
        dispatcherOf = { dispatchClient.dispatcherOf(it) },
        explainPlace = { dispatchService.explain(it, clock.now()) },
        askDispatcher = { peer, body, onResponse -> askDispatcher(peer, body, onResponse) },
    )
    private val front =
        endpoint(settings.frontAddress, frontHandler, connectionBounds.front, countsAnswers = false)
    private val auxiliaryEndpoints = listOf(
        endpoint(settings.readyAddress, ReadinessHandler { membership.state == InstanceState.SERVING }),
        endpoint(
            settings.controlAddress,
            ControlHandler(::snapshot, frontHandler::handleRelayed, frontHandler::serviceOf, explainHandler),
        ),
        endpoint(settings.metricsAddress, MetricsHandler(meterRegistry)),
        endpoint(
            settings.directoryAddress,
            DirectoryHandler(protocols.directory, settings.failureDomain) { membership.serving() },
        ),
    )
    private val expectsPeers = settings.seeds.any { it != settings.peerAddress }
    private var startedAt = clock.now()
    private val ended = CountDownLatch(1)
    private var activeShutdown: Shutdown? = null
    private var lastTick = clock.now()

    /** Time until which a shutdown closes nothing, since requests lie unread after a late tick. */
    private var shutdownPausedUntil = Timestamp(0)
    private var nextHousekeeping = Timestamp(0)
    private var nextSeedRefresh = Timestamp(0)
    private var nextPeerFetch = Timestamp(0)

    /** Binds all addresses and starts following the store; throws [java.io.IOException] when an address is in use. */
    public fun start() {
        startedAt = clock.now()
        link.onMessage = { message, sender -> onMessage(message, sender) }
        link.open()
        auxiliaryEndpoints.forEach { it.open() }
        front.open()
        metrics.registerGauge("arbutusnotch_dispatch_waiting") { dispatchService.queueLength }
        metrics.registerGauge("arbutusnotch_dispatch_places") { dispatchService.placesInUse }
        metrics.registerGauge("arbutusnotch_dispatch_postponed") { dispatchService.postponedRequests }
        metrics.registerGauge("arbutusnotch_dispatch_early_refusals") { dispatchService.earlyRefusals }
        metrics.registerGauge("arbutusnotch_dispatch_limited_servers") { dispatchService.limitedServers }
        metrics.registerGauge("arbutusnotch_quota_workspaces") { quotaService.workspaceCount }
        metrics.registerGauge("arbutusnotch_quota_tickets") { quotaService.ticketCount }
        metrics.registerGauge("arbutusnotch_quota_waiting") { quotaClient.pendingCount }
        metrics.registerGauge("arbutusnotch_dispatch_paced_servers") { dispatchService.pacedServers }
        metrics.registerGauge("arbutusnotch_stream_origins") { streamOrigins.size }
        metrics.registerGauge("arbutusnotch_request_memory_bytes") { intake.budget.usedBytes }
        metrics.registerGauge("arbutusnotch_clients_waiting") { intake.turns.waitingConnections }
        metrics.registerGauge("arbutusnotch_client_connections") {
            front.openConnections + auxiliaryEndpoints.sumOf { it.openConnections }
        }
        metrics.registerGauge("arbutusnotch_quarantined") { quarantine.suspiciousDigests(clock.now()).size }
        metrics.registerGauge("arbutusnotch_configuration_age_millis") { configuration.ageMillis }
        group.execute {
            membership.replaceSeeds(settings.seeds)
            routeFollower.start()
            serverFollower.start()
        }
        group.scheduleAtFixedRate(::tick, 0, TICK_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        log.info("started") {
            field("instance", self)
            field("failure_domain", settings.failureDomain)
            field("front", settings.frontAddress)
            field("seeds", settings.seeds.joinToString(","))
        }
    }

    /** Starts a graceful shutdown, which interrupts no request; further calls have no effect. */
    public fun stop() {
        group.execute { beginShutdown() }
    }

    /** Rereads the seeds from the settings. */
    public fun reload() {
        group.execute {
            log.info("reloaded")
            nextSeedRefresh = clock.now()
        }
    }

    /** Blocks until the shutdown is complete. */
    public fun awaitEnd(): Unit = ended.await()

    /** Closes all connections at once and ends the thread of this instance, for a process that outlives it. */
    override fun close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS).awaitUninterruptibly()
    }

    private fun ownRow() = InstanceRow(
        instance = self,
        entryAddress = settings.frontAddress,
        operatorAddress = settings.controlAddress,
        failureDomain = settings.failureDomain,
        state = InstanceState.STARTING,
        heartbeat = 0,
        capacity = settings.processorCapacity,
    )

    private fun follower(
        prefix: String,
        listener: StoreListener,
        watchTime: () -> Duration = { watchRole.watchTime },
        onCurrent: (sentAt: Timestamp, validAt: Timestamp) -> Unit = { _, _ -> },
    ) = StoreFollower(
        prefix = prefix,
        address = socketAddress(settings.storeAddress),
        protocol = protocols.store,
        group = group,
        clock = clock,
        random = random,
        listener = listener,
        memory = answerBufferBudget,
        watchTime = watchTime,
        onCurrent = onCurrent,
    )

    private fun endpoint(
        address: String,
        handler: RequestHandler,
        maximumConnections: Int = connectionBounds.auxiliary,
        countsAnswers: Boolean = true,
    ) = HttpEndpoint(
        address = socketAddress(address),
        group = group,
        clock = clock,
        limits = { publishedState.routes?.limits ?: INITIAL_LIMITS },
        handler = handler,
        intake = intake,
        maximumConnections = maximumConnections,
        countsAnswers = countsAnswers,
    )

    /** Returns the routes for requests; null while the instance does not know whether they are current. */
    private fun routesInUse() = publishedState.routes?.takeUnless { membership.state == InstanceState.STARTING }

    private fun requestsPerRetry(): Int = (1 / (settings.retryRatio * DISPATCHER_RETRY_SHARE)).toInt()

    private fun onRouteTable(table: RouteTable) {
        membership.updateOwnRow(active = RevisionMark(table.revision, ContentDigest("")))
        beginServing()
    }

    /** Switches to serving once the servers have been listed and the routes are not older than those of the peers. */
    private fun beginServing() {
        if (membership.state != InstanceState.STARTING) return
        val own = publishedState.routes?.revision
        if (own == null || serverFollower.position == null) return
        if (!StartupRoutes.mayServe(own, peerRevisions(), expectsPeers, waited = clock.now() - startedAt)) return
        membership.updateOwnRow(state = InstanceState.SERVING)
        log.info("serving") { field("instance", self) }
    }

    private fun deliver(target: InstanceAddress, message: PeerMessage) {
        if (target == self.address) onMessage(message, target) else link.send(target, message)
    }

    private fun onMessage(message: PeerMessage, sender: InstanceAddress) {
        val now = clock.now()
        membership.onMessageFrom(sender, now)
        when (message) {
            is Gossip -> {
                membership.onGossip(message, now)
                onServerChanges(listOfNotNull(message.latestServerChange, message.heardServerChange), now)
            }

            is DispatchRequest -> dispatchService.onRequest(message, now)

            is DispatchRelease -> dispatchService.onRelease(message, now)

            is HeldPlaces -> dispatchService.onHeldPlaces(message, now)

            is ServerNotice -> dispatchService.onNotice(message, now)

            is DispatchReply -> dispatchClient.onReply(message, sender)

            is ConfigurationConfirmation -> configuration.onMessage(message)

            is QuotaRequest -> quotaService.onRequest(message, now)

            is QuotaReturn -> quotaService.onReturn(message, now)

            is QuotaReply -> quotaClient.onReply(message, sender)

            is StreamMessage -> streamOrigins.onMessage(message, sender)

            else -> log.warn("unexpected_message") {
                field("sender", sender)
                field("type", message::class.simpleName)
            }
        }
    }

    /** Handles [changes] of the published servers that a peer names. */
    private fun onServerChanges(changes: List<StorePosition>, now: Timestamp) {
        val isFirst = changes.count { missedServerChanges.onPeerKnows(it, serverFollower.position, now) } > 0
        if (isFirst) membership.relayServerChange()
    }

    /** Asks the store for changes that peers have named. A call that does not wait ends soon, so the next one asks. */
    private fun checkForMissedChanges(now: Timestamp) {
        if (!serverFollower.isWatching) return
        if (missedServerChanges.isOverdue(serverFollower.position, now)) serverFollower.checkForChanges()
    }

    @Suppress("TooGenericExceptionCaught") // A scheduled task that throws is not scheduled again.
    private fun tick() {
        val now = clock.now()
        val gap = now - lastTick
        lastTick = now
        if (gap > LATE_TICK_THRESHOLD) log.warn("tick_late") { field("gap_millis", gap.inWholeMilliseconds) }
        try {
            configuration.tick()
            crashReporter.tick()
            membership.tick(now)
            tenure.tick(publishedState.routes?.pools?.keys.orEmpty(), now)
            dispatchService.tick(now)
            dispatchClient.tick(now)
            quotaService.tick(now)
            quotaClient.tick(now)
            streamOrigins.tick(now)
            checkForMissedChanges(now)
            if (watchRole.begins(now)) followers.values.forEach { it.confirm(notBefore = now) }
            beginServing()
            housekeeping(now)
            if (gap > LATE_SHUTDOWN_THRESHOLD) shutdownPausedUntil = now + CATCH_UP_TIME
            advanceShutdown(now)
        } catch (failure: RuntimeException) {
            log.error("tick_failed", failure)
        }
    }

    private fun housekeeping(now: Timestamp) {
        if (now < nextHousekeeping) return
        nextHousekeeping = now + HOUSEKEEPING_INTERVAL
        followers.values.forEach { it.restartIfStopped() }
        front.closeTimedOut()
        auxiliaryEndpoints.forEach { it.closeTimedOut() }
        intake.report()
        if (now >= nextSeedRefresh) {
            nextSeedRefresh = now + SEED_REFRESH_INTERVAL
            readSeeds()?.let { membership.replaceSeeds(it) }
        }
        if (now >= nextPeerFetch && needsPeerState()) {
            nextPeerFetch = now + PEER_FETCH_INTERVAL
            fetchFromPeer()
        }
    }

    /** Returns the revisions of the routes of the reachable peers; null for a peer that has none yet. */
    private fun peerRevisions() = membership.reachablePeers().map { it.row.active?.revision }

    private fun needsPeerState(): Boolean {
        val own = publishedState.routes?.revision
        val isBehind = peerRevisions().any { it != null && (own == null || it > own) }
        return isBehind || routeFollower.isFailing || serverFollower.isFailing
    }

    private fun fetchFromPeer() {
        val peers = membership.reachablePeers().filter { it.row.active != null }
        val newest = peers.maxOfOrNull { it.row.active?.revision?.value ?: 0 } ?: return
        val peer = peers.filter { it.row.active?.revision?.value == newest }.random(random)
        val head =
            RequestHead("GET", ControlHandler.SNAPSHOT_PATH, listOf(HeaderField("Host", peer.row.operatorAddress)))
        BufferedCall(
            HttpRequestMessage(head, ByteArray(0)),
            PEER_FETCH_TIMEOUT,
            PEER_FETCH_TIMEOUT,
            answerBufferBudget,
        ) { result ->
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
            publishedState.applyNewestRoutes(listOfNotNull(snapshot.routes?.storeItem()))
            snapshot.parts.forEach { part ->
                part.position?.let { followers[part.prefix]?.adopt(part.storeItems(), it) }
            }
        },
        failure = { detail ->
            log.warn("malformed_snapshot") {
                field("peer", peer)
                field("detail", detail)
            }
        },
    )

    /** Checks whether [server] refuses connections, without sending a request. */
    private fun probe(server: BackendServer, onResult: (Boolean) -> Unit) {
        val request = HttpRequestMessage(RequestHead("GET", "/", emptyList()), ByteArray(0))
        BufferedCall(request, PROBE_TIMEOUT, PROBE_TIMEOUT, answerBufferBudget, maySend = { false }) { result ->
            onResult((result.getError() as? CallEnd.NotSent)?.refused ?: false)
        }.start(socketAddress(server.address), group)
    }

    private fun orderStage(change: StageChange, onNotSent: () -> Unit) {
        val server = change.server
        val fencingNumber = membership.nextFencingNumber(clock.now())
        val order = protocols.forwarding.stageOrder(server.id, change.stage, self.address.value, fencingNumber)
        log.info("stage_ordered") {
            field("server", server.id)
            field("pool", server.pool)
            field("stage", change.stage)
        }
        val mayOrder = { registry.findUsable(server.id, clock.now()) != null }
        BufferedCall(order, ORDER_TIMEOUT, ORDER_TIMEOUT, answerBufferBudget, maySend = mayOrder) { result ->
            result.onOk { announcementHandler.handle(server, protocols.forwarding.readAnswer(it.head)) }
            log.info("stage_order_ended") {
                field("server", server.id)
                field("result", result.fold(success = { "status ${it.head.status}" }, failure = { it.toString() }))
            }
            // Any other failure is ambiguous: the server may have accepted the order.
            if (result.getError().let { it is CallEnd.NotSent || it is CallEnd.Withheld }) onNotSent()
        }.start(socketAddress(server.address), group)
    }

    /** Asks the dispatcher in [peer] to explain a decision, and calls [onResponse] with its response or null. */
    private fun askDispatcher(peer: InstanceAddress, body: ByteArray, onResponse: (ByteArray?) -> Unit) {
        val address = membership.serving().find { it.address == peer }?.row?.operatorAddress ?: return onResponse(null)
        val head = RequestHead("POST", ExplainHandler.PLACE_PATH, listOf(HeaderField("Host", address)))
        val request = HttpRequestMessage(head, body)
        BufferedCall(request, PEER_FETCH_TIMEOUT, PEER_FETCH_TIMEOUT, answerBufferBudget) { result ->
            onResponse(result.fold(success = { it.body }, failure = { null }))
        }.start(socketAddress(address), group)
    }

    private fun snapshot() = StoreSnapshot(
        parts = followers.map { (prefix, follower) ->
            SnapshotPart.of(prefix, follower.position, follower.snapshot())
        },
        routes = publishedState.routesItem?.let { SnapshotItem.of(it) },
    )

    private fun beginShutdown() {
        if (activeShutdown != null) return
        val now = clock.now()
        val schedule = ShutdownSchedule(
            beganAt = now,
            answerBy = now + settings.shutdownTime - PROCESS_EXIT_TIME - FINAL_ANSWER_TIME,
            estimatesEndAt = now + ADDRESS_LIST_LIFETIME - SIGNAL_DELAY,
            listsExpireAt = now + ADDRESS_LIST_LIFETIME,
            replacedBy = now + settings.shutdownTime,
        )
        activeShutdown = Shutdown(
            listsExpireAt = schedule.listsExpireAt,
            idleCloseAt = now + settings.shutdownTime * IDLE_CLOSE_SHARE,
            forcedExitAt = schedule.answerBy + FINAL_ANSWER_TIME,
        )
        membership.updateOwnRow(state = InstanceState.DRAINING)
        front.startDraining()
        context.shutdownNotice.announce(schedule)
        log.info("stopping") {
            field("busy_connections", front.busyConnections)
            field("connections", front.openConnections)
        }
    }

    private fun advanceShutdown(now: Timestamp) {
        val shutdown = activeShutdown ?: return
        val isForced = now >= shutdown.forcedExitAt
        if (now < shutdownPausedUntil && !isForced) return
        val mayEnd = hasNothingLeft(shutdown, now)
        if (mayEnd || now >= shutdown.idleCloseAt) front.closeIdle()
        if (mayEnd) shutdown.readUntil = shutdown.readUntil ?: (now + CATCH_UP_TIME)
        val isDone = isForced || (mayEnd && shutdown.isRead(now))
        if (ended.count == 0L || !isDone) return
        log.info("stopped") {
            field("interrupted_requests", front.busyConnections)
            field("unwritten_answers", front.unwrittenAnswers)
        }
        // What still arrives before the process has exited is refused: its exit would cut the answer of a server.
        front.closeIdle()
        context.shutdownNotice.schedule?.let { context.shutdownNotice.announce(it.copy(answerBy = now)) }
        ended.countDown()
    }

    private fun hasNothingLeft(shutdown: Shutdown, now: Timestamp): Boolean {
        val noConnectionsLeft = now >= shutdown.listsExpireAt && front.openConnections == 0
        val noRequestsLeft = now >= shutdown.idleCloseAt && front.busyConnections == 0
        return (noConnectionsLeft || noRequestsLeft) && context.relays.activeCount == 0
    }

    /**
     * Holds the times of a shutdown.
     *
     * @property listsExpireAt time after which no caller holds an address list that contains this instance
     * @property idleCloseAt time at which idle connections are closed
     * @property forcedExitAt time at which the process ends regardless of open requests
     * @property readUntil time until which requests are read that came before the listener was closed; null before
     * that. While a process exits, connections that it has not accepted stay open and are read by nobody.
     */
    private class Shutdown(
        val listsExpireAt: Timestamp,
        val idleCloseAt: Timestamp,
        val forcedExitAt: Timestamp,
        var readUntil: Timestamp? = null,
    ) {
        fun isRead(now: Timestamp): Boolean = readUntil.let { it != null && now >= it }
    }

    private companion object {
        /** Interval of the periodic work; it bounds how late a queued request is refused or retried. */
        val TICK_INTERVAL = 25.milliseconds

        /** Gap between two ticks that is logged as a pause of the process or a lack of CPU time. */
        val LATE_TICK_THRESHOLD = 400.milliseconds

        /** Gap between two ticks in which requests may have arrived that are not read yet, and time to read them. */
        val LATE_SHUTDOWN_THRESHOLD = 75.milliseconds
        val CATCH_UP_TIME = 200.milliseconds
        val HOUSEKEEPING_INTERVAL = 200.milliseconds
        val SEED_REFRESH_INTERVAL = 1.seconds

        /** Interval between two fetches of the store state from a peer, and timeout of one fetch. */
        val PEER_FETCH_INTERVAL = 600.milliseconds
        val PEER_FETCH_TIMEOUT = 500.milliseconds

        /**
         * Maximum total size in bytes of all buffered answers. Joining the parts of an answer and forwarding it take as
         * much memory again, and all of it must fit into the heap of a small instance.
         */
        const val ANSWER_BUFFER_BYTES = 12 * 1_024 * 1_024

        /** Shares of the heap for buffered answers and for what clients send; the runtime needs about ten megabytes. */
        const val ANSWER_HEAP_SHARE = 0.25
        const val REQUEST_HEAP_SHARE = 0.25

        /** Largest budget in bytes for what clients send, where the heap is larger than that of a deployment. */
        const val MAXIMUM_REQUEST_MEMORY = 256L * 1_024 * 1_024

        /** Share of the drain time during which a server whose entry was removed still gets work. */
        const val REMOVED_SERVER_GRACE_SHARE = 0.6

        /** Time for which expired entries stay valid after a store outage; live servers renew theirs within it. */
        val OUTAGE_GRACE = 2_500.milliseconds

        /** Share of the total retry budget that one dispatcher may spend; a second one may be active in parallel. */
        const val DISPATCHER_RETRY_SHARE = 0.5

        /** Connect timeout to a server that closed a connection: a few round trips, since its host just answered. */
        val PROBE_TIMEOUT = 300.milliseconds

        /** Timeout for connecting to a server that gets a stage order, and for its answer. */
        val ORDER_TIMEOUT = 1.seconds

        /** Maximum time for which a caller uses an address list. */
        val ADDRESS_LIST_LIFETIME: Duration = 3.seconds

        /** Longest time from a signal to the start of the shutdown, as on a machine that is short of processor time. */
        val SIGNAL_DELAY = 500.milliseconds

        /** Share of the shutdown time after which idle connections are closed. */
        const val IDLE_CLOSE_SHARE = 0.6

        /** Timeout for closing the connections of an instance that ends before its process. */
        val CLOSE_TIMEOUT = 1.seconds

        /** Time before the exit of the process in which the final answers reach their callers. */
        val FINAL_ANSWER_TIME = 200.milliseconds

        /** Time reserved for the exit of the process. */
        val PROCESS_EXIT_TIME = 800.milliseconds

        /** Limits that apply until the first routes are known. */
        val INITIAL_LIMITS = CallerLimits(
            headBytes = 16_384,
            bodyBytes = 4_194_304,
            headTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )
    }
}
