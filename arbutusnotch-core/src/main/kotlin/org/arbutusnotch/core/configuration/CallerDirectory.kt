/*
 * Lookup tables over a deployment configuration, built once for each active revision.
 */
package org.arbutusnotch.core.configuration

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.WorkspaceId

/** Identifies the sender of a request and the limits that the operators' file sets for it. */
public data class CallerIdentity(
    public val caller: String,
    public val client: ClientId,
    public val workspace: WorkspaceId,
    public val priority: Int,
    public val concurrentRequests: Int,
)

/** Finds callers by key digest, models by name and operations by path in [configuration]. */
public class CallerDirectory(public val configuration: DeploymentConfiguration) {
    private val callersByKey: Map<ContentDigest, CallerIdentity> = buildCallers()
    private val models = configuration.models.associateBy(ModelDefinition::name)
    private val services = configuration.services.associateBy(ServiceDefinition::name)
    private val serversByPool = configuration.servers.groupBy(ServerDefinition::pool)
    private val serversByAddress = configuration.servers.associateBy(ServerDefinition::address)

    /** Returns the caller whose key has the SHA-256 [keyDigest], or null. */
    public fun caller(keyDigest: ContentDigest): CallerIdentity? = callersByKey[keyDigest]

    /** Returns the model [name], or null. */
    public fun model(name: ModelId): ModelDefinition? = models[name]

    /** Returns the service [name], or null. */
    public fun service(name: String): ServiceDefinition? = services[name]

    /** Returns [operation] of [service], or null. */
    public fun operation(service: String, operation: String): OperationDefinition? =
        services[service]?.operations?.firstOrNull { it.name == operation }

    /** Returns the servers of [pool]. */
    public fun servers(pool: PoolId): List<ServerDefinition> = serversByPool[pool].orEmpty()

    /** Returns the server at [address], or null. */
    public fun server(address: BackendServerId): ServerDefinition? = serversByAddress[address]

    private fun buildCallers(): Map<ContentDigest, CallerIdentity> {
        val clients = configuration.clients.associateBy(ClientDefinition::name)
        val clientByWorkspace = configuration.workspaces.associate { it.name to it.client }
        return configuration.callers.mapNotNull { definition ->
            val client = clientByWorkspace[definition.workspace]?.let(clients::get) ?: return@mapNotNull null
            val identity = CallerIdentity(
                caller = definition.name,
                client = client.name,
                workspace = definition.workspace,
                priority = definition.priority,
                concurrentRequests = client.concurrentRequests,
            )
            definition.keySha256 to identity
        }.toMap()
    }
}
