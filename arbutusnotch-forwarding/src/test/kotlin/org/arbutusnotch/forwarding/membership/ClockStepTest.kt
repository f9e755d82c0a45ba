/*
 * Tests instances, in separate processes, whose wall clock steps back between two starts.
 */
package org.arbutusnotch.forwarding.membership

import org.arbutusnotch.forwarding.fixture.InstanceProcess
import org.arbutusnotch.forwarding.fixture.TestPorts
import org.arbutusnotch.forwarding.fixture.awaitUntil
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isNotNull
import java.nio.file.Path

class ClockStepTest {
    @TempDir
    lateinit var directory: Path

    private val stepping = "127.0.0.1:${TestPorts.next()}"
    private val steady = "127.0.0.1:${TestPorts.next()}"

    /** Guards against a restarted instance whose messages all others ignore because its clock stepped back. */
    @Test
    @Tag("known-red")
    fun `instance that restarts with an earlier clock becomes reachable`() {
        InstanceProcess(steady, seed = stepping, stepMillis = 0, directory.resolve("steady")).use { observer ->
            InstanceProcess(stepping, seed = steady, stepMillis = STEP_MILLIS, directory.resolve("first")).use {
                awaitUntil("the first start is seen", ::logs) { observer.viewChanges().any { "BecameReachable" in it } }
            }
            InstanceProcess(stepping, seed = steady, stepMillis = 0, directory.resolve("second")).use { second ->
                awaitUntil("the second start is seen", ::logs) {
                    observer.viewChanges().lastOrNull { "$stepping/" in it }?.contains("BecameReachable") == true &&
                        observer.viewChanges().any { "Replaced" in it }
                }
                val raised = second.viewChanges().firstOrNull { "IncarnationRaised" in it }
                expectThat(raised).isNotNull().contains("$stepping/")
                Thread.sleep(SUSPICION_MILLIS)
                expectThat(observer.viewChanges().last { "$stepping/" in it }).contains("BecameReachable")
            }
        }
    }

    /** Returns the logs of all processes, without which a failure cannot be traced. */
    private fun logs() = directory.toFile().listFiles().orEmpty().sorted()
        .joinToString("") { "\n${it.name}:\n${it.readText()}" }

    private companion object {
        const val STEP_MILLIS = 5_000L

        /** Longer than an instance stays reachable without an accepted heartbeat. */
        const val SUSPICION_MILLIS = 2_000L
    }
}
