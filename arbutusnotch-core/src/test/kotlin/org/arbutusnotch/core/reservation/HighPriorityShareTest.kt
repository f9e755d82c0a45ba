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

/** Guards against planners who take the last slots while urgent callers arrive, and against idle slots without them. */
internal class HighPriorityShareTest {
    private val fixture = ReservationFixture(deployment(slots = 20))

    private fun fill() {
        repeat(20) { fixture.reserve("a$it") }
        fixture.reserve("waiting", patience = 20.seconds)
    }

    private fun renewAll() = fixture.report(*fixture.held().toTypedArray())

    @Test
    fun `low priorities leave two of twenty slots to high priorities under shortage`() {
        fill()
        fixture.reserve("urgent-0", priority = 9, patience = 5.seconds)
        expectThat(fixture.release("a0").granted()).contains("urgent-0")
        expectThat(fixture.release("a1")).isEmpty()
        expectThat(fixture.release("a2")).isEmpty()
        expectThat(fixture.release("a3").granted()).contains("waiting")
        expectThat(fixture.free()).isEqualTo(2)
    }

    @Test
    fun `a high priority gets a kept slot at once`() {
        fill()
        fixture.reserve("urgent-0", priority = 9, patience = 5.seconds)
        fixture.release("a0")
        fixture.release("a1")
        expectThat(fixture.reserve("urgent-1", priority = 9, patience = 10.milliseconds))
            .isA<ReservationDecision.Granted>()
    }

    @Test
    fun `without high priorities no slot stays idle`() {
        fill()
        expectThat(fixture.release("a0").granted()).contains("waiting")
    }

    @Test
    fun `without shortage low priorities use every slot`() {
        fixture.reserve("urgent", priority = 9)
        repeat(19) { expectThat(fixture.reserve("a$it")).isA<ReservationDecision.Granted>() }
    }

    @Test
    fun `the share is given back when no high priority was seen for a while`() {
        fill()
        fixture.reserve("urgent", priority = 9, patience = 5.seconds)
        fixture.release("a0")
        fixture.release("a1")
        repeat(6) {
            renewAll()
            fixture.after(1.seconds)
        }
        expectThat(fixture.held()).contains("waiting")
    }
}
