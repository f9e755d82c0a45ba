/*
 * One request of a caller, from its arrival to its final answer.
 *
 * A request that may run only once is told as not run while no byte of it was sent, or when each server that received
 * it stated so. After that it ends with the server's answer or as unknown.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.RouteKind
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.CallerRequest
import org.arbutusnotch.forwarding.ServerAnswer
import org.arbutusnotch.forwarding.dispatch.GrantedPlace
import org.arbutusnotch.forwarding.dispatch.PlaceReply
import org.arbutusnotch.forwarding.dispatch.PlaceRequest
import org.arbutusnotch.forwarding.http.BufferedBody
import org.arbutusnotch.forwarding.http.DisconnectListener
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Describes a request with its route.
 *
 * @property content what other attempts at the same request have in common with this one
 */
internal class RoutedRequest(
    val message: HttpRequestMessage,
    val content: ContentDigest,
    val caller: CallerRequest,
    val route: Route,
    val pool: PoolId,
    val work: DispatchWork,
)

internal abstract class Exchange(
    protected val context: ForwardingContext,
    protected val request: RoutedRequest,
    protected val responder: Responder,
) : DisconnectListener {
    protected val log: EventLog = EventLog("exchange")
    protected val receivedAt: Timestamp = context.now()
    protected val deadlineAt: Timestamp =
        receivedAt + minOf(request.caller.remaining ?: request.route.timeLimit, request.route.timeLimit)
    private val objectiveAt: Timestamp = receivedAt + request.route.objective

    /** Time without progress after which the caller leaves. */
    protected val patience: Duration = when (val kind = request.route.kind) {
        is RouteKind.Generation -> kind.eventTimeout
        RouteKind.IdempotentCall, RouteKind.NonIdempotentCall -> deadlineAt - receivedAt
    }

    /** Time by which a server must begin to work. */
    protected open val beginBy: Timestamp = receivedAt + minOf(deadlineAt - receivedAt, patience) * WAITING_SHARE
    private var ticket: TicketId? = null
    private var asked = false
    private var cancelDeadline: () -> Unit = {}

    /** What the request needs of a backend server now. */
    protected open val work: DispatchWork
        get() = request.work

    /** Whether a server may have run the request. */
    protected var mayHaveRun: Boolean = false

    /** Servers that may have run the request. */
    protected val ranOn: MutableSet<BackendServerId> = linkedSetOf()

    /** Servers to which the request must not go again. */
    protected val excluded: MutableSet<BackendServerId> = linkedSetOf()

    /** Whether a part of the answer was passed on; what is left is then wanted before anything that has not begun. */
    protected var begun: Boolean = false

    protected var finished: Boolean = false
        private set

    /** Answers that are kept in memory. */
    private val bodies = mutableListOf<BufferedBody>()

    fun start() {
        cancelDeadline = context.at(deadlineAt) { if (!finished) onDeadline() }
        ask(repeated = false)
    }

    /**
     * Asks for a place; [repeated] tells whether the last place ended with a server that received the request. One that
     * ends servers gets none.
     */
    protected fun ask(repeated: Boolean) {
        val refusedFor = context.crashes.remainingQuarantine(request.content)
        if (refusedFor != null) {
            onNoPlace(QUARANTINED, refusedFor)
            return
        }
        val question = PlaceRequest(
            pool = request.pool,
            work = work,
            priority = request.route.priority,
            objectiveAt = objectiveAt,
            startBy = beginBy,
            deadlineAt = deadlineAt,
            excluded = excluded.toSet(),
            retries = repeatsOf(repeated),
            resubmitted = asked,
            started = begun,
        )
        asked = true
        var answeredAtOnce = false
        val questionTicket = context.dispatch.requestPlace(question) { answer ->
            ticket = null
            answeredAtOnce = true
            onAnswer(answer)
        }
        if (!answeredAtOnce) ticket = questionTicket
    }

    /** Returns the arrivals beyond the first that the next place causes; [repeated] as for [ask]. */
    protected open fun repeatsOf(repeated: Boolean): Int = if (repeated) 1 else 0

    private fun onAnswer(answer: PlaceReply) {
        when (answer) {
            is PlaceReply.Granted -> {
                logPlace(answer.place)
                if (finished) unused(answer.place) else onPlace(answer.place)
            }

            is PlaceReply.Refused -> {
                logRefusal(answer)
                if (!finished) onNoPlace(answer.reason.code(), answer.retryAfter)
            }
        }
    }

    private fun logRefusal(refusal: PlaceReply.Refused) {
        log.info("place_refused") {
            field("request", request.caller.id)
            field("ticket", refusal.ticket)
            field("dispatcher", refusal.dispatcher)
            field("reason", refusal.reason.code())
            field("retry_millis", refusal.retryAfter.inWholeMilliseconds)
        }
    }

    private fun logPlace(place: GrantedPlace) {
        log.info("place_granted") {
            field("request", request.caller.id)
            field("ticket", place.ticket)
            field("pool", place.pool)
            field("server", place.server.id)
            field("prefill_server", place.prefillServer?.id)
            field("waited_millis", (context.now() - receivedAt).inWholeMilliseconds)
        }
    }

    /** Returns both parts of a place that is not used. */
    protected abstract fun unused(place: GrantedPlace)

    /** Sends the request to the servers of [place]. */
    protected abstract fun onPlace(place: GrantedPlace)

    /** Decides immediately before the request is sent to [server] whether it still may be. */
    protected fun mayReach(server: BackendServer): Boolean =
        context.registry.findUsable(server.id, context.now()) != null &&
            context.crashes.remainingQuarantine(request.content) == null

    /** Ends the request, which gets no place for [reason]. */
    protected open fun onNoPlace(reason: String, retryAfter: Duration) {
        if (mayHaveRun) fail(OwnAnswers.BAD_GATEWAY, reason) else refuse(reason, retryAfter)
    }

    /** Ends the request at its deadline. */
    protected open fun onDeadline() {
        stopAttempt()
        if (mayHaveRun) fail(OwnAnswers.GATEWAY_TIMEOUT, "deadline") else refuse("deadline", SHORTEST_RETRY)
    }

    override fun onDisconnect() {
        if (finished) return
        finish("caller_left", "")
        stopForDeparture()
    }

    /** Stops whatever runs for the request. */
    protected abstract fun stopAttempt()

    /** Stops what runs when the caller has left. */
    protected open fun stopForDeparture(): Unit = stopAttempt()

    /** Answers that the request has not run and will not; the caller may come again after [retryAfter]. */
    protected fun refuse(reason: String, retryAfter: Duration) {
        if (finished) return
        finish("refused", reason)
        responder.send(OwnAnswers.refusal(reason, retryAfter), ByteArray(0))
    }

    /** Answers that it is not known whether the request has run. */
    protected fun fail(status: Int, reason: String) {
        if (finished) return
        finish("unknown", reason)
        responder.send(OwnAnswers.failure(status, reason), ByteArray(0))
    }

    /** Passes on a complete answer of a server; its memory is free when the caller has taken it. */
    protected fun deliver(head: ResponseHead, body: BufferedBody) {
        if (finished) return
        val bytes = body.bytes()
        bodies -= body
        finish("answered", head.status.toString())
        responder.send(OwnAnswers.passedOn(head), bytes, onWritten = { body.discard() })
    }

    /** Returns an empty body for an answer; [onGivenUp] is called if it grows too large. */
    protected fun newBody(onGivenUp: (String) -> Unit): BufferedBody =
        BufferedBody(MAXIMUM_COLLECTED_BYTES, context.answerMemory, onGivenUp).also { bodies += it }

    /** Ends the exchange, which has sent its final answer or is about to. */
    protected fun finish(outcome: String, reason: String) {
        if (finished) return
        finished = true
        cancelDeadline()
        bodies.forEach { it.discard() }
        ticket?.let { context.dispatch.cancel(it) }
        val elapsed = context.now() - receivedAt
        context.counters.ended(outcome, reason, elapsed)
        log.info("request_ended") {
            field("request", request.caller.id)
            field("route", request.route.name)
            field("outcome", outcome)
            field("reason", reason)
            field("may_have_run", mayHaveRun)
            field("servers", ranOn.joinToString(","))
            field("elapsed_millis", elapsed.inWholeMilliseconds)
            field("left_millis", (deadlineAt - context.now()).inWholeMilliseconds)
        }
    }

    /** Returns what the [head] of an answer of [server] says, and acts on what the server says of itself. */
    protected fun readAnswer(server: BackendServer, head: ResponseHead): ServerAnswer {
        val facts = context.protocol.readAnswer(head)
        context.announcements.read(server, facts, request.caller.id)
        return facts
    }

    /** Calls [onKnown] when it is known whether [server] has ended, if [closed] tells that it closed its connection. */
    protected fun noteClosed(closed: Boolean, server: BackendServer, onKnown: () -> Unit) {
        if (closed) {
            context.crashes.onConnectionClosed(request.content, server, request.caller.id, onKnown)
        } else {
            onKnown()
        }
    }

    protected fun logAttempt(server: BackendServerId, part: String, outcome: String, detail: String, since: Timestamp) {
        context.counters.attempted(outcome)
        log.info("attempt_ended") {
            field("request", request.caller.id)
            field("server", server)
            field("part", part)
            field("outcome", outcome)
            field("detail", detail)
            field("elapsed_millis", (context.now() - since).inWholeMilliseconds)
        }
    }

    protected companion object {
        /** Reason of the refusal of a request under which servers ended. */
        const val QUARANTINED: String = "quarantined"

        /** Bytes of one answer that are kept in memory before it is passed on: as many as callers may send. */
        const val MAXIMUM_COLLECTED_BYTES: Int = 4 * 1_024 * 1_024

        /** Time to connect to a backend server: many round trips, and less than a repeated opening packet takes. */
        val CONNECT_TIME: Duration = 400.milliseconds

        /**
         * Share of a caller's patience for which its request may wait. A refusal later than that leaves the caller no
         * time to come again.
         */
        const val WAITING_SHARE: Double = 0.7

        /** Shortest time after which a refused request may come again. */
        val SHORTEST_RETRY: Duration = 300.milliseconds
    }
}

internal fun DispatchRefusal.code(): String = name.lowercase()
