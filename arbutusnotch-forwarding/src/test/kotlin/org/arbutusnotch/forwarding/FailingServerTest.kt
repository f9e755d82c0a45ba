/*
 * A backend server that fails every request at once is always free. The requests of its pool go to the other servers,
 * except for a few that show whether it has recovered.
 */
package org.arbutusnotch.forwarding

import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.forwarding.fixture.AnswerWriter
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.arbutusnotch.forwarding.fixture.testServer
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class FailingServerTest {
    enum class Fault { SERVER_ERROR, NO_ANSWER }

    private fun AnswerWriter.fail(fault: Fault) = when (fault) {
        Fault.SERVER_ERROR -> answer(status = "500 Internal Server Error")
        Fault.NO_ANSWER -> write("HTTP/1.1 200 OK\r\nx\u0001y: v\r\n\r\n")
    }

    /** Guards against a server that fails at once and draws the requests that another one would answer. */
    @ParameterizedTest
    @CsvSource(
        "SERVER_ERROR, safe",
        "SERVER_ERROR, once",
        "SERVER_ERROR, stream",
        "NO_ANSWER, safe",
        "NO_ANSWER, once",
        "NO_ANSWER, stream",
    )
    fun `server that fails at once gets no more than its probes`(fault: Fault, route: String) {
        val failed = AtomicInteger()
        val sound = AtomicInteger()
        val servers = listOf(
            ScriptedServer {
                failed.incrementAndGet()
                fail(fault)
            },
            ScriptedServer {
                Thread.sleep(ANSWER_MILLIS)
                sound.incrementAndGet()
                if (route == "stream") streamOfOneEvent() else answer()
            },
        )
        val stage = if (route == "stream") ServerStage.DECODE else ServerStage.WHOLE
        val registered = servers.mapIndexed { index, server -> testServer("s$index", server.address, stage) }
        InstanceFixture(servers = registered).use { fixture ->
            awaitUntil("the server has failed") {
                fixture.call(route)
                failed.get() >= NOTICED_FAILURES
            }
            fixture.callFor(WARM_UP_TIME, route)
            failed.set(0)
            sound.set(0)
            fixture.callFor(MEASURED_TIME, route)
            val metrics = fixture.get(fixture.metricsAddress, "/metrics")?.body.orEmpty()
            expectThat(metrics.lines().filter { "server_failure_changes" in it && "held_back" in it }).isNotEmpty()
        }
        servers.forEach { it.close() }
        expectThat(sound.get()).isGreaterThan(0)
        expectThat(failed.get()).isLessThanOrEqualTo(MEASURED_TIME.inWholeSeconds.toInt())
    }

    private fun InstanceFixture.callFor(time: Duration, route: String) {
        val end = TimeSource.Monotonic.markNow() + time
        while (end.hasNotPassedNow()) call(route)
    }

    private fun InstanceFixture.call(route: String) =
        call("/$route/x", "r${requests.incrementAndGet()}", "tokens: 100,10\r\n")

    private val requests = AtomicInteger()

    private companion object {
        /** Failures after which a server counts as failing. */
        const val NOTICED_FAILURES = 4

        /** Time after which the probes are 1.6 seconds apart or more. */
        val WARM_UP_TIME = 2.seconds

        /** Time in which the requests are counted. */
        val MEASURED_TIME = 2.seconds
        const val ANSWER_MILLIS = 20L
    }
}
