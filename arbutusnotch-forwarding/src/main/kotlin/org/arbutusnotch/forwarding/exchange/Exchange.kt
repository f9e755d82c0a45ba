/*
 * Handles one request of a caller, from its arrival to its final answer.
 *
 * A non-idempotent request is reported as not run only if no byte of it was sent, or if each server that received it
 * stated that it did not run it. Otherwise it ends with the server's answer or with an unknown outcome.
 */
package org.arbutusnotch.forwarding.exchange

import io.netty.buffer.ByteBuf
import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.RouteKind
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.quarantine.Suspects
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.forwarding.CallerIdentity
import org.arbutusnotch.forwarding.CallerRequest
import org.arbutusnotch.forwarding.ServerAnswer
import org.arbutusnotch.forwarding.dispatch.GrantedPlace
import org.arbutusnotch.forwarding.dispatch.PlaceReply
import org.arbutusnotch.forwarding.dispatch.PlaceRequest
import org.arbutusnotch.forwarding.http.BufferedBody
import org.arbutusnotch.forwarding.http.CallEnd
import org.arbutusnotch.forwarding.http.DisconnectListener
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHead
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.forwarding.http.ServerCall
import org.arbutusnotch.forwarding.http.ServerCallListener
import org.arbutusnotch.forwarding.http.socketAddress
import org.arbutusnotch.forwarding.quarantine.ClosedRun
import org.arbutusnotch.telemetry.EventFields
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Holds a request together with its route.
 *
 * @property suspects what the request has in common with others that may crash servers
 * @property relayed whether another instance, which reaches no server, has passed the request on
 * @property workspace workspace of the caller's key; null if the request needs none
 * @property hasWorkspaces whether the deployment has workspaces, so that servers must not receive the caller's key
 */
internal class RoutedRequest(
    val message: HttpRequestMessage,
    val suspects: Suspects,
    val caller: CallerRequest,
    val route: Route,
    val pool: PoolId,
    val work: DispatchWork,
    val relayed: Boolean = false,
    val workspace: Workspace? = null,
    val hasWorkspaces: Boolean = false,
) {
    /** What servers learn of the caller in place of its key; null if they receive the key. */
    val identity: CallerIdentity?
        get() = if (hasWorkspaces) CallerIdentity(workspace?.id) else null
}

internal abstract class Exchange(
    protected val context: ForwardingContext,
    protected val request: RoutedRequest,
    protected val responder: Responder,
) : DisconnectListener {
    protected val log: EventLog = EventLog("exchange")
    protected val receivedAt: Timestamp = context.now()

    /** Time of the final answer at the latest; a shutdown of this instance brings it forward. */
    protected var deadlineAt: Timestamp =
        receivedAt + minOf(request.caller.remaining ?: request.route.timeLimit, request.route.timeLimit)
        private set
    private val callerDeadlineAt: Timestamp = deadlineAt
    protected val objectiveAt: Timestamp = receivedAt + request.route.objective

    /** Time without progress after which the caller disconnects. */
    protected val callerTimeout: Duration = request.route.callerTimeout(deadlineAt - receivedAt)

    /** Time by which a server must start the request. */
    protected open val startBy: Timestamp = receivedAt + request.route.waitingTime(deadlineAt - receivedAt)
    private var ticket: TicketId? = null

    /** Number of the latest request for a place; a reply to an earlier one comes too late. */
    private var placeRequestNumber = 0
    private var placeRequested = false
    private var cancelDeadline: () -> Unit = {}
    private var cancelStartCheck: () -> Unit = {}

    /** Latest prediction by which a shutdown let the request run; null before a shutdown. */
    private var shutdownPrediction: DurationPrediction? = null
    private var stopObservingShutdown: () -> Unit = {}
    private var stopObservingQuarantine: () -> Unit = {}

    /** Pool whose servers run the request. */
    protected open val pool: PoolId
        get() = request.pool

    /** Work that the request currently needs from a backend server. */
    protected open val work: DispatchWork
        get() = request.work

    /** Software version that must run the request, since it has written a part of the answer; null for any version. */
    protected open val requiredVersion: SoftwareVersion? = null

    /** Whether a server may have run the request. */
    protected var mayHaveRun: Boolean = false

    /** Servers that may have run the request. */
    protected val ranOn: MutableSet<BackendServerId> = linkedSetOf()

    /** Servers to which the request must not be sent again. */
    protected val excluded: MutableSet<BackendServerId> = linkedSetOf()

    /** Whether part of the answer was sent; the rest of it then takes precedence over new requests. */
    protected var responseStarted: Boolean = false

    protected var finished: Boolean = false
        private set

    private var relay: Relay? = null
    private val admission = QuotaAdmission(context.quotas, request)

    /** Answers that are buffered in memory. */
    private val bodies = mutableListOf<BufferedBody>()

    fun start() {
        if (request.relayed) context.relays.recordStart()
        cancelDeadline = context.schedule(deadlineAt) { if (!finished) onDeadline() }
        stopObservingQuarantine = context.crashReporter.onQuarantine { refuseWaitingIfQuarantined() }
        stopObservingShutdown = context.shutdownNotice.observe { onShutdown(it) }
        if (finished) stopObservingShutdown() else admission.request(::beginIfOpen, ::refuseExceeded)
    }

    private fun beginIfOpen() {
        if (!finished) begin()
    }

    private fun refuseExceeded(retryAfter: Duration?) =
        refuse(QuotaAdmission.QUOTA_EXCEEDED, retryAfter, LocalResponses.TOO_MANY_REQUESTS)

    /** Starts the first attempt. */
    protected open fun begin(): Unit = requestPlace(countsAsRetry = false)

    /** Ends the request before the end of the shutdown at the latest, or refuses it at once. */
    private fun onShutdown(schedule: ShutdownSchedule) {
        if (finished || deadlineAt <= schedule.answerBy) return
        deadlineAt = schedule.answerBy
        cancelDeadline()
        cancelDeadline = context.schedule(deadlineAt) { if (!finished) onDeadline() }
        refuseIfTooLate()
    }

    /**
     * Refuses the request if no server has it when it could no longer end before the shutdown does, so that its caller
     * can turn to another instance at once. Checks again at the latest time at which it must be sent, and at the time
     * from which an estimate of its length no longer counts.
     */
    private fun refuseIfTooLate() {
        if (finished || deadlineAt >= callerDeadlineAt) return
        cancelStartCheck()
        // The prediction that let a request run is kept for the logs.
        if (mayHaveRun && shutdownPrediction != null) return
        val now = context.now()
        val prediction = predictDuration()
        if (prediction.basis != shutdownPrediction?.basis) logShortened(prediction, now)
        shutdownPrediction = prediction
        val latestStart = deadlineAt - (prediction.duration ?: (callerDeadlineAt - now))
        when {
            mayHaveRun -> Unit

            now >= latestStart -> {
                stopAttempt()
                refuse("shutting_down", context.shutdownNotice.retryAfter(now))
            }

            else -> {
                val estimatesEndAt = context.shutdownNotice.schedule?.estimatesEndAt?.takeIf { it > now }
                val checkAt = minOf(latestStart, estimatesEndAt ?: latestStart)
                cancelStartCheck = context.schedule(checkAt) { refuseIfTooLate() }
            }
        }
    }

    private fun logShortened(prediction: DurationPrediction, now: Timestamp) = log.info("request_shortened") {
        field("request", request.caller.id)
        describe(prediction)
        field("left_millis", (deadlineAt - now).inWholeMilliseconds)
        field("may_have_run", mayHaveRun)
    }

    /** Adds what the shutdown expected of the request by [prediction], and what its declared maximum says. */
    private fun EventFields.describe(prediction: DurationPrediction) {
        field("predicted_by", prediction.basis)
        prediction.duration?.let { field("expected_millis", it.inWholeMilliseconds) }
        longestDuration?.let { field("longest_millis", it.inWholeMilliseconds) }
        field("expected_tokens", request.caller.outputLength.expected)
        field("maximum_tokens", request.caller.outputLength.maximum)
    }

    /** Predicts the time from sending the request to its final answer. */
    protected open fun predictDuration(): DurationPrediction =
        DurationPrediction.ByRoute(context.routeDurations.expected(request.route))

    /** Longest time that the request can take by its declared maximum; null when that is not known. */
    protected open val longestDuration: Duration? = null

    /**
     * Requests a place; [countsAsRetry] tells whether a server received the request under its last place. A quarantined
     * request gets no place.
     */
    protected fun requestPlace(countsAsRetry: Boolean) {
        // A server that rejected the request may have kept it beyond the latest time at which it must be sent.
        refuseIfTooLate()
        if (finished) return
        val remainingQuarantine = context.crashReporter.remainingQuarantine(request.suspects)
        if (remainingQuarantine != null) {
            onPlaceRefused(QUARANTINED, remainingQuarantine)
            return
        }
        val placeRequest = PlaceRequest(
            pool = pool,
            work = work,
            priority = request.workspace?.priority ?: request.route.priority,
            objectiveAt = objectiveAt,
            startBy = startBy,
            deadlineAt = deadlineAt,
            excluded = excluded.toSet(),
            retries = retryCost(countsAsRetry),
            resubmitted = placeRequested,
            started = responseStarted || requiredVersion != null,
            version = requiredVersion,
            workspace = request.workspace?.id,
            route = request.route.name,
        )
        placeRequested = true
        placeRequestNumber += 1
        val number = placeRequestNumber
        var repliedImmediately = false
        val newTicket = context.dispatch.requestPlace(placeRequest) { reply ->
            if (number == placeRequestNumber) {
                ticket = null
                repliedImmediately = true
                onPlaceReply(reply)
            } else if (reply is PlaceReply.Granted) {
                releaseUnused(reply.place)
            }
        }
        if (!repliedImmediately) ticket = newTicket
    }

    /** Withdraws the request for a place if it is not answered yet. */
    protected fun cancelPlaceRequest() {
        ticket?.let { context.dispatch.cancel(it) }
        ticket = null
        // A place that turned out to be unusable was requested again under another ticket.
        placeRequestNumber += 1
    }

    /** Refuses the request at once if it waits for a place that it will not be allowed to use. */
    private fun refuseWaitingIfQuarantined() {
        if (ticket == null) return
        val remainingQuarantine = context.crashReporter.remainingQuarantine(request.suspects) ?: return
        cancelPlaceRequest()
        onPlaceRefused(QUARANTINED, remainingQuarantine)
    }

    /** Returns the number of retries that the next place causes; [countsAsRetry] as for [requestPlace]. */
    protected open fun retryCost(countsAsRetry: Boolean): Int = if (countsAsRetry) 1 else 0

    private fun onPlaceReply(reply: PlaceReply) {
        when (reply) {
            is PlaceReply.Granted -> {
                logPlace(reply.place)
                if (finished) releaseUnused(reply.place) else onPlaceGranted(reply.place)
            }

            is PlaceReply.Refused -> {
                logRefusal(reply)
                if (!finished && !relayThrough(reply.relays)) onPlaceRefused(reply.reason.code(), reply.retryAfter)
            }
        }
    }

    /**
     * Has the first of [peers] that serves handle the request, and returns whether there is one. A request that a
     * server may have run, or that was relayed already, is not passed on.
     */
    private fun relayThrough(peers: List<InstanceAddress>): Boolean {
        if (mayHaveRun || responseStarted || request.relayed) return false
        val peer = peers.firstOrNull { context.relays.addressOf(it) != null } ?: return false
        val started = Relay(peer, others = peers - peer)
        relay = started
        admission.giveBack()
        started.start(context.relays.addressOf(peer) ?: return false)
        return true
    }

    /** Passes the request to [peer] and its answer on to the caller. */
    private inner class Relay(private val peer: InstanceAddress, private val others: List<InstanceAddress>) :
        ServerCallListener {
        private val body = newAnswerBody { onBodyDropped(it) }
        private var call: ServerCall? = null
        private var head: ResponseHead? = null

        fun start(address: String) {
            log.info("request_relayed") {
                field("request", request.caller.id)
                field("peer", peer)
                field("address", address)
            }
            val head = context.protocol.relayedRequest(request.message.head, deadlineAt - context.now())
            val marked = head.copy(headers = listOf(HeaderField(RelayedRequests.HEADER, peer.value)) + head.headers)
            val started = newServerCall(marked, this)
            call = started
            started.start(socketAddress(address), context.group)
        }

        override fun maySend(): Boolean {
            if (finished || context.now() >= deadlineAt) return false
            mayHaveRun = true
            return true
        }

        override fun onHead(head: ResponseHead) {
            this.head = head
            val isStream =
                request.route.kind is RouteKind.Generation && head.status in AnswerValidation.SUCCESS_STATUSES
            if (!isStream) return
            responseStarted = true
            responder.onWritable = { call?.setReading(true) }
            responder.startStreaming(LocalResponses.forwarded(head))
        }

        override fun onContent(content: ByteBuf) {
            if (!responseStarted) return body.add(content)
            responder.sendContent(content)
            if (!responder.isWritable) call?.setReading(false)
        }

        private fun onBodyDropped(reason: String) {
            call?.cancel()
            fail(LocalResponses.BAD_GATEWAY, reason)
        }

        override fun onEnd(end: CallEnd) {
            if (finished) return
            val answer = head
            when {
                end is CallEnd.NotSent -> tryNextPeer(end.detail)
                end == CallEnd.Withheld -> refuse("deadline", MINIMUM_RETRY_DELAY)
                end is CallEnd.Complete && !end.endedByClose && answer != null -> passOn(answer)
                responseStarted -> abort(AnswerEnd.SERVER, "relay: $end")
                else -> fail(LocalResponses.BAD_GATEWAY, "relay: $end")
            }
        }

        private fun tryNextPeer(detail: String) {
            log.info("peer_unreachable") {
                field("request", request.caller.id)
                field("peer", peer)
                field("detail", detail)
            }
            if (!relayThrough(others)) refuse("peers_unreachable", MINIMUM_RETRY_DELAY)
        }

        private fun passOn(answer: ResponseHead) {
            if (!responseStarted) return deliver(answer, body)
            finishAnswered(answer)
            responder.end()
        }

        fun cancel() {
            call?.cancel()
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
            field("dispatcher", place.dispatcher)
            field("pool", place.pool)
            field("server", place.server.id)
            field("version", place.server.version)
            field("prefill_server", place.prefillServer?.id)
            field("prefill_version", place.prefillServer?.version)
            field("waited_millis", (context.now() - receivedAt).inWholeMilliseconds)
        }
    }

    /** Releases both parts of a place that is not used. */
    protected abstract fun releaseUnused(place: GrantedPlace)

    /** Sends the request to the servers of [place]. */
    protected abstract fun onPlaceGranted(place: GrantedPlace)

    /** Returns whether the request may still be sent to [server]; called immediately before sending. */
    protected fun maySendTo(server: BackendServer): Boolean =
        context.registry.findUsable(server.id, context.now()) != null &&
            context.crashReporter.remainingQuarantine(request.suspects) == null

    /** Ends the request, whose place was refused for [reason]. */
    protected open fun onPlaceRefused(reason: String, retryAfter: Duration) {
        if (mayHaveRun) fail(LocalResponses.BAD_GATEWAY, reason) else refuse(reason, retryAfter)
    }

    /** Ends the request when its deadline has passed. */
    protected open fun onDeadline() {
        stopAttempt()
        if (mayHaveRun) fail(LocalResponses.GATEWAY_TIMEOUT, "deadline") else refuse("deadline", MINIMUM_RETRY_DELAY)
    }

    override fun onDisconnect() {
        if (finished) return
        if (responseStarted) logIncompleteAnswer(AnswerEnd.CALLER, "")
        finish("caller_left", "")
        stopAfterDisconnect()
        // An attempt may go on for long, but nothing is sent again, and the memory of the connection is free now.
        request.message.body.discard()
    }

    /** Stops the current attempt. */
    protected abstract fun stopAttempt()

    /** Stops the current attempt after the caller has disconnected. */
    protected open fun stopAfterDisconnect(): Unit = stopAttempt()

    /**
     * Answers with [status] that the request did not run and will not; the caller may retry after [retryAfter], or in
     * vain if that is null.
     */
    protected fun refuse(reason: String, retryAfter: Duration?, status: Int = LocalResponses.SERVICE_UNAVAILABLE) {
        if (finished) return
        finish("refused", reason)
        responder.send(LocalResponses.refusal(reason, retryAfter, status), ByteArray(0))
    }

    /** Breaks off the answer, of which a part was sent. */
    protected fun abort(end: AnswerEnd, reason: String) {
        if (finished) return
        logIncompleteAnswer(end, reason)
        finish("broken", reason)
        responder.abort()
    }

    /** Time of the latest progress of the answer; null before the first one. */
    protected open val latestProgressAt: Timestamp? = null

    /** Servers at which an attempt runs now. */
    protected open val runningAt: List<BackendServerId> = emptyList()

    private fun logIncompleteAnswer(end: AnswerEnd, reason: String) {
        val now = context.now()
        log.info("answer_incomplete") {
            field("request", request.caller.id)
            field("ended_by", end.code())
            field("reason", reason)
            field("received_millis", (now - receivedAt).inWholeMilliseconds)
            latestProgressAt?.let { field("progress_millis", (now - it).inWholeMilliseconds) }
            context.shutdownNotice.schedule?.let { field("stopping_millis", (now - it.beganAt).inWholeMilliseconds) }
            shutdownPrediction?.let { describe(it) }
            field("running", runningAt.joinToString(","))
            field("left_millis", (deadlineAt - now).inWholeMilliseconds)
        }
    }

    /** Answers that it is unknown whether the request ran. */
    protected fun fail(status: Int, reason: String) {
        if (finished) return
        finish("unknown", reason)
        responder.send(LocalResponses.failure(status, reason), ByteArray(0))
    }

    /** Forwards a complete answer of a server; its memory is released once the caller has received it. */
    protected fun deliver(head: ResponseHead, body: BufferedBody) {
        if (finished) return
        val bytes = body.bytes()
        bodies -= body
        finishAnswered(head)
        body.onAborted = { responder.dropUnwritten() }
        responder.send(LocalResponses.forwarded(head), bytes, onWritten = { body.discard() })
    }

    /** Returns a call that sends [head] with the body of the request; it is not started. */
    protected fun newServerCall(head: RequestHead, listener: ServerCallListener): ServerCall {
        val message = HttpRequestMessage(head, request.message.body)
        return ServerCall(message, CONNECT_TIMEOUT, context.answerBufferBudget, listener)
    }

    /** Returns an empty body for an answer; [onDropped] is called if it grows too large or its memory is reclaimed. */
    protected fun newAnswerBody(onDropped: (String) -> Unit): BufferedBody =
        BufferedBody(MAXIMUM_COLLECTED_BYTES, context.answerBufferBudget, onDropped).also { bodies += it }

    /** Ends the exchange with the complete answer of a server that has [head]. */
    protected fun finishAnswered(head: ResponseHead) {
        recordDuration(context.now() - receivedAt)
        finish("answered", head.status.toString())
    }

    /** Records that the request was answered after [elapsed], to predict others. */
    protected open fun recordDuration(elapsed: Duration): Unit =
        context.routeDurations.record(request.route.name, elapsed)

    /** Ends the exchange; its final answer was sent or is sent by the calling function. */
    protected fun finish(outcome: String, reason: String) {
        if (finished) return
        finished = true
        cancelDeadline()
        cancelStartCheck()
        stopObservingQuarantine()
        stopObservingShutdown()
        bodies.forEach { it.discard() }
        relay?.cancel()
        if (request.relayed) context.relays.recordEnd()
        cancelPlaceRequest()
        if (!mayHaveRun) admission.giveBack()
        val elapsed = context.now() - receivedAt
        context.metrics.recordRequest(outcome, reason, elapsed)
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

    /** Parses the [head] of an answer of [server] and handles the announcements in it. */
    protected fun readAnswer(server: BackendServer, head: ResponseHead): ServerAnswer {
        val answer = context.protocol.readAnswer(head)
        context.announcementHandler.handle(server, answer, request.caller.id)
        return answer
    }

    /**
     * Calls [onKnown] once [server], to which the request was sent at [begunAt], was probed for a crash; at once unless
     * [closedByServer].
     */
    protected fun checkForCrash(
        closedByServer: Boolean,
        server: BackendServer,
        begunAt: Timestamp,
        onKnown: () -> Unit,
    ) {
        if (closedByServer) {
            context.crashReporter.onConnectionClosed(closedRun(server, begunAt), onKnown)
        } else {
            onKnown()
        }
    }

    /**
     * Calls [onKnown] with how [server], to which the request was sent at [begunAt], ended its answer, at the latest at
     * [confirmBy]; at once unless only the end of the connection marked its end, as a crash does too.
     *
     * @param wasReset returns whether the server has reset the connection since its end
     */
    protected fun checkUnframedEnd(
        endedByClose: Boolean,
        server: BackendServer,
        begunAt: Timestamp,
        confirmBy: Timestamp,
        wasReset: () -> Boolean,
        onKnown: (UnframedEnd) -> Unit,
    ) {
        if (!endedByClose) return onKnown(UnframedEnd.INTACT)
        val run = closedRun(server, begunAt)
        context.crashReporter.onUnframedEnd(run, confirmBy) { crashed ->
            val isReset = wasReset()
            log.info("unframed_end_checked") {
                field("request", request.caller.id)
                field("server", server.id)
                field("crashed", crashed)
                field("reset", isReset)
                field("checked_millis", (context.now() - run.closedAt).inWholeMilliseconds)
            }
            onKnown(
                when {
                    crashed -> UnframedEnd.CRASHED
                    isReset -> UnframedEnd.RESET
                    else -> UnframedEnd.INTACT
                },
            )
        }
    }

    /**
     * Records a complete successful answer of [server] to the request that was sent at [begunAt]; [unframedEndAt] is
     * the time at which its connection ended if only that marks its end.
     */
    protected fun recordAnswer(server: BackendServer, begunAt: Timestamp, unframedEndAt: Timestamp?) {
        if (unframedEndAt != null) {
            context.crashReporter.onUnframedAnswer(closedRun(server, begunAt, unframedEndAt))
        } else {
            context.crashReporter.recordAnswer(request.suspects, begunAt)
        }
    }

    /** Describes the run that was sent to [server] at [begunAt] and whose connection was closed at [closedAt]. */
    private fun closedRun(server: BackendServer, begunAt: Timestamp, closedAt: Timestamp = context.now()) =
        ClosedRun(request.caller.id, request.suspects, server, begunAt, closedAt)

    protected fun logAttempt(
        server: BackendServerId,
        part: String,
        outcome: String,
        detail: String,
        startedAt: Timestamp,
    ) {
        context.metrics.recordAttempt(outcome)
        log.info("attempt_ended") {
            field("request", request.caller.id)
            field("server", server)
            field("part", part)
            field("outcome", outcome)
            field("detail", detail)
            field("elapsed_millis", (context.now() - startedAt).inWholeMilliseconds)
        }
    }

    protected companion object {
        /** Refusal reason of a request that crashed servers. */
        const val QUARANTINED: String = "quarantined"

        /** Maximum size in bytes of a buffered answer: the same as that of a request. */
        const val MAXIMUM_COLLECTED_BYTES: Int = 4 * 1_024 * 1_024

        /** Timeout for connecting to a backend server: many round trips, but less than a retransmitted SYN takes. */
        val CONNECT_TIMEOUT: Duration = 400.milliseconds

        /** Time that an answer needs to reach its caller in time once its end is known. */
        val CONFIRMATION_MARGIN: Duration = 50.milliseconds

        /** Minimum time after which the caller may retry a refused request. */
        val MINIMUM_RETRY_DELAY: Duration = 300.milliseconds
    }
}

internal fun DispatchRefusal.code(): String = name.lowercase()
