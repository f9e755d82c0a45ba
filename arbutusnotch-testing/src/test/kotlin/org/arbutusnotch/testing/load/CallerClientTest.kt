/*
 * The load generator decides whether an answer is whole and own, so it must notice answers that are not.
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

    /** Serves both entry points; [answer] gets the number of the call, from 1. */
    private fun serve(answer: (Int) -> HttpResponse) {
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
                            answer(calls.incrementAndGet())
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

    /** Guards against a verification that rejects right answers. */
    @Test
    fun `whole answer is answered`() {
        serve { stream(3) }
        val record = send(completion)

        expectThat(record.outcome).isEqualTo(ObservedOutcome.ANSWERED)
        expectThat(record.firstToken).isNotNull()
        expectThat(record.gaps).hasSize(2)
    }

    /** Guards against wrong, repeated or missing tokens that count as answers. */
    @Test
    fun `wrong bytes are noticed`() {
        listOf(stream(2), stream(4), stream(3) { if (it == 1) expected(0) else expected(it) }).forEach { response ->
            servers.forEach { it.close() }
            serve { response }
            expectThat(send(completion).outcome).isEqualTo(ObservedOutcome.WRONG_ANSWER)
        }
    }

    /** Guards against an incomplete stream that counts as an answer, and against a caller that gives up after it. */
    @Test
    fun `stream without end marker is repeated at the next address`() {
        serve { number -> if (number == 1) stream(3, done = false) else stream(3) }
        val record = send(completion)

        expectThat(record.outcome).isEqualTo(ObservedOutcome.ANSWERED)
        expectThat(record.attempts).isEqualTo(2)
        expectThat(record.entry).isEqualTo(second)
    }

    /** Guards against a booking that is repeated with another token and then runs twice. */
    @Test
    fun `repeated booking keeps its token`() {
        serve { number -> if (number < 3) refusal("unknown", retryInMillis = 10) else answered() }
        val record = send(booking)

        expectThat(record.outcome).isEqualTo(ObservedOutcome.ANSWERED)
        expectThat(tokens.toList()).isEqualTo(List(3) { "n1_x.r0" })
    }

    /** Guards against callers that repeat what a refusal does not allow, or wait longer than they have patience. */
    @Test
    fun `refusal without a near retry time is final`() {
        serve { number -> refusal("not_run", retryInMillis = if (number == 1) null else 60_000) }

        repeat(2) {
            val record = send(booking)
            expectThat(record.outcome).isEqualTo(ObservedOutcome.NOT_RUN)
            expectThat(record.reason).isEqualTo("capacity")
            expectThat(record.attempts).isEqualTo(1)
        }
    }

    /** Guards against latencies that leave out the time between the scheduled arrival and the send. */
    @Test
    fun `latency counts from the scheduled arrival`() {
        serve { stream(3) }
        val startNanos = System.nanoTime() - 500.milliseconds.inWholeNanoseconds
        val record = runBlocking { client.send(ScheduledRequest(0, 0.seconds, completion), startNanos) }

        expectThat(record.firstToken).isNotNull().isGreaterThanOrEqualTo(500.milliseconds)
    }
}
