/*
 * Handles a generation: one server runs the prefill, another one fetches the KV cache and streams the events.
 *
 * The place at the decode server is reserved before the prefill starts, since the prefill server keeps the KV cache of
 * a prompt for less than a second. When no prefill server answers, the decode server runs the prefill itself.
 *
 * A pause of a server never ends an answer: what ends it is the server, the caller or the deadline. While a resumable
 * stream stalls, its continuation at another server is sought, and the stalled run goes on until that server runs it.
 */
package org.arbutusnotch.forwarding.exchange

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import io.netty.buffer.ByteBuf
import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.BufferedAnswer
import org.arbutusnotch.core.forwarding.GenerationObservation
import org.arbutusnotch.core.forwarding.StreamProgress
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.stream.OriginLookup
import org.arbutusnotch.core.stream.StreamOrigin
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

    /** Run that has stalled; it goes on while another server is sought, and until that server runs the request. */
    private var stalledRun: Run? = null
    private var sendCount = 0

    /** Number of times that the prompt was sent to a prefill server. */
    private var prefillSends = 0

    /** Time of the latest event that was sent to the caller; before the first one, the arrival of the request. */
    private var latestEventAt: Timestamp = receivedAt

    /** Time of the first event that was sent to the caller; null before it. */
    private var firstEventAt: Timestamp? = null

    /** A started stream must be resumed before the caller times out, counted from its latest event. */
    override val startBy: Timestamp
        get() = if (responseStarted) {
            minOf(deadlineAt, latestEventAt + callerTimeout * CONTINUATION_SHARE)
        } else {
            super.startBy
        }

    /** Whether the decode server runs the prefill itself. */
    private var direct = false

    override val work: DispatchWork
        get() = (request.work as? DispatchWork.Generation)?.copy(direct = direct) ?: request.work
    override var pool: PoolId = request.pool
        private set
    override var requiredVersion: SoftwareVersion? = null
        private set
    private val resumable = request.route.kind.idempotent
    private val relay =
        EventRelay(wholeEventsOnly = resumable, resumeAfter = request.caller.resumeAfter.takeIf { resumable })

    /**
     * Time without an event after which a stream counts as stalled. It is shorter than the caller's timeout, because
     * another server must send its first event before the caller disconnects.
     */
    private val stallTimeout: Duration = callerTimeout * STALL_SHARE

    /** Handle of a KV cache that no decode server has fetched yet. */
    private var unusedHandle: RunPart.Decode? = null

    /** Finds where a stream began that the caller takes up, since it may go on only there. */
    override fun begin() {
        val takesUpStream = request.caller.resumedStream != null || request.caller.resumeAfter != null
        if (!resumable || !takesUpStream) return super.begin()
        context.originResolver.resolve(request.caller.resumedStream, request.route) { lookup ->
            if (!finished) onOrigin(lookup)
        }
    }

    private fun onOrigin(lookup: OriginLookup) {
        when (lookup) {
            is OriginLookup.Known -> {
                pool = lookup.origin.pool
                requiredVersion = lookup.origin.version
                // A route that was moved to another pool meanwhile must not reach the earlier one.
                if (request.route.targets.any { it.pool == pool }) super.begin() else refuse(VERSION_GONE, null)
            }

            OriginLookup.Unknown -> refuse("stream_origin_unknown", retryAfter = null)

            OriginLookup.Unavailable -> refuse("stream_origin_unavailable", ORIGIN_RETRY_DELAY)
        }
    }

    /** Records that a run at [server] may begin the stream, before it can send the first event. */
    private fun recordOrigin(server: BackendServer) {
        if (!resumable) return
        context.originResolver.origins.record(
            stream = request.caller.resumedStream ?: request.caller.id,
            origin = StreamOrigin(pool, server.version),
            number = sendCount,
            expiresAt = receivedAt + (request.caller.remaining ?: request.route.timeLimit),
        )
    }

    override val latestProgressAt: Timestamp?
        get() = latestEventAt.takeIf { firstEventAt != null }
    override val runningAt: List<BackendServerId>
        get() = listOfNotNull(
            place?.prefillServer?.id.takeIf { prefill != null },
            run?.place?.server?.id,
            stalledRun?.place?.server?.id,
        )

    override val longestDuration: Duration?
        get() = context.generationDurations.longest(
            pool = pool,
            promptTokens = request.caller.promptTokens,
            length = request.caller.outputLength,
            objective = request.route.objective,
        )

    /**
     * A stream that is longer than its caller estimates would be cut, so an estimate counts only early in a shutdown,
     * while callers come that hold a valid address list. Late in a shutdown a stream could be cut even though its
     * maximum fits, since its server may pause; there another instance runs it if one serves.
     */
    override fun predictDuration(): DurationPrediction {
        val now = context.now()
        if (context.shutdownNotice.isReplaced(now)) return DurationPrediction.Replaced
        val longest = longestDuration
        val expected = context.generationDurations.expected(pool, request.caller.outputLength, request.route.objective)
            .takeIf { context.shutdownNotice.acceptsEstimates(now) }
        return when {
            expected != null && (longest == null || expected < longest) -> DurationPrediction.ByEstimate(expected)
            longest != null -> DurationPrediction.ByMaximum(longest)
            else -> DurationPrediction.Unknown
        }
    }

    /** The rest of a stream that was taken up says little about whole ones. */
    override fun recordDuration(elapsed: Duration) {
        val firstEvent = firstEventAt ?: return
        if (request.caller.resumeAfter != null) return
        val observation = GenerationObservation(
            promptTokens = request.caller.promptTokens,
            length = request.caller.outputLength,
            events = relay.relayedEventCount,
            firstEventAfter = firstEvent - receivedAt,
            elapsed = elapsed,
        )
        context.generationDurations.record(pool, observation)
    }

    override fun releaseUnused(place: GrantedPlace) = release(place, PlaceOutcome.UNUSED)

    private fun release(place: GrantedPlace, outcome: PlaceOutcome) {
        context.dispatch.release(place, PlacePart.PREFILL, PlaceUse(outcome))
        context.dispatch.release(place, PlacePart.RUN, PlaceUse(outcome))
    }

    override fun onPlaceGranted(place: GrantedPlace) {
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
            resumeAfter = relay.lastEventId,
            identity = request.identity,
        )
        val call = BufferedCall(
            request = HttpRequestMessage(head, request.message.body),
            connectTimeout = CONNECT_TIMEOUT,
            responseTimeout = minOf(
                remaining,
                PREFILL_BASE_TIMEOUT + PREFILL_TIMEOUT_PER_TOKEN * request.caller.promptTokens,
            ),
            memory = context.answerBufferBudget,
            maximumBytes = MAXIMUM_PREFILL_ANSWER_BYTES,
            maySend = { maySendPrefill(server) },
        ) { result -> checkPrefillEnd(result, place, server, startedAt) }
        prefill = call
        call.start(socketAddress(server.address), context.group)
    }

    /** A handle is used only if its answer is complete, since a part of one may name another prompt. */
    private fun checkPrefillEnd(
        result: Result<HttpResponseMessage, CallEnd>,
        place: GrantedPlace,
        server: BackendServer,
        startedAt: Timestamp,
    ) {
        val call = prefill
        val wasReset = { call?.wasResetAfterEnd() ?: false }
        val confirmBy = deadlineAt - CONFIRMATION_MARGIN
        checkUnframedEnd(call?.endedByClose ?: false, server, startedAt, confirmBy, wasReset) { known ->
            val checked = if (known == UnframedEnd.INTACT) {
                result
            } else {
                Err(CallEnd.Broken(known.detail, closedByServer = known == UnframedEnd.RESET))
            }
            val closedByServer = (checked.getError() as? CallEnd.Broken)?.closedByServer ?: false
            checkForCrash(closedByServer, server, startedAt) { onPrefillEnd(checked, place, startedAt) }
        }
    }

    private fun onPrefillEnd(result: Result<HttpResponseMessage, CallEnd>, place: GrantedPlace, startedAt: Timestamp) {
        if (finished || this.place !== place) return
        prefill = null
        val handle = result.fold(
            success = { takeHandle(it, place, startedAt) },
            failure = { onPrefillFailure(it, place, startedAt) },
        )
        startRun(place, handle ?: RunPart.Whole)
    }

    /** Counts a repeated prefill of the prompt as a retry of its own. */
    override fun retryCost(countsAsRetry: Boolean): Int {
        val prefillRetries = if (prefillSends > 0 && !direct) 1 else 0
        return super.retryCost(countsAsRetry) + prefillRetries
    }

    private fun maySendPrefill(server: BackendServer): Boolean {
        if (!maySendTo(server)) return false
        context.metrics.recordArrival("prefill", repeated = prefillSends > 0)
        prefillSends += 1
        return true
    }

    private fun takeHandle(response: HttpResponseMessage, place: GrantedPlace, startedAt: Timestamp): RunPart.Decode? {
        val server = place.prefillServer ?: return null
        val serverAnswer = readAnswer(server, response.head)
        val isUsable = response.head.status == OK &&
            !AnswerValidation.isForAnotherRequest(serverAnswer, request.caller.id)
        val handle = if (isUsable) context.protocol.readPrefillHandle(response.body) else null
        val outcome = when {
            handle != null -> PlaceOutcome.COMPLETED
            serverAnswer.notRun -> PlaceOutcome.NOT_RUN
            else -> PlaceOutcome.SERVER_FAILED
        }
        endPrefill(place, outcome, "status ${response.head.status}", startedAt, serverAnswer.slowdownPercent)
        return handle?.let { RunPart.Decode(server.address, it) }?.also { unusedHandle = it }
    }

    private fun onPrefillFailure(end: CallEnd, place: GrantedPlace, startedAt: Timestamp): RunPart.Decode? {
        when (end) {
            is CallEnd.NotSent -> endPrefill(place, PlaceOutcome.UNREACHABLE, end.detail, startedAt, 0)

            CallEnd.Withheld -> endPrefill(place, PlaceOutcome.UNUSED, "request must no longer be sent", startedAt, 0)

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
        stalledRun?.let {
            it.stop()
            release(it.place, PlaceOutcome.UNUSED)
        }
        stalledRun = null
        stopLatestAttempt()
    }

    private fun stopLatestAttempt() {
        prefill?.cancel()
        prefill = null
        run?.stop()
        run = null
        place?.let { release(it, PlaceOutcome.UNUSED) }
        freeHandle()
    }

    /** Seeks another server for the request of [stalled], which goes on meanwhile; returns false if none may run it. */
    private fun seekContinuation(stalled: Run): Boolean {
        val mayContinue = mayRunElsewhere() && !finished && context.now() < startBy
        if (!mayContinue) return false
        stalledRun = stalled
        run = null
        place = null
        // It belongs to the stalled run, which may still fetch it, and expires by itself.
        unusedHandle = null
        excluded += stalled.place.server.id
        requestPlace(countsAsRetry = true)
        return true
    }

    private fun mayRunElsewhere(): Boolean =
        resumable && ranOn.size < request.route.maximumServers && sendCount < MAXIMUM_SENDS

    /** Lets the stalled run answer, which has made progress or for which no other server was found. */
    private fun keepStalledRun() {
        val kept = stalledRun ?: return
        stalledRun = null
        cancelPlaceRequest()
        stopLatestAttempt()
        excluded -= kept.place.server.id
        run = kept
        place = kept.place
        kept.onKept()
    }

    /** Ends the stalled run, since another server may run the request by now. */
    private fun replaceStalledRun() {
        val replaced = stalledRun ?: return
        stalledRun = null
        replaced.stop()
        replaced.log(PlaceOutcome.BROKEN, "stalled, replaced by another server")
        release(replaced.place, PlaceOutcome.BROKEN)
        excluded -= replaced.place.server.id
        relay.continueAtNextServer()
    }

    /** Goes on seeking without the stalled run, unless it has answered. */
    private fun onStalledRunEnd(ended: Run, end: RunEnd) {
        if (end is RunEnd.Completed) {
            keepStalledRun()
            return onRunEnd(ended, end)
        }
        stalledRun = null
        release(ended.place, if (end is RunEnd.NotRun) end.outcome else PlaceOutcome.BROKEN)
        relay.continueAtNextServer()
    }

    /** Frees the KV cache of a prompt that no server will fetch. */
    private fun freeHandle() {
        val handle = unusedHandle ?: return
        val server = place?.prefillServer ?: return
        unusedHandle = null
        val free = context.protocol.freeHandle(server.id, handle.handle)
        // A paused server gets no requests, a limited one only those of callers. There the handle expires by itself.
        val mayFree = {
            context.registry.pausedUntil(server.id, context.now()) == null &&
                context.registry.limitOf(server)?.perSecond == null
        }
        BufferedCall(free, CONNECT_TIMEOUT, FREE_TIMEOUT, context.answerBufferBudget, maySend = mayFree) { result ->
            result.fold(
                success = { context.announcementHandler.handle(server, context.protocol.readAnswer(it.head)) },
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
        if (!responseStarted) return super.onDeadline()
        abort(AnswerEnd.DEADLINE, "deadline")
        stopAttempt()
    }

    override fun onPlaceRefused(reason: String, retryAfter: Duration) {
        when {
            stalledRun != null -> keepStalledRun()
            responseStarted -> abort(AnswerEnd.NO_PLACE, reason)
            isVersionGone() && !mayHaveRun -> refuse(VERSION_GONE, retryAfter = null)
            else -> super.onPlaceRefused(reason, retryAfter)
        }
    }

    /** Whether no server has the version that the stream needs; servers of an earlier version do not come back. */
    private fun isVersionGone(): Boolean {
        val version = requiredVersion ?: return false
        return context.registry.usable(context.now()).none { it.pool == pool && it.version == version }
    }

    private fun onRunEnd(ended: Run, end: RunEnd) {
        if (ended === stalledRun) return onStalledRunEnd(ended, end)
        if (ended !== run) return
        run = null
        when (end) {
            is RunEnd.Completed -> onRunCompleted(end)
            is RunEnd.NotRun -> onRunNotExecuted(ended, end)
            is RunEnd.Broken -> onRunBroken(ended, end)
        }
    }

    private fun onRunCompleted(end: RunEnd.Completed) {
        when {
            !responseStarted -> deliver(end.head, end.body)

            end.head.status !in AnswerValidation.SUCCESS_STATUSES ->
                abort(AnswerEnd.SERVER, "status ${end.head.status}")

            else -> {
                finishAnswered(end.head)
                responder.sendContent(relay.takeRemainder())
                responder.end()
            }
        }
    }

    private fun onRunNotExecuted(ended: Run, end: RunEnd.NotRun) {
        if (finished) return
        // The KV cache was not transferred: its handle expired, or the decode server has no room for it.
        if (ended.part is RunPart.Decode && end.received) direct = true
        when {
            stalledRun != null -> {
                release(ended.place, end.outcome)
                if (!end.received) excluded += ended.place.server.id
                keepStalledRun()
            }

            sendCount < MAXIMUM_SENDS && context.now() < deadlineAt -> {
                release(ended.place, end.outcome)
                freeHandle()
                if (!end.received) excluded += ended.place.server.id
                requestPlace(countsAsRetry = end.received)
            }

            else -> {
                release(ended.place, end.outcome)
                freeHandle()
                if (responseStarted) {
                    abort(AnswerEnd.NO_PLACE, "servers_full")
                } else {
                    refuse("servers_full", MINIMUM_RETRY_DELAY)
                }
            }
        }
    }

    private fun onRunBroken(ended: Run, end: RunEnd.Broken) {
        release(ended.place, PlaceOutcome.BROKEN)
        excluded += ended.place.server.id
        when {
            finished -> Unit

            stalledRun != null -> keepStalledRun()

            mayRunElsewhere() -> {
                relay.continueAtNextServer()
                requestPlace(countsAsRetry = true)
            }

            responseStarted -> abort(end.endedBy, end.detail)

            else -> fail(LocalResponses.BAD_GATEWAY, end.detail)
        }
    }

    private inner class Run(val place: GrantedPlace, val part: RunPart) : ServerCallListener {
        private val startedAt: Timestamp = context.now()
        private val body = newAnswerBody { breakRun(it, AnswerEnd.LIMIT) }
        private var call: ServerCall? = null
        private var head: ResponseHead? = null
        private var serverAnswer: ServerAnswer? = null
        private var timeToFirstEvent: Duration = Duration.ZERO
        private var isEnded = false
        private var endedAt: Timestamp? = null
        private var cancelSilenceCheck: () -> Unit = {}
        private var cancelSearch: () -> Unit = {}
        private var progress = StreamProgress(stallTimeout, startedAt)

        private val server = place.server

        fun start() {
            val remaining = deadlineAt - startedAt
            val head = context.protocol.serverRequest(
                head = request.message.head,
                server = server.id,
                part = part,
                remaining = remaining,
                resumeAfter = relay.lastEventId,
                identity = request.identity,
            )
            val started = newServerCall(head, this)
            call = started
            started.start(socketAddress(server.address), context.group)
        }

        override fun maySend(): Boolean {
            if (!maySendTo(server) || finished || context.now() >= deadlineAt) return false
            if (context.registry.findUsable(server.id, context.now())?.version != server.version) return false
            context.metrics.recordArrival("run", repeated = sendCount > 0)
            sendCount += 1
            mayHaveRun = true
            ranOn += server.id
            recordOrigin(server)
            cancelSilenceCheck =
                context.schedule(context.now() + request.route.objective + SILENCE_MARGIN) { onSilence() }
            stalledRun?.let {
                it.suspendReading()
                context.schedule(context.now() + MAXIMUM_OVERLAP) { if (mayStillRun()) replaceStalledRun() }
            }
            return true
        }

        private fun mayStillRun(): Boolean = run === this && !isEnded && serverAnswer?.notRun != true

        /** Seeks another server for a resumable generation that has no answer yet. */
        private fun onSilence() {
            if (isEnded || head != null) return
            logAttempt(server.id, "run", "silent", "no answer yet", startedAt)
            context.dispatch.reportSilentServer(place, PlacePart.RUN)
            scheduleSearch(context.now())
        }

        override fun onHead(head: ResponseHead) {
            this.head = head
            val answer = readAnswer(place.server, head)
            serverAnswer = answer
            progress = StreamProgress(stallTimeout, startedAt = context.now())
            if (!answer.notRun) {
                if (this === stalledRun) keepStalledRun()
                // An answer to another request or without a seal says nothing; its end lets the stalled run go on.
                if (answer.sealed && answer.requestId == request.caller.id) replaceStalledRun()
                unusedHandle = null
            }
            if (isStream) scheduleSearch(progress.nextCheckAt(context.now()))
        }

        private val isStream: Boolean
            get() = head?.status in AnswerValidation.SUCCESS_STATUSES && serverAnswer?.sealed == true &&
                serverAnswer?.requestId == request.caller.id

        override fun onContent(content: ByteBuf) {
            val received = head
            if (!isStream || received == null) {
                body.add(content)
                return
            }
            if (timeToFirstEvent == Duration.ZERO) timeToFirstEvent = context.now() - startedAt
            if (!responseStarted) startResponse(received)
            val previousCount = relay.relayedEventCount
            responder.sendContent(relay.accept(content))
            if (relay.relayedEventCount > previousCount) recordEvent() else progress.recordBytes(context.now())
            if (progress.timeOfBytesWithoutEvent(context.now()) >= callerTimeout + CALLER_MARGIN) {
                return breakRun("bytes without an event", AnswerEnd.SILENCE)
            }
            if (relay.relayedEventCount > 0) requiredVersion = server.version
            if (!context.answerBufferBudget.resize(bufferedEvent, relay.heldBytes)) {
                return breakRun("no memory for an event", AnswerEnd.LIMIT)
            }
            if (relay.isOutOfSequence) return breakRun("event out of sequence", AnswerEnd.SERVER)
            if (relay.isTooLarge) {
                return breakRun("event of more than ${EventRelay.MAXIMUM_EVENT_BYTES} bytes", AnswerEnd.LIMIT)
            }
            if (!responder.isWritable) pauseReading()
        }

        private fun recordEvent() {
            latestEventAt = context.now()
            firstEventAt = firstEventAt ?: latestEventAt
            progress.recordEvent(latestEventAt)
            if (this === stalledRun) keepStalledRun()
        }

        private val bufferedEvent = BufferedAnswer { breakRun("no memory for an event", AnswerEnd.LIMIT) }

        /** Cancels the call and ends the run as broken. */
        private fun breakRun(reason: String, endedBy: AnswerEnd) {
            if (isEnded) return
            call?.cancel()
            end(RunEnd.Broken(reason, endedBy = endedBy))
        }

        private fun pauseReading() {
            progress.pause()
            call?.setReading(false)
        }

        fun resumeReading() {
            progress.resume(context.now())
            call?.setReading(true)
        }

        /** Leaves what the server sends in the socket until it is known whether another server runs the request. */
        fun suspendReading() {
            call?.setReading(false)
        }

        /** Goes on after no other server was found. */
        fun onKept() {
            call?.setReading(true)
            if (isEnded) return
            val next = context.now() + SEARCH_INTERVAL
            scheduleSearch(if (head == null) next else maxOf(next, progress.nextCheckAt(context.now())))
        }

        private fun scheduleSearch(time: Timestamp) {
            cancelSearch()
            if (resumable) cancelSearch = context.schedule(time) { searchIfStalled() }
        }

        private fun searchIfStalled() {
            val now = context.now()
            when {
                isEnded || this === stalledRun -> Unit
                head != null && !progress.isStalled(now) -> scheduleSearch(progress.nextCheckAt(now))
                !seekContinuation(this) -> scheduleSearch(now + SEARCH_INTERVAL)
            }
        }

        fun log(outcome: PlaceOutcome, detail: String) =
            logAttempt(server.id, "run", outcome.name.lowercase(), detail, startedAt)

        private fun startResponse(received: ResponseHead) {
            responseStarted = true
            // A later run of the stream replaces this one, and the caller is ready to read that one.
            responder.onWritable = { run?.resumeReading() }
            responder.startStreaming(LocalResponses.forwarded(received))
        }

        override fun onEnd(end: CallEnd) {
            if (isEnded) return
            endedAt = context.now()
            cancelSearch()
            if (this === stalledRun && end is CallEnd.Complete && serverAnswer?.notRun != true) keepStalledRun()
            val confirmBy = deadlineAt - CONFIRMATION_MARGIN
            val endedByClose = end is CallEnd.Complete && end.endedByClose
            val wasReset = { call?.wasResetAfterEnd() ?: false }
            checkUnframedEnd(endedByClose, server, startedAt, confirmBy, wasReset) { known ->
                if (!isEnded) end(if (known == UnframedEnd.INTACT) resultOf(end) else broken(known))
            }
        }

        private fun end(result: RunEnd) {
            isEnded = true
            cancelSilenceCheck()
            cancelSearch()
            context.answerBufferBudget.release(bufferedEvent)
            val outcome = outcomeOf(result)
            log(outcome, result.detail)
            if (result is RunEnd.Completed) {
                if (outcome == PlaceOutcome.COMPLETED) {
                    recordAnswer(server, startedAt, endedAt.takeIf { result.endedByClose })
                }
                val elapsed = (endedAt ?: context.now()) - startedAt
                val use = PlaceUse(outcome, elapsed, serverAnswer?.slowdownPercent ?: 0)
                context.dispatch.release(place, PlacePart.RUN, use)
            }
            val closedByServer = result is RunEnd.Broken && result.closedByServer
            checkForCrash(closedByServer, server, startedAt) { onRunEnd(this, result) }
        }

        private fun outcomeOf(result: RunEnd): PlaceOutcome = when (result) {
            is RunEnd.Completed ->
                if (result.head.status in AnswerValidation.SUCCESS_STATUSES) {
                    PlaceOutcome.COMPLETED
                } else {
                    PlaceOutcome.SERVER_FAILED
                }

            is RunEnd.NotRun -> result.outcome

            is RunEnd.Broken -> PlaceOutcome.BROKEN
        }

        private fun broken(end: UnframedEnd) = RunEnd.Broken(end.detail, closedByServer = end == UnframedEnd.RESET)

        private fun resultOf(end: CallEnd): RunEnd = when (end) {
            is CallEnd.NotSent -> notRun(PlaceOutcome.UNREACHABLE, end.detail, received = false)

            CallEnd.Withheld -> notRun(PlaceOutcome.UNUSED, "request must no longer be sent", received = false)

            is CallEnd.Broken -> RunEnd.Broken(end.detail, end.closedByServer)

            is CallEnd.Complete -> when (val validation = AnswerValidation.of(head, serverAnswer, request.caller.id)) {
                is AnswerValidation.Valid -> brokenStreamEnd(end)
                    ?: RunEnd.Completed(validation.head, body, describe(validation.head), end.endedByClose)

                is AnswerValidation.NotRun -> notRun(PlaceOutcome.NOT_RUN, validation.detail, received = true)

                is AnswerValidation.Invalid -> RunEnd.Broken(validation.detail)
            }
        }

        /** Returns how a stream was broken off whose framing is complete; null when it is complete. */
        private fun brokenStreamEnd(end: CallEnd.Complete): RunEnd.Broken? = when {
            !isStream -> null
            relay.isInsideEvent -> RunEnd.Broken("stream ends inside an event", closedByServer = end.endedByClose)
            end.endedByClose && timeToFirstEvent == Duration.ZERO -> RunEnd.Broken("no event", closedByServer = true)
            else -> null
        }

        private fun describe(head: ResponseHead) =
            "status ${head.status}, first event after ${timeToFirstEvent.inWholeMilliseconds} ms, " +
                "${relay.eventCount} events"

        private fun notRun(outcome: PlaceOutcome, detail: String, received: Boolean): RunEnd {
            ranOn -= server.id
            if (ranOn.isEmpty()) mayHaveRun = false
            return RunEnd.NotRun(outcome, detail, received)
        }

        fun stop() {
            isEnded = true
            cancelSilenceCheck()
            cancelSearch()
            context.answerBufferBudget.release(bufferedEvent)
            call?.cancel()
        }
    }

    private sealed class RunEnd {
        abstract val detail: String

        /** [endedByClose] tells whether only the end of the connection marks the end of the answer. */
        class Completed(
            val head: ResponseHead,
            val body: BufferedBody,
            override val detail: String,
            val endedByClose: Boolean,
        ) : RunEnd()

        class NotRun(val outcome: PlaceOutcome, override val detail: String, val received: Boolean) : RunEnd()

        /** [closedByServer] tells whether the server closed the connection, which may be due to a crash. */
        class Broken(
            override val detail: String,
            val closedByServer: Boolean = false,
            val endedBy: AnswerEnd = AnswerEnd.SERVER,
        ) : RunEnd()
    }

    private companion object {
        const val OK = 200

        /** Number of times that the run of one request may be sent, including to servers that reject it. */
        const val MAXIMUM_SENDS = 3

        /** Maximum size in bytes of a prefill answer, which holds a handle and a few numbers. */
        const val MAXIMUM_PREFILL_ANSWER_BYTES = 65_536

        /** Prefill timeout for an empty prompt, and for each token: four times what an idle server needs. */
        val PREFILL_BASE_TIMEOUT = 400.milliseconds
        val PREFILL_TIMEOUT_PER_TOKEN = 120.microseconds

        /** Refusal reason of a stream whose software version no longer serves. */
        const val VERSION_GONE = "version_gone"

        /** Time in which the store usually answers again, as for one that rejects some of its callers. */
        val ORIGIN_RETRY_DELAY = 1.seconds

        /** Timeout of the request that frees a handle. */
        val FREE_TIMEOUT = 1.seconds

        /** Share of the caller's timeout after which a stream without an event counts as stalled. */
        const val STALL_SHARE = 0.7

        /** Share of the caller's timeout in which a stalled stream may go on elsewhere; its event takes the rest. */
        const val CONTINUATION_SHARE = 0.9

        /** Time between two searches for a server that continues a stalled stream. */
        val SEARCH_INTERVAL = 500.milliseconds

        /** Time for which two servers may have the same request; after 400 ms both would count as running it. */
        val MAXIMUM_OVERLAP = 250.milliseconds

        /** Time beyond the caller's timeout in which the latest event reaches it and its disconnect returns. */
        val CALLER_MARGIN = 1.seconds

        /** Time without an answer, beyond the objective, after which a server counts as silent. */
        val SILENCE_MARGIN = 300.milliseconds
    }
}
