/*
 * One instance: starts and stops the control loop, the peer transport, the HTTP servers and the periodic tasks.
 */
package org.arbutusnotch.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.util.EventLoopGroups
import com.linecorp.armeria.server.Server
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.arbutusnotch.core.configuration.RevisionEvent
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.membership.DrainState
import org.arbutusnotch.core.membership.EntryPointList
import org.arbutusnotch.core.membership.MembershipEvent
import org.arbutusnotch.core.message.ConfigurationContent
import org.arbutusnotch.core.message.ConfigurationFetch
import org.arbutusnotch.daemon.backend.BackendSupervisor
import org.arbutusnotch.daemon.backend.EngineClient
import org.arbutusnotch.daemon.backend.SUPERVISION_INTERVAL
import org.arbutusnotch.daemon.backend.ServiceClient
import org.arbutusnotch.daemon.backend.daemonClientFactory
import org.arbutusnotch.daemon.control.ConfigurationExchange
import org.arbutusnotch.daemon.control.ControlEvent
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.daemon.control.ControlState
import org.arbutusnotch.daemon.control.PendingReservations
import org.arbutusnotch.daemon.control.SlotOwnerService
import org.arbutusnotch.daemon.control.TableUpdater
import org.arbutusnotch.daemon.entry.EntryContext
import org.arbutusnotch.daemon.entry.EntryServer
import org.arbutusnotch.daemon.entry.PermitGateway
import org.arbutusnotch.daemon.entry.REPORT_INTERVAL
import org.arbutusnotch.daemon.entry.ReservationGateway
import org.arbutusnotch.daemon.entry.StreamReporter
import org.arbutusnotch.daemon.operator.operatorServices
import org.arbutusnotch.daemon.peer.GOSSIP_INTERVAL
import org.arbutusnotch.daemon.peer.GossipExchange
import org.arbutusnotch.daemon.peer.GossipRound
import org.arbutusnotch.daemon.peer.PeerMessageHandler
import org.arbutusnotch.daemon.platform.ConfigurationUpdate
import org.arbutusnotch.daemon.platform.InstanceListUpdate
import org.arbutusnotch.daemon.platform.PlatformClient
import org.arbutusnotch.daemon.telemetry.Counters
import org.arbutusnotch.peer.PeerError
import org.arbutusnotch.peer.PeerTransport
import org.arbutusnotch.settings.DaemonSettings
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import org.arbutusnotch.telemetry.MonotonicClock
import java.net.InetSocketAddress
import java.util.concurrent.CompletionException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.arbutusnotch.daemon.telemetry.RevisionEvent as CountedRevisionEvent

/** Describes why an instance failed to start. */
internal data class StartError(val message: String)

/** Runs the instance that [settings] describe. */
internal class Daemon(private val settings: DaemonSettings) : AutoCloseable {
    private val log = EventLog("daemon")
    private val clock: Clock = MonotonicClock()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val state = ControlState(settings, clock.now(), Random(System.nanoTime()))
    private val loop = ControlLoop(state, ::stopOnBrokenInvariant)
    private val tableUpdater = TableUpdater(state, clock.now())
    private val counters = Counters()
    private val transport = PeerTransport()
    private val clientFactory = daemonClientFactory(settings.limits.workerThreads)
    private val engine = EngineClient(clientFactory, clock::now)
    private val services = ServiceClient(clientFactory, clock = clock::now)
    private val pending = PendingReservations()
    private val slotOwner = SlotOwnerService(loop, clock, pending, counters)
    private val gossip = GossipExchange(loop, clock, tableUpdater)
    private val configuration = ConfigurationExchange(loop, clock, tableUpdater, state.parser, ::handle)
    private val supervisor = BackendSupervisor(loop, clock, engine, services, pending, counters)
    private val reporter = StreamReporter(loop, transport, slotOwner)
    private val drainResult = CompletableDeferred<DrainState.Done>()
    private val entry = EntryContext(
        self = state.self,
        loop = loop,
        clock = clock,
        engine = engine,
        services = services,
        reservations = ReservationGateway(loop, clock, transport, slotOwner, scope),
        permits = PermitGateway(loop, clock, transport, scope),
        reporter = reporter,
        counters = counters,
        background = scope,
    )
    private val servers = listOf(entryServer(), operatorServer())

    /** Starts the servers and the periodic tasks; returns an error when an address cannot be bound. */
    suspend fun start(): Result<Unit, StartError> {
        counters.includePeerTraffic(transport.traffic)
        val handler = PeerMessageHandler(loop, clock, gossip, configuration, slotOwner, ::handle)
        transport.start(settings.instance.peerListenAddress, handler::handle)
            .fold({ }, { return Err(StartError("peer address ${it.address}: ${it.detail}")) })
        startPeriodicTasks()
        servers.forEach { server ->
            try {
                server.start().await()
            } catch (failure: CompletionException) {
                return Err(StartError("HTTP address: ${failure.cause?.message ?: failure.message}"))
            } catch (failure: java.io.IOException) {
                return Err(StartError("HTTP address: ${failure.message}"))
            }
        }
        log.info("started") {
            field("instance", state.self)
            field("entry", settings.instance.entryAddress)
            field("operator", settings.instance.operatorAddress)
            field("failure_domain", settings.instance.failureDomain)
            field("policy", state.policy.code)
        }
        return Ok(Unit)
    }

    /** Starts a graceful shutdown; has no effect when one has started. */
    suspend fun drain() {
        val started = loop.run {
            if (drain !is DrainState.Serving) return@run false
            val now = clock.now()
            drain = DrainState.begin(
                listsEnd = now + VIEW_PROPAGATION + EntryPointList.VALIDITY,
                prefixesEnd = now + VIEW_PROPAGATION + settings.limits.tokenLifetime,
                hardDeadline = now + settings.limits.drainTimeout,
            )
            true
        }
        if (started) {
            log.info("drain_started") {
                field("hard_deadline_seconds", settings.limits.drainTimeout.inWholeSeconds)
            }
        }
    }

    /** Interrupts a graceful shutdown, so that it finishes immediately. */
    suspend fun interrupt() {
        val done = loop.run {
            drain = drain.interrupt(drainWork())
            drain
        }
        handle(ControlEvent.DrainChanged(done))
    }

    /** Waits until the instance has finished its shutdown and returns the work that it interrupted. */
    suspend fun awaitEnd(): DrainState.Done = drainResult.await()

    override fun close() {
        servers.forEach { it.closeAsync() }
        scope.cancel()
        transport.close()
        clientFactory.closeAsync()
        loop.close()
    }

    private fun entryServer(): Server {
        val builder = serverBuilder(settings.instance.entryAddress)
        EntryServer(entry, settings.limits, scope).addTo(builder)
        return builder.build()
    }

    private fun operatorServer(): Server = serverBuilder(settings.instance.operatorAddress)
        .operatorServices(DaemonOperatorView(state.self, loop, clock, counters, ::drain))
        .build()

    private fun serverBuilder(address: String) = Server.builder()
        .http(InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()))
        .workerGroup(EventLoopGroups.newEventLoopGroup(settings.limits.workerThreads), true)
        .gracefulShutdownTimeoutMillis(0, 0)

    private fun startPeriodicTasks() {
        scope.launch { runTicks() }
        periodically(GOSSIP_INTERVAL) { sendGossip(gossip.nextRound()) }
        periodically(REPORT_INTERVAL) { reporter.report() }
        periodically(SUPERVISION_INTERVAL) { supervisor.runRound() }
        val platform = PlatformClient(settings.platform.address, clientFactory, clock = clock::now)
        scope.launch { platform.watchConfiguration().collect { onUpdate(it) } }
        scope.launch { platform.watchInstances().collect { onUpdate(it) } }
    }

    private suspend fun runTicks() {
        while (true) {
            val (events, interval) = loop.run {
                val now = clock.now()
                if (reporter.isActive) lastWorkAt = now
                reporter.observeSilence(servers, now)
                tableUpdater.tick(now) to tableUpdater.interval(now)
            }
            events.forEach { handle(it) }
            sendCrashReports()
            delay(interval)
        }
    }

    private fun periodically(interval: Duration, action: suspend () -> Unit) {
        scope.launch {
            while (isActive) {
                val startedAt = clock.now()
                action()
                delay(maxOf(interval - (clock.now() - startedAt), Duration.ZERO))
            }
        }
    }

    private suspend fun sendGossip(round: GossipRound) {
        round.targets.forEach { target -> scope.launch { sendGossipTo(target, round) } }
    }

    /** Sends pending crash reports to every peer immediately, before the request can run on another engine. */
    private suspend fun sendCrashReports() {
        gossip.urgentRound()?.let { sendGossip(it) }
    }

    private suspend fun sendGossipTo(target: InstanceAddress, round: GossipRound) {
        val error = transport.request(target, round.message, GOSSIP_TIMEOUT).fold({ null }, { it })
        if (error !is PeerError.Unreachable) return
        loop.run { instances.markUnreachable(target) }.forEach { handle(ControlEvent.Membership(it)) }
    }

    private suspend fun onUpdate(update: ConfigurationUpdate) {
        when (update) {
            is ConfigurationUpdate.Content -> configuration.offer(update.bytes)
            is ConfigurationUpdate.Unchanged -> Unit
            is ConfigurationUpdate.Failed -> log.debug("configuration_read_failed") { field("error", update.error) }
        }
    }

    private suspend fun onUpdate(update: InstanceListUpdate) {
        when (update) {
            is InstanceListUpdate.Content -> loop.run { instances.mergePublished(update.instances) }
            is InstanceListUpdate.Failed -> log.debug("instance_list_read_failed") { field("error", update.error) }
        }
    }

    private suspend fun handle(event: ControlEvent) {
        logEvent(log, event)
        when (event) {
            is ControlEvent.Reservation -> pending.complete(event.decision)
            is ControlEvent.Revision -> handleRevision(event.event)
            is ControlEvent.Membership -> handleMembership(event.event)
            is ControlEvent.DrainChanged -> (event.state as? DrainState.Done)?.let { drainResult.complete(it) }
            is ControlEvent.StateChanged -> broadcastOwnRow()
            is ControlEvent.Straggler, is ControlEvent.TickGap -> Unit
        }
    }

    private suspend fun handleRevision(event: RevisionEvent) {
        when (event) {
            is RevisionEvent.Activated -> counters.countRevisionEvent(CountedRevisionEvent.ACTIVATED)

            is RevisionEvent.Rejected -> counters.countRevisionEvent(CountedRevisionEvent.INVALID)

            is RevisionEvent.StaleRevision -> counters.countRevisionEvent(CountedRevisionEvent.STALE)

            is RevisionEvent.Conflict -> counters.countRevisionEvent(CountedRevisionEvent.CONFLICT)

            is RevisionEvent.ReportChanged -> {
                if (event.report.candidate != null) counters.countRevisionEvent(CountedRevisionEvent.CANDIDATE)
                broadcastOwnRow()
            }

            is RevisionEvent.FetchRequired -> scope.launch { configuration.fetch(event.peer, event.mark, ::fetch) }
        }
    }

    /**
     * Sends the row of this instance to every peer immediately: conflicting contents of a revision must be detected
     * within the activation window, and a draining instance must be removed from every list before it stops serving.
     */
    private suspend fun broadcastOwnRow() {
        val round = gossip.nextRound()
        val peers = loop.run { reachablePeers() }
        sendGossip(round.copy(targets = (round.targets + peers).distinct()))
    }

    private suspend fun fetch(peer: InstanceAddress, request: ConfigurationFetch): ConfigurationContent? =
        transport.request(peer, request, FETCH_TIMEOUT).fold({ it as? ConfigurationContent }, { null })

    private suspend fun handleMembership(event: MembershipEvent) {
        if (event is MembershipEvent.OwnAddressTaken) interrupt()
    }

    private fun stopOnBrokenInvariant(failure: Throwable) {
        log.error("invariant_broken", failure)
        Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT)
    }

    private companion object {
        const val EXIT_BROKEN_INVARIANT = 70
        val GOSSIP_TIMEOUT: Duration = 1.seconds
        val FETCH_TIMEOUT: Duration = 2.seconds

        /** Time within which every reachable peer learns that this instance is draining. */
        val VIEW_PROPAGATION: Duration = 3.seconds
    }
}
