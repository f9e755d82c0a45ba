/*
 * The arrays of tables of an operators' file, and the checks of uniqueness and references across them.
 */
package org.arbutusnotch.settings

import org.arbutusnotch.core.configuration.CallerDefinition
import org.arbutusnotch.core.configuration.ClientDefinition
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.LatencyTargets
import org.arbutusnotch.core.configuration.ModelDefinition
import org.arbutusnotch.core.configuration.OperationDefinition
import org.arbutusnotch.core.configuration.PoolDefinition
import org.arbutusnotch.core.configuration.PoolKind
import org.arbutusnotch.core.configuration.ServerDefinition
import org.arbutusnotch.core.configuration.ServerState
import org.arbutusnotch.core.configuration.ServiceDefinition
import org.arbutusnotch.core.configuration.WorkspaceDefinition
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.WorkspaceId
import kotlin.time.Duration.Companion.milliseconds

/**
 * Holds one table with the values that the checks across tables use; each is null when the file has no valid one.
 *
 * @property references names of entries in other tables, by the key that refers to them
 */
internal class TableEntry<out T>(
    val reader: TomlTableReader,
    val name: String?,
    val references: Map<String, String?> = emptyMap(),
    val definition: T?,
)

/** Reads all arrays of tables of [document]. */
internal class DeploymentTables(private val document: TomlTableReader) {
    private val clients = document.tables("clients").map { it.client() }
    private val workspaces = document.tables("workspaces").map { it.workspace() }
    private val callers = document.tables("callers").map { it.caller() }
    private val models = document.tables("models").map { it.model() }
    private val pools = document.tables("pools").map { it.pool() }
    private val servers = document.tables("servers").map { it.server() }
    private val services = document.tables("services").map { it.service() }

    fun checkUniqueness() {
        listOf<List<TableEntry<Any>>>(clients, workspaces, callers, models, pools, services).forEach {
            it.requireUnique("name") { name }
        }
        servers.requireUnique("address") { name }
        callers.requireUnique("key_sha256") { definition?.keySha256?.value }
    }

    fun checkReferences() {
        workspaces.requireDeclared("client", clients.declaredNames())
        callers.requireDeclared("workspace", workspaces.declaredNames())
        servers.requireDeclared("pool", pools.declaredNames())
        models.requirePoolOfKind("prefill_pool", PoolKind.PREFILL)
        models.requirePoolOfKind("decode_pool", PoolKind.DECODE)
        services.requirePoolOfKind("pool", PoolKind.SERVICE)
        requireServersInEachPool()
        requireEachPoolUsed()
        requireModelOrService()
    }

    fun configuration(revision: RevisionNumber, deployment: String, targets: LatencyTargets) = DeploymentConfiguration(
        revision = revision,
        deployment = deployment,
        targets = targets,
        clients = clients.definitions(),
        workspaces = workspaces.definitions(),
        callers = callers.definitions(),
        models = models.definitions(),
        pools = pools.definitions(),
        servers = servers.definitions(),
        services = services.definitions(),
    )

    private fun requireServersInEachPool() {
        val poolsWithServers = servers.mapNotNull { server -> server.references["pool"] }.toSet()
        pools.filter { pool -> pool.name != null && pool.name !in poolsWithServers }.forEach { pool ->
            pool.reader.reportError(
                "name",
                "pool \"${pool.name}\" without servers",
                "at least one [[servers]] entry with this pool",
            )
        }
    }

    /** Reports unused pools; a file truncated before its models or services still declares their pools. */
    private fun requireEachPoolUsed() {
        val referencedPools = (models + services).flatMap { user -> user.references.values }.toSet()
        pools.filter { pool -> pool.name != null && pool.name !in referencedPools }.forEach { pool ->
            pool.reader.reportError("name", "unused pool \"${pool.name}\"", "a pool that a model or service uses")
        }
    }

    private fun requireModelOrService() {
        if (models.isNotEmpty() || services.isNotEmpty()) return
        document.reportError("models", "neither models nor services", "at least one [[models]] or [[services]]")
    }

    private fun <T> List<TableEntry<T>>.requirePoolOfKind(key: String, kind: PoolKind) {
        requireDeclared(key, pools.declaredNames())
        val kinds = pools.mapNotNull { pool -> pool.definition }.associate { pool -> pool.name.value to pool.kind }
        val allowed = "a pool of kind \"${kind.code}\""
        forEach { entry ->
            val pool = entry.references[key]
            val found = kinds[pool] ?: return@forEach
            if (found != kind) entry.reader.reportError(key, "pool \"$pool\" of kind \"${found.code}\"", allowed)
        }
    }
}

private fun <T> List<TableEntry<T>>.declaredNames(): Set<String> = mapNotNull { entry -> entry.name }.toSet()

private fun <T> List<TableEntry<T>>.definitions(): List<T> = mapNotNull { entry -> entry.definition }

private fun <T> List<TableEntry<T>>.requireUnique(key: String, value: TableEntry<T>.() -> String?) {
    val firstEntries = mutableMapOf<String, TableEntry<T>>()
    forEach { entry ->
        val text = entry.value() ?: return@forEach
        val earlier = firstEntries.putIfAbsent(text, entry) ?: return@forEach
        val found = "\"$text\", a duplicate of ${earlier.reader.locationOf(key)}"
        entry.reader.reportError(key, found, "a unique value")
    }
}

private fun <T> List<TableEntry<T>>.requireDeclared(key: String, declared: Set<String>) {
    val allowed =
        if (declared.isEmpty()) "a declared name; the file declares none" else "one of ${declared.joinToString()}"
    forEach { entry ->
        val name = entry.references[key] ?: return@forEach
        if (name !in declared) entry.reader.reportError(key, "unknown name \"$name\"", allowed)
    }
}

private fun TomlTableReader.client(): TableEntry<ClientDefinition> {
    val name = string("name", StringFormat.NAME)
    val limit = int("concurrent_requests", DeploymentRanges.CONCURRENT_REQUESTS, DEFAULT_CONCURRENT_REQUESTS)
    rejectUnknownKeys()
    val definition = if (name == null || limit == null) null else ClientDefinition(ClientId(name), limit)
    return TableEntry(this, name, definition = definition)
}

private fun TomlTableReader.workspace(): TableEntry<WorkspaceDefinition> {
    val name = string("name", StringFormat.NAME)
    val client = string("client", StringFormat.NAME)
    rejectUnknownKeys()
    val definition =
        if (name == null || client == null) null else WorkspaceDefinition(WorkspaceId(name), ClientId(client))
    return TableEntry(this, name, mapOf("client" to client), definition)
}

private fun TomlTableReader.caller(): TableEntry<CallerDefinition> {
    val name = string("name", StringFormat.NAME)
    val workspace = string("workspace", StringFormat.NAME)
    val priority = int("priority", DeploymentRanges.PRIORITY)
    val key = string("key_sha256", StringFormat.SHA256)
    rejectUnknownKeys()
    val definition = run {
        CallerDefinition(
            name = name ?: return@run null,
            workspace = WorkspaceId(workspace ?: return@run null),
            priority = priority ?: return@run null,
            keySha256 = ContentDigest(key ?: return@run null),
        )
    }
    return TableEntry(this, name, mapOf("workspace" to workspace), definition)
}

private fun TomlTableReader.model(): TableEntry<ModelDefinition> {
    val name = string("name", StringFormat.NAME)
    val prefill = string("prefill_pool", StringFormat.NAME)
    val decode = string("decode_pool", StringFormat.NAME)
    rejectUnknownKeys()
    val definition = if (name == null || prefill == null || decode == null) {
        null
    } else {
        ModelDefinition(ModelId(name), PoolId(prefill), PoolId(decode))
    }
    return TableEntry(this, name, mapOf("prefill_pool" to prefill, "decode_pool" to decode), definition)
}

private fun TomlTableReader.pool(): TableEntry<PoolDefinition> {
    val name = string("name", StringFormat.NAME)
    val kind = choice("kind", PoolKind.entries.associateBy(PoolKind::code))
    rejectUnknownKeys()
    val definition = if (name == null || kind == null) null else PoolDefinition(PoolId(name), kind)
    return TableEntry(this, name, definition = definition)
}

private fun TomlTableReader.server(): TableEntry<ServerDefinition> {
    val address = string("address", StringFormat.ADDRESS)
    val pool = string("pool", StringFormat.NAME)
    val failureDomain = string("failure_domain", StringFormat.NAME)
    val slots = int("slots", DeploymentRanges.SLOTS)
    val fencing = boolean("fencing", default = false)
    val state = choice("state", ServerState.entries.associateBy(ServerState::code), ServerState.LIVE)
    rejectUnknownKeys()
    val definition = run {
        ServerDefinition(
            address = BackendServerId(address ?: return@run null),
            pool = PoolId(pool ?: return@run null),
            failureDomain = FailureDomainId(failureDomain ?: return@run null),
            slots = slots ?: return@run null,
            fencing = fencing ?: return@run null,
            state = state ?: return@run null,
        )
    }
    return TableEntry(this, address, mapOf("pool" to pool), definition)
}

private fun TomlTableReader.service(): TableEntry<ServiceDefinition> {
    val name = string("name", StringFormat.NAME)
    val pool = string("pool", StringFormat.NAME)
    val operations = tables("operations").map { it.operation() }
    rejectUnknownKeys()
    operations.requireUnique("name") { this.name }
    if (operations.isEmpty()) {
        reportError("operations", "a service without operations", "at least one [[services.operations]]")
    }
    val definition =
        if (name == null || pool == null) null else ServiceDefinition(name, PoolId(pool), operations.definitions())
    return TableEntry(this, name, mapOf("pool" to pool), definition)
}

private fun TomlTableReader.operation(): TableEntry<OperationDefinition> {
    val name = string("name", StringFormat.NAME)
    val idempotent = boolean("idempotent")
    val timeout = int("timeout_millis", DeploymentRanges.TIMEOUT_MILLIS)
    rejectUnknownKeys()
    val definition = if (name == null || idempotent == null || timeout == null) {
        null
    } else {
        OperationDefinition(name, idempotent, timeout.milliseconds)
    }
    return TableEntry(this, name, definition = definition)
}

private const val DEFAULT_CONCURRENT_REQUESTS = 1_000
