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

/** Guards against work for servers that cannot do it in time, and against refusals that are not justified. */
internal class CompletionPlacementTest {
    private val fixture = RouterFixture()
    private val digests = (1..20).map { ContentDigest("digest-$it") }

    @Test
    fun `the decode server with more free slots of the two drawn is asked first`() {
        (0..5).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = it * 3)) }
        repeat(50) {
            val decode = fixture.placed().decode
            expectThat(decode[0].freeSlots).isGreaterThan(decode[1].freeSlots)
        }
    }

    @Test
    fun `entries with the same view do not all ask the same server`() {
        (0..5).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = 10 + it)) }
        val first = (1..50).map { fixture.placed().decode.first().server }.toSet()
        expectThat(first.size).isGreaterThan(3)
    }

    @Test
    fun `full servers are not drawn while others have free slots`() {
        (0..5).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = if (it == 4) 1 else 0)) }
        repeat(50) { expectThat(fixture.placed().decode.first().server).isEqualTo(decodeServer(4)) }
    }

    @Test
    fun `among equal servers one of the own failure domain is asked first`() {
        val pair = RouterFixture(deployment(decodeServers = 2, prefillServers = 2))
        repeat(50) {
            val placed = pair.placed()
            expectThat(placed.decode.first().server).isEqualTo(decodeServer(0))
            expectThat(placed.prefill.first().server).isEqualTo(prefillServer(0))
        }
    }

    @Test
    fun `prefill goes where the prefix is cached`() {
        fixture.prefixes.recordPrefill(prefillServer(4), digests)
        repeat(50) {
            val first = fixture.placed(fixture.completion(digests, promptTokens = 20 * 1_024 + 100)).prefill.first()
            expectThat(first.server).isEqualTo(prefillServer(4))
            expectThat(first.uncachedTokens).isEqualTo(100)
        }
    }

    @Test
    fun `prefill goes elsewhere when the queue at the cached prefix costs more than recomputation`() {
        fixture.prefixes.recordPrefill(prefillServer(4), digests)
        val request = fixture.completion(digests, promptTokens = 20 * 1_024 + 100)
        fixture.servers.merge(summary(prefillServer(4), START, queuedWork = 18_000))
        repeat(50) { expectThat(fixture.placed(request).prefill.first().server).isEqualTo(prefillServer(4)) }
        fixture.servers.merge(summary(prefillServer(4), START + 1.milliseconds, queuedWork = 25_000))
        repeat(50) { expectThat(fixture.placed(request).prefill.first().server).isNotEqualTo(prefillServer(4)) }
    }

    @Test
    fun `a request whose predicted first token is too late is refused at once with a true retry time`() {
        (0..5).forEach { fixture.servers.merge(summary(prefillServer(it), START, queuedWork = 20_000)) }
        val request = fixture.completion(patience = 320.milliseconds)
        val refused = fixture.place(request)
        expectThat(refused).isA<Placement.Refused>().and {
            get { reason }.isEqualTo(RefusalReason.CAPACITY)
            get { retryAt - START }.isGreaterThan(600.milliseconds).isLessThan(1.5.seconds)
        }
    }

    @Test
    fun `a full decode pool is part of the prediction`() {
        (0..5).forEach { fixture.servers.merge(summary(decodeServer(it), START, freeSlots = 0, queuedWork = 10)) }
        expectThat(fixture.place(fixture.completion(patience = 320.milliseconds))).isA<Placement.Refused>()
    }

    @Test
    fun `the measured transfer time is part of the prediction`() {
        val before = fixture.placed().prefill.first().predictedFirstToken
        repeat(20) { fixture.router.observeTransfer(1_000, 400.milliseconds, START) }
        expectThat(fixture.placed().prefill.first().predictedFirstToken - before).isGreaterThan(300.milliseconds)
    }

    @Test
    fun `a prompt that no idle server can finish in time is admitted while little work is ahead`() {
        val request = fixture.completion(promptTokens = 30_000, patience = 320.milliseconds)
        expectThat(fixture.place(request)).isA<Placement.Placed>()
        (0..5).forEach { fixture.servers.merge(summary(prefillServer(it), START, queuedWork = 40_000)) }
        expectThat(fixture.place(request)).isA<Placement.Refused>()
    }

    @Test
    fun `leaving, failed and already tried servers are not candidates`() {
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
    fun `slow servers are skipped while others are left`() {
        fixture.slowDown(3)
        repeat(50) { expectThat(fixture.placed().decode.map { it.server }).doesNotContain(decodeServer(3)) }
    }

    @Test
    fun `slow servers are candidates when nothing else is left`() {
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
    fun `the refusal of a failed pool names the end of the first backoff`() {
        (0..5).forEach { fixture.servers.recordFailure(decodeServer(it), START) }
        expectThat(fixture.place()).isA<Placement.Refused>().and {
            get { reason }.isEqualTo(RefusalReason.NO_BACKEND_SERVER)
            get { retryAt - START }.isLessThan(400.milliseconds).isGreaterThan(249.milliseconds)
        }
    }

    @Test
    fun `an unknown model is refused`() {
        val request = fixture.completion().copy(model = ModelId("unknown"))
        expectThat(fixture.place(request)).isA<Placement.Refused>().get { reason }
            .isEqualTo(RefusalReason.NO_BACKEND_SERVER)
    }

    @Test
    fun `a second prefill pays off only after the first is late, and only on another server`() {
        val placed = fixture.placed()
        val first = placed.prefill.first()
        expectThat(placed.secondPrefillAt).isNotNull().get { this - START }
            .isGreaterThan(first.predictedWait + first.predictedPrefill)
        val single = RouterFixture(deployment(prefillServers = 1))
        expectThat(single.placed().secondPrefillAt).isNull()
    }

    @Test
    fun `the explanation names every server with its reason and prediction and has no effect`() {
        fixture.slowDown(3)
        fixture.servers.recordFailure(prefillServer(1), START)
        val explanation = fixture.router.explain(fixture.completion(), START)
        expectThat(explanation.candidates).hasSize(12)
        val reasons = explanation.candidates.associate { it.server to it.skipped }
        expectThat(reasons[decodeServer(3)]).isEqualTo(SkipReason.SLOW)
        expectThat(reasons[prefillServer(1)]).isEqualTo(SkipReason.FAILED)
        expectThat(explanation.chosen).hasSize(2)
        expectThat(explanation.refusal).isNull()
        expectThat(explanation.predictedFirstToken).isNotNull().isGreaterThan(Duration.ZERO)
        val other = RouterFixture().apply {
            slowDown(3)
            servers.recordFailure(prefillServer(1), START)
        }
        expectThat(fixture.placed()).isEqualTo(other.placed())
    }

    @Test
    fun `the explanation of a refusal names reason and retry time`() {
        (0..5).forEach { fixture.servers.merge(summary(prefillServer(it), START, queuedWork = 20_000)) }
        val explanation = fixture.router.explain(fixture.completion(patience = 320.milliseconds), START)
        expectThat(explanation.refusal).isEqualTo(RefusalReason.CAPACITY)
        expectThat(explanation.retryAt).isNotNull().isGreaterThan(START)
        expectThat(explanation.candidates.map { it.server }).contains(decodeServer(0))
    }
}
