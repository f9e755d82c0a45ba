/*
 * Guards against a shutdown that interrupts requests or abandons tokens, and against one that does not report what it
 * interrupted.
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
    private val noWork = DrainWork(requests = 0, tokens = 0)
    private val drain = DrainState.begin(start + 5.seconds, start + 30.seconds, start + 60.seconds)

    @Test
    fun `a serving instance stays in entry point lists`() {
        expectThat(DrainState.Serving.advance(start, noWork)).isEqualTo(DrainState.Serving)
        expectThat(DrainState.Serving.leaving).isFalse()
        expectThat(drain.leaving).isTrue()
    }

    @Test
    fun `a shutdown first waits until the returned lists have expired`() {
        expectThat(drain.advance(start + 4.seconds, noWork)).isEqualTo(drain)
        expectThat(drain.advance(start + 5.seconds, noWork)).isA<DrainState.WaitingForTokens>()
    }

    @Test
    fun `a shutdown waits for running requests`() {
        val state = drain.advance(start + 5.seconds, DrainWork(requests = 1, tokens = 0))
        expectThat(state).isA<DrainState.FinishingRequests>()
        expectThat(state.advance(start + 50.seconds, DrainWork(requests = 1, tokens = 0))).isEqualTo(state)
        expectThat(state.advance(start + 50.seconds, noWork)).isEqualTo(DrainState.Done(0, 0))
    }

    @Test
    fun `a shutdown waits for issuer prefixes that have not been used yet`() {
        val state = drain.advance(start + 5.seconds, noWork)
        expectThat(state.advance(start + 29.seconds, noWork)).isEqualTo(state)
        expectThat(state.advance(start + 30.seconds, noWork)).isEqualTo(DrainState.Done(0, 0))
    }

    @Test
    fun `a token with a later expiry extends the shutdown`() {
        val work = DrainWork(requests = 0, tokens = 1, lastTokenExpiry = start + 40.seconds)
        val state = drain.advance(start + 20.seconds, noWork).advance(start + 30.seconds, work)
        expectThat(state.advance(start + 39.seconds, work)).isEqualTo(state)
        expectThat(state.advance(start + 40.seconds, noWork)).isEqualTo(DrainState.Done(0, 0))
    }

    @Test
    fun `the hard deadline ends every state and reports the interrupted work`() {
        val work = DrainWork(requests = 2, tokens = 3, lastTokenExpiry = start + 90.seconds)
        val finishing = drain.advance(start + 5.seconds, work)
        val waiting = drain.advance(start + 5.seconds, work.copy(requests = 0))
        listOf(drain, finishing).forEach {
            expectThat(it.advance(start + 60.seconds, work)).isEqualTo(DrainState.Done(2, 3))
        }
        expectThat(waiting.advance(start + 60.seconds, work.copy(requests = 0))).isEqualTo(DrainState.Done(0, 3))
    }

    @Test
    fun `an interrupted shutdown is done at once and stays done`() {
        val done = drain.interrupt(DrainWork(requests = 1, tokens = 2))
        expectThat(done).isEqualTo(DrainState.Done(1, 2))
        expectThat(done.interrupt(noWork).advance(start + 99.seconds, noWork)).isEqualTo(DrainState.Done(1, 2))
    }
}
