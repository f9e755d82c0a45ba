package org.arbutusnotch.core.routing

import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.prefillServer
import org.arbutusnotch.core.fixture.summary
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.outcome.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against placements that miss their deadline, and against refusals of requests that could meet it. */
internal class CompletionPlacementTest {
    private val fixture = RouterFixture()
    private val digests = (1..20).map { ContentDigest("digest-$it") }

    @Test
    fun `of two sampled decode servers the one with more free slots is tried first`() {
        (0..5).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = it * 3)) }
        repeat(50) {
            val decode = fixture.placed().decode
            expectThat(decode[0].freeSlots).isGreaterThan(decode[1].freeSlots)
        }
    }

    @Test
    fun `instances with the same view do not all select the same server`() {
        (0..5).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = 10 + it)) }
        val first = (1..50).map { fixture.placed().decode.first().server }.toSet()
        expectThat(first.size).isGreaterThan(3)
    }

    @Test
    fun `full servers are not sampled while others have free slots`() {
        (0..5).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = if (it == 4) 1 else 0)) }
        repeat(50) { expectThat(fixture.placed().decode.first().server).isEqualTo(decodeServer(4)) }
    }

    @Test
    fun `among equal servers one in the own failure domain is tried first`() {
        val twoServerPools = RouterFixture(deployment(decodeServers = 2, prefillServers = 2))
        repeat(50) {
            val placed = twoServerPools.placed()
            expectThat(placed.decode.first().server).isEqualTo(decodeServer(0))
            expectThat(placed.prefill.first().server).isEqualTo(prefillServer(0))
        }
    }

    @Test
    fun `a prefill is placed on the server that has cached its prefix`() {
        fixture.prefixes.recordPrefill(prefillServer(4), digests)
        repeat(50) {
            val first = fixture.placed(fixture.completion(digests, promptTokens = 20 * 1_024 + 100)).prefill.first()
            expectThat(first.server).isEqualTo(prefillServer(4))
            expectThat(first.uncachedTokens).isEqualTo(100)
        }
    }

    @Test
    fun `a prefill is placed elsewhere when waiting for the cached prefix takes longer than recomputation`() {
        fixture.prefixes.recordPrefill(prefillServer(4), digests)
        val request = fixture.completion(digests, promptTokens = 20 * 1_024 + 100)
        fixture.servers.merge(summary(prefillServer(4), START, queuedWork = 18_000))
        repeat(50) { expectThat(fixture.placed(request).prefill.first().server).isEqualTo(prefillServer(4)) }
        fixture.servers.merge(summary(prefillServer(4), START + 1.milliseconds, queuedWork = 25_000))
        repeat(50) { expectThat(fixture.placed(request).prefill.first().server).isNotEqualTo(prefillServer(4)) }
    }

    @Test
    fun `a request whose first token would miss its deadline is refused immediately with an accurate retry time`() {
        (0..5).forEach { fixture.servers.merge(summary(prefillServer(it), START, queuedWork = 20_000)) }
        val request = fixture.completion(timeout = 320.milliseconds)
        val refused = fixture.placeCompletion(request)
        expectThat(refused).isA<Placement.Refused>().and {
            get { reason }.isEqualTo(RefusalReason.CAPACITY)
            get { retryAt - START }.isGreaterThan(600.milliseconds).isLessThan(1.5.seconds)
        }
    }

    @Test
    fun `the prediction includes the wait for a full decode pool`() {
        (0..5).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = 0, queuedWork = 10)) }
        expectThat(fixture.placeCompletion(fixture.completion(timeout = 320.milliseconds))).isA<Placement.Refused>()
    }

    @Test
    fun `the prediction includes the measured transfer time`() {
        val initial = fixture.placed().prefill.first().predictedTimeToFirstToken
        repeat(20) { fixture.router.observeTransfer(1_000, 400.milliseconds, START) }
        val updated = fixture.placed().prefill.first().predictedTimeToFirstToken
        expectThat(updated - initial).isGreaterThan(300.milliseconds)
    }

    @Test
    fun `a prompt that even idle servers cannot finish in time is admitted while queues are short`() {
        val request = fixture.completion(promptTokens = 30_000, timeout = 320.milliseconds)
        expectThat(fixture.placeCompletion(request)).isA<Placement.Placed>()
        (0..5).forEach { fixture.servers.merge(summary(prefillServer(it), START, queuedWork = 40_000)) }
        expectThat(fixture.placeCompletion(request)).isA<Placement.Refused>()
    }

    @Test
    fun `leaving, failed and excluded servers are not candidates`() {
        val leaving = setOf(decodeServer(0), prefillServer(0))
        val router = RouterFixture(deployment(leaving = leaving))
        router.servers.recordFailure(decodeServer(1), START)
        router.servers.recordFailure(prefillServer(1), START)
        val request = router.completion(excluded = setOf(decodeServer(2), prefillServer(2)))
        repeat(50) {
            val placed = router.placed(request)
            expectThat(placed.decode.map { it.server }).all {
                get { this in listOf(decodeServer(3), decodeServer(4), decodeServer(5)) }.isEqualTo(true)
            }
            expectThat(placed.prefill.map { it.server }).all {
                get { this in listOf(prefillServer(3), prefillServer(4), prefillServer(5)) }.isEqualTo(true)
            }
        }
    }

    @Test
    fun `slow servers are skipped while others are usable`() {
        fixture.slowDown(3)
        repeat(50) { expectThat(fixture.placed().decode.map { it.server }).doesNotContain(decodeServer(3)) }
    }

    @Test
    fun `slow servers are candidates when no others are usable`() {
        fixture.slowDown(3)
        val request = fixture.completion(excluded = (0..5).filter { it != 3 }.map { decodeServer(it) }.toSet())
        val placed = fixture.placed(request)
        expectThat(placed.decode.map { it.server }).isEqualTo(listOf(decodeServer(3)))
        expectThat(placed.decode.first().lastResort).isEqualTo(true)
        expectThat(placed.prefill.first().lastResort).isEqualTo(false)
    }

    @Test
    fun `one request of low priority probes a slow server when the probe is due`() {
        fixture.slowDown(3)
        fixture.advance(1.seconds)
        expectThat(fixture.placed(fixture.completion(priority = 9)).decode.first().server).isNotEqualTo(decodeServer(3))
        val probe = fixture.placed().decode
        expectThat(probe.first()).and {
            get { server }.isEqualTo(decodeServer(3))
            get { this.probe }.isEqualTo(true)
        }
        expectThat(probe.drop(1)).isNotEmpty()
        expectThat(fixture.placed().decode.map { it.server }).doesNotContain(decodeServer(3))
    }

    @Test
    fun `the refusal for a failed pool has the end of the first backoff as its retry time`() {
        (0..5).forEach { fixture.servers.recordFailure(decodeServer(it), START) }
        expectThat(fixture.placeCompletion()).isA<Placement.Refused>().and {
            get { reason }.isEqualTo(RefusalReason.NO_BACKEND_SERVER)
            get { retryAt - START }.isLessThan(400.milliseconds).isGreaterThan(249.milliseconds)
        }
    }

    @Test
    fun `an unknown model is refused`() {
        val request = fixture.completion().copy(model = ModelId("unknown"))
        expectThat(fixture.placeCompletion(request)).isA<Placement.Refused>().get { reason }
            .isEqualTo(RefusalReason.NO_BACKEND_SERVER)
    }

    @Test
    fun `a second prefill is planned only after the first is late, and only on another server`() {
        val placed = fixture.placed()
        val first = placed.prefill.first()
        expectThat(placed.secondPrefillAt).isNotNull().get { this - START }
            .isGreaterThan(first.predictedWait + first.predictedPrefillTime)
        val single = RouterFixture(deployment(prefillServers = 1))
        expectThat(single.placed().secondPrefillAt).isNull()
    }

    @Test
    fun `the explanation lists every server with its skip reason and changes no state`() {
        fixture.slowDown(3)
        fixture.servers.recordFailure(prefillServer(1), START)
        val explanation = fixture.router.explain(fixture.completion(), START)
        expectThat(explanation.candidates).hasSize(12)
        val reasons = explanation.candidates.associate { it.server to it.skipReason }
        expectThat(reasons[decodeServer(3)]).isEqualTo(SkipReason.SLOW)
        expectThat(reasons[prefillServer(1)]).isEqualTo(SkipReason.FAILED)
        expectThat(explanation.selectedServers).hasSize(2)
        expectThat(explanation.refusal).isNull()
        expectThat(explanation.predictedTimeToFirstToken).isNotNull().isGreaterThan(Duration.ZERO)
        val other = RouterFixture().apply {
            slowDown(3)
            servers.recordFailure(prefillServer(1), START)
        }
        expectThat(fixture.placed()).isEqualTo(other.placed())
    }

    @Test
    fun `the explanation of a refusal has a reason and a retry time`() {
        (0..5).forEach { fixture.servers.merge(summary(prefillServer(it), START, queuedWork = 20_000)) }
        val explanation = fixture.router.explain(fixture.completion(timeout = 320.milliseconds), START)
        expectThat(explanation.refusal).isEqualTo(RefusalReason.CAPACITY)
        expectThat(explanation.retryAt).isNotNull().isGreaterThan(START)
        expectThat(explanation.candidates.map { it.server }).contains(decodeServer(0))
    }
}
