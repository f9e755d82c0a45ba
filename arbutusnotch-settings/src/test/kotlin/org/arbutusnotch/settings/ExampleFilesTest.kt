/*
 * Tests that the readers accept the files in examples/.
 */
package org.arbutusnotch.settings

import com.github.michaelbull.result.get
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import kotlin.io.path.readText

class ExampleFilesTest {
    /** Guards against an example that no longer matches the sizes and operations in section 1 of the design page. */
    @Test
    fun `the Belfry file has the documented replicas and operations`() {
        val belfry = example("belfry.toml")
        expectThat(serversPerPool(belfry))
            .isEqualTo(mapOf("briefing-prefill" to 3, "briefing-decode" to 5, "booking" to 3))
        expectThat(belfry.servers.map { server -> server.failureDomain }.toSet()).hasSize(3)
        expectThat(nonIdempotentOperations(belfry)).containsExactlyInAnyOrder("book", "check-in")
        expectThat(idempotentOperations(belfry)).containsExactlyInAnyOrder("lookup")
    }

    /** Guards against an example that no longer matches the sizes and operations in section 1 of the design page. */
    @Test
    fun `the Ndiaye file has the documented replicas and operations`() {
        val ndiaye = example("ndiaye.toml")
        expectThat(serversPerPool(ndiaye)).isEqualTo(mapOf("sheet-prefill" to 2, "sheet-decode" to 4, "handheld" to 3))
        expectThat(ndiaye.servers.map { server -> server.failureDomain.value }.toSet())
            .containsExactlyInAnyOrder("plateau", "almadies", "rufisque")
        expectThat(nonIdempotentOperations(ndiaye)).containsExactlyInAnyOrder("pickup-booking", "delivery-confirmation")
        expectThat(idempotentOperations(ndiaye)).containsExactlyInAnyOrder("crate-status")
    }

    /** Guards against giving planners, which can wait, priority over handhelds and drivers, which cannot. */
    @Test
    fun `callers that cannot wait have the higher priority`() {
        val priorities = example("ndiaye.toml").callers.associate { caller -> caller.name to caller.priority }
        expectThat(priorities.getValue("movers-handhelds")).isGreaterThan(priorities.getValue("planners"))
        expectThat(priorities.getValue("drivers")).isGreaterThan(priorities.getValue("planners"))
    }

    /** Guards against a demo key in the comments that the example deployment does not accept. */
    @ParameterizedTest
    @ValueSource(strings = ["belfry.toml", "ndiaye.toml"])
    fun `each documented demo key has the digest of its caller`(file: String) {
        val documented = DEMO_KEY.findAll(EXAMPLES.resolve(file).readText()).map { match -> match.groupValues }.toList()
        expectThat(documented).isNotEmpty()
        expectThat(documented.filterNot { (_, digest, key) -> DigestUtils.sha256Hex(key) == digest }).isEmpty()
        expectThat(documented).hasSize(example(file).callers.size)
    }

    /** Guards against an invalid daemon example, and against documented defaults that differ from the actual ones. */
    @Test
    fun `the daemon settings are valid and show the defaults`() {
        val text = EXAMPLES.resolve("instance.toml").readText()
        val settings = DaemonSettingsReader.read(EXAMPLES.resolve("instance.toml")).get()
        expectThat(settings).isNotNull().get { limits }.isEqualTo(LimitSettings())
        val uncommented = text.replace(Regex("(?m)^# ([a-z_]+ = )"), "$1")
        val explicit = DaemonSettingsReader.read(uncommented, "instance.toml").get()
        expectThat(explicit).isEqualTo(settings)
    }

    private fun example(file: String): DeploymentConfiguration =
        checkNotNull(DeploymentConfigurationReader.read(EXAMPLES.resolve(file)).get()) { "$file is not valid" }

    private fun serversPerPool(configuration: DeploymentConfiguration): Map<String, Int> =
        configuration.servers.groupingBy { server -> server.pool.value }.eachCount()

    private fun nonIdempotentOperations(configuration: DeploymentConfiguration): List<String> =
        operations(configuration, idempotent = false)

    private fun idempotentOperations(configuration: DeploymentConfiguration): List<String> =
        operations(configuration, idempotent = true)

    private fun operations(configuration: DeploymentConfiguration, idempotent: Boolean): List<String> =
        configuration.services.flatMap { service -> service.operations }
            .filter { operation -> operation.idempotent == idempotent }
            .map { operation -> operation.name }

    private companion object {
        val DEMO_KEY = Regex("key_sha256 = \"([0-9a-f]{64})\" # demo key: (\\S+)")
    }
}
