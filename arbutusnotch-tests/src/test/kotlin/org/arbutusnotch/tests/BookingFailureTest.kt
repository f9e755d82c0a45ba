/*
 * Non-idempotent bookings while processes crash, pause and lose each other.
 */
package org.arbutusnotch.tests

import org.arbutusnotch.testing.launch.Deployment
import org.arbutusnotch.testing.load.ObservedOutcome
import org.arbutusnotch.testing.load.RequestRecord
import org.arbutusnotch.testing.service.ServiceFault
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BookingFailureTest {
    private lateinit var deployment: Deployment

    @BeforeAll
    fun start() {
        deployment = startDeployment(relayPeers = true)
    }

    @AfterAll
    fun stop() = deployment.close()

    /** Guards against a booking that is repeated on another replica after it took effect (property P5). */
    @Test
    fun `a replica that crashes after the effect causes no second booking`() = whileBooking { callers ->
        deployment.serviceFault("handheld-1", ServiceFault.CrashAfter())
        awaitState("crash of the replica") { !deployment.process("handheld-1").isAlive }
        callers.awaitMore(MORE)
        deployment.restart("handheld-1")
        callers.awaitAnswered(MORE)
    }

    /** Guards against `not_run` for bookings whose answer was lost (property P4). */
    @Test
    fun `lost answers are reported as unknown`() = whileBooking { callers ->
        deployment.serviceFault("handheld-2", ServiceFault.DropAnswer(count = 5))
        callers.awaitMore(MORE)
        callers.awaitAnswered(MORE)
    }

    /** Guards against a second execution when callers of a killed entry repeat their bookings elsewhere. */
    @Test
    fun `a killed instance causes no second booking`() = whileBooking { callers ->
        deployment.process("instance-1").kill()
        callers.awaitMore(MORE)
        deployment.restart("instance-1", RESTART_LIMIT)
        callers.awaitAnswered(MORE)
    }

    /** Guards against an instance that continues after a pause with permits that have expired meanwhile. */
    @Test
    fun `a paused instance causes no second booking`() = whileBooking { callers ->
        deployment.process("instance-2").pause()
        callers.awaitMore(MORE)
        deployment.process("instance-2").resume()
        callers.awaitAnswered(MORE)
    }

    /** Guards against two sides of a partition that both run the same booking. */
    @Test
    fun `a partition causes no second booking`() = whileBooking { callers ->
        deployment.links.cut("plateau", "almadies")
        deployment.links.cut("plateau", "rufisque")
        callers.awaitMore(MORE)
        deployment.links.heal()
        expectThat(deployment.awaitFullView(RESTART_LIMIT)).isTrue()
        callers.awaitAnswered(MORE)
    }

    private fun whileBooking(fail: (BusyCallers) -> Unit) {
        BusyCallers(deployment, workers = 8, create = ::booking).use { callers ->
            callers.awaitAnswered(MORE)
            fail(callers)
            check(callers.finish())
        }
    }

    private fun check(records: List<RequestRecord>) {
        val executions = deployment.executions().flatMap { it.executions }
            .groupBy { it.idempotencyKey }
            .mapValues { (_, counts) -> counts.sumOf { it.count } }
        println(records.summary())

        fun executed(record: RequestRecord): Int = executions[record.idempotencyToken] ?: 0
        val repeated = executions.filterValues { it > 1 }
        val falselyNotRun = records.filter { it.outcome == ObservedOutcome.NOT_RUN && executed(it) > 0 }
        val falselyAnswered = records.filter { it.outcome == ObservedOutcome.ANSWERED && executed(it) != 1 }
        val wrong = records.filter { it.outcome == ObservedOutcome.WRONG_ANSWER }
        expectThat(repeated).isEmpty()
        expectThat(falselyNotRun.summary()).isEmpty()
        expectThat(falselyAnswered.summary()).isEmpty()
        expectThat(wrong.summary()).isEmpty()
    }

    private companion object {
        /** Requests that end before a failure, and after it, before a test goes on. */
        const val MORE = 40
        val RESTART_LIMIT = 60.seconds
    }
}
