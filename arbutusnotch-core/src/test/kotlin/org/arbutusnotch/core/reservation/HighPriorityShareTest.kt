package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.fixture.deployment
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against low priorities that take the last slots under high-priority demand, and idle slots without it. */
internal class HighPriorityShareTest {
    private val fixture = ReservationFixture(deployment(slots = 20))

    private fun fill() {
        repeat(20) { fixture.reserve("a$it") }
        fixture.reserve("waiting", maximumWait = 20.seconds)
    }

    private fun renewAll() = fixture.report(*fixture.reservedAttempts().toTypedArray())

    @Test
    fun `low priorities leave two of twenty slots to high priorities during a shortage`() {
        fill()
        fixture.reserve("urgent-0", priority = 9, maximumWait = 5.seconds)
        expectThat(fixture.release("a0").granted()).contains("urgent-0")
        expectThat(fixture.release("a1")).isEmpty()
        expectThat(fixture.release("a2")).isEmpty()
        expectThat(fixture.release("a3").granted()).contains("waiting")
        expectThat(fixture.freeSlots()).isEqualTo(2)
    }

    @Test
    fun `a high priority gets a withheld slot immediately`() {
        fill()
        fixture.reserve("urgent-0", priority = 9, maximumWait = 5.seconds)
        fixture.release("a0")
        fixture.release("a1")
        expectThat(fixture.reserve("urgent-1", priority = 9, maximumWait = 10.milliseconds))
            .isA<ReservationDecision.Granted>()
    }

    @Test
    fun `no slot stays idle without high-priority requests`() {
        fill()
        expectThat(fixture.release("a0").granted()).contains("waiting")
    }

    @Test
    fun `low priorities use every slot without a shortage`() {
        fixture.reserve("urgent", priority = 9)
        repeat(19) { expectThat(fixture.reserve("a$it")).isA<ReservationDecision.Granted>() }
    }

    @Test
    fun `low priorities get the withheld slots after five seconds without a high-priority request`() {
        fill()
        fixture.reserve("urgent", priority = 9, maximumWait = 5.seconds)
        fixture.release("a0")
        fixture.release("a1")
        repeat(6) {
            renewAll()
            fixture.advance(1.seconds)
        }
        expectThat(fixture.reservedAttempts()).contains("waiting")
    }
}
