/*
 * A caller: it sends a request to the first entry point and repeats it at the next one when that is safe and allowed.
 */
package org.arbutusnotch.testing.load

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes how callers behave.
 *
 * @property attempts tries of one request, including the first
 * @property patience longest wait for the retry time of a refusal; a caller gives up when it is later
 * @property attemptTimeout longest time for one try
 * @property stations devices of each group of callers; each asks for its own list of entry points
 */
public data class CallerBehaviour(
    public val attempts: Int = 3,
    public val patience: Duration = 500.milliseconds,
    public val attemptTimeout: Duration = 30.seconds,
    public val stations: Int = 8,
)

@Serializable
private data class CompletionBody(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean,
)

/** Sends requests to the deployment whose entry addresses are [bootstrap]. */
public class CallerClient(
    private val bootstrap: List<String>,
    private val behaviour: CallerBehaviour = CallerBehaviour(),
    workerThreads: Int = 2,
) : AutoCloseable {
    private val factory = ClientFactory.builder()
        .workerGroup(workerThreads)
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .useHttp1Pipelining(false)
        .build()
    private val client = WebClient.builder()
        .factory(factory)
        .responseTimeoutMillis(behaviour.attemptTimeout.inWholeMilliseconds)
        .maxResponseLength(0)
        .build()
    private val directories = ConcurrentHashMap<String, EntryPointDirectory>()

    /** Returns the entry points that a [station] of [caller] uses now; null when no instance answers. */
    public suspend fun entryPoints(caller: CallerProfile, station: Int = 0): EntryPoints? =
        directory(caller, station).entryPoints()

    /** Sends a request and returns what its caller saw; [startNanos] is the monotonic time of its arrival. */
    public suspend fun send(scheduled: ScheduledRequest, startNanos: Long = System.nanoTime()): RequestRecord {
        val run = RequestRun(scheduled, startNanos)
        var step = run.attempt(0)
        while (step.mayRepeat && run.attempts < behaviour.attempts) {
            val wait = step.retryAt?.let { (it - System.currentTimeMillis()).milliseconds } ?: Duration.ZERO
            if (wait > behaviour.patience) break
            delay(wait)
            step = run.attempt(run.attempts)
        }
        return run.record(step)
    }

    /** Sends [request] now. */
    public suspend fun send(request: PlannedRequest): RequestRecord = send(ScheduledRequest(0, Duration.ZERO, request))

    override fun close(): Unit = factory.close()

    private fun directory(caller: CallerProfile, station: Int): EntryPointDirectory {
        val name = "${caller.name}-$station"
        return directories.computeIfAbsent(name) { EntryPointDirectory(client, name, bootstrap) }
    }

    /** Describes the end of one try. */
    private class Step(
        val outcome: ObservedOutcome,
        val reason: String,
        val mayRepeat: Boolean,
        val retryAt: Long? = null,
        val tokenNanos: List<Long> = emptyList(),
    )

    /** Runs the tries of one request. */
    private inner class RequestRun(private val scheduled: ScheduledRequest, private val startNanos: Long) {
        private val request = scheduled.request
        private val directory = directory(request.caller, (scheduled.number % behaviour.stations).toInt())
        private val completion = request as? PlannedRequest.Completion
        private val prompt = completion?.prompt?.text().orEmpty()
        private var token: String? = null
        private var entry = ""

        var attempts: Int = 0
            private set

        suspend fun attempt(index: Int): Step {
            attempts++
            val points = directory.entryPoints()
                ?: return Step(ObservedOutcome.BROKEN, "no_entry_point", mayRepeat = true, retryAt = soon())
            entry = points.entryPoints[index % points.entryPoints.size]
            if (needsToken() && token == null) token = points.issuerPrefix?.let(::tokenOf)
            val step = if (completion != null) complete(completion) else call(request as PlannedRequest.ServiceCall)
            if (step.outcome == ObservedOutcome.BROKEN && index + 1 >= points.entryPoints.size) directory.forget()
            return step
        }

        fun record(last: Step): RequestRecord {
            val tokens = last.tokenNanos
            return RequestRecord(
                scheduled = scheduled,
                outcome = last.outcome,
                reason = last.reason,
                attempts = attempts,
                entry = entry,
                total = (System.nanoTime() - startNanos).nanoseconds,
                firstToken = tokens.firstOrNull()?.let { (it - startNanos).nanoseconds },
                gaps = tokens.zipWithNext { earlier, later -> (later - earlier).nanoseconds },
                idempotencyToken = token,
            )
        }

        private fun needsToken(): Boolean = request is PlannedRequest.ServiceCall && !request.idempotent

        private fun tokenOf(prefix: String): String = "$prefix.r${scheduled.number}"

        private fun soon(): Long = System.currentTimeMillis() + NO_ENTRY_POINT_WAIT_MILLIS

        private suspend fun complete(completion: PlannedRequest.Completion): Step {
            val body = CompletionBody(completion.model, prompt, completion.maxTokens, completion.stream)
            val response = client.execute(post("/v1/completions", wireJson.encodeToString(body)), options())
            val received = CompletionReader().read(response).await()
            val refusal = received.refusal
            val whole = received.status == HttpStatus.OK.code() &&
                received.finishReason != null &&
                (received.done || !completion.stream)
            return when {
                refusal != null -> refused(refusal)
                received.status != null && received.status != HttpStatus.OK.code() -> noRefusalBody(received.status)
                !whole -> Step(ObservedOutcome.BROKEN, brokenReason(received.failure), mayRepeat = true)
                else -> verified(completion, received)
            }
        }

        private fun verified(completion: PlannedRequest.Completion, received: ReceivedResponse): Step {
            val expected = ExpectedOutput.text(completion.model, prompt, completion.maxTokens)
            val right = received.text == expected && received.finishReason == FINISH_LENGTH
            // One chunk carries the whole text when the answer is not streamed; it has no time to first token.
            val times = if (completion.stream) received.tokenNanos else emptyList()
            return if (right) {
                Step(ObservedOutcome.ANSWERED, "", mayRepeat = false, tokenNanos = times)
            } else {
                Step(ObservedOutcome.WRONG_ANSWER, difference(received.text, expected), mayRepeat = false)
            }
        }

        private suspend fun call(call: PlannedRequest.ServiceCall): Step {
            val path = "/v1/services/${call.service}/${call.operation}"
            val response = client.execute(post(path, call.body), options())
            val answer = runCatching { response.aggregate().await() }
                .getOrElse { return Step(ObservedOutcome.BROKEN, brokenReason(it), mayRepeat = true) }
            if (answer.headers().get(OUTCOME_HEADER) != ObservedOutcome.ANSWERED.code) {
                return parseRefusal(answer.contentUtf8())?.let(::refused) ?: noRefusalBody(answer.status().code())
            }
            val expected = ExpectedOutput.serviceAnswer(call.operation, call.body.encodeToByteArray())
            return when {
                answer.status() != HttpStatus.OK ->
                    Step(ObservedOutcome.WRONG_ANSWER, "status_${answer.status().code()}", mayRepeat = false)

                answer.contentUtf8() != expected ->
                    Step(ObservedOutcome.WRONG_ANSWER, difference(answer.contentUtf8(), expected), mayRepeat = false)

                else -> Step(ObservedOutcome.ANSWERED, "", mayRepeat = false)
            }
        }

        /**
         * A request that did not run may be sent again when the refusal names a time. One whose outcome is unknown may
         * be sent again when it is idempotent, or with its token, which answers with what the first attempt did.
         */
        private fun refused(refusal: RefusalDetail): Step {
            val notRun = refusal.outcome == ObservedOutcome.NOT_RUN.code
            // A token that was sent stays: an earlier attempt with it may have run.
            if (token == null && refusal.issuerPrefix != null) token = tokenOf(refusal.issuerPrefix)
            return Step(
                outcome = if (notRun) ObservedOutcome.NOT_RUN else ObservedOutcome.UNKNOWN,
                reason = refusal.reason,
                mayRepeat = refusal.retryAtEpochMillis != null || refusal.issuerPrefix != null,
                retryAt = refusal.retryAtEpochMillis,
            )
        }

        private fun noRefusalBody(status: Int): Step = Step(ObservedOutcome.BROKEN, "status_$status", mayRepeat = true)

        private fun post(path: String, body: String): HttpRequest {
            val headers = RequestHeaders.builder(HttpMethod.POST, "h1c://$entry$path")
                .contentType(MediaType.JSON)
                .add("authorization", "Bearer ${request.caller.key}")
            token?.let { headers.add("idempotency-key", it) }
            return HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
        }

        private fun options(): RequestOptions = RequestOptions.builder()
            .responseTimeoutMillis(behaviour.attemptTimeout.inWholeMilliseconds)
            .build()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val NO_ENTRY_POINT_WAIT_MILLIS = 100L
        const val OUTCOME_HEADER = "x-outcome"
        const val FINISH_LENGTH = "length"

        fun parseRefusal(body: String): RefusalDetail? =
            runCatching { wireJson.decodeFromString<RefusalBody>(body).error }.getOrNull()

        fun brokenReason(failure: Throwable?): String = failure?.javaClass?.simpleName ?: "no_end_marker"

        fun difference(found: String, expected: String): String {
            val same = found.commonPrefixWith(expected).length
            return "differs_at_character_${same}_lengths_${found.length}_and_${expected.length}"
        }
    }
}
