/*
 * Guards against a shutdown that interrupts requests or tokens, and against one that does not say what it interrupted.
 */
package org.arbutusnotch.core.membership

import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class DrainStateTest {
    private val start = Timestamp(100_000)
    private val nothing = DrainWork(requests = 0, tokens = 0)
    private val drain = DrainState.begin(start + 5.seconds, start + 30.seconds, start + 60.seconds)

    @Test
    fun `a serving instance stays in the lists`() {
        expectThat(DrainState.Serving.advance(start, nothing)).isEqualTo(DrainState.Serving)
        expectThat(DrainState.Serving.leaving).isFalse()
        expectThat(drain.leaving).isTrue()
    }

    @Test
    fun `lists that were returned expire before requests count as finished`() {
        expectThat(drain.advance(start + 4.seconds, nothing)).isEqualTo(drain)
        expectThat(drain.advance(start + 5.seconds, nothing)).isA<DrainState.WaitingForTokens>()
    }

    @Test
    fun `running requests are waited for`() {
        val state = drain.advance(start + 5.seconds, DrainWork(requests = 1, tokens = 0))
        expectThat(state).isA<DrainState.FinishingRequests>()
        expectThat(state.advance(start + 50.seconds, DrainWork(requests = 1, tokens = 0))).isEqualTo(state)
        expectThat(state.advance(start + 50.seconds, nothing)).isEqualTo(DrainState.Done(0, 0))
    }

    @Test
    fun `prefixes that callers hold are waited for although no record exists yet`() {
        val state = drain.advance(start + 5.seconds, nothing)
        expectThat(state.advance(start + 29.seconds, nothing)).isEqualTo(state)
        expectThat(state.advance(start + 30.seconds, nothing)).isEqualTo(DrainState.Done(0, 0))
    }

    @Test
    fun `a token that is used late moves the end`() {
        val work = DrainWork(requests = 0, tokens = 1, lastTokenExpiry = start + 40.seconds)
        val state = drain.advance(start + 20.seconds, nothing).advance(start + 30.seconds, work)
        expectThat(state.advance(start + 39.seconds, work)).isEqualTo(state)
        expectThat(state.advance(start + 40.seconds, nothing)).isEqualTo(DrainState.Done(0, 0))
    }

    @Test
    fun `the hard deadline ends each state and keeps what it interrupted`() {
        val work = DrainWork(requests = 2, tokens = 3, lastTokenExpiry = start + 90.seconds)
        val finishing = drain.advance(start + 5.seconds, work)
        val waiting = drain.advance(start + 5.seconds, work.copy(requests = 0))
        listOf(drain, finishing).forEach {
            expectThat(it.advance(start + 60.seconds, work)).isEqualTo(DrainState.Done(2, 3))
        }
        expectThat(waiting.advance(start + 60.seconds, work.copy(requests = 0))).isEqualTo(DrainState.Done(0, 3))
    }

    @Test
    fun `a second signal ends the shutdown at once and later work changes nothing`() {
        val done = drain.interrupt(DrainWork(requests = 1, tokens = 2))
        expectThat(done).isEqualTo(DrainState.Done(1, 2))
        expectThat(done.interrupt(nothing).advance(start + 99.seconds, nothing)).isEqualTo(DrainState.Done(1, 2))
    }
}
