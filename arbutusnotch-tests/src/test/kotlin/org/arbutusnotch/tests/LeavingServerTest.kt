/*
 * A backend server that operators take out of service while callers keep sending.
 */
package org.arbutusnotch.tests

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class LeavingServerTest {
    /** Guards against new work for a leaving backend server (property P6), and against a pool that stops with it. */
    @Test
    fun `a leaving server receives no new work after five seconds`() {
        startDeployment().use { deployment ->
            BusyCallers(deployment, workers = 4) { completion(it) }.use { callers ->
                callers.awaitAnswered(ANSWERS)
                val publishedAt = System.currentTimeMillis()
                expectThat(deployment.publish(leaving(SERVER))).isTrue()
                val noWorkAfter = publishedAt + LEAVING_LIMIT.inWholeMilliseconds
                awaitState("end of the leaving time") { System.currentTimeMillis() > noWorkAfter }
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

        /** The users allow a few seconds. */
        val LEAVING_LIMIT = 5.seconds
    }
}
