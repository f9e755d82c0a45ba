/*
 * A whole deployment on loopback as separate processes: platform, engines, plain services and instances of the daemon.
 */
package org.arbutusnotch.testing.launch

import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import org.arbutusnotch.testing.engine.EngineFault
import org.arbutusnotch.testing.engine.EngineRole
import org.arbutusnotch.testing.engine.EngineStatistics
import org.arbutusnotch.testing.engine.HeldRecord
import org.arbutusnotch.testing.engine.HeldReport
import org.arbutusnotch.testing.http.wireJson
import org.arbutusnotch.testing.platform.InstanceUpdate
import org.arbutusnotch.testing.platform.ListedInstance
import org.arbutusnotch.testing.platform.PlatformFault
import org.arbutusnotch.testing.service.ExecutionReport
import org.arbutusnotch.testing.service.ServiceFault
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.createTempDirectory
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Holds the addresses of a running instance. */
public data class InstanceAddresses(
    public val entry: String,
    public val peer: String,
    public val operator: String,
    public val peerListen: String,
)

/** Signals that a deployment did not become ready. */
public class LaunchException(message: String) : RuntimeException(message)

/**
 * Starts the processes of [description] and controls them by their ids.
 *
 * Closing it ends every process; a shutdown hook does the same when this process ends first.
 *
 * @param directory directory for settings files and logs
 */
public class Deployment(
    public val description: DeploymentDescription,
    private val paths: LaunchPaths = LaunchPaths.ofThisProcess(),
    public val directory: Path = createTempDirectory("arbutusnotch-${description.name}-"),
) : AutoCloseable {
    private val ports = PortAllocator()
    private val management = ManagementClient()
    private val processes = LinkedHashMap<String, ManagedProcess>()
    private val serverAddresses = LinkedHashMap<String, String>()
    private val instanceAddresses = LinkedHashMap<String, InstanceAddresses>()
    private val relays = mutableListOf<LinkRelay>()
    private val shutdownHook = Thread { killAll() }

    /** Cuts and delays between failure domains; without effect unless the description asks for relays. */
    public val links: LinkTable = LinkTable()

    /** Address of the platform. */
    public val platformAddress: String = ports.next()

    init {
        directory.createDirectories()
        (description.engines.map { it.id } + description.services.map { it.id })
            .forEach { serverAddresses[it] = ports.next() }
        description.instances.forEach { instanceAddresses[it.id] = newAddresses() }
        prepare()
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    /** Ids of the instances. */
    public val instanceIds: List<String> get() = description.instances.map { it.id }

    /** Entry addresses of every instance. */
    public val entryAddresses: List<String> get() = instanceAddresses.values.map { it.entry }

    /** Operators' file with the real addresses of the servers. */
    public val operatorsFile: String = withAddresses(description.operatorsFile)

    /** Returns the process with this id: `platform`, or an id of the description. */
    public fun process(id: String): ManagedProcess = requireNotNull(processes[id]) { "no process $id" }

    /** Returns the addresses of an instance. */
    public fun instance(id: String): InstanceAddresses = instanceAddresses.getValue(id)

    /** Returns the address of an engine or plain service. */
    public fun server(id: String): String = serverAddresses.getValue(id)

    /**
     * Starts every process and waits until every instance is ready.
     *
     * @throws LaunchException when that takes longer than [timeout]
     */
    public fun start(timeout: Duration = 60.seconds) {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        processes.values.forEach { it.start() }
        serverAddresses.forEach { (id, address) -> awaitListening(id, address, deadline) }
        instanceIds.forEach { awaitReady(it, deadline) }
    }

    /** Starts a process that has ended and, for an instance, waits until it is ready. */
    public fun restart(id: String, timeout: Duration = 30.seconds) {
        process(id).start()
        val deadline = TimeSource.Monotonic.markNow() + timeout
        if (id in instanceAddresses) awaitReady(id, deadline) else awaitListening(id, addressOf(id), deadline)
    }

    /** Whether the instance answers `GET /ready` with success. */
    public fun isReady(id: String): Boolean =
        management.get(instance(id).operator, "/ready", READY_TIMEOUT)?.status() == HttpStatus.OK

    /** Publishes [bytes] as the next version of the operators' file, whatever they hold. */
    public fun publish(bytes: ByteArray): Boolean =
        management.send(HttpMethod.PUT, platformAddress, "/emulator/config", bytes)?.status() == HttpStatus.OK

    /** Publishes [text] with the template addresses of the servers replaced by the real ones. */
    public fun publish(text: String): Boolean = publish(withAddresses(text).encodeToByteArray())

    /** Publishes the instance list with the instances [ids]. */
    public fun publishInstances(ids: List<String>): Boolean {
        val update = wireJson.encodeToString(InstanceUpdate(ids.map(::listed))).encodeToByteArray()
        return management.send(HttpMethod.PUT, platformAddress, "/emulator/instances", update)?.status()?.isSuccess ==
            true
    }

    /** Starts a fault of the platform. */
    public fun platformFault(fault: PlatformFault): Unit = sendFault(platformAddress, wireJson.encodeToString(fault))

    /** Starts a fault of the engine [id]. */
    public fun engineFault(id: String, fault: EngineFault): Unit = sendFault(server(id), wireJson.encodeToString(fault))

    /** Starts a fault of the plain service [id]. */
    public fun serviceFault(id: String, fault: ServiceFault): Unit =
        sendFault(server(id), wireJson.encodeToString(fault))

    /** Returns the statistics of the engine [id]; null when it does not answer. */
    public fun engineStatistics(id: String): EngineStatistics? = management.read(server(id), "/emulator/statistics")

    /** Returns what the engine [id] holds; null when it does not answer. */
    public fun held(id: String): List<HeldRecord>? = management.read<HeldReport>(server(id), "/engine/held")?.held

    /** Returns what all engines hold; an engine that does not answer holds nothing. */
    public fun held(): List<HeldRecord> = description.engines.flatMap { held(it.id).orEmpty() }

    /** Returns the executions of every plain service that answers. */
    public fun executions(): List<ExecutionReport> =
        description.services.mapNotNull { management.read<ExecutionReport>(server(it.id), "/emulator/executions") }

    /** Returns the counters of the instance [id]; null when it does not answer. */
    public fun counters(id: String): Map<String, Double>? =
        management.read<JsonObject>(instance(id).operator, "/operator/counters")
            ?.mapNotNull { (name, value) -> (value as? JsonPrimitive)?.doubleOrNull?.let { name to it } }
            ?.toMap()

    /** Returns the JSON of `GET /operator/status` of the instance [id]; null when it does not answer. */
    public fun status(id: String): JsonObject? = management.read(instance(id).operator, "/operator/status")

    /** Returns whether the engines held nothing within [timeout]. */
    public fun awaitNothingHeld(timeout: Duration): Boolean = await(timeout) { held().isEmpty() }

    /** Returns whether every instance saw every other one as reachable within [timeout]. */
    public fun awaitFullView(timeout: Duration): Boolean = await(timeout) {
        instanceIds.filter { process(it).isAlive }.all { reachablePeers(it) >= instanceIds.size - 1 }
    }

    /** Ends every process by SIGKILL. */
    override fun close() {
        killAll()
        management.close()
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook)
        } catch (_: IllegalStateException) {
            // The hook runs now.
        }
    }

    private fun killAll() {
        processes.values.forEach { it.kill() }
        relays.forEach { it.close() }
    }

    private fun reachablePeers(id: String): Int = status(id)?.get("peers")?.jsonArray.orEmpty()
        .count { it.jsonObject["reachable"] == JsonPrimitive(true) }

    private fun newAddresses(): InstanceAddresses {
        val listen = ports.next()
        return InstanceAddresses(
            entry = ports.next(),
            peer = if (description.relayPeers) ports.next() else listen,
            operator = ports.next(),
            peerListen = listen,
        )
    }

    private fun prepare() {
        val commands = LaunchCommands(description, paths, directory, platformAddress)
        val operators = directory.resolve("operators.toml").also {
            it.writeText(withAddresses(description.operatorsFile))
        }
        val instances = directory.resolve("instances.json")
        instances.writeText(wireJson.encodeToString(InstanceUpdate(instanceIds.map(::listed))))
        add("platform", commands.platform(operators, instances))
        description.engines.forEach { add(it.id, commands.engine(it, server(it.id))) }
        description.services.forEach { add(it.id, commands.service(it, server(it.id))) }
        description.instances.forEach { add(it.id, commands.instance(it, instance(it.id), instanceAddresses.values)) }
        if (description.relayPeers) description.instances.forEach(::addRelay)
    }

    private fun add(id: String, command: List<String>) {
        processes[id] = ManagedProcess(id, command, directory.resolve("$id.log"))
    }

    private fun addRelay(instance: InstanceDescription) {
        val addresses = instance(instance.id)
        val owner = SocketOwner {
            description.instances.mapNotNull { other -> process(other.id).pid?.let { it to other.failureDomain } }
        }
        relays += LinkRelay(addresses.peer, addresses.peerListen, instance.failureDomain, links, owner::of)
    }

    private fun listed(id: String): ListedInstance {
        val addresses = instance(id)
        val domain = description.instances.first { it.id == id }.failureDomain
        return ListedInstance(addresses.peer, addresses.entry, addresses.operator, domain)
    }

    private fun withAddresses(text: String): String {
        val templates = description.engines.associate { it.templateAddress to server(it.id) } +
            description.services.associate { it.templateAddress to server(it.id) }
        // One pass over the text, so that a real address that equals another template is not replaced again.
        return ADDRESS.replace(text) { match -> templates[match.groupValues[1]]?.let { "\"$it\"" } ?: match.value }
    }

    private fun addressOf(id: String): String = if (id == "platform") platformAddress else server(id)

    private fun sendFault(address: String, body: String) {
        management.send(HttpMethod.POST, address, "/emulator/faults", body.encodeToByteArray())
    }

    private fun awaitListening(id: String, address: String, deadline: TimeSource.Monotonic.ValueTimeMark) =
        awaitProcess(id, deadline) { management.get(address, "/", READY_TIMEOUT) != null }

    private fun awaitReady(id: String, deadline: TimeSource.Monotonic.ValueTimeMark) =
        awaitProcess(id, deadline) { isReady(id) }

    private fun awaitProcess(id: String, deadline: TimeSource.Monotonic.ValueTimeMark, ready: () -> Boolean) {
        while (!ready()) {
            val process = process(id)
            if (!process.isAlive) throw LaunchException("$id ended with ${process.exitCode}:\n${process.output()}")
            if (deadline.hasPassedNow()) throw LaunchException("$id is not ready in time:\n${process.output()}")
            Thread.sleep(POLL.inWholeMilliseconds)
        }
    }

    private fun await(timeout: Duration, condition: () -> Boolean): Boolean {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        while (!condition()) {
            if (deadline.hasPassedNow()) return false
            Thread.sleep(POLL.inWholeMilliseconds)
        }
        return true
    }

    private companion object {
        val ADDRESS = Regex("\"([0-9.]+:[0-9]+)\"")
        val READY_TIMEOUT = 1.seconds
        val POLL = 50.milliseconds
    }
}

/** Whether this engine runs decode requests. */
public val EngineDescription.decodes: Boolean get() = role != EngineRole.PREFILL
