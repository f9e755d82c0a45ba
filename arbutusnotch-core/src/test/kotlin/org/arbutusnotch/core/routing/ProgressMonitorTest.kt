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

/** Guards against streams that stay on a stalled server, and against resumes that cost more than they save. */
internal class ProgressMonitorTest {
    private val interval = 26.milliseconds
    private val resumeCost = 200.milliseconds

    /** Returns the monitor of a stream that received [count] tokens at intervals of [tokenInterval]. */
    private fun streamMonitor(count: Int, tokenInterval: Duration): StreamMonitor =
        (1..count).fold(StreamMonitor.start(START, interval)) { monitor, _ ->
            monitor.received(monitor.lastTokenAt + tokenInterval)
        }

    @Test
    fun `a stream without a token for eight intervals is resumed elsewhere`() {
        val monitor = streamMonitor(10, interval)
        val lastTokenAt = monitor.lastTokenAt
        expectThat(monitor.decide(lastTokenAt + 200.milliseconds, false, 100, resumeCost))
            .isEqualTo(StreamAction.Continue)
        expectThat(monitor.decide(lastTokenAt + 208.milliseconds, false, 100, resumeCost))
            .isEqualTo(StreamAction.Resume(ResumeReason.NO_TOKEN))
    }

    @Test
    fun `each token extends the deadline for the next token`() {
        val monitor = streamMonitor(10, interval)
        val updated = monitor.received(monitor.lastTokenAt + 190.milliseconds)
        expectThat(updated.isAtRisk(monitor.nextTokenDeadline)).isFalse()
    }

    @Test
    fun `a stream is not at risk before its predicted first token`() {
        val monitor = StreamMonitor.start(START, interval, firstTokenAfter = 2.seconds)
        expectThat(monitor.isAtRisk(START + 2.seconds)).isFalse()
        expectThat(monitor.isAtRisk(START + 2.3.seconds)).isTrue()
    }

    @Test
    fun `a slow stream on an excluded server is resumed elsewhere when many tokens remain`() {
        val monitor = streamMonitor(10, interval * 5)
        expectThat(monitor.decide(monitor.lastTokenAt, true, 100, resumeCost))
            .isEqualTo(StreamAction.Resume(ResumeReason.SLOW_SERVER))
    }

    @Test
    fun `a slow stream with few remaining tokens continues`() {
        val monitor = streamMonitor(10, interval * 5)
        expectThat(monitor.decide(monitor.lastTokenAt, true, 2, resumeCost)).isEqualTo(StreamAction.Continue)
    }

    @Test
    fun `a slow stream continues when a resume costs more than the remaining slowdown`() {
        val monitor = streamMonitor(10, interval * 5)
        expectThat(monitor.decide(monitor.lastTokenAt, true, 100, 2.seconds)).isEqualTo(StreamAction.Continue)
    }

    @Test
    fun `a stream at the expected speed continues on an excluded server`() {
        val monitor = streamMonitor(10, interval)
        expectThat(monitor.decide(monitor.lastTokenAt, true, 100, resumeCost)).isEqualTo(StreamAction.Continue)
    }

    @Test
    fun `a stream without remaining tokens continues`() {
        val monitor = streamMonitor(10, interval)
        expectThat(monitor.decide(monitor.lastTokenAt + 5.seconds, true, 0, resumeCost))
            .isEqualTo(StreamAction.Continue)
    }

    @Test
    fun `a prefill is late at one and a half times its predicted time`() {
        val monitor = PrefillMonitor.start(200.milliseconds, START)
        expectThat(monitor.isLate(START + 299.milliseconds)).isFalse()
        expectThat(monitor.isLate(START + 300.milliseconds)).isTrue()
    }

    @Test
    fun `a short prefill is not late within the minimum lateness`() {
        expectThat(PrefillMonitor.start(5.milliseconds, START).isLate(START + 30.milliseconds)).isFalse()
    }

    @Test
    fun `a second prefill starts only when it can finish by the deadline`() {
        val monitor = PrefillMonitor.start(200.milliseconds, START)
        val lateTime = START + 300.milliseconds
        expectThat(monitor.decide(lateTime, 200.milliseconds, START + 1.seconds))
            .isEqualTo(PrefillAction.StartSecondPrefill)
        expectThat(monitor.decide(lateTime, 200.milliseconds, START + 400.milliseconds)).isEqualTo(PrefillAction.Wait)
        expectThat(monitor.decide(START, 200.milliseconds, START + 1.seconds)).isEqualTo(PrefillAction.Wait)
    }
}
