/*
 * Tests that duplicated, lost and falsely refused bookings are counted.
 */
package org.arbutusnotch.testing.load

import org.arbutusnotch.testing.service.ExecutionCount
import org.arbutusnotch.testing.service.ExecutionReport
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration

class ExecutionCheckTest {
    private val caller = CallerProfile.demo("desk", 6)

    private fun record(number: Long, outcome: ObservedOutcome): RequestRecord {
        val call = PlannedRequest.ServiceCall(caller, "book", "booking", "book", idempotent = false, body = "{}")
        val scheduled = ScheduledRequest(number, Duration.ZERO, call)
        return RequestRecord(scheduled, outcome, reason = "", attempts = 1, entryAddress = "", total = Duration.ZERO)
    }

    private fun report(vararg keys: String?) =
        ExecutionReport("", keys.map { ExecutionCount("book", it, count = 1, epochMillis = listOf(0)) })

    /** Guards against duplicates on two replicas or under two prefixes, and lost or falsely refused bookings. */
    @Test
    fun `violations of the execution guarantees are counted`() {
        val records = listOf(
            record(1, ObservedOutcome.ANSWERED),
            record(2, ObservedOutcome.ANSWERED),
            record(3, ObservedOutcome.NOT_RUN),
            record(4, ObservedOutcome.UNKNOWN),
        )
        val check = ExecutionCheck.of(records, listOf(report("a.r1", "a.r3"), report("b.r1", null, null)))

        expectThat(check).isEqualTo(ExecutionCheck(duplicates = 1, lost = 1, falselyNotRun = 1))
    }
}
