/*
 * Tests that a backend server gets no new work after operators take it out of service.
 */
package org.arbutusnotch.tests

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class LeavingServerTest {
    /** Guards against new work for a leaving backend server (property P6), and a pool that stops serving with it. */
    @Test
    fun `a leaving server receives no new work after five seconds`() {
        startDeployment().use { deployment ->
            BackgroundCallers(deployment, workers = 4) { completion(it) }.use { callers ->
                callers.awaitAnswered(ANSWERS)
                val publishedAt = System.currentTimeMillis()
                expectThat(deployment.publish(leaving(SERVER))).isTrue()
                val noWorkAfter = publishedAt + LEAVING_GRACE.inWholeMilliseconds
                awaitCondition("end of the grace period") { System.currentTimeMillis() > noWorkAfter }
                callers.awaitAnswered(ANSWERS)
                callers.finish()
                val accepted = deployment.description.engines.map {
                    it.id
                }.filter { "decode" in it }.associateWith { id ->
                    checkNotNull(deployment.engineStatistics(id)).accepted.filter { it.epochMillis > noWorkAfter }
                }
                expectThat(accepted.getValue("sheet-decode-1")).isEmpty()
                expectThat(accepted.values.flatten()).isNotEmpty()
            }
        }
    }

    private fun leaving(address: String): String {
        val file = operatorsFile().replaceFirst("revision = 1", "revision = 2")
        val (before, after) = file.split("address = \"$address\"", limit = 2)
        return before + "address = \"$address\"" + after.replaceFirst("state = \"live\"", "state = \"leaving\"")
    }

    private companion object {
        const val SERVER = "127.0.0.1:22201"
        const val ANSWERS = 20

        /** Time after publication in which users accept new work for the server: a few seconds. */
        val LEAVING_GRACE = 5.seconds
    }
}
