/*
 * Handles a plain call. Its answer is buffered completely before it is forwarded, so that after a broken answer the
 * call can still be retried or reported as failed.
 *
 * An idempotent call whose server is silent is sent to another one, and the first to answer decides. The silent server
 * is not given up, because another one may reject the call or have no place for it.
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
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.forwarding.http.ServerCall
import org.arbutusnotch.forwarding.http.ServerCallListener
import org.arbutusnotch.forwarding.http.socketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class CallExchange(context: ForwardingContext, request: RoutedRequest, responder: Responder) :
    Exchange(context, request, responder) {
    private val attempts = mutableListOf<Attempt>()
    private var isSeekingPlace = false
    private var sendCount = 0

    override fun releaseUnused(place: GrantedPlace) {
        context.dispatch.release(place, PlacePart.RUN, PlaceUse(PlaceOutcome.UNUSED))
    }

    override fun onPlaceGranted(place: GrantedPlace) {
        isSeekingPlace = false
        val started = Attempt(place)
        attempts += started
        started.start()
    }

    override fun stopAttempt() {
        attempts.forEach { it.stop() }
        attempts.clear()
    }

    private fun seekPlace(countsAsRetry: Boolean) {
        isSeekingPlace = true
        requestPlace(countsAsRetry)
    }

    /**
     * A non-idempotent call runs to its end, so that a disconnect of the caller does not interrupt a booking. If its
     * server has not answered by the deadline, it ends as for a caller that waits, and its place becomes free.
     */
    override fun stopAfterDisconnect() {
        if (request.route.kind.idempotent) return stopAttempt()
        attempts.forEach { it.stopUnlessSent() }
        context.schedule(deadlineAt) { stopAttempt() }
    }

    private fun onAttemptEnd(ended: Attempt, result: AttemptResult) {
        attempts -= ended
        if (finished) return
        excluded += ended.place.server.id
        val retryable = sendCount < MAXIMUM_SENDS && context.now() < deadlineAt
        val mayHaveOtherAnswer = hasOtherAttempt || (retryable && mayRunElsewhere())
        when (result) {
            is AttemptResult.Answered -> if (isFailure(result) && mayHaveOtherAnswer) {
                lastFailure = result
                retry(countsAsRetry = true)
            } else {
                deliver(result.head, result.body)
                stopAttempt()
            }

            is AttemptResult.NotRun ->
                if (hasOtherAttempt || retryable) {
                    retry(countsAsRetry = result.received)
                } else {
                    refuse("servers_full", MINIMUM_RETRY_DELAY)
                }

            is AttemptResult.Unknown ->
                if (mayHaveOtherAnswer) {
                    retry(countsAsRetry = true)
                } else {
                    endWithLastFailure(result.detail)
                }
        }
    }

    /** Whether another attempt runs or is sought that may still answer. */
    private val hasOtherAttempt: Boolean
        get() = attempts.isNotEmpty() || isSeekingPlace

    private fun retry(countsAsRetry: Boolean) {
        if (!hasOtherAttempt) seekPlace(countsAsRetry)
    }

    private fun mayRunElsewhere(): Boolean = request.route.kind.idempotent && ranOn.size < request.route.maximumServers

    private var lastFailure: AttemptResult.Answered? = null

    private fun isFailure(answer: AttemptResult.Answered): Boolean = answer.head.status >= LOWEST_SERVER_ERROR_STATUS

    private fun endWithLastFailure(reason: String) {
        val failure = lastFailure
        if (failure != null) deliver(failure.head, failure.body) else fail(LocalResponses.BAD_GATEWAY, reason)
    }

    override fun onPlaceRefused(reason: String, retryAfter: Duration) {
        isSeekingPlace = false
        when {
            attempts.isNotEmpty() -> Unit
            lastFailure != null -> endWithLastFailure(reason)
            else -> super.onPlaceRefused(reason, retryAfter)
        }
    }

    private inner class Attempt(val place: GrantedPlace) : ServerCallListener {
        private val startedAt: Timestamp = context.now()
        private val body = newAnswerBody { onBodyDropped(it) }
        private var call: ServerCall? = null
        private var head: ResponseHead? = null
        private var serverAnswer: ServerAnswer? = null
        private var sent = false
        private var isEnded = false
        private var endedAt: Timestamp? = null
        private var reported = false
        private var cancelSilenceCheck: () -> Unit = {}

        fun start() {
            val remaining = deadlineAt - context.now()
            val head = context.protocol.serverRequest(
                head = request.message.head,
                server = place.server.id,
                part = RunPart.Whole,
                remaining = remaining,
                identity = request.identity,
            )
            val started = newServerCall(head, this)
            call = started
            started.start(socketAddress(place.server.address), context.group)
        }

        override fun maySend(): Boolean {
            if (!maySendTo(place.server) || finished || context.now() >= deadlineAt) return false
            sent = true
            context.metrics.recordArrival("call", repeated = sendCount > 0)
            sendCount += 1
            mayHaveRun = true
            ranOn += place.server.id
            cancelSilenceCheck = context.schedule(context.now() + silenceTimeout()) { if (!isEnded) onSilence() }
            return true
        }

        private fun silenceTimeout(): Duration = request.route.objective * SILENCE_OBJECTIVE_FACTOR + SILENCE_MARGIN

        /** Sends an idempotent call to another server as well; a non-idempotent one waits for its answer alone. */
        private fun onSilence() {
            if (head != null) return
            context.dispatch.reportSilentServer(place, PlacePart.RUN)
            logAttempt(place.server.id, "call", "silent", "no answer yet", startedAt)
            if (finished || !mayRunElsewhere() || sendCount >= MAXIMUM_SENDS) return
            excluded += place.server.id
            if (attempts.size == 1 && !isSeekingPlace) seekPlace(countsAsRetry = true)
        }

        override fun onHead(head: ResponseHead) {
            this.head = head
            serverAnswer = readAnswer(place.server, head)
        }

        override fun onContent(content: ByteBuf): Unit = body.add(content)

        private fun onBodyDropped(reason: String) {
            if (isEnded) return
            call?.cancel()
            end(AttemptResult.Unknown(reason))
        }

        override fun onEnd(end: CallEnd) {
            if (isEnded) return
            endedAt = context.now()
            val endedByClose = end is CallEnd.Complete && end.endedByClose
            val wasReset = { call?.wasResetAfterEnd() ?: false }
            checkUnframedEnd(endedByClose, place.server, startedAt, confirmBy(), wasReset) { known ->
                if (!isEnded) end(if (known == UnframedEnd.INTACT) resultOf(end) else broken(known))
            }
        }

        /** An answer is not held back past the objective; one that is late anyway is held back as long as needed. */
        private fun confirmBy(): Timestamp {
            val inTime = minOf(objectiveAt, deadlineAt) - CONFIRMATION_MARGIN
            return if (context.now() < inTime) inTime else deadlineAt - CONFIRMATION_MARGIN
        }

        private fun end(result: AttemptResult) {
            isEnded = true
            cancelSilenceCheck()
            report(result.outcome)
            logAttempt(place.server.id, "call", result.outcome.name.lowercase(), result.detail, startedAt)
            if (result is AttemptResult.Answered && result.head.status in AnswerValidation.SUCCESS_STATUSES) {
                recordAnswer(place.server, startedAt, endedAt.takeIf { result.endedByClose })
            }
            val closedByServer = result is AttemptResult.Unknown && result.closedByServer
            checkForCrash(closedByServer, place.server, startedAt) { onAttemptEnd(this, result) }
        }

        private fun broken(end: UnframedEnd) =
            AttemptResult.Unknown(end.detail, closedByServer = end == UnframedEnd.RESET)

        private fun resultOf(end: CallEnd): AttemptResult = when (end) {
            is CallEnd.NotSent -> notRun(PlaceOutcome.UNREACHABLE, end.detail, received = false)

            CallEnd.Withheld -> notRun(PlaceOutcome.UNUSED, "request must no longer be sent", received = false)

            is CallEnd.Broken -> AttemptResult.Unknown(end.detail, end.closedByServer)

            is CallEnd.Complete -> when (val validation = AnswerValidation.of(head, serverAnswer, request.caller.id)) {
                is AnswerValidation.Valid -> AttemptResult.Answered(validation.head, body, end.endedByClose)
                is AnswerValidation.NotRun -> notRun(PlaceOutcome.NOT_RUN, validation.detail, received = true)
                is AnswerValidation.Invalid -> AttemptResult.Unknown(validation.detail)
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
                elapsed = (endedAt ?: context.now()) - startedAt,
                slowdownPercent = serverAnswer?.slowdownPercent ?: 0,
            )
            context.dispatch.release(place, PlacePart.RUN, use)
        }

        /** Closes the connection and releases the place. */
        fun stop() {
            if (isEnded) return
            isEnded = true
            cancelSilenceCheck()
            call?.cancel()
            report(PlaceOutcome.UNUSED)
        }

        /** Stops a call that was not sent yet; one that was sent runs to its end, and its answer is discarded. */
        fun stopUnlessSent() {
            if (!sent) stop()
        }
    }

    private companion object {
        const val LOWEST_SERVER_ERROR_STATUS = 500

        /** Number of times that one request may be sent, including to servers that reject it. */
        const val MAXIMUM_SENDS = 3

        /** Time without an answer after which a server counts as silent: a multiple of the objective plus a margin. */
        const val SILENCE_OBJECTIVE_FACTOR = 1.5
        val SILENCE_MARGIN = 100.milliseconds
    }
}

/** Describes how one attempt at a server ended. */
internal sealed class AttemptResult {
    abstract val outcome: PlaceOutcome
    abstract val detail: String

    /** The server answered completely; [endedByClose] tells whether only the end of the connection marks the end. */
    class Answered(val head: ResponseHead, val body: BufferedBody, val endedByClose: Boolean) : AttemptResult() {
        override val detail: String = "status ${head.status}"
        override val outcome: PlaceOutcome =
            if (head.status >= LOWEST_SERVER_ERROR_STATUS) PlaceOutcome.SERVER_FAILED else PlaceOutcome.COMPLETED
    }

    /** The request did not run; [received] tells whether the server received it. */
    class NotRun(override val outcome: PlaceOutcome, override val detail: String, val received: Boolean) :
        AttemptResult()

    /** The request may have run; [closedByServer] tells whether the server closed the connection. */
    class Unknown(override val detail: String, val closedByServer: Boolean = false) : AttemptResult() {
        override val outcome: PlaceOutcome = PlaceOutcome.BROKEN
    }

    private companion object {
        const val LOWEST_SERVER_ERROR_STATUS = 500
    }
}
