/*
 * The arrays of tables of an operators' file, and the rules that hold between them.
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

/** Holds one table with the values that rules between tables use; each is null when the file has no valid one. */
internal class Entry<out T>(
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
        listOf<List<Entry<Any>>>(clients, workspaces, callers, models, pools, services).forEach {
            it.requireUnique("name") { name }
        }
        servers.requireUnique("address") { name }
        callers.requireUnique("key_sha256") { definition?.keySha256?.value }
    }

    fun checkReferences() {
        workspaces.requireKnown("client", clients.names())
        callers.requireKnown("workspace", workspaces.names())
        servers.requireKnown("pool", pools.names())
        models.requirePool("prefill_pool", PoolKind.PREFILL)
        models.requirePool("decode_pool", PoolKind.DECODE)
        services.requirePool("pool", PoolKind.SERVICE)
        requireServersOfPools()
        requireUseOfPools()
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

    private fun requireServersOfPools() {
        val served = servers.mapNotNull { server -> server.references["pool"] }.toSet()
        pools.filter { pool -> pool.name != null && pool.name !in served }.forEach { pool ->
            pool.reader.mismatch(
                "name",
                "pool \"${pool.name}\" without servers",
                "at least one [[servers]] of the pool",
            )
        }
    }

    /** A file that was cut before its models or services still declares their pools. */
    private fun requireUseOfPools() {
        val used = (models + services).flatMap { user -> user.references.values }.toSet()
        pools.filter { pool -> pool.name != null && pool.name !in used }.forEach { pool ->
            pool.reader.mismatch("name", "pool \"${pool.name}\" that nothing uses", "a pool of a model or of a service")
        }
    }

    private fun requireModelOrService() {
        if (models.isNotEmpty() || services.isNotEmpty()) return
        document.mismatch("models", "neither models nor services", "at least one [[models]] or [[services]]")
    }

    private fun <T> List<Entry<T>>.requirePool(key: String, kind: PoolKind) {
        requireKnown(key, pools.names())
        val kinds = pools.mapNotNull { pool -> pool.definition }.associate { pool -> pool.name.value to pool.kind }
        val allowed = "a pool of kind \"${kind.code}\""
        forEach { entry ->
            val pool = entry.references[key]
            val found = kinds[pool] ?: return@forEach
            if (found != kind) entry.reader.mismatch(key, "pool \"$pool\" of kind \"${found.code}\"", allowed)
        }
    }
}

private fun <T> List<Entry<T>>.names(): Set<String> = mapNotNull { entry -> entry.name }.toSet()

private fun <T> List<Entry<T>>.definitions(): List<T> = mapNotNull { entry -> entry.definition }

private fun <T> List<Entry<T>>.requireUnique(key: String, value: Entry<T>.() -> String?) {
    val first = mutableMapOf<String, Entry<T>>()
    forEach { entry ->
        val text = entry.value() ?: return@forEach
        val earlier = first.putIfAbsent(text, entry) ?: return@forEach
        val found = "\"$text\" a second time, first at ${earlier.reader.placeOf(key)}"
        entry.reader.mismatch(key, found, "a value that no other entry has")
    }
}

private fun <T> List<Entry<T>>.requireKnown(key: String, known: Set<String>) {
    val allowed = if (known.isEmpty()) "a declared name; the file declares none" else "one of ${known.joinToString()}"
    forEach { entry ->
        val name = entry.references[key] ?: return@forEach
        if (name !in known) entry.reader.mismatch(key, "unknown name \"$name\"", allowed)
    }
}

private fun TomlTableReader.client(): Entry<ClientDefinition> {
    val name = text("name", TextForm.NAME)
    val limit = int("concurrent_requests", DeploymentRanges.CONCURRENT_REQUESTS, DEFAULT_CONCURRENT_REQUESTS)
    rejectOtherKeys()
    val definition = if (name == null || limit == null) null else ClientDefinition(ClientId(name), limit)
    return Entry(this, name, definition = definition)
}

private fun TomlTableReader.workspace(): Entry<WorkspaceDefinition> {
    val name = text("name", TextForm.NAME)
    val client = text("client", TextForm.NAME)
    rejectOtherKeys()
    val definition =
        if (name == null || client == null) null else WorkspaceDefinition(WorkspaceId(name), ClientId(client))
    return Entry(this, name, mapOf("client" to client), definition)
}

private fun TomlTableReader.caller(): Entry<CallerDefinition> {
    val name = text("name", TextForm.NAME)
    val workspace = text("workspace", TextForm.NAME)
    val priority = int("priority", DeploymentRanges.PRIORITY)
    val key = text("key_sha256", TextForm.SHA256)
    rejectOtherKeys()
    val definition = run {
        CallerDefinition(
            name = name ?: return@run null,
            workspace = WorkspaceId(workspace ?: return@run null),
            priority = priority ?: return@run null,
            keySha256 = ContentDigest(key ?: return@run null),
        )
    }
    return Entry(this, name, mapOf("workspace" to workspace), definition)
}

private fun TomlTableReader.model(): Entry<ModelDefinition> {
    val name = text("name", TextForm.NAME)
    val prefill = text("prefill_pool", TextForm.NAME)
    val decode = text("decode_pool", TextForm.NAME)
    rejectOtherKeys()
    val definition = if (name == null || prefill == null || decode == null) {
        null
    } else {
        ModelDefinition(ModelId(name), PoolId(prefill), PoolId(decode))
    }
    return Entry(this, name, mapOf("prefill_pool" to prefill, "decode_pool" to decode), definition)
}

private fun TomlTableReader.pool(): Entry<PoolDefinition> {
    val name = text("name", TextForm.NAME)
    val kind = choice("kind", PoolKind.entries.associateBy(PoolKind::code))
    rejectOtherKeys()
    val definition = if (name == null || kind == null) null else PoolDefinition(PoolId(name), kind)
    return Entry(this, name, definition = definition)
}

private fun TomlTableReader.server(): Entry<ServerDefinition> {
    val address = text("address", TextForm.ADDRESS)
    val pool = text("pool", TextForm.NAME)
    val failureDomain = text("failure_domain", TextForm.NAME)
    val slots = int("slots", DeploymentRanges.SLOTS)
    val fencing = boolean("fencing", default = false)
    val state = choice("state", ServerState.entries.associateBy(ServerState::code), ServerState.LIVE)
    rejectOtherKeys()
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
    return Entry(this, address, mapOf("pool" to pool), definition)
}

private fun TomlTableReader.service(): Entry<ServiceDefinition> {
    val name = text("name", TextForm.NAME)
    val pool = text("pool", TextForm.NAME)
    val operations = tables("operations").map { it.operation() }
    rejectOtherKeys()
    operations.requireUnique("name") { this.name }
    if (operations.isEmpty()) {
        mismatch("operations", "a service without operations", "at least one [[services.operations]]")
    }
    val definition =
        if (name == null || pool == null) null else ServiceDefinition(name, PoolId(pool), operations.definitions())
    return Entry(this, name, mapOf("pool" to pool), definition)
}

private fun TomlTableReader.operation(): Entry<OperationDefinition> {
    val name = text("name", TextForm.NAME)
    val idempotent = boolean("idempotent")
    val timeout = int("timeout_millis", DeploymentRanges.TIMEOUT_MILLIS)
    rejectOtherKeys()
    val definition = if (name == null || idempotent == null || timeout == null) {
        null
    } else {
        OperationDefinition(name, idempotent, timeout.milliseconds)
    }
    return Entry(this, name, definition = definition)
}

private const val DEFAULT_CONCURRENT_REQUESTS = 1_000
