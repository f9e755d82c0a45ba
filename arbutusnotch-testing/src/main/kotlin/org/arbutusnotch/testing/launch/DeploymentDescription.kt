/*
 * Description of a deployment on loopback.
 */
package org.arbutusnotch.testing.launch

import com.github.michaelbull.result.getOrElse
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.PoolKind
import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.settings.DeploymentConfigurationReader
import org.arbutusnotch.testing.engine.EngineRole

/** Describes an instance of the daemon. */
public data class InstanceDescription(public val id: String, public val failureDomain: String)

/**
 * Describes an emulated engine.
 *
 * @property templateAddress address of this server in the operators' file, which the launcher replaces
 * @property options additional command-line options of the emulator
 */
public data class EngineDescription(
    public val id: String,
    public val role: EngineRole,
    public val templateAddress: String,
    public val slots: Int,
    public val fencing: Boolean,
    public val options: List<String> = emptyList(),
)

/**
 * Describes an emulated plain service replica.
 *
 * @property templateAddress address of this server in the operators' file, which the launcher replaces
 * @property options additional command-line options of the emulator
 */
public data class ServiceDescription(
    public val id: String,
    public val templateAddress: String,
    public val slots: Int,
    public val options: List<String> = emptyList(),
)

/**
 * Describes a deployment.
 *
 * @property operatorsFile operators' file with the template addresses of the servers
 * @property policy name of the routing policy of every instance
 * @property limits additional keys of `[limits]` in the settings of every instance, such as `drain_seconds`
 * @property listLagMillis delay before the platform publishes a changed instance list
 * @property daemonFlags JVM flags of the instances
 * @property relayPeers whether connections between instances go through relays that can be cut; this sets
 * `peer_listen_address` in the settings of every instance
 */
public data class DeploymentDescription(
    public val name: String,
    public val operatorsFile: String,
    public val instances: List<InstanceDescription>,
    public val engines: List<EngineDescription>,
    public val services: List<ServiceDescription>,
    public val policy: String = "chosen",
    public val limits: Map<String, Int> = emptyMap(),
    public val listLagMillis: Long = 2_000,
    public val daemonFlags: List<String> = listOf("-XX:+UseSerialGC", "-Xmx192m"),
    public val relayPeers: Boolean = false,
) {
    public companion object {
        /**
         * Describes the deployment of [operatorsFile] with [instances] instances, distributed evenly over its failure
         * domains. Instances have the ids `instance-1`, `instance-2` and so on, servers the name of their pool and a
         * number.
         *
         * @throws IllegalArgumentException when the file is not valid
         */
        public fun of(operatorsFile: String, instances: Int): DeploymentDescription {
            val configuration = DeploymentConfigurationReader.read(operatorsFile.encodeToByteArray(), "operators.toml")
                .getOrElse { errors -> throw IllegalArgumentException(errors.joinToString("\n")) }
            val domains = configuration.servers.map { it.failureDomain.value }.distinct().sorted()
            val kinds = configuration.pools.associate { it.name to it.kind }
            val serversWithIds = serversWithIds(configuration)
            return DeploymentDescription(
                name = configuration.deployment,
                operatorsFile = operatorsFile,
                instances = (0 until instances).map {
                    InstanceDescription("instance-${it + 1}", domains[it % domains.size])
                },
                engines = serversWithIds.mapNotNull { (id, server) -> engine(id, server, kinds) },
                services = serversWithIds.filter { (_, server) -> kinds[server.pool] == PoolKind.SERVICE }
                    .map { (id, server) -> ServiceDescription(id, server.address.value, server.slots) },
            )
        }

        private fun serversWithIds(configuration: DeploymentConfiguration): List<Pair<String, ServerDefinition>> =
            configuration.servers.groupBy { it.pool }.flatMap { (pool, servers) ->
                servers.mapIndexed { index, server -> "$pool-${index + 1}" to server }
            }

        private fun engine(id: String, server: ServerDefinition, kinds: Map<PoolId, PoolKind>): EngineDescription? {
            val role = when (kinds[server.pool]) {
                PoolKind.PREFILL -> EngineRole.PREFILL
                PoolKind.DECODE -> EngineRole.DECODE
                PoolKind.SERVICE, null -> return null
            }
            return EngineDescription(id, role, server.address.value, server.slots, server.fencing)
        }
    }
}
