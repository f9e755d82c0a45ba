/*
 * A plain call: its answer is collected whole before it is passed on, so that a broken answer can still be repeated, or
 * reported as a failure.
 */
package org.arbutusnotch.forwarding.exchange

import io.netty.buffer.ByteBuf
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.RunPart
import org.arbutusnotch.forwarding.ServerAnswer
import org.arbutusnotch.forwarding.dispatch.GrantedPlace
import org.arbutusnotch.forwarding.dispatch.PlaceUse
import org.arbutusnotch.forwarding.http.BufferedBody
import org.arbutusnotch.forwarding.http.CallEnd
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.forwarding.http.ServerCall
import org.arbutusnotch.forwarding.http.ServerCallListener
import org.arbutusnotch.forwarding.http.socketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class CallExchange(context: ForwardingContext, request: RoutedRequest, responder: Responder) :
    Exchange(context, request, responder) {
    private var attempt: Attempt? = null
    private var arrivals = 0

    override fun unused(place: GrantedPlace) {
        context.dispatch.release(place, PlacePart.RUN, PlaceUse(PlaceOutcome.UNUSED))
    }

    override fun onPlace(place: GrantedPlace) {
        val started = Attempt(place)
        attempt = started
        started.start()
    }

    override fun stopAttempt() {
        attempt?.stop()
        attempt = null
    }

    /** A call that may run only once runs to its end, so that leaving does not break off a booking. */
    override fun stopForDeparture() {
        if (request.route.kind.idempotent) stopAttempt() else attempt?.abandon()
    }

    private fun onAttemptEnd(ended: Attempt, result: AttemptResult) {
        attempt = null
        if (finished) return
        val repeatable = arrivals < MAXIMUM_ARRIVALS && context.now() < deadlineAt
        when (result) {
            is AttemptResult.Answered -> if (mayRepeat(result) && repeatable) {
                lastFailure = result
                excluded += ended.place.server.id
                ask(repeated = true)
            } else {
                deliver(result.head, result.body)
            }

            is AttemptResult.NotRun -> {
                excluded += ended.place.server.id
                if (repeatable) ask(repeated = result.received) else refuse("servers_full", SHORTEST_RETRY)
            }

            is AttemptResult.Unknown -> {
                excluded += ended.place.server.id
                val again = request.route.kind.idempotent && ranOn.size < request.route.maximumServers && repeatable
                if (again) ask(repeated = true) else endAfterFailure(result.detail)
            }
        }
    }

    private var lastFailure: AttemptResult.Answered? = null

    /** A failure that a server answered is passed on unless another server may still do better. */
    private fun mayRepeat(result: AttemptResult.Answered): Boolean =
        result.head.status >= FIRST_SERVER_ERROR && request.route.kind.idempotent &&
            ranOn.size < request.route.maximumServers

    private fun endAfterFailure(reason: String) {
        val failure = lastFailure
        if (failure != null) deliver(failure.head, failure.body) else fail(OwnAnswers.BAD_GATEWAY, reason)
    }

    override fun onNoPlace(reason: String, retryAfter: Duration) {
        if (lastFailure != null) endAfterFailure(reason) else super.onNoPlace(reason, retryAfter)
    }

    private inner class Attempt(val place: GrantedPlace) : ServerCallListener {
        private val startedAt: Timestamp = context.now()
        private val body = newBody { onGivenUp(it) }
        private var call: ServerCall? = null
        private var head: ResponseHead? = null
        private var facts: ServerAnswer? = null
        private var sent = false
        private var over = false
        private var reported = false
        private var cancelSilence: () -> Unit = {}

        fun start() {
            val remaining = deadlineAt - context.now()
            val head = context.protocol.serverRequest(request.message.head, place.server.id, RunPart.Whole, remaining)
            val started = ServerCall(HttpRequestMessage(head, request.message.body), CONNECT_TIME, this)
            call = started
            started.start(socketAddress(place.server.address), context.group)
        }

        override fun maySend(): Boolean {
            if (!mayReach(place.server) || finished || context.now() >= deadlineAt) return false
            sent = true
            context.counters.arrived("call", repeated = arrivals > 0)
            arrivals += 1
            mayHaveRun = true
            ranOn += place.server.id
            cancelSilence = context.at(context.now() + silenceLimit()) { if (!over) onSilence() }
            return true
        }

        private fun silenceLimit(): Duration = request.route.objective * SILENCE_OBJECTIVES + SILENCE_EXTRA

        /** An idempotent call goes to another server; any other keeps waiting for its answer. */
        private fun onSilence() {
            if (head != null) return
            context.dispatch.reportSilentServer(place, PlacePart.RUN)
            logAttempt(place.server.id, "call", "silent", "no answer yet", startedAt)
            val again = request.route.kind.idempotent && ranOn.size < request.route.maximumServers
            if (!again || finished) return
            over = true
            call?.cancel()
            report(PlaceOutcome.UNUSED)
            onAttemptEnd(this, AttemptResult.Unknown("server_silent"))
        }

        override fun onHead(head: ResponseHead) {
            this.head = head
            facts = readAnswer(place.server, head)
        }

        override fun onContent(content: ByteBuf): Unit = body.add(content)

        private fun onGivenUp(reason: String) {
            if (over) return
            call?.cancel()
            end(AttemptResult.Unknown(reason))
        }

        override fun onEnd(end: CallEnd) {
            if (!over) end(resultOf(end))
        }

        private fun end(result: AttemptResult) {
            over = true
            cancelSilence()
            report(result.outcome)
            logAttempt(place.server.id, "call", result.outcome.name.lowercase(), result.detail, startedAt)
            if (result is AttemptResult.Answered) context.crashes.recordCompletion(request.content)
            val closed = result is AttemptResult.Unknown && result.closedByServer
            noteClosed(closed, place.server) { onAttemptEnd(this, result) }
        }

        private fun resultOf(end: CallEnd): AttemptResult = when (end) {
            is CallEnd.NotSent -> notRun(PlaceOutcome.UNREACHABLE, end.detail, received = false)

            CallEnd.Withheld -> notRun(PlaceOutcome.UNUSED, "server must get no requests", received = false)

            is CallEnd.Broken -> AttemptResult.Unknown(end.detail, end.closedByServer)

            is CallEnd.Complete -> when (val verdict = AnswerVerdict.of(head, facts, request.caller.id)) {
                is AnswerVerdict.Valid -> AttemptResult.Answered(verdict.head, body)
                is AnswerVerdict.NotRun -> notRun(PlaceOutcome.NOT_RUN, verdict.detail, received = true)
                is AnswerVerdict.Invalid -> AttemptResult.Unknown(verdict.detail)
            }
        }

        private fun notRun(outcome: PlaceOutcome, detail: String, received: Boolean): AttemptResult {
            ranOn -= place.server.id
            if (ranOn.isEmpty()) mayHaveRun = false
            return AttemptResult.NotRun(outcome, detail, received)
        }

        private fun report(outcome: PlaceOutcome) {
            if (reported) return
            reported = true
            val use = PlaceUse(
                outcome = outcome,
                elapsed = context.now() - startedAt,
                slowdownPercent = facts?.slowdownPercent ?: 0,
            )
            context.dispatch.release(place, PlacePart.RUN, use)
        }

        /** Ends the connection and returns the place. */
        fun stop() {
            if (over) return
            over = true
            cancelSilence()
            call?.cancel()
            report(PlaceOutcome.UNUSED)
        }

        /** Lets the call run to its end without using its answer. */
        fun abandon() {
            if (!sent) stop()
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** Servers that may receive one request, those that reject it included. */
        const val MAXIMUM_ARRIVALS = 3

        /** Time without an answer, in objectives and beyond, after which a server counts as silent. */
        const val SILENCE_OBJECTIVES = 1.5
        val SILENCE_EXTRA = 100.milliseconds
    }
}

/** Describes the end of one attempt at a server. */
internal sealed class AttemptResult {
    abstract val outcome: PlaceOutcome
    abstract val detail: String

    /** The server answered completely. */
    class Answered(val head: ResponseHead, val body: BufferedBody) : AttemptResult() {
        override val detail: String = "status ${head.status}"
        override val outcome: PlaceOutcome =
            if (head.status >= SERVER_ERROR) PlaceOutcome.SERVER_FAILED else PlaceOutcome.COMPLETED
    }

    /** The request did not run; [received] tells whether the server received it. */
    class NotRun(override val outcome: PlaceOutcome, override val detail: String, val received: Boolean) :
        AttemptResult()

    /** The request may have run; [closedByServer] tells whether the server may have ended under it. */
    class Unknown(override val detail: String, val closedByServer: Boolean = false) : AttemptResult() {
        override val outcome: PlaceOutcome = PlaceOutcome.BROKEN
    }

    private companion object {
        const val SERVER_ERROR = 500
    }
}
