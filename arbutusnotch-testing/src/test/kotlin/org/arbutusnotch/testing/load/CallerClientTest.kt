/*
 * Tests that the load generator detects incomplete and wrong answers and retries only what may be retried.
 */
package org.arbutusnotch.testing.load

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.coroutines.runBlocking
import org.arbutusnotch.testing.RunningServer
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.freeAddress
import org.arbutusnotch.testing.http.emulatorServer
import org.arbutusnotch.testing.http.synchronousService
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerClientTest {
    private val first = freeAddress()
    private val second = freeAddress()
    private val calls = AtomicInteger()
    private val tokens = CopyOnWriteArrayList<String?>()
    private val prompt = PromptDescription(tokens = 100, seed = 1)
    private val completion =
        PlannedRequest.Completion(CallerProfile.demo("guides", 9), "briefing", "m", prompt, maxTokens = 3)
    private val booking =
        PlannedRequest.ServiceCall(CallerProfile.demo("desk", 6), "book", "booking", "book", false, "{}")
    private val servers = mutableListOf<RunningServer>()
    private val client = CallerClient(listOf(first, second), workerThreads = 1)

    /** Starts both entry points; [respond] receives the number of the call, starting at 1. */
    private fun serve(respond: (Int) -> HttpResponse) {
        val list = """{"entry_points":["$first","$second"],"valid_until_epoch_millis":${Long.MAX_VALUE},
            "issuer_prefix":"n1_x"}"""
        listOf(first, second).forEach { address ->
            servers += RunningServer(
                address,
                emulatorServer(address, workerThreads = 1) {
                    service("/v1/entry-points", synchronousService { _, _ -> HttpResponse.of(MediaType.JSON, list) })
                    serviceUnder(
                        "/v1",
                        synchronousService { _, request ->
                            tokens += request.headers().get("idempotency-key")
                            respond(calls.incrementAndGet())
                        },
                    )
                },
            )
        }
    }

    @AfterEach
    fun stop() {
        client.close()
        servers.forEach { it.close() }
    }

    private fun send(request: PlannedRequest) = runBlocking { client.send(request) }

    private fun stream(tokens: Int, done: Boolean = true, text: (Int) -> String = ::expected): HttpResponse {
        val chunks = (0 until tokens).map { """data: {"choices":[{"text":"${text(it)}","finish_reason":null}]}""" }
        val last = """data: {"choices":[{"text":"","finish_reason":"length"}]}"""
        val lines = chunks + if (done) listOf(last, "data: [DONE]") else emptyList()
        return HttpResponse.of(MediaType.EVENT_STREAM, lines.joinToString("\n\n", postfix = "\n\n"))
    }

    private fun expected(index: Int) = ExpectedOutput.token("m", ExpectedOutput.promptDigest(prompt.text()), index)

    private fun refusal(outcome: String, retryInMillis: Long? = null): HttpResponse {
        val retry = retryInMillis?.let { ""","retry_at_epoch_millis":${System.currentTimeMillis() + it}""" }.orEmpty()
        return HttpResponse.of(
            ResponseHeaders.builder(
                HttpStatus.SERVICE_UNAVAILABLE,
            ).contentType(MediaType.JSON).add("x-outcome", outcome)
                .build(),
            HttpData.ofUtf8("""{"error":{"reason":"capacity","outcome":"$outcome","message":""$retry}}"""),
        )
    }

    private fun answered(): HttpResponse = HttpResponse.of(
        ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).add("x-outcome", "answered").build(),
        HttpData.ofUtf8(ExpectedOutput.serviceAnswer("book", "{}".encodeToByteArray())),
    )

    /** Guards against a verification that rejects correct answers. */
    @Test
    fun `complete answer counts as answered`() {
        serve { stream(3) }
        val record = send(completion)

        expectThat(record.outcome).isEqualTo(ObservedOutcome.ANSWERED)
        expectThat(record.timeToFirstToken).isNotNull()
        expectThat(record.tokenIntervals).hasSize(2)
    }

    /** Guards against answers with wrong, repeated or missing tokens that count as correct. */
    @Test
    fun `answer with wrong bytes is detected`() {
        listOf(stream(2), stream(4), stream(3) { if (it == 1) expected(0) else expected(it) }).forEach { response ->
            servers.forEach { it.close() }
            serve { response }
            expectThat(send(completion).outcome).isEqualTo(ObservedOutcome.WRONG_ANSWER)
        }
    }

    /** Guards against an incomplete stream that counts as an answer, and a caller that does not retry it. */
    @Test
    fun `stream without end marker is retried at the next address`() {
        serve { number -> if (number == 1) stream(3, done = false) else stream(3) }
        val record = send(completion)

        expectThat(record.outcome).isEqualTo(ObservedOutcome.ANSWERED)
        expectThat(record.attempts).isEqualTo(2)
        expectThat(record.entryAddress).isEqualTo(second)
    }

    /** Guards against a booking that is retried with a different token and then runs twice. */
    @Test
    fun `retried booking keeps its token`() {
        serve { number -> if (number < 3) refusal("unknown", retryInMillis = 10) else answered() }
        val record = send(booking)

        expectThat(record.outcome).isEqualTo(ObservedOutcome.ANSWERED)
        expectThat(tokens.toList()).isEqualTo(List(3) { "n1_x.r0" })
    }

    /** Guards against callers that retry a final refusal, or wait longer than their maximum retry delay. */
    @Test
    fun `refusal without a retry time within the maximum delay is final`() {
        serve { number -> refusal("not_run", retryInMillis = if (number == 1) null else 60_000) }

        repeat(2) {
            val record = send(booking)
            expectThat(record.outcome).isEqualTo(ObservedOutcome.NOT_RUN)
            expectThat(record.reason).isEqualTo("capacity")
            expectThat(record.attempts).isEqualTo(1)
        }
    }

    /** Guards against latencies that omit the time between the scheduled arrival and the send. */
    @Test
    fun `latency counts from the scheduled arrival`() {
        serve { stream(3) }
        val arrivalNanos = System.nanoTime() - 500.milliseconds.inWholeNanoseconds
        val record = runBlocking { client.send(ScheduledRequest(0, 0.seconds, completion), arrivalNanos) }

        expectThat(record.timeToFirstToken).isNotNull().isGreaterThanOrEqualTo(500.milliseconds)
    }
}
