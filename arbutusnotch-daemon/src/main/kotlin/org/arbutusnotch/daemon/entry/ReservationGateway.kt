/*
 * Requests reservations from the instance that owns the backend server.
 */
package org.arbutusnotch.daemon.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.membership.SlotOwnership
import org.arbutusnotch.core.message.ReleaseRequest
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ReservationRefusal
import org.arbutusnotch.core.message.ReserveReply
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.message.StreamReport
import org.arbutusnotch.core.routing.RoutingPolicy
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.daemon.control.SlotOwnerService
import org.arbutusnotch.peer.PeerTransport
import org.arbutusnotch.telemetry.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Describes the resource to reserve for an attempt. */
internal data class ResourceRequest(
    val server: BackendServerId,
    val kind: ReservationKind,
    val attempt: AttemptId,
    val priority: Int,
    val work: Int,
    val startDeadline: Timestamp,
    val lastResort: Boolean,
)

/** Describes the result of a reservation request. */
internal sealed class ReservationOutcome {
    /** The owner reserved the resource for the attempt. */
    data class Reserved(val owner: InstanceId) : ReservationOutcome()

    /** The attempt may run without a reservation; the server's own admission control decides. */
    data object Unreserved : ReservationOutcome()

    /** The owner refused the reservation. */
    data class Refused(val refusal: ReservationRefusal, val retryAt: Timestamp) : ReservationOutcome()
}

/** Requests reservations from slot owners and releases them. */
internal class ReservationGateway(
    private val loop: ControlLoop,
    private val clock: Clock,
    private val transport: PeerTransport,
    private val localOwner: SlotOwnerService,
    private val background: CoroutineScope,
) {
    /** Reserves [request]; returns [ReservationOutcome.Unreserved] when the owner is unreachable. */
    suspend fun reserve(request: ResourceRequest): ReservationOutcome {
        val target = loop.run {
            val owner = SlotOwnership.ownerOf(request.server, liveInstances())
            val revision = revisions.active?.mark?.revision ?: RevisionNumber(0)
            servers.recordPlaced(request.server, request.work, clock.now())
            ReservationTarget(self, owner, revision, reservationRequired = policy == RoutingPolicy.Predictive)
        }
        val owner = target.owner
        if (!target.reservationRequired || owner == null) return ReservationOutcome.Unreserved
        val message = ReserveRequest(
            server = request.server,
            kind = request.kind,
            attempt = request.attempt,
            holder = target.self,
            priority = request.priority,
            work = request.work,
            startDeadline = request.startDeadline,
            revision = target.revision,
            lastResort = request.lastResort,
        )
        val reply = if (owner == target.self) localOwner.reserve(message) else requestFrom(owner, message)
        return toOutcome(owner, reply)
    }

    /** Releases the reservation [outcome] of [attempt], which did no work on [server]; does not wait for the owner. */
    fun release(server: BackendServerId, attempt: AttemptId, outcome: ReservationOutcome) {
        if (outcome !is ReservationOutcome.Reserved) return
        background.launch { releaseAt(outcome.owner, ReleaseRequest(server, attempt)) }
    }

    /** Releases the reservation [outcome] of [finished] with its last progress; does not wait for the owner. */
    fun release(finished: RunningAttempt, outcome: ReservationOutcome) {
        if (outcome !is ReservationOutcome.Reserved) return
        background.launch {
            val self = loop.run { self }
            val report = StreamReport(finished.server, self, listOf(finished.takeProgress().copy(finished = true)))
            if (outcome.owner == self) {
                localOwner.report(report)
            } else {
                transport.request(outcome.owner.address, report, RELEASE_TIMEOUT)
            }
        }
    }

    private suspend fun requestFrom(owner: InstanceId, message: ReserveRequest): ReserveReply? {
        val timeout = maxOf(message.startDeadline - clock.now(), Duration.ZERO) + REPLY_MARGIN
        val reply = transport.request(owner.address, message, timeout).fold(success = { it }, failure = { null })
        if (reply == null) background.launch { releaseAt(owner, ReleaseRequest(message.server, message.attempt)) }
        return reply as? ReserveReply
    }

    private suspend fun releaseAt(owner: InstanceId, message: ReleaseRequest) {
        if (owner == loop.run { self }) {
            localOwner.release(message)
        } else {
            transport.request(owner.address, message, RELEASE_TIMEOUT)
        }
    }

    private suspend fun toOutcome(owner: InstanceId, reply: ReserveReply?): ReservationOutcome = when (reply) {
        null -> ReservationOutcome.Unreserved

        is ReserveReply.Granted -> {
            loop.run { servers.merge(reply.summary) }
            ReservationOutcome.Reserved(owner)
        }

        is ReserveReply.Refused -> toOutcome(reply)
    }

    private suspend fun toOutcome(reply: ReserveReply.Refused): ReservationOutcome {
        loop.run { reply.summary?.let(servers::merge) }
        return when (reply.refusal) {
            ReservationRefusal.NOT_OWNER, ReservationRefusal.UNKNOWN_SERVER -> ReservationOutcome.Unreserved
            else -> ReservationOutcome.Refused(reply.refusal, reply.retryAt)
        }
    }

    private data class ReservationTarget(
        val self: InstanceId,
        val owner: InstanceId?,
        val revision: RevisionNumber,
        val reservationRequired: Boolean,
    )

    private companion object {
        /** Time for the reply to arrive when the owner decides at the start deadline. */
        val REPLY_MARGIN: Duration = 150.milliseconds
        val RELEASE_TIMEOUT: Duration = 1.seconds
    }
}
