package org.arbutusnotch.core.reservation

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an owner that trusts a lagging report more than its own count, or ignores requests it cannot see. */
internal class LoadCorrectionTest {
    private val fixture = ReservationFixture()

    private fun correct(active: Int, age: Duration, capacity: Int = 0) =
        fixture.table.correct(fixture.server, LoadReport(fixture.now - age, active, capacity = capacity), fixture.now)

    @Test
    fun `requests that did not pass through the owner take slots`() {
        fixture.reserve("a")
        fixture.after(1.seconds)
        correct(active = 3, age = 200.milliseconds)
        expectThat(fixture.free()).isEqualTo(1)
    }

    @Test
    fun `a report from before a release does not count the released request`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.after(1.seconds)
        fixture.release("a0")
        fixture.release("a1")
        fixture.after(500.milliseconds)
        correct(active = 4, age = 1.seconds)
        expectThat(fixture.free()).isEqualTo(2)
    }

    @Test
    fun `a report from before a grant does not free the slot`() {
        fixture.reserve("a")
        correct(active = 0, age = 2.seconds)
        expectThat(fixture.free()).isEqualTo(3)
    }

    @Test
    fun `an older report does not replace a newer one`() {
        correct(active = 2, age = 100.milliseconds)
        correct(active = 4, age = 2.seconds)
        expectThat(fixture.free()).isEqualTo(2)
    }

    @Test
    fun `an adopted attempt is not counted twice`() {
        correct(active = 2, age = 100.milliseconds)
        fixture.report("a", "b")
        expectThat(fixture.free()).isEqualTo(2)
    }

    @Test
    fun `a correction is forgotten when no further report arrives`() {
        correct(active = 4, age = 100.milliseconds)
        fixture.after(6.seconds)
        expectThat(fixture.free()).isEqualTo(4)
    }

    @Test
    fun `a server that reports fewer slots than configured gets fewer requests`() {
        correct(active = 0, age = 100.milliseconds, capacity = 3)
        expectThat(fixture.free()).isEqualTo(3)
    }
}
