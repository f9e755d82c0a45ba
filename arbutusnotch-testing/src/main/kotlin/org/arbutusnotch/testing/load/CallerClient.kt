/*
 * Client of the load generator: sends a request to an entry point and retries at the next one when that is safe.
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
 * Configures the retries of callers and the number of their devices.
 *
 * @property maxAttempts maximum number of attempts of one request, including the first
 * @property maxRetryDelay longest wait for the retry time of a refusal; a caller gives up when that time is later
 * @property attemptTimeout timeout of one attempt
 * @property deviceCount number of devices in each group of callers; each fetches its own list of entry points
 */
public data class CallerSettings(
    public val maxAttempts: Int = 3,
    public val maxRetryDelay: Duration = 500.milliseconds,
    public val attemptTimeout: Duration = 30.seconds,
    public val deviceCount: Int = 8,
)

@Serializable
private data class CompletionBody(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean,
)

/**
 * Sends requests to the deployment whose entry addresses are [bootstrap].
 *
 * @param workerThreads number of event loops
 */
public class CallerClient(
    private val bootstrap: List<String>,
    private val settings: CallerSettings = CallerSettings(),
    workerThreads: Int = 2,
) : AutoCloseable {
    private val factory = ClientFactory.builder()
        .workerGroup(workerThreads)
        .connectTimeoutMillis(CONNECT_TIMEOUT_MILLIS)
        .useHttp1Pipelining(false)
        .build()
    private val client = WebClient.builder()
        .factory(factory)
        .responseTimeoutMillis(settings.attemptTimeout.inWholeMilliseconds)
        .maxResponseLength(0)
        .build()
    private val directories = ConcurrentHashMap<String, EntryPointDirectory>()

    /** Returns the current entry points of a [device] of [caller]; null when no instance answers. */
    public suspend fun entryPoints(caller: CallerProfile, device: Int = 0): EntryPoints? =
        directory(caller, device).entryPoints()

    /** Sends a request and returns its record; [arrivalNanos] is the monotonic time of its scheduled arrival. */
    public suspend fun send(scheduled: ScheduledRequest, arrivalNanos: Long = System.nanoTime()): RequestRecord {
        val execution = RequestExecution(scheduled, arrivalNanos)
        var result = execution.attempt(0)
        while (result.retryable && execution.attempts < settings.maxAttempts) {
            val retryDelay = result.retryAt?.let { (it - System.currentTimeMillis()).milliseconds } ?: Duration.ZERO
            if (retryDelay > settings.maxRetryDelay) break
            delay(retryDelay)
            result = execution.attempt(execution.attempts)
        }
        return execution.record(result)
    }

    /** Sends [request] immediately and returns its record. */
    public suspend fun send(request: PlannedRequest): RequestRecord = send(ScheduledRequest(0, Duration.ZERO, request))

    override fun close(): Unit = factory.close()

    private fun directory(caller: CallerProfile, device: Int): EntryPointDirectory {
        val name = "${caller.name}-$device"
        return directories.computeIfAbsent(name) { EntryPointDirectory(client, name, bootstrap) }
    }

    /** Holds the result of one attempt. */
    private class AttemptResult(
        val outcome: ObservedOutcome,
        val reason: String,
        val retryable: Boolean,
        val retryAt: Long? = null,
        val tokenNanos: List<Long> = emptyList(),
    )

    /** Runs the attempts of one request. */
    private inner class RequestExecution(private val scheduled: ScheduledRequest, private val arrivalNanos: Long) {
        private val request = scheduled.request
        private val directory = directory(request.caller, (scheduled.number % settings.deviceCount).toInt())
        private val completion = request as? PlannedRequest.Completion
        private val prompt = completion?.prompt?.text().orEmpty()
        private var token: String? = null
        private var entryAddress = ""

        var attempts: Int = 0
            private set

        suspend fun attempt(index: Int): AttemptResult {
            attempts++
            val available = directory.entryPoints()
                ?: return AttemptResult(
                    outcome = ObservedOutcome.BROKEN,
                    reason = "no_entry_point",
                    retryable = true,
                    retryAt = entryPointRetryAt(),
                )
            entryAddress = available.entryPoints[index % available.entryPoints.size]
            if (needsToken() && token == null) token = available.issuerPrefix?.let(::tokenWithPrefix)
            val result = if (completion != null) {
                sendCompletion(completion)
            } else {
                sendServiceCall(request as PlannedRequest.ServiceCall)
            }
            if (result.outcome == ObservedOutcome.BROKEN && index + 1 >= available.entryPoints.size) {
                directory.invalidate()
            }
            return result
        }

        fun record(last: AttemptResult): RequestRecord {
            val tokens = last.tokenNanos
            return RequestRecord(
                scheduled = scheduled,
                outcome = last.outcome,
                reason = last.reason,
                attempts = attempts,
                entryAddress = entryAddress,
                total = (System.nanoTime() - arrivalNanos).nanoseconds,
                timeToFirstToken = tokens.firstOrNull()?.let { (it - arrivalNanos).nanoseconds },
                tokenIntervals = tokens.zipWithNext { earlier, later -> (later - earlier).nanoseconds },
                idempotencyToken = token,
            )
        }

        private fun needsToken(): Boolean = request is PlannedRequest.ServiceCall && !request.idempotent

        private fun tokenWithPrefix(prefix: String): String = "$prefix.r${scheduled.number}"

        private fun entryPointRetryAt(): Long = System.currentTimeMillis() + NO_ENTRY_POINT_RETRY_MILLIS

        private suspend fun sendCompletion(completion: PlannedRequest.Completion): AttemptResult {
            val body = CompletionBody(completion.model, prompt, completion.maxTokens, completion.stream)
            val response = client.execute(post("/v1/completions", wireJson.encodeToString(body)), requestOptions())
            val received = CompletionReader().read(response).await()
            val refusal = received.refusal
            val complete = received.status == HttpStatus.OK.code() &&
                received.finishReason != null &&
                (received.done || !completion.stream)
            return when {
                refusal != null -> refusalResult(refusal)
                received.status != null && received.status != HttpStatus.OK.code() -> failedStatus(received.status)
                !complete -> AttemptResult(ObservedOutcome.BROKEN, brokenReason(received.failure), retryable = true)
                else -> verify(completion, received)
            }
        }

        private fun verify(completion: PlannedRequest.Completion, received: ReceivedResponse): AttemptResult {
            val expected = ExpectedOutput.text(completion.model, prompt, completion.maxTokens)
            val correct = received.text == expected && received.finishReason == FINISH_LENGTH
            // An answer that is not streamed arrives as one chunk and has no time to first token.
            val tokenNanos = if (completion.stream) received.tokenNanos else emptyList()
            return if (correct) {
                AttemptResult(ObservedOutcome.ANSWERED, "", retryable = false, tokenNanos = tokenNanos)
            } else {
                AttemptResult(
                    outcome = ObservedOutcome.WRONG_ANSWER,
                    reason = describeDifference(received.text, expected),
                    retryable = false,
                )
            }
        }

        private suspend fun sendServiceCall(call: PlannedRequest.ServiceCall): AttemptResult {
            val path = "/v1/services/${call.service}/${call.operation}"
            val response = client.execute(post(path, call.body), requestOptions())
            val received = runCatching { response.aggregate().await() }
                .getOrElse { return AttemptResult(ObservedOutcome.BROKEN, brokenReason(it), retryable = true) }
            if (received.headers().get(OUTCOME_HEADER) != ObservedOutcome.ANSWERED.code) {
                return parseRefusal(received.contentUtf8())?.let(::refusalResult)
                    ?: failedStatus(received.status().code())
            }
            val expected = ExpectedOutput.serviceAnswer(call.operation, call.body.encodeToByteArray())
            return when {
                received.status() != HttpStatus.OK ->
                    AttemptResult(ObservedOutcome.WRONG_ANSWER, "status_${received.status().code()}", retryable = false)

                received.contentUtf8() != expected ->
                    AttemptResult(
                        outcome = ObservedOutcome.WRONG_ANSWER,
                        reason = describeDifference(received.contentUtf8(), expected),
                        retryable = false,
                    )

                else -> AttemptResult(ObservedOutcome.ANSWERED, "", retryable = false)
            }
        }

        /**
         * Returns the result of a refused attempt. A request that did not run may be retried when the refusal gives a
         * retry time. One whose outcome is unknown may be retried when it is idempotent, or with the same token, for
         * which the deployment returns the outcome of the first attempt.
         */
        private fun refusalResult(refusal: RefusalDetail): AttemptResult {
            val notRun = refusal.outcome == ObservedOutcome.NOT_RUN.code
            // A token that was already sent is kept, because an earlier attempt with it may have run.
            if (token == null && refusal.issuerPrefix != null) token = tokenWithPrefix(refusal.issuerPrefix)
            return AttemptResult(
                outcome = if (notRun) ObservedOutcome.NOT_RUN else ObservedOutcome.UNKNOWN,
                reason = refusal.reason,
                retryable = refusal.retryAtEpochMillis != null || refusal.issuerPrefix != null,
                retryAt = refusal.retryAtEpochMillis,
            )
        }

        private fun failedStatus(status: Int): AttemptResult =
            AttemptResult(ObservedOutcome.BROKEN, "status_$status", retryable = true)

        private fun post(path: String, body: String): HttpRequest {
            val headers = RequestHeaders.builder(HttpMethod.POST, "h1c://$entryAddress$path")
                .contentType(MediaType.JSON)
                .add("authorization", "Bearer ${request.caller.key}")
            token?.let { headers.add("idempotency-key", it) }
            return HttpRequest.of(headers.build(), HttpData.ofUtf8(body))
        }

        private fun requestOptions(): RequestOptions = RequestOptions.builder()
            .responseTimeoutMillis(settings.attemptTimeout.inWholeMilliseconds)
            .build()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000L
        const val NO_ENTRY_POINT_RETRY_MILLIS = 100L
        const val OUTCOME_HEADER = "x-outcome"
        const val FINISH_LENGTH = "length"

        fun parseRefusal(body: String): RefusalDetail? =
            runCatching { wireJson.decodeFromString<RefusalBody>(body).error }.getOrNull()

        fun brokenReason(failure: Throwable?): String = failure?.javaClass?.simpleName ?: "no_end_marker"

        fun describeDifference(actual: String, expected: String): String {
            val commonLength = actual.commonPrefixWith(expected).length
            return "differs_at_character_${commonLength}_lengths_${actual.length}_and_${expected.length}"
        }
    }
}
