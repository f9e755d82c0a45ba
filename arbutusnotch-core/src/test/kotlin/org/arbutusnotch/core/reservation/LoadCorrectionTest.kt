package org.arbutusnotch.core.reservation

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an owner that trusts a lagging report over its own count, or ignores requests that bypassed it. */
internal class LoadCorrectionTest {
    private val fixture = ReservationFixture()

    private fun applyLoadReport(active: Int, age: Duration, capacity: Int = 0): List<ReservationDecision> {
        val report = LoadReport(fixture.now - age, active, capacity = capacity)
        return fixture.table.applyLoadReport(fixture.server, report, fixture.now)
    }

    @Test
    fun `active requests that bypassed the owner take slots`() {
        fixture.reserve("a")
        fixture.advance(1.seconds)
        applyLoadReport(active = 3, age = 200.milliseconds)
        expectThat(fixture.freeSlots()).isEqualTo(1)
    }

    @Test
    fun `a report older than a release does not count the released request`() {
        repeat(4) { fixture.reserve("a$it") }
        fixture.advance(1.seconds)
        fixture.release("a0")
        fixture.release("a1")
        fixture.advance(500.milliseconds)
        applyLoadReport(active = 4, age = 1.seconds)
        expectThat(fixture.freeSlots()).isEqualTo(2)
    }

    @Test
    fun `a report older than a grant does not free the slot`() {
        fixture.reserve("a")
        applyLoadReport(active = 0, age = 2.seconds)
        expectThat(fixture.freeSlots()).isEqualTo(3)
    }

    @Test
    fun `an older report does not replace a newer one`() {
        applyLoadReport(active = 2, age = 100.milliseconds)
        applyLoadReport(active = 4, age = 2.seconds)
        expectThat(fixture.freeSlots()).isEqualTo(2)
    }

    @Test
    fun `an adopted attempt is not counted twice`() {
        applyLoadReport(active = 2, age = 100.milliseconds)
        fixture.report("a", "b")
        expectThat(fixture.freeSlots()).isEqualTo(2)
    }

    @Test
    fun `a correction expires when no further report arrives`() {
        applyLoadReport(active = 4, age = 100.milliseconds)
        fixture.advance(6.seconds)
        expectThat(fixture.freeSlots()).isEqualTo(4)
    }

    @Test
    fun `a server that reports fewer slots than configured gets fewer requests`() {
        applyLoadReport(active = 0, age = 100.milliseconds, capacity = 3)
        expectThat(fixture.freeSlots()).isEqualTo(3)
    }
}
