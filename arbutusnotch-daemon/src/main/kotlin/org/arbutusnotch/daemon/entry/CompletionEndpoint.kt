/*
 * `POST /v1/completions`: reads the request, runs it, and sends the tokens as server-sent events or as one JSON object.
 */
package org.arbutusnotch.daemon.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.routing.PromptDigests
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.settings.LimitSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Handles completion requests, with a streamed or a single response. */
internal class CompletionEndpoint(private val entry: EntryContext, private val limits: LimitSettings) :
    AdmittedHandler {
    private val responder = RefusalResponder(entry)

    override suspend fun handle(context: ServiceRequestContext, admitted: AdmittedRequest): HttpResponse {
        val body = parse(admitted)
        val task = createTask(admitted, body)
        return if (body.stream) respondStreamed(task) else respondBuffered(task)
    }

    private fun parse(admitted: AdmittedRequest): CompletionBody {
        val body = try {
            entryJson.decodeFromString(CompletionBody.serializer(), admitted.request.contentUtf8())
        } catch (failure: SerializationException) {
            val message = "the body is not a valid completion request: ${failure.message}"
            throw RefusedException(RequestOutcome.NotRun(RefusalReason.MALFORMED_REQUEST), message, failure)
        }
        checkBody(body)?.let { throw it }
        return body
    }

    private fun checkBody(body: CompletionBody): RefusedException? {
        val tokens = PromptDigests.tokenCount(body.prompt)
        return when {
            body.prompt.isEmpty() -> refused(RefusalReason.MALFORMED_REQUEST, "prompt is empty")

            body.maxTokens !in OUTPUT_TOKENS ->
                refused(RefusalReason.MALFORMED_REQUEST, "max_tokens is ${body.maxTokens}; allowed: $OUTPUT_TOKENS")

            tokens > limits.promptTokens -> refused(
                RefusalReason.REQUEST_TOO_LARGE,
                "the prompt has $tokens tokens; allowed: ${limits.promptTokens}",
            )

            else -> null
        }
    }

    private fun createTask(admitted: AdmittedRequest, body: CompletionBody): CompletionTask {
        val model = ModelId(body.model)
        admitted.directory.model(model)
            ?: throw refused(RefusalReason.UNKNOWN_ROUTE, "model ${body.model} is not configured")
        val targets = admitted.directory.configuration.targets
        val firstTokenDeadline = admitted.receivedAt + targets.firstToken
        return CompletionTask(
            id = admitted.id,
            caller = admitted.caller,
            model = model,
            prompt = body.prompt,
            promptTokens = PromptDigests.tokenCount(body.prompt),
            prefixDigests = PromptDigests.prefixDigests(body.prompt),
            maxTokens = body.maxTokens,
            digest = ContentDigest(DigestUtils.sha256Hex("${body.model} ${body.maxTokens} ${body.prompt}")),
            targets = targets,
            receivedAt = admitted.receivedAt,
            firstTokenDeadline = firstTokenDeadline,
            deadline =
            firstTokenDeadline + targets.betweenTokens * (body.maxTokens * DEADLINE_FACTOR) + DEADLINE_ALLOWANCE,
        )
    }

    private suspend fun respondBuffered(task: CompletionTask): HttpResponse {
        val text = StringBuilder()
        val latency = LatencyRecorder(entry, task)
        val outcome = CompletionRun(entry, task) { token ->
            latency.recordToken()
            text.append(token)
        }.run()
        if (outcome !is RequestOutcome.Answered) return responder.refuse(task.id, outcome, refusalMessage(outcome))
        entry.counters.countOutcome(outcome)
        val headers = ResponseHeaders.builder(HttpStatus.OK)
            .contentType(MediaType.JSON_UTF_8)
            .add(REQUEST_ID_HEADER, task.id.value)
            .add(OUTCOME_HEADER, outcome.code)
            .build()
        val json = completionChunk(task.id, task.model.value, text.toString(), FINISH_LENGTH)
        return HttpResponse.of(headers, HttpData.ofUtf8(json))
    }

    /** Returns after the first token or the refusal, so that a refusal gets its own HTTP status. */
    private suspend fun respondStreamed(task: CompletionTask): HttpResponse {
        val stream = CompletionStream(entry, task)
        val response = CompletableDeferred<HttpResponse>()
        val job = entry.background.launch {
            val outcome = CompletionRun(entry, task) { token -> response.complete(stream.sendToken(token)) }.run()
            finish(stream, outcome, task, response)
        }
        job.invokeOnCompletion { failure -> failure?.let { response.completeExceptionally(it) } }
        return try {
            response.await().also { it.cancelWhenAborted(job) }
        } catch (failure: kotlinx.coroutines.CancellationException) {
            job.cancel()
            throw failure
        }
    }

    private suspend fun finish(
        stream: CompletionStream,
        outcome: RequestOutcome,
        task: CompletionTask,
        response: CompletableDeferred<HttpResponse>,
    ) {
        when {
            outcome is RequestOutcome.Answered -> {
                entry.counters.countOutcome(outcome)
                stream.complete()
            }

            stream.isOpen -> stream.fail(responder.describe(task.id, outcome, refusalMessage(outcome)))

            else -> response.complete(responder.refuse(task.id, outcome, refusalMessage(outcome)))
        }
    }

    private fun HttpResponse.cancelWhenAborted(job: Job) {
        whenComplete().whenComplete { _, failure -> if (failure != null) job.cancel() }
    }

    private fun refusalMessage(outcome: RequestOutcome): String = when (outcome) {
        is RequestOutcome.Answered -> ""
        is RequestOutcome.NotRun -> "the request was not run: ${outcome.reason.code}"
        is RequestOutcome.Unknown -> "the request may have run: ${outcome.reason.code}"
    }

    private companion object {
        val OUTPUT_TOKENS = 1..32_768

        /** Multiple of the target decode time that a completion may take before its deadline. */
        const val DEADLINE_FACTOR = 4
        val DEADLINE_ALLOWANCE: Duration = 10.seconds
    }
}

/** Sends the tokens of one completion as server-sent events. */
private class CompletionStream(private val entry: EntryContext, private val task: CompletionTask) {
    private val writer: HttpResponseWriter = HttpResponse.streaming()
    private val latency = LatencyRecorder(entry, task)

    /** Whether the response headers were sent. */
    var isOpen: Boolean = false
        private set

    /** Sends one token, preceded by the headers if it is the first one, and returns the response. */
    fun sendToken(text: String): HttpResponse {
        latency.recordToken()
        if (!isOpen) open()
        send(completionChunk(task.id, task.model.value, text))
        return writer
    }

    /** Ends the response as complete, with the end marker and the outcome as trailer. */
    fun complete() {
        send(completionChunk(task.id, task.model.value, text = "", finishReason = FINISH_LENGTH))
        send(END_OF_STREAM)
        writer.write(HttpHeaders.of(OUTCOME_HEADER, RequestOutcome.Answered.code))
        writer.close()
    }

    /** Ends the response with [refusal] and without the end marker. */
    fun fail(refusal: Refusal) {
        send(refusal.toJson())
        writer.write(HttpHeaders.of(OUTCOME_HEADER, refusal.outcome, REASON_HEADER, refusal.reason.code))
        writer.close()
    }

    private fun open() {
        isOpen = true
        writer.write(
            ResponseHeaders.builder(HttpStatus.OK)
                .contentType(MediaType.EVENT_STREAM)
                .add(REQUEST_ID_HEADER, task.id.value)
                .build(),
        )
    }

    private fun send(data: String) {
        writer.write(HttpData.ofUtf8(serverSentEvent(data)))
    }
}

/** Records the time to first token and the inter-token latency that the caller sees. */
private class LatencyRecorder(private val entry: EntryContext, private val task: CompletionTask) {
    private var previousTokenAt: Timestamp? = null

    fun recordToken() {
        val now = entry.clock.now()
        val previous = previousTokenAt
        previousTokenAt = now
        if (previous == null) {
            entry.counters.recordTimeToFirstToken(task.caller.priority, now - task.receivedAt)
        } else {
            entry.counters.recordTokenInterval(task.caller.priority, now - previous)
        }
    }
}
