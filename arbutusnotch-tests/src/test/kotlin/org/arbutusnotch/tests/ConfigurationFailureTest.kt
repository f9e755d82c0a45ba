/*
 * Tests configuration changes while the platform serves an old revision or is down.
 */
package org.arbutusnotch.tests

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull
import org.arbutusnotch.testing.launch.Deployment
import org.arbutusnotch.testing.platform.PlatformFault
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class ConfigurationFailureTest {
    private lateinit var deployment: Deployment

    @BeforeEach
    fun start() {
        deployment = startDeployment()
    }

    @AfterEach
    fun stop() = deployment.close()

    /** Guards against a valid revision that some instance does not activate, and an invalid one that any activates. */
    @Test
    fun `a valid revision becomes active everywhere and an invalid one nowhere`() {
        expectThat(deployment.publish(operatorsFile().withRevision(2))).isTrue()
        awaitRevision(2)

        expectThat(deployment.publish("revision = 3\n")).isTrue()
        expectThat(deployment.publish(operatorsFile().withRevision(4))).isTrue()
        awaitRevision(4)
    }

    /** Guards against an instance that activates the old revision of a stale platform (property P8). */
    @Test
    fun `an instance that starts at a stale platform gets the newer revision from its peers`() {
        deployment.publish(operatorsFile().withRevision(2))
        awaitRevision(2)
        deployment.injectPlatformFault(PlatformFault.Stale(version = 1))
        deployment.process("instance-3").kill()
        deployment.restart("instance-3", 60.seconds)

        expectThat(deployment.instanceIds.map(::revision)).isEqualTo(listOf<Long?>(2, 2, 2))
    }

    /** Guards against an instance that cannot start, or serves without a configuration, while the platform is down. */
    @Test
    fun `an instance starts while the platform is down`() {
        deployment.publish(operatorsFile().withRevision(2))
        awaitRevision(2)
        deployment.injectPlatformFault(PlatformFault.Down)
        deployment.process("instance-1").kill()
        deployment.restart("instance-1", 60.seconds)

        expectThat(deployment.instanceIds.map(::revision)).isEqualTo(listOf<Long?>(2, 2, 2))
    }

    private fun awaitRevision(number: Long) =
        awaitCondition("revision $number on every instance") { deployment.instanceIds.all { revision(it) == number } }

    private fun revision(id: String): Long? = (deployment.status(id)?.get("revision") as? JsonPrimitive)?.longOrNull

    private fun String.withRevision(number: Int): String = replaceFirst("revision = 1", "revision = $number")
}
