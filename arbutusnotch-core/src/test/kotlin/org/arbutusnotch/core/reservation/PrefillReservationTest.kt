package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.prefillServer
import org.arbutusnotch.core.message.ReservationKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against counting a prefill of 10,000 tokens like one of 100 tokens. */
internal class PrefillReservationTest {
    private val fixture = ReservationFixture(
        configuration = deployment(slots = 20),
        server = prefillServer(0),
        kind = ReservationKind.PREFILL,
    )

    @Test
    fun `a long prefill occupies the server although slots are free`() {
        fixture.reserve("long", work = 20_000)
        expectThat(fixture.reserve("next", work = 1_000, maximumWait = 5.seconds)).isA<ReservationDecision.Queued>()
    }

    @Test
    fun `short prefills are granted in advance, so that the server is not idle between them`() {
        fixture.reserve("first", work = 100)
        expectThat(fixture.reserve("second", work = 100)).isA<ReservationDecision.Granted>()
    }

    @Test
    fun `the wait is predicted from the uncached tokens ahead and the observed speed`() {
        fixture.reserve("warm", work = 9_800)
        fixture.now += 1.seconds
        fixture.report("warm", finished = true, tokens = 9_800, elapsed = 1.seconds)
        fixture.reserve("first", work = 9_800)
        val queued = fixture.reserve("second", priority = 4, work = 4_800, maximumWait = 5.seconds)
        expectThat(queued).isA<ReservationDecision.Queued>().get { predictedStart - fixture.now }
            .isGreaterThan(950.milliseconds)
            .isLessThan(1_050.milliseconds)
        expectThat(fixture.reserve("short-wait", work = 100, maximumWait = 1.2.seconds))
            .isA<ReservationDecision.Refused>()
            .get { retryAt - fixture.now }
            .isGreaterThan(1_400.milliseconds)
    }

    @Test
    fun `the predicted wait decreases while a prefill runs`() {
        fixture.reserve("first", work = 19_800)
        fixture.now += 800.milliseconds
        val queued = fixture.reserve("second", work = 4_800, maximumWait = 5.seconds)
        expectThat(queued).isA<ReservationDecision.Queued>().get { predictedStart - fixture.now }
            .isEqualTo(200.milliseconds)
    }

    @Test
    fun `a prefill that overruns its prediction increases the predicted wait`() {
        fixture.reserve("first", work = 3_800)
        fixture.now += 1.seconds
        val queued = fixture.reserve("second", work = 4_800, maximumWait = 5.seconds)
        expectThat(queued).isA<ReservationDecision.Queued>().get { predictedStart - fixture.now }
            .isEqualTo(400.milliseconds)
    }

    @Test
    fun `a finished prefill starts the next one by priority`() {
        fixture.reserve("first", work = 9_800)
        fixture.reserve("low", work = 4_000, maximumWait = 8.seconds)
        fixture.reserve("high", work = 4_000, priority = 9, maximumWait = 9.seconds)
        expectThat(fixture.release("first").granted()).containsExactly("high")
    }

    @Test
    fun `the summary reports the reserved and unfinished tokens`() {
        fixture.reserve("first", work = 9_800)
        fixture.reserve("second", work = 4_000, maximumWait = 8.seconds)
        expectThat(fixture.table.summary(fixture.server, fixture.now)?.queuedWork).isEqualTo(13_800)
    }

    @Test
    fun `work that only the server reports delays the next prefill`() {
        val report = LoadReport(fixture.now, active = 1, queuedPrefillTokens = 20_000)
        fixture.table.applyLoadReport(fixture.server, report, fixture.now)
        expectThat(fixture.reserve("first", work = 1_000, maximumWait = 5.seconds)).isA<ReservationDecision.Queued>()
        expectThat(fixture.advance(1_100.milliseconds).granted()).containsExactly("first")
    }
}
