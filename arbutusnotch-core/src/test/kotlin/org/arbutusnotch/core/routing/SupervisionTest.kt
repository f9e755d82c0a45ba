package org.arbutusnotch.core.routing

import org.arbutusnotch.core.fixture.START
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against streams that stay on a stalled server, and against moves that cost more than they save. */
internal class SupervisionTest {
    private val interval = 26.milliseconds
    private val resumeCost = 200.milliseconds

    /** Returns a stream that received [count] tokens at intervals of [each]. */
    private fun stream(count: Int, each: Duration): StreamWatch =
        (1..count).fold(StreamWatch.start(START, interval)) { watch, _ -> watch.received(watch.lastTokenAt + each) }

    @Test
    fun `a stream without a token for eight intervals moves`() {
        val watch = stream(10, interval)
        val last = watch.lastTokenAt
        expectThat(watch.decide(last + 200.milliseconds, false, 100, resumeCost)).isEqualTo(StreamAction.Continue)
        expectThat(watch.decide(last + 208.milliseconds, false, 100, resumeCost))
            .isEqualTo(StreamAction.Resume(ResumeReason.NO_TOKEN))
    }

    @Test
    fun `each token extends the deadline`() {
        val watch = stream(10, interval)
        val later = watch.received(watch.lastTokenAt + 190.milliseconds)
        expectThat(later.isAtRisk(watch.nextTokenDeadline)).isFalse()
    }

    @Test
    fun `the first token may take its predicted time`() {
        val watch = StreamWatch.start(START, interval, firstTokenAfter = 2.seconds)
        expectThat(watch.isAtRisk(START + 2.seconds)).isFalse()
        expectThat(watch.isAtRisk(START + 2.3.seconds)).isTrue()
    }

    @Test
    fun `a slow stream on an excluded server moves when many tokens are left`() {
        val watch = stream(10, interval * 5)
        expectThat(watch.decide(watch.lastTokenAt, true, 100, resumeCost))
            .isEqualTo(StreamAction.Resume(ResumeReason.SLOW_SERVER))
    }

    @Test
    fun `a slow stream that is nearly done stays`() {
        val watch = stream(10, interval * 5)
        expectThat(watch.decide(watch.lastTokenAt, true, 2, resumeCost)).isEqualTo(StreamAction.Continue)
    }

    @Test
    fun `a slow stream stays when a resume costs more than the rest of a slowdown`() {
        val watch = stream(10, interval * 5)
        expectThat(watch.decide(watch.lastTokenAt, true, 100, 2.seconds)).isEqualTo(StreamAction.Continue)
    }

    @Test
    fun `a stream of usual speed stays on an excluded server`() {
        val watch = stream(10, interval)
        expectThat(watch.decide(watch.lastTokenAt, true, 100, resumeCost)).isEqualTo(StreamAction.Continue)
    }

    @Test
    fun `a stream that has all its tokens does not move`() {
        val watch = stream(10, interval)
        expectThat(watch.decide(watch.lastTokenAt + 5.seconds, true, 0, resumeCost)).isEqualTo(StreamAction.Continue)
    }

    @Test
    fun `a prefill is late at one and a half times its predicted time`() {
        val watch = PrefillWatch.start(200.milliseconds, START)
        expectThat(watch.isLate(START + 299.milliseconds)).isFalse()
        expectThat(watch.isLate(START + 300.milliseconds)).isTrue()
    }

    @Test
    fun `a short prefill is not late before a few tens of milliseconds`() {
        expectThat(PrefillWatch.start(5.milliseconds, START).isLate(START + 30.milliseconds)).isFalse()
    }

    @Test
    fun `a second prefill starts only when it can end before the deadline`() {
        val watch = PrefillWatch.start(200.milliseconds, START)
        val late = START + 300.milliseconds
        expectThat(watch.decide(late, 200.milliseconds, START + 1.seconds)).isEqualTo(PrefillAction.StartSecond)
        expectThat(watch.decide(late, 200.milliseconds, START + 400.milliseconds)).isEqualTo(PrefillAction.Wait)
        expectThat(watch.decide(START, 200.milliseconds, START + 1.seconds)).isEqualTo(PrefillAction.Wait)
    }
}
