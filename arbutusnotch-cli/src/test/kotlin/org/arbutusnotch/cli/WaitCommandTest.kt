/*
 * Tests `arbutusnotchctl wait`.
 */
package org.arbutusnotch.cli

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class WaitCommandTest {
    /** Guards against a wait that ends while an instance still routes with the previous revision. */
    @Test
    fun `the wait ends when the revision is active on the last instance`() = withChain(3) { instances ->
        instances.forEach { it.revision = { 8 } }
        instances.last().revision = { earlierReads -> if (earlierReads < 3) 7 else 8 }
        val result = waitFor(8, instances.first())
        expectThat(result.exitCode).isEqualTo(0)
        expectThat(result.standardOutput).contains("revision 8 is active on all 3 instances")
        expectThat(instances.last().requests.size).isGreaterThan(3)
    }

    /** Guards against a wait that fails because a later revision was published meanwhile. */
    @Test
    fun `a later revision counts as reached`() = withChain(2) { instances ->
        instances.forEach { it.revision = { 9 } }
        expectThat(waitFor(8, instances.first()).exitCode).isEqualTo(0)
    }

    /** Guards against an error that does not name the lagging instances. */
    @Test
    fun `lagging instances are listed with their active revision`() = withChain(3) { instances ->
        instances.first().revision = { 8 }
        instances[1].revision = { 7 }
        instances[2].revision = { null }
        val result = waitFor(8, instances.first(), "--timeout", "1")
        expectThat(result.exitCode).isEqualTo(1)
        expectThat(result.standardOutput).isEmpty()
        expectThat(result.standardError)
            .contains("revision 8 is not active on 2 of 3 instances after 1s:")
            .contains("${instances[1].address}: serving, revision 7 active")
            .contains("${instances[2].address}: serving, no revision active")
    }

    /** Guards against reporting success although an instance could not be queried. */
    @Test
    fun `an unreachable instance counts as lagging`() {
        val stopped = unusedAddress()
        FakeInstance().use { instance ->
            instance.peerAddresses = listOf(stopped)
            instance.revision = { 8 }
            val result = waitFor(8, instance, "--timeout", "1")
            expectThat(result.exitCode).isEqualTo(1)
            expectThat(result.standardError).contains("$stopped: unreachable: ")
                .contains("; reached by 1 of its peers")
        }
    }

    /** Guards against accepting, or waiting on, a revision with different content per instance; none can repair it. */
    @Test
    fun `different content of the revision ends the wait immediately`() = withChain(2) { instances ->
        instances.forEach { it.revision = { 8 } }
        instances.last().digest = "b".repeat(64)
        val duration = measureTime {
            val result = waitFor(8, instances.first(), "--timeout", "30")
            expectThat(result.exitCode).isEqualTo(1)
            expectThat(result.standardError).contains("different content").contains("b".repeat(64))
        }
        expectThat(duration).isLessThan(10.seconds)
    }

    /** Guards against a network failure that looks like a slow deployment. */
    @Test
    fun `exit code is 3 when no instance responds`() {
        val result = arbutusnotchctl("wait", "--revision", "8", "--timeout", "1", "--instance", unusedAddress())
        expectThat(result.exitCode).isEqualTo(3)
    }

    /** Guards against JSON without the lagging instances, which would force scripts to parse text. */
    @Test
    fun `JSON lists the lagging instances`() = withChain(2) { instances ->
        instances.first().revision = { 8 }
        instances.last().revision = { 7 }
        val result = waitFor(8, instances.first(), "--timeout", "1", "--output", "json")
        val wait = Json.decodeFromString<WaitResult>(result.standardOutput)
        expectThat(wait.reached).isEqualTo(false)
        expectThat(wait.lagging).isEqualTo(listOf(instances.last().address))
        expectThat(wait.instances.toSet()).isEqualTo(instances.map { it.address }.toSet())
    }

    private fun waitFor(revision: Int, instance: FakeInstance, vararg options: String): CommandResult =
        arbutusnotchctl("wait", "--revision", "$revision", "--instance", instance.address, *options)
}
