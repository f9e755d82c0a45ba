/*
 * A generation: one server reads the prompt, another one fetches the memory and streams the events.
 *
 * The decode server's place is held before the prompt is read, since the memory of a prompt is kept for less than a
 * second. When no prefill server answers, the decode server reads the prompt itself.
 */
package org.arbutusnotch.forwarding.exchange

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import io.netty.buffer.ByteBuf
import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.BufferedAnswer
import org.arbutusnotch.core.forwarding.StreamProgress
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.RunPart
import org.arbutusnotch.forwarding.ServerAnswer
import org.arbutusnotch.forwarding.dispatch.GrantedPlace
import org.arbutusnotch.forwarding.dispatch.PlaceUse
import org.arbutusnotch.forwarding.http.BufferedBody
import org.arbutusnotch.forwarding.http.BufferedCall
import org.arbutusnotch.forwarding.http.CallEnd
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.HttpResponseMessage
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead
import org.arbutusnotch.forwarding.http.ServerCall
import org.arbutusnotch.forwarding.http.ServerCallListener
import org.arbutusnotch.forwarding.http.socketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class GenerationExchange(context: ForwardingContext, request: RoutedRequest, responder: Responder) :
    Exchange(context, request, responder) {
    private var place: GrantedPlace? = null
    private var prefill: BufferedCall? = null
    private var run: Run? = null
    private var arrivals = 0

    /** Number of servers to which the prompt was sent to be read. */
    private var readings = 0

    /** Time of the latest event that was passed on, or of the request while there is none. */
    private var latestEventAt: Timestamp = receivedAt

    /** A stream that has begun is wanted again before its caller, who has seen its latest event, leaves. */
    override val beginBy: Timestamp
        get() = if (begun) minOf(deadlineAt, latestEventAt + patience * WAITING_SHARE) else super.beginBy

    /** Whether the decode server is to read the prompt itself. */
    private var direct = false

    override val work: DispatchWork
        get() = (request.work as? DispatchWork.Generation)?.copy(direct = direct) ?: request.work
    private val resumable = request.route.kind.idempotent
    private val relay = EventRelay(wholeEvents = resumable)

    /**
     * Time without an event after which a stream has stalled. Its caller leaves then; another server that continues
     * the stream must send its first event before.
     */
    private val pauseLimit: Duration = patience * if (resumable) WAITING_SHARE else 1.0

    /** A prompt that was read and whose memory was not taken yet. */
    private var openHandle: RunPart.Decode? = null

    override fun unused(place: GrantedPlace) = release(place, PlaceOutcome.UNUSED)

    private fun release(place: GrantedPlace, outcome: PlaceOutcome) {
        context.dispatch.release(place, PlacePart.PREFILL, PlaceUse(outcome))
        context.dispatch.release(place, PlacePart.RUN, PlaceUse(outcome))
    }

    override fun onPlace(place: GrantedPlace) {
        this.place = place
        if (place.prefillServer == null) startRun(place, RunPart.Whole) else startPrefill(place)
    }

    private fun startPrefill(place: GrantedPlace) {
        val server = place.prefillServer ?: return
        val startedAt = context.now()
        val remaining = deadlineAt - startedAt
        val head = context.protocol.serverRequest(
            head = request.message.head,
            server = server.id,
            part = RunPart.Prefill,
            remaining = remaining,
            resumeAfter = relay.lastIdentifier,
        )
        val call = BufferedCall(
            request = HttpRequestMessage(head, request.message.body),
            connectTimeout = CONNECT_TIME,
            responseTimeout = minOf(remaining, PREFILL_TIME + PREFILL_TIME_PER_TOKEN * request.caller.promptTokens),
            memory = context.answerMemory,
            maximumBytes = MAXIMUM_PREFILL_ANSWER,
            maySend = { mayRead(server) },
        ) { result ->
            val closed = (result.getError() as? CallEnd.Broken)?.closedByServer ?: false
            noteClosed(closed, server) { afterReading(result, place, startedAt) }
        }
        prefill = call
        call.start(socketAddress(server.address), context.group)
    }

    private fun afterReading(result: Result<HttpResponseMessage, CallEnd>, place: GrantedPlace, startedAt: Timestamp) {
        prefill = null
        if (finished) return
        val handle = result.fold(
            success = { readHandle(it, place, startedAt) },
            failure = { notPrefilled(it, place, startedAt) },
        )
        startRun(place, handle ?: RunPart.Whole)
    }

    /** A prompt that has been read may be read again only as an arrival of its own. */
    override fun repeatsOf(repeated: Boolean): Int {
        val reading = if (readings > 0 && !direct) 1 else 0
        return super.repeatsOf(repeated) + reading
    }

    private fun mayRead(server: BackendServer): Boolean {
        if (!mayReach(server)) return false
        context.counters.arrived("prefill", repeated = readings > 0)
        readings += 1
        return true
    }

    private fun readHandle(response: HttpResponseMessage, place: GrantedPlace, startedAt: Timestamp): RunPart.Decode? {
        val server = place.prefillServer ?: return null
        val facts = readAnswer(server, response.head)
        val handle = if (response.head.status == OK) context.protocol.readPrefillHandle(response.body) else null
        val outcome = when {
            handle != null -> PlaceOutcome.COMPLETED
            facts.notRun -> PlaceOutcome.NOT_RUN
            else -> PlaceOutcome.SERVER_FAILED
        }
        endPrefill(place, outcome, "status ${response.head.status}", startedAt, facts.slowdownPercent)
        return handle?.let { RunPart.Decode(server.address, it) }?.also { openHandle = it }
    }

    private fun notPrefilled(end: CallEnd, place: GrantedPlace, startedAt: Timestamp): RunPart.Decode? {
        when (end) {
            is CallEnd.NotSent -> endPrefill(place, PlaceOutcome.UNREACHABLE, end.detail, startedAt, 0)

            CallEnd.Withheld -> endPrefill(place, PlaceOutcome.UNUSED, "server must get no requests", startedAt, 0)

            is CallEnd.Broken -> {
                context.dispatch.reportSilentServer(place, PlacePart.PREFILL)
                endPrefill(place, PlaceOutcome.BROKEN, end.detail, startedAt, 0)
            }

            is CallEnd.Complete -> Unit
        }
        return null
    }

    private fun endPrefill(
        place: GrantedPlace,
        outcome: PlaceOutcome,
        detail: String,
        startedAt: Timestamp,
        slowdownPercent: Int,
    ) {
        val server = place.prefillServer ?: return
        val use = PlaceUse(outcome, elapsed = context.now() - startedAt, slowdownPercent = slowdownPercent)
        context.dispatch.release(place, PlacePart.PREFILL, use)
        logAttempt(server.id, "prefill", outcome.name.lowercase(), detail, startedAt)
    }

    private fun startRun(place: GrantedPlace, part: RunPart) {
        val started = Run(place, part)
        run = started
        started.start()
    }

    override fun stopAttempt() {
        prefill?.cancel()
        prefill = null
        run?.stop()
        run = null
        place?.let { release(it, PlaceOutcome.UNUSED) }
        freeHandle()
    }

    /** Frees the memory of a prompt that nobody will fetch. */
    private fun freeHandle() {
        val handle = openHandle ?: return
        val server = place?.prefillServer ?: return
        openHandle = null
        val free = context.protocol.freeHandle(server.id, handle.handle)
        // A server that wants no requests lets the memory lapse by itself.
        val mayFree = { context.registry.pausedUntil(server.id, context.now()) == null }
        BufferedCall(free, CONNECT_TIME, FREE_TIME, context.answerMemory, maySend = mayFree) { result ->
            result.fold(
                success = {},
                failure = { end ->
                    log.info("handle_not_freed") {
                        field("server", server.id)
                        field("detail", end)
                    }
                },
            )
        }.start(socketAddress(server.address), context.group)
    }

    override fun onDeadline() {
        if (!begun) return super.onDeadline()
        stopAttempt()
        breakOff("deadline")
    }

    override fun onNoPlace(reason: String, retryAfter: Duration) {
        if (begun) breakOff(reason) else super.onNoPlace(reason, retryAfter)
    }

    /** Ends a stream that has begun and cannot go on. */
    private fun breakOff(reason: String) {
        if (finished) return
        finish("broken", reason)
        responder.abort()
    }

    private fun onRunEnd(ended: Run, end: RunEnd) {
        run = null
        when (end) {
            is RunEnd.Completed -> completed(end)
            is RunEnd.NotRun -> afterNotRun(ended, end)
            is RunEnd.Broken -> afterBreak(ended, end)
        }
    }

    private fun completed(end: RunEnd.Completed) {
        when {
            !begun -> deliver(end.head, end.body)

            end.head.status !in AnswerVerdict.SUCCESS -> breakOff("status ${end.head.status}")

            else -> {
                finish("answered", end.head.status.toString())
                responder.sendContent(relay.rest())
                responder.end()
            }
        }
    }

    private fun afterNotRun(ended: Run, end: RunEnd.NotRun) {
        if (finished) return
        // The memory of the prompt was not taken over: it lapsed, or the server has no room for it.
        if (ended.part is RunPart.Decode && end.received) direct = true
        when {
            arrivals < MAXIMUM_ARRIVALS && context.now() < deadlineAt -> {
                release(ended.place, end.outcome)
                freeHandle()
                if (!end.received) excluded += ended.place.server.id
                ask(repeated = end.received)
            }

            else -> {
                release(ended.place, end.outcome)
                freeHandle()
                if (begun) breakOff("servers_full") else refuse("servers_full", SHORTEST_RETRY)
            }
        }
    }

    private fun afterBreak(ended: Run, end: RunEnd.Broken) {
        release(ended.place, PlaceOutcome.BROKEN)
        excluded += ended.place.server.id
        val again = resumable && ranOn.size < request.route.maximumServers && arrivals < MAXIMUM_ARRIVALS
        when {
            finished -> Unit

            again -> {
                relay.dropIncomplete()
                ask(repeated = true)
            }

            begun -> breakOff(end.detail)

            else -> fail(OwnAnswers.BAD_GATEWAY, end.detail)
        }
    }

    private inner class Run(val place: GrantedPlace, val part: RunPart) : ServerCallListener {
        private val startedAt: Timestamp = context.now()
        private val body = newBody { giveUp(it) }
        private var call: ServerCall? = null
        private var head: ResponseHead? = null
        private var facts: ServerAnswer? = null
        private var first: Duration = Duration.ZERO
        private var over = false
        private var cancelSilence: () -> Unit = {}
        private var cancelWatch: () -> Unit = {}
        private var progress = StreamProgress(pauseLimit, startedAt)

        private val server = place.server

        fun start() {
            val remaining = deadlineAt - startedAt
            val head = context.protocol.serverRequest(
                head = request.message.head,
                server = server.id,
                part = part,
                remaining = remaining,
                resumeAfter = relay.lastIdentifier,
            )
            val started = ServerCall(HttpRequestMessage(head, request.message.body), CONNECT_TIME, this)
            call = started
            started.start(socketAddress(server.address), context.group)
        }

        override fun maySend(): Boolean {
            if (!mayReach(server) || finished || context.now() >= deadlineAt) return false
            context.counters.arrived("run", repeated = arrivals > 0)
            arrivals += 1
            mayHaveRun = true
            ranOn += server.id
            cancelSilence = context.at(context.now() + request.route.objective + SILENCE_EXTRA) { onSilence() }
            return true
        }

        /** A resumable generation goes to another server; any other keeps waiting. */
        private fun onSilence() {
            if (over || head != null) return
            logAttempt(server.id, "run", "silent", "no answer yet", startedAt)
            val again = resumable && ranOn.size < request.route.maximumServers
            context.dispatch.reportSilentServer(place, PlacePart.RUN)
            if (!again) return
            stop()
            onRunEnd(this, RunEnd.Broken("server_silent"))
        }

        override fun onHead(head: ResponseHead) {
            this.head = head
            facts = readAnswer(place.server, head)
            progress = StreamProgress(pauseLimit, startedAt = context.now())
            if (streams) watchProgress()
            if (facts?.notRun != true) openHandle = null
        }

        private val streams: Boolean
            get() = head?.status in AnswerVerdict.SUCCESS && facts?.sealed == true &&
                facts?.requestId == request.caller.id

        override fun onContent(content: ByteBuf) {
            val received = head
            if (!streams || received == null) {
                body.add(content)
                return
            }
            if (first == Duration.ZERO) first = context.now() - startedAt
            if (!begun) begin(received)
            val events = relay.events
            responder.sendContent(relay.pass(content))
            if (relay.events > events) noteEvent()
            if (!context.answerMemory.resize(keptEvent, relay.keptBytes)) return giveUp("no memory for an event")
            if (relay.isTooLarge) return giveUp("event of more than ${EventRelay.MAXIMUM_EVENT_BYTES} bytes")
            if (!responder.isWritable) pauseReading()
        }

        private fun noteEvent() {
            latestEventAt = context.now()
            progress.recordEvent(latestEventAt)
        }

        private val keptEvent = BufferedAnswer { giveUp("no memory for an event") }

        /** Ends an answer that cannot be kept. */
        private fun giveUp(reason: String) {
            if (over) return
            call?.cancel()
            end(RunEnd.Broken(reason))
        }

        private fun pauseReading() {
            progress.pause()
            call?.setReading(false)
        }

        private fun resumeReading() {
            progress.resume(context.now())
            call?.setReading(true)
        }

        private fun watchProgress() {
            cancelWatch = context.at(progress.nextCheckAt(context.now())) {
                when {
                    over -> Unit
                    progress.isStalled(context.now()) -> giveUp("no event for ${pauseLimit.inWholeMilliseconds} ms")
                    else -> watchProgress()
                }
            }
        }

        private fun begin(received: ResponseHead) {
            begun = true
            responder.onWritable = { resumeReading() }
            val length = if (resumable) null else received.header("content-length")?.toLongOrNull()
            responder.startStreaming(OwnAnswers.passedOn(received), length)
        }

        override fun onEnd(end: CallEnd) {
            if (!over) end(resultOf(end))
        }

        private fun end(result: RunEnd) {
            over = true
            cancelSilence()
            cancelWatch()
            context.answerMemory.release(keptEvent)
            val outcome = outcomeOf(result)
            logAttempt(server.id, "run", outcome.name.lowercase(), result.detail, startedAt)
            if (result is RunEnd.Completed) {
                context.crashes.recordCompletion(request.content)
                val elapsed = context.now() - startedAt
                val use = PlaceUse(outcome, elapsed, facts?.slowdownPercent ?: 0)
                context.dispatch.release(place, PlacePart.RUN, use)
            }
            val closed = result is RunEnd.Broken && result.closedByServer
            noteClosed(closed, server) { onRunEnd(this, result) }
        }

        private fun outcomeOf(result: RunEnd): PlaceOutcome = when (result) {
            is RunEnd.Completed ->
                if (result.head.status in AnswerVerdict.SUCCESS) PlaceOutcome.COMPLETED else PlaceOutcome.SERVER_FAILED

            is RunEnd.NotRun -> result.outcome

            is RunEnd.Broken -> PlaceOutcome.BROKEN
        }

        private fun resultOf(end: CallEnd): RunEnd = when (end) {
            is CallEnd.NotSent -> notRun(PlaceOutcome.UNREACHABLE, end.detail, received = false)

            CallEnd.Withheld -> notRun(PlaceOutcome.UNUSED, "server must get no requests", received = false)

            is CallEnd.Broken -> RunEnd.Broken(end.detail, end.closedByServer)

            is CallEnd.Complete -> when (val verdict = AnswerVerdict.of(head, facts, request.caller.id)) {
                is AnswerVerdict.Valid -> RunEnd.Completed(verdict.head, body, describe(verdict.head))
                is AnswerVerdict.NotRun -> notRun(PlaceOutcome.NOT_RUN, verdict.detail, received = true)
                is AnswerVerdict.Invalid -> RunEnd.Broken(verdict.detail)
            }
        }

        private fun describe(head: ResponseHead) =
            "status ${head.status}, first event after ${first.inWholeMilliseconds} ms, ${relay.events} events"

        private fun notRun(outcome: PlaceOutcome, detail: String, received: Boolean): RunEnd {
            ranOn -= server.id
            if (ranOn.isEmpty()) mayHaveRun = false
            return RunEnd.NotRun(outcome, detail, received)
        }

        fun stop() {
            over = true
            cancelSilence()
            cancelWatch()
            context.answerMemory.release(keptEvent)
            call?.cancel()
        }
    }

    private sealed class RunEnd {
        abstract val detail: String

        class Completed(val head: ResponseHead, val body: BufferedBody, override val detail: String) : RunEnd()

        class NotRun(val outcome: PlaceOutcome, override val detail: String, val received: Boolean) : RunEnd()

        /** [closedByServer] tells whether the server may have ended under the request. */
        class Broken(override val detail: String, val closedByServer: Boolean = false) : RunEnd()
    }

    private companion object {
        const val OK = 200

        /** Servers that may receive the run of one request, those that reject it included. */
        const val MAXIMUM_ARRIVALS = 3

        /** Bytes of the answer to a prompt that was read; it holds a handle and a few numbers. */
        const val MAXIMUM_PREFILL_ANSWER = 65_536

        /** Time for a prompt of no tokens, and for each token: four times what a free server needs. */
        val PREFILL_TIME = 400.milliseconds
        val PREFILL_TIME_PER_TOKEN = 120.microseconds

        /** Time for the request that frees a handle. */
        val FREE_TIME = 1.seconds

        /** Time beyond the objective without an answer after which a server counts as silent. */
        val SILENCE_EXTRA = 300.milliseconds
    }
}
