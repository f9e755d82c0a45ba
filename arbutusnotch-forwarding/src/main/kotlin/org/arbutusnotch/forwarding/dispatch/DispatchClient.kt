/*
 * Requests places on backend servers from the dispatcher of a pool and reports the places in use.
 *
 * Requests are resent until they are answered, because datagrams may be lost and a dispatcher may fail at any time.
 * A dispatcher that does not answer is skipped for a while. The last candidate is this instance itself, so that an
 * instance that is partitioned from all others still serves.
 */
package org.arbutusnotch.forwarding.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.LimitObservation
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.membership.DispatchRole
import org.arbutusnotch.core.membership.RendezvousHash
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchReply
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlace
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.LeavingReport
import org.arbutusnotch.core.message.LimitReport
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.message.ServerNotice
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.membership.SilentPeers
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes a caller's request that needs a place.
 *
 * @property objectiveAt time after which the response is late
 * @property startBy time until which the request may wait; it is refused without a place by then
 * @property retries additional attempts, counted against the retry budget, that a place causes
 * @property resubmitted whether a place was already requested with another ticket
 * @property started whether the caller already has a part of the stream, from this answer or from an earlier one
 * @property version software version that began the stream; null for any version
 * @property workspace workspace of the caller's key; null if the request needs none
 * @property route name of the route; null if it is not known
 */
internal data class PlaceRequest(
    val pool: PoolId,
    val work: DispatchWork,
    val priority: Int,
    val objectiveAt: Timestamp,
    val startBy: Timestamp,
    val deadlineAt: Timestamp,
    val excluded: Set<BackendServerId>,
    val retries: Int,
    val resubmitted: Boolean,
    val started: Boolean = false,
    val version: SoftwareVersion? = null,
    val workspace: WorkspaceId? = null,
    val route: String? = null,
) {
    /** Returns whether [server] has the software version that the request needs. */
    fun accepts(server: BackendServer): Boolean = version == null || server.version == version
}

/**
 * Holds a place that the dispatcher granted.
 *
 * @property limited whether the dispatcher counts on a request limit of one of the servers
 */
internal data class GrantedPlace(
    val ticket: TicketId,
    val pool: PoolId,
    val dispatcher: InstanceAddress,
    val server: BackendServer,
    val prefillServer: BackendServer?,
    val limited: Boolean,
)

/** Describes the outcome of a [PlaceRequest]. */
internal sealed interface PlaceReply {
    data class Granted(val place: GrantedPlace) : PlaceReply

    data class Refused(
        val ticket: TicketId,
        val dispatcher: InstanceAddress,
        val reason: DispatchRefusal,
        val retryAfter: Duration,
        val relays: List<InstanceAddress> = emptyList(),
    ) : PlaceReply
}

/** Describes how a place was used. */
internal data class PlaceUse(
    val outcome: PlaceOutcome,
    val elapsed: Duration = Duration.ZERO,
    val slowdownPercent: Int = 0,
)

/**
 * Tracks the pending place requests and the held places of this instance.
 *
 * @param candidates returns the instances that may dispatch, including this one while it serves
 * @param recentlyLost returns the instances that became unreachable recently and may still dispatch for others
 * @param send delivers a message to the instance at an address, which may be this one
 * @param onSilent is called with the address of a dispatcher that does not answer
 */
internal class DispatchClient(
    private val self: InstanceId,
    private val domain: FailureDomainId,
    private val registry: ServerRegistry,
    private val candidates: () -> List<InstanceId>,
    private val recentlyLost: () -> List<InstanceId>,
    private val send: (InstanceAddress, PeerMessage) -> Unit,
    onSilent: (InstanceAddress) -> Unit = {},
    private val now: () -> Timestamp,
) {
    private val log = EventLog("dispatch")
    private val pending = LinkedHashMap<TicketId, PendingRequest>()
    private val held = LinkedHashMap<TicketId, HeldTicket>()
    private val silentPeers = SilentPeers(self.address, onSilent)
    private var ticketCount = 0L
    private var nextReportAt = Timestamp(0)

    /** Dispatchers that were sent everything that the servers of their pool have announced. */
    private val informedDispatchers = HashMap<PoolId, InstanceId>()

    /** Requests a place; [onResult] may be called before this method returns. */
    fun requestPlace(request: PlaceRequest, onResult: (PlaceReply) -> Unit): TicketId {
        ticketCount += 1
        val ticket = TicketId("$self/$ticketCount")
        val submitted = PendingRequest(request, onResult, dispatcherOf(request.pool))
        pending[ticket] = submitted
        send(ticket, submitted)
        return ticket
    }

    /** Cancels a place request; has no effect when it is already answered. */
    fun cancel(ticket: TicketId) {
        val cancelled = pending.remove(ticket) ?: return
        send(cancelled.dispatcher, DispatchRelease(ticket, cancelled.request.pool))
    }

    /** Releases [part] of [place] and reports how it was used. */
    fun release(place: GrantedPlace, part: PlacePart, use: PlaceUse) {
        val server = if (part == PlacePart.PREFILL) place.prefillServer else place.server
        val ticket = held[place.ticket]
        if (server == null || ticket == null || !ticket.parts.remove(part)) return
        if (ticket.parts.isEmpty()) held.remove(place.ticket)
        val release = DispatchRelease(
            ticket = place.ticket,
            pool = place.pool,
            server = server.id,
            part = part,
            outcome = use.outcome,
            elapsedMillis = use.elapsed.inWholeMilliseconds,
            slowdownPercent = use.slowdownPercent,
            limit = registry.limitOf(server)?.takeIf { place.limited || it.perSecond != null }?.report(),
        )
        send(dispatcherOf(place.pool), release)
    }

    private fun LimitObservation.report() =
        LimitReport(server, startedAt, perSecond, ageMillis = (now() - observedAt).inWholeMilliseconds)

    /** Reports that the server of [part] has sent nothing for too long; the place remains held. */
    fun reportSilentServer(place: GrantedPlace, part: PlacePart) {
        val server = if (part == PlacePart.PREFILL) place.prefillServer else place.server
        if (server == null) return
        val report = DispatchRelease(place.ticket, place.pool, server.id, part, PlaceOutcome.SILENT)
        send(dispatcherOf(place.pool), report)
    }

    /** Notifies the dispatcher of its pool that [server] is shutting down. */
    fun announceLeaving(server: BackendServer) =
        sendNotice(ServerNotice.Leaving(server.pool, server.id, server.startedAt))

    /** Notifies the dispatcher of [pool] that [server] accepts no requests from this instance for [duration]. */
    fun announcePause(pool: PoolId, server: BackendServerId, duration: Duration) =
        sendNotice(ServerNotice.Pause(pool, server, self, duration.inWholeMilliseconds))

    /** Notifies the dispatcher of the pool of [server] that its request limit has changed to that of [observation]. */
    fun announceLimit(server: BackendServer, observation: LimitObservation) =
        sendNotice(ServerNotice.Limit(server.pool, observation.report()))

    private fun sendNotice(notice: ServerNotice) = send(dispatcherOf(notice.pool), notice)

    fun onReply(reply: DispatchReply, sender: InstanceAddress) {
        silentPeers.recordReply(sender, now())
        val submitted = pending[reply.ticket]
        when (reply) {
            is DispatchReply.Queued -> submitted?.onQueued(now())

            is DispatchReply.Granted ->
                if (submitted == null) releaseUnrequested(reply, sender) else accept(reply, submitted, sender)

            is DispatchReply.Refused -> if (submitted != null) refuse(reply, submitted, sender)
        }
    }

    /** Releases a place that was granted after its request was cancelled, or by a second dispatcher. */
    private fun releaseUnrequested(reply: DispatchReply.Granted, sender: InstanceAddress) {
        if (held[reply.ticket]?.place?.server?.id == reply.server) return
        val pool = registry.findUsable(reply.server, now())?.pool ?: return
        send(sender, DispatchRelease(reply.ticket, pool, reply.server))
        reply.prefillServer?.let { send(sender, DispatchRelease(reply.ticket, pool, it, PlacePart.PREFILL)) }
    }

    private fun accept(reply: DispatchReply.Granted, submitted: PendingRequest, sender: InstanceAddress) {
        pending.remove(reply.ticket)
        val server = findUsable(reply.server, submitted.request)
        val prefill = reply.prefillServer?.let { findUsable(it, submitted.request) }
        val prefillIsUsable = reply.prefillServer == null || (prefill != null && prefill.version == server?.version)
        if (server == null || !prefillIsUsable) {
            replaceUnusable(reply, submitted)
            return
        }
        val place = GrantedPlace(reply.ticket, submitted.request.pool, sender, server, prefill, reply.limited)
        val parts = if (prefill == null) mutableSetOf(PlacePart.RUN) else mutableSetOf(PlacePart.RUN, PlacePart.PREFILL)
        held[reply.ticket] = HeldTicket(place, submitted.request.work, parts)
        submitted.onResult(PlaceReply.Granted(place))
    }

    private fun findUsable(id: BackendServerId, request: PlaceRequest): BackendServer? =
        registry.findUsable(id, now())?.takeIf { request.accepts(it) }

    /**
     * Requests another place when this instance knows that a granted server must get no new work, or that its version
     * cannot do the work. A dispatcher with an older view of the servers, or of an earlier release, grants such places.
     */
    private fun replaceUnusable(reply: DispatchReply.Granted, submitted: PendingRequest) {
        val pool = submitted.request.pool
        send(submitted.dispatcher, DispatchRelease(reply.ticket, pool, reply.server))
        reply.prefillServer?.let {
            send(submitted.dispatcher, DispatchRelease(reply.ticket, pool, it, PlacePart.PREFILL))
        }
        log.info("granted_server_unusable") {
            field("ticket", reply.ticket)
            field("server", reply.server)
            field("prefill_server", reply.prefillServer)
        }
        val unusable = listOfNotNull(reply.server, reply.prefillServer).filter {
            findUsable(it, submitted.request) ==
                null
        }
            .ifEmpty { listOfNotNull(reply.prefillServer) }
        // The dispatcher may have missed the pause notice, which is sent as a datagram.
        unusable.forEach { server ->
            registry.pausedUntil(server, now())?.let { announcePause(pool, server, it - now()) }
        }
        val excluded = submitted.request.excluded + unusable
        if (excluded.size > MAXIMUM_EXCLUDED_SERVERS) {
            val refusal = DispatchRefusal.NO_SERVER
            submitted.onResult(PlaceReply.Refused(reply.ticket, self.address, refusal, NO_SERVER_RETRY_DELAY))
        } else {
            // The dispatcher counted the request and its retries with the previous place request.
            val request = submitted.request.copy(excluded = excluded, retries = 0, resubmitted = true)
            requestPlace(request, submitted.onResult)
        }
    }

    private fun refuse(reply: DispatchReply.Refused, submitted: PendingRequest, sender: InstanceAddress) {
        val hasUsableServer = reply.reason == DispatchRefusal.NO_SERVER && sender != self.address &&
            registry.usable(now()).any {
                it.pool == submitted.request.pool && it.id !in submitted.request.excluded &&
                    submitted.request.accepts(it)
            }
        if (hasUsableServer) {
            submitted.dispatcher = self.address
            send(reply.ticket, submitted)
            return
        }
        pending.remove(reply.ticket)
        val retryAfter = reply.retryMillis.milliseconds
        submitted.onResult(PlaceReply.Refused(reply.ticket, sender, reply.reason, retryAfter, reply.relays))
    }

    /** Resends unanswered place requests and reports the places in use. */
    fun tick(now: Timestamp) {
        silentPeers.tick(now)
        pending.entries.toList().forEach { (ticket, submitted) ->
            if (now >= submitted.nextSendAt) resend(ticket, submitted, now)
        }
        if (now < nextReportAt) return
        nextReportAt = now + REPORT_INTERVAL
        informNewDispatchers(now)
        held.values.groupBy { it.place.pool }.forEach { (pool, tickets) ->
            send(dispatcherOf(pool), HeldPlaces(self, pool, tickets.flatMap { it.heldPlaces() }))
        }
    }

    /** Sends each dispatcher that is new or has restarted what the servers of its pool have announced. */
    private fun informNewDispatchers(now: Timestamp) {
        registry.poolsWithAnnouncements(now).forEach { pool ->
            val dispatcher = dispatcherInstance(pool)
            if (informedDispatchers.put(pool, dispatcher) == dispatcher) return@forEach
            reportedLimits(pool, now).forEach { send(dispatcher.address, ServerNotice.Limit(pool, it)) }
            reportedLeaving(pool, now)
                .forEach { send(dispatcher.address, ServerNotice.Leaving(pool, it.server, it.startedAt)) }
        }
    }

    private fun reportedLimits(pool: PoolId, now: Timestamp): List<LimitReport> =
        registry.limits(pool, now).take(MAXIMUM_REPORTED_LIMITS).map { it.report() }

    private fun reportedLeaving(pool: PoolId, now: Timestamp): List<LeavingReport> =
        registry.leavingDespiteEntry(pool, now).take(MAXIMUM_REPORTED_LEAVING)
            .map { LeavingReport(it.id, it.startedAt) }

    private fun resend(ticket: TicketId, submitted: PendingRequest, now: Timestamp) {
        // An earlier request of the same tick may have been answered synchronously and ended this one.
        if (pending[ticket] !== submitted) return
        // A second dispatcher beside one that is only busy would grant the same places.
        if (silentPeers.isSilent(submitted.dispatcher, submitted.unansweredSends, now)) {
            log.info("dispatcher_silent") {
                field("dispatcher", submitted.dispatcher)
                field("ticket", ticket)
            }
            silentPeers.skip(submitted.dispatcher, now)
            submitted.unansweredSends = 0
        }
        submitted.dispatcher = dispatcherOf(submitted.request.pool)
        send(ticket, submitted)
    }

    private fun send(ticket: TicketId, submitted: PendingRequest) {
        val now = now()
        val request = submitted.request
        submitted.unansweredSends += 1
        submitted.nextSendAt = now + SilentPeers.RESEND_INTERVAL
        send(
            submitted.dispatcher,
            DispatchRequest(
                ticket = ticket,
                holder = self,
                failureDomain = domain,
                pool = request.pool,
                work = request.work,
                priority = request.priority,
                objectiveMillis = (request.objectiveAt - now).inWholeMilliseconds,
                beginMillis = (request.startBy - now).inWholeMilliseconds,
                remainingMillis = (request.deadlineAt - now).inWholeMilliseconds,
                excluded = request.excluded.toList(),
                repeats = request.retries,
                askedBefore = request.resubmitted,
                begun = request.started,
                limits = reportedLimits(request.pool, now),
                leaving = reportedLeaving(request.pool, now),
                version = request.version,
                workspace = request.workspace,
                route = request.route,
            ),
        )
    }

    /** Returns how this instance takes part in dispatching [pool] in its own membership view. */
    fun roleIn(pool: PoolId): DispatchRole = when {
        !isDispatcher(pool) -> DispatchRole.Substitute
        preferred(pool, candidates() + recentlyLost()).address == self.address -> DispatchRole.Dispatcher
        else -> DispatchRole.Successor
    }

    /** Whether this instance is the dispatcher of [pool] in its own membership view. */
    fun isDispatcher(pool: PoolId): Boolean = candidates().isNotEmpty() && dispatcherOf(pool) == self.address

    /** Returns the instance to which this one sends its requests for [pool]. */
    fun dispatcherOf(pool: PoolId): InstanceAddress = dispatcherInstance(pool).address

    private fun dispatcherInstance(pool: PoolId): InstanceId =
        preferred(pool, candidates().filter { it.address !in silentPeers.skipped })

    private fun preferred(pool: PoolId, instances: List<InstanceId>): InstanceId =
        RendezvousHash.select(pool.value, instances) { it.address.value } ?: self

    private class PendingRequest(
        val request: PlaceRequest,
        val onResult: (PlaceReply) -> Unit,
        var dispatcher: InstanceAddress,
    ) {
        var unansweredSends = 0
        var nextSendAt = Timestamp(0)

        fun onQueued(now: Timestamp) {
            unansweredSends = 0
            nextSendAt = now + QUEUED_RESEND_INTERVAL
        }
    }

    private class HeldTicket(val place: GrantedPlace, val work: DispatchWork, val parts: MutableSet<PlacePart>) {
        fun heldPlaces(): List<HeldPlace> = parts.map { part ->
            val server = if (part == PlacePart.PREFILL) place.prefillServer ?: place.server else place.server
            HeldPlace(place.ticket, server.id, part, tokensOf(part))
        }

        private fun tokensOf(part: PlacePart): Int = when (work) {
            is DispatchWork.Call -> 0

            is DispatchWork.Generation ->
                if (part == PlacePart.PREFILL) work.promptTokens else work.promptTokens + work.expectedOutputTokens
        }
    }

    private companion object {
        /** Time until a queued request is resent, so that a new dispatcher learns of it. */
        val QUEUED_RESEND_INTERVAL = 250.milliseconds

        /** Time between two reports of the places in use. */
        val REPORT_INTERVAL = 300.milliseconds

        /** Request limits that a place request reports at most, so that it fits into a datagram. */
        const val MAXIMUM_REPORTED_LIMITS = 128

        /** Leaving servers that a place request reports at most; a grant of any other one is replaced by another. */
        const val MAXIMUM_REPORTED_LEAVING = 32

        /** Servers that a request may exclude before it is refused. */
        const val MAXIMUM_EXCLUDED_SERVERS = 8

        /** Retry delay for a request without a usable server: store entries reappear within two seconds. */
        val NO_SERVER_RETRY_DELAY = 1.seconds
    }
}
