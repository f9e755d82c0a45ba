/*
 * Asks the dispatcher of a pool for places and reports the places in use.
 *
 * Questions are repeated until they are answered, because datagrams may be lost and a dispatcher may end at any time.
 * A dispatcher that does not answer is passed over for a while; the last one in line is this instance itself, so that
 * an instance that is cut off from all others still serves.
 */
package org.arbutusnotch.forwarding.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.membership.RendezvousHash
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchRelease
import org.arbutusnotch.core.message.DispatchReply
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.HeldPlace
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.message.ServerNotice
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes a request that needs a place.
 *
 * @property repeats arrivals at servers, beyond the first one of the request, that a place causes
 * @property askedBefore whether this is not the first question for the request
 */
internal data class PlaceQuestion(
    val pool: PoolId,
    val work: DispatchWork,
    val priority: Int,
    val objectiveAt: Timestamp,
    val beginBy: Timestamp,
    val deadlineAt: Timestamp,
    val excluded: Set<BackendServerId>,
    val repeats: Int,
    val askedBefore: Boolean,
    val begun: Boolean = false,
)

/** A place that was granted. */
internal data class GrantedPlace(
    val ticket: TicketId,
    val pool: PoolId,
    val server: BackendServer,
    val prefillServer: BackendServer?,
)

/** Answers a [PlaceQuestion]. */
internal sealed interface PlaceAnswer {
    data class Granted(val place: GrantedPlace) : PlaceAnswer

    data class Refused(
        val ticket: TicketId,
        val dispatcher: InstanceAddress,
        val reason: DispatchRefusal,
        val retryAfter: Duration,
    ) : PlaceAnswer
}

/** Describes how a place was used. */
internal data class PlaceUse(
    val outcome: PlaceOutcome,
    val elapsed: Duration = Duration.ZERO,
    val slowdownPercent: Int = 0,
)

/**
 * Holds the questions and places of this instance.
 *
 * @param candidates returns the addresses of the instances that may dispatch, this one included while it serves
 * @param send delivers a message to the instance at an address, this one included
 */
internal class DispatchClient(
    private val self: InstanceId,
    private val domain: FailureDomainId,
    private val registry: ServerRegistry,
    private val candidates: () -> List<InstanceAddress>,
    private val send: (InstanceAddress, PeerMessage) -> Unit,
    private val now: () -> Timestamp,
) {
    private val log = EventLog("dispatch")
    private val pending = LinkedHashMap<TicketId, PendingQuestion>()
    private val held = LinkedHashMap<TicketId, HeldTicket>()
    private val passedOver = HashMap<InstanceAddress, Timestamp>()
    private var tickets = 0L
    private var nextReport = Timestamp(0)

    /** Asks for a place; [onAnswer] may be called before this method returns. */
    fun ask(question: PlaceQuestion, onAnswer: (PlaceAnswer) -> Unit): TicketId {
        tickets += 1
        val ticket = TicketId("$self/$tickets")
        val asked = PendingQuestion(question, onAnswer, dispatcherOf(question.pool))
        pending[ticket] = asked
        send(ticket, asked)
        return ticket
    }

    /** Withdraws a question; nothing happens when it is answered already. */
    fun withdraw(ticket: TicketId) {
        val asked = pending.remove(ticket) ?: return
        send(asked.dispatcher, DispatchRelease(ticket, asked.question.pool))
    }

    /** Returns a part of [place]. */
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
        )
        send(dispatcherOf(place.pool), release)
    }

    /** Reports that the server of [part] has sent nothing for too long; the place stays in use. */
    fun reportSilence(place: GrantedPlace, part: PlacePart) {
        val server = if (part == PlacePart.PREFILL) place.prefillServer else place.server
        if (server == null) return
        val report = DispatchRelease(place.ticket, place.pool, server.id, part, PlaceOutcome.SILENT)
        send(dispatcherOf(place.pool), report)
    }

    /** Tells the dispatcher of its pool that [server] leaves. */
    fun announceLeaving(server: BackendServer) =
        announce(ServerNotice.Leaving(server.pool, server.id, server.startedAt))

    /** Tells the dispatcher of its pool that [server] wants no requests of this instance for [time]. */
    fun announcePause(pool: PoolId, server: BackendServerId, time: Duration) =
        announce(ServerNotice.Pause(pool, server, self, time.inWholeMilliseconds))

    private fun announce(notice: ServerNotice) = send(dispatcherOf(notice.pool), notice)

    fun onReply(reply: DispatchReply, sender: InstanceAddress) {
        passedOver.remove(sender)
        val asked = pending[reply.ticket]
        when (reply) {
            is DispatchReply.Queued -> asked?.noteAnswered(now())
            is DispatchReply.Granted -> if (asked == null) returnUnwanted(reply, sender) else accept(reply, asked)
            is DispatchReply.Refused -> if (asked != null) refuse(reply, asked, sender)
        }
    }

    /** Returns a place that came after its question was withdrawn, or from a second dispatcher. */
    private fun returnUnwanted(reply: DispatchReply.Granted, sender: InstanceAddress) {
        if (held[reply.ticket]?.place?.server?.id == reply.server) return
        val pool = registry.findUsable(reply.server, now())?.pool ?: return
        send(sender, DispatchRelease(reply.ticket, pool, reply.server))
        reply.prefillServer?.let { send(sender, DispatchRelease(reply.ticket, pool, it, PlacePart.PREFILL)) }
    }

    private fun accept(reply: DispatchReply.Granted, asked: PendingQuestion) {
        pending.remove(reply.ticket)
        val server = registry.findUsable(reply.server, now())
        val prefill = reply.prefillServer?.let { registry.findUsable(it, now()) }
        if (server == null || (reply.prefillServer != null && prefill == null)) {
            returnUnusable(reply, asked)
            return
        }
        val place = GrantedPlace(reply.ticket, asked.question.pool, server, prefill)
        val parts = if (prefill == null) mutableSetOf(PlacePart.RUN) else mutableSetOf(PlacePart.RUN, PlacePart.PREFILL)
        held[reply.ticket] = HeldTicket(place, asked.question.work, parts)
        asked.onAnswer(PlaceAnswer.Granted(place))
    }

    /** Asks again when this instance knows that the granted server must get no new work. */
    private fun returnUnusable(reply: DispatchReply.Granted, asked: PendingQuestion) {
        val pool = asked.question.pool
        send(asked.dispatcher, DispatchRelease(reply.ticket, pool, reply.server))
        reply.prefillServer?.let { send(asked.dispatcher, DispatchRelease(reply.ticket, pool, it, PlacePart.PREFILL)) }
        log.info("granted_server_unusable") {
            field("ticket", reply.ticket)
            field("server", reply.server)
            field("prefill_server", reply.prefillServer)
        }
        val unusable = listOfNotNull(reply.server, reply.prefillServer).filter {
            registry.findUsable(it, now()) == null
        }
        // The dispatcher may have missed the notice of a pause.
        unusable.forEach { server ->
            registry.pausedUntil(server, now())?.let { announcePause(pool, server, it - now()) }
        }
        val excluded = asked.question.excluded + unusable
        if (excluded.size > MAXIMUM_EXCLUDED) {
            val refusal = DispatchRefusal.NO_SERVER
            asked.onAnswer(PlaceAnswer.Refused(reply.ticket, self.address, refusal, NO_SERVER_RETRY))
        } else {
            // The dispatcher has counted the request and its repeats with the question before.
            ask(asked.question.copy(excluded = excluded, repeats = 0, askedBefore = true), asked.onAnswer)
        }
    }

    private fun refuse(reply: DispatchReply.Refused, asked: PendingQuestion, sender: InstanceAddress) {
        val knowsBetter = reply.reason == DispatchRefusal.NO_SERVER && sender != self.address &&
            registry.usable(now()).any { it.pool == asked.question.pool && it.id !in asked.question.excluded }
        if (knowsBetter) {
            asked.dispatcher = self.address
            send(reply.ticket, asked)
            return
        }
        pending.remove(reply.ticket)
        asked.onAnswer(PlaceAnswer.Refused(reply.ticket, sender, reply.reason, reply.retryMillis.milliseconds))
    }

    /** Repeats questions and reports the places in use. */
    fun tick(now: Timestamp) {
        passedOver.values.removeIf { it <= now }
        pending.entries.toList().forEach { (ticket, asked) -> if (now >= asked.nextSending) repeat(ticket, asked, now) }
        if (now < nextReport) return
        nextReport = now + REPORT_INTERVAL
        held.values.groupBy { it.place.pool }.forEach { (pool, tickets) ->
            send(dispatcherOf(pool), HeldPlaces(self, pool, tickets.flatMap { it.heldPlaces() }))
        }
    }

    private fun repeat(ticket: TicketId, asked: PendingQuestion, now: Timestamp) {
        // An earlier question of the same round may have been answered at once and ended this one.
        if (pending[ticket] !== asked) return
        if (asked.unanswered >= SENDINGS_WITHOUT_ANSWER && asked.dispatcher != self.address) {
            log.info("dispatcher_silent") {
                field("dispatcher", asked.dispatcher)
                field("ticket", ticket)
            }
            passedOver[asked.dispatcher] = now + PASSED_OVER_TIME
            asked.unanswered = 0
        }
        asked.dispatcher = dispatcherOf(asked.question.pool)
        send(ticket, asked)
    }

    private fun send(ticket: TicketId, asked: PendingQuestion) {
        val now = now()
        val question = asked.question
        asked.unanswered += 1
        asked.nextSending = now + UNANSWERED_INTERVAL
        send(
            asked.dispatcher,
            DispatchRequest(
                ticket = ticket,
                holder = self,
                failureDomain = domain,
                pool = question.pool,
                work = question.work,
                priority = question.priority,
                objectiveMillis = (question.objectiveAt - now).inWholeMilliseconds,
                beginMillis = (question.beginBy - now).inWholeMilliseconds,
                remainingMillis = (question.deadlineAt - now).inWholeMilliseconds,
                excluded = question.excluded.toList(),
                repeats = question.repeats,
                askedBefore = question.askedBefore,
                begun = question.begun,
            ),
        )
    }

    /** Whether this instance dispatches for [pool], by its own view. */
    fun isDispatcher(pool: PoolId): Boolean = candidates().isNotEmpty() && dispatcherOf(pool) == self.address

    private fun dispatcherOf(pool: PoolId): InstanceAddress {
        val line = candidates().filter { it !in passedOver }
        return RendezvousHash.select(pool.value, line) { it.value } ?: self.address
    }

    private class PendingQuestion(
        val question: PlaceQuestion,
        val onAnswer: (PlaceAnswer) -> Unit,
        var dispatcher: InstanceAddress,
    ) {
        var unanswered = 0
        var nextSending = Timestamp(0)

        fun noteAnswered(now: Timestamp) {
            unanswered = 0
            nextSending = now + QUEUED_INTERVAL
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
                if (part == PlacePart.PREFILL) work.promptTokens else work.promptTokens + work.outputTokens
        }
    }

    private companion object {
        /** Time until an unanswered question is sent again: several round trips between failure domains. */
        val UNANSWERED_INTERVAL = 40.milliseconds

        /** Time until a queued question is sent again, so that a new dispatcher learns of it. */
        val QUEUED_INTERVAL = 250.milliseconds

        /** Sendings without any answer after which a dispatcher is passed over. */
        const val SENDINGS_WITHOUT_ANSWER = 3

        /** Time for which a silent dispatcher is passed over; membership notices its end meanwhile. */
        val PASSED_OVER_TIME = 2.seconds

        /** Time between two reports of the places in use. */
        val REPORT_INTERVAL = 300.milliseconds

        /** Servers that one question may exclude before it is refused. */
        const val MAXIMUM_EXCLUDED = 8

        /** Time after which a request without a server may come again: entries return within two seconds. */
        val NO_SERVER_RETRY = 1.seconds
    }
}
