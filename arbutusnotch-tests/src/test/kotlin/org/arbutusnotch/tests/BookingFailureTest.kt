/*
 * Tests that non-idempotent bookings run at most once while processes crash, pause and are partitioned.
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

    /** Guards against a booking that is retried on another replica after it took effect (property P5). */
    @Test
    fun `a replica that crashes after the effect causes no second booking`() = withBookings { callers ->
        deployment.injectServiceFault("handheld-1", ServiceFault.CrashAfter())
        awaitCondition("crash of the replica") { !deployment.process("handheld-1").isAlive }
        callers.awaitFinished(REQUESTS)
        deployment.restart("handheld-1")
        callers.awaitAnswered(REQUESTS)
    }

    /** Guards against `not_run` as the outcome of bookings whose answer was lost (property P4). */
    @Test
    fun `lost answers are reported as unknown`() = withBookings { callers ->
        deployment.injectServiceFault("handheld-2", ServiceFault.DropAnswer(count = 5))
        callers.awaitFinished(REQUESTS)
        callers.awaitAnswered(REQUESTS)
    }

    /** Guards against a second execution when callers of a killed instance retry their bookings at another one. */
    @Test
    fun `a killed instance causes no second booking`() = withBookings { callers ->
        deployment.process("instance-1").kill()
        callers.awaitFinished(REQUESTS)
        deployment.restart("instance-1", RESTART_TIMEOUT)
        callers.awaitAnswered(REQUESTS)
    }

    /** Guards against an instance that continues after a pause with permits that expired during the pause. */
    @Test
    fun `a paused instance causes no second booking`() = withBookings { callers ->
        deployment.process("instance-2").pause()
        callers.awaitFinished(REQUESTS)
        deployment.process("instance-2").resume()
        callers.awaitAnswered(REQUESTS)
    }

    /** Guards against a booking that runs on both sides of a partition. */
    @Test
    fun `a partition causes no second booking`() = withBookings { callers ->
        deployment.links.cut("plateau", "almadies")
        deployment.links.cut("plateau", "rufisque")
        callers.awaitFinished(REQUESTS)
        deployment.links.heal()
        expectThat(deployment.awaitAllPeersReachable(RESTART_TIMEOUT)).isTrue()
        callers.awaitAnswered(REQUESTS)
    }

    private fun withBookings(injectFailure: (BackgroundCallers) -> Unit) {
        BackgroundCallers(deployment, workers = 8, create = ::booking).use { callers ->
            callers.awaitAnswered(REQUESTS)
            injectFailure(callers)
            verify(callers.finish())
        }
    }

    private fun verify(records: List<RequestRecord>) {
        val executionsByKey = deployment.executions().flatMap { it.executions }
            .groupBy { it.idempotencyKey }
            .mapValues { (_, counts) -> counts.sumOf { it.count } }
        println(records.summary())

        fun executionsOf(record: RequestRecord): Int = executionsByKey[record.idempotencyToken] ?: 0
        val duplicated = executionsByKey.filterValues { it > 1 }
        val falselyNotRun = records.filter { it.outcome == ObservedOutcome.NOT_RUN && executionsOf(it) > 0 }
        val falselyAnswered = records.filter { it.outcome == ObservedOutcome.ANSWERED && executionsOf(it) != 1 }
        val wrongAnswers = records.filter { it.outcome == ObservedOutcome.WRONG_ANSWER }
        expectThat(duplicated).isEmpty()
        expectThat(falselyNotRun.summary()).isEmpty()
        expectThat(falselyAnswered.summary()).isEmpty()
        expectThat(wrongAnswers.summary()).isEmpty()
    }

    private companion object {
        /** Number of requests that must end before a failure, and again after it, before the test continues. */
        const val REQUESTS = 40
        val RESTART_TIMEOUT = 60.seconds
    }
}
