/*
 * A deployment on loopback as separate processes: platform, engines, plain services and instances of the daemon.
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

/**
 * Holds the addresses of an instance.
 *
 * @property peer address that peers connect to; a relay listens on it when [DeploymentDescription.relayPeers] is set
 * @property peerListen address on which the instance accepts its peers
 */
public data class InstanceAddresses(
    public val entry: String,
    public val peer: String,
    public val operator: String,
    public val peerListen: String,
)

/** Thrown when a deployment does not become ready. */
public class LaunchException(message: String) : RuntimeException(message)

/**
 * Starts the processes of [description] and controls them by their ids.
 *
 * Closing the deployment kills every process; a shutdown hook does the same when this process exits first.
 *
 * @property directory directory for settings files and logs
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

    /** Cuts and delays between failure domains; without effect unless [DeploymentDescription.relayPeers] is set. */
    public val links: LinkTable = LinkTable()

    /** Address of the platform emulator. */
    public val platformAddress: String = ports.nextAddress()

    init {
        directory.createDirectories()
        (description.engines.map { it.id } + description.services.map { it.id })
            .forEach { serverAddresses[it] = ports.nextAddress() }
        description.instances.forEach { instanceAddresses[it.id] = allocateAddresses() }
        createProcesses()
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    /** Ids of the instances. */
    public val instanceIds: List<String> get() = description.instances.map { it.id }

    /** Entry addresses of all instances. */
    public val entryAddresses: List<String> get() = instanceAddresses.values.map { it.entry }

    /** Operators' file with the allocated addresses of the backend servers. */
    public val operatorsFile: String = replaceTemplateAddresses(description.operatorsFile)

    /** Returns the process with this [id], which is `platform` or an id of the description. */
    public fun process(id: String): ManagedProcess = requireNotNull(processes[id]) { "no process with the id $id" }

    /** Returns the addresses of the instance [id]. */
    public fun addressesOf(id: String): InstanceAddresses = instanceAddresses.getValue(id)

    /** Returns the address of the engine or plain service [id]. */
    public fun serverAddress(id: String): String = serverAddresses.getValue(id)

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

    /**
     * Starts a process that has ended and waits until it listens or, for an instance, is ready.
     *
     * @throws LaunchException when that takes longer than [timeout]
     */
    public fun restart(id: String, timeout: Duration = 30.seconds) {
        process(id).start()
        val deadline = TimeSource.Monotonic.markNow() + timeout
        if (id in instanceAddresses) awaitReady(id, deadline) else awaitListening(id, httpAddressOf(id), deadline)
    }

    /** Returns whether the instance [id] answers `GET /ready` with status 200. */
    public fun isReady(id: String): Boolean =
        management.get(addressesOf(id).operator, "/ready", READY_TIMEOUT)?.status() == HttpStatus.OK

    /** Publishes [bytes], unchanged, as the next version of the operators' file; returns whether it was accepted. */
    public fun publish(bytes: ByteArray): Boolean =
        management.send(HttpMethod.PUT, platformAddress, "/emulator/config", bytes)?.status() == HttpStatus.OK

    /** Publishes [text] after replacing the template addresses of the servers; returns whether it was accepted. */
    public fun publish(text: String): Boolean = publish(replaceTemplateAddresses(text).encodeToByteArray())

    /** Publishes the instance list with the instances [ids]; returns whether it was accepted. */
    public fun publishInstances(ids: List<String>): Boolean {
        val update = wireJson.encodeToString(InstanceUpdate(ids.map(::listedInstance))).encodeToByteArray()
        return management.send(HttpMethod.PUT, platformAddress, "/emulator/instances", update)?.status()?.isSuccess ==
            true
    }

    /** Injects [fault] into the platform. */
    public fun injectPlatformFault(fault: PlatformFault): Unit =
        sendFault(platformAddress, wireJson.encodeToString(fault))

    /** Injects [fault] into the engine [id]. */
    public fun injectEngineFault(id: String, fault: EngineFault): Unit =
        sendFault(serverAddress(id), wireJson.encodeToString(fault))

    /** Injects [fault] into the plain service [id]. */
    public fun injectServiceFault(id: String, fault: ServiceFault): Unit =
        sendFault(serverAddress(id), wireJson.encodeToString(fault))

    /** Returns the statistics of the engine [id]; null when it does not answer. */
    public fun engineStatistics(id: String): EngineStatistics? =
        management.read(serverAddress(id), "/emulator/statistics")

    /** Returns the memory allocations of the engine [id]; null when it does not answer. */
    public fun allocations(id: String): List<HeldRecord>? =
        management.read<HeldReport>(serverAddress(id), "/engine/held")?.held

    /** Returns the memory allocations of all engines; an engine that does not answer counts as empty. */
    public fun allocations(): List<HeldRecord> = description.engines.flatMap { allocations(it.id).orEmpty() }

    /** Returns the executions of every plain service that answers. */
    public fun executions(): List<ExecutionReport> = description.services.mapNotNull {
        management.read<ExecutionReport>(serverAddress(it.id), "/emulator/executions")
    }

    /** Returns the counters of the instance [id]; null when it does not answer. */
    public fun counters(id: String): Map<String, Double>? =
        management.read<JsonObject>(addressesOf(id).operator, "/operator/counters")
            ?.mapNotNull { (name, value) -> (value as? JsonPrimitive)?.doubleOrNull?.let { name to it } }
            ?.toMap()

    /** Returns the response to `GET /operator/status` of the instance [id]; null when it does not answer. */
    public fun status(id: String): JsonObject? = management.read(addressesOf(id).operator, "/operator/status")

    /** Waits until the engines have no allocations; returns false when that takes longer than [timeout]. */
    public fun awaitNoAllocations(timeout: Duration): Boolean = awaitCondition(timeout) { allocations().isEmpty() }

    /**
     * Waits until every running instance reports all others as reachable; returns false when that takes longer than
     * [timeout].
     */
    public fun awaitAllPeersReachable(timeout: Duration): Boolean = awaitCondition(timeout) {
        instanceIds.filter { process(it).isAlive }.all { reachablePeers(it) >= instanceIds.size - 1 }
    }

    /** Kills every process with SIGKILL. */
    override fun close() {
        killAll()
        management.close()
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook)
        } catch (_: IllegalStateException) {
            // The shutdown hook is running.
        }
    }

    private fun killAll() {
        processes.values.forEach { it.kill() }
        relays.forEach { it.close() }
    }

    private fun reachablePeers(id: String): Int = status(id)?.get("peers")?.jsonArray.orEmpty()
        .count { it.jsonObject["reachable"] == JsonPrimitive(true) }

    private fun allocateAddresses(): InstanceAddresses {
        val listenAddress = ports.nextAddress()
        return InstanceAddresses(
            entry = ports.nextAddress(),
            peer = if (description.relayPeers) ports.nextAddress() else listenAddress,
            operator = ports.nextAddress(),
            peerListen = listenAddress,
        )
    }

    private fun createProcesses() {
        val commands = LaunchCommands(description, paths, directory, platformAddress)
        val operators = directory.resolve("operators.toml").also {
            it.writeText(replaceTemplateAddresses(description.operatorsFile))
        }
        val instances = directory.resolve("instances.json")
        instances.writeText(wireJson.encodeToString(InstanceUpdate(instanceIds.map(::listedInstance))))
        addProcess("platform", commands.platform(operators, instances))
        description.engines.forEach { addProcess(it.id, commands.engine(it, serverAddress(it.id))) }
        description.services.forEach { addProcess(it.id, commands.service(it, serverAddress(it.id))) }
        description.instances.forEach {
            addProcess(it.id, commands.instance(it, addressesOf(it.id), instanceAddresses.values))
        }
        if (description.relayPeers) description.instances.forEach(::addRelay)
    }

    private fun addProcess(id: String, command: List<String>) {
        processes[id] = ManagedProcess(id, command, directory.resolve("$id.log"))
    }

    private fun addRelay(instance: InstanceDescription) {
        val addresses = addressesOf(instance.id)
        val lookup = SocketOwnerLookup {
            description.instances.mapNotNull { other -> process(other.id).pid?.let { it to other.failureDomain } }
        }
        relays += LinkRelay(addresses.peer, addresses.peerListen, instance.failureDomain, links, lookup::find)
    }

    private fun listedInstance(id: String): ListedInstance {
        val addresses = addressesOf(id)
        val domain = description.instances.first { it.id == id }.failureDomain
        return ListedInstance(addresses.peer, addresses.entry, addresses.operator, domain)
    }

    private fun replaceTemplateAddresses(text: String): String {
        val addressesByTemplate = description.engines.associate { it.templateAddress to serverAddress(it.id) } +
            description.services.associate { it.templateAddress to serverAddress(it.id) }
        // A single pass, so that an allocated address that equals another template address is not replaced again.
        return QUOTED_ADDRESS.replace(text) { match ->
            addressesByTemplate[match.groupValues[1]]?.let { "\"$it\"" } ?: match.value
        }
    }

    private fun httpAddressOf(id: String): String = if (id == "platform") platformAddress else serverAddress(id)

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
            if (!process.isAlive) throw LaunchException("$id exited with ${process.exitCode}:\n${process.output()}")
            if (deadline.hasPassedNow()) throw LaunchException("$id is not ready at the deadline:\n${process.output()}")
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    private fun awaitCondition(timeout: Duration, condition: () -> Boolean): Boolean {
        val deadline = TimeSource.Monotonic.markNow() + timeout
        while (!condition()) {
            if (deadline.hasPassedNow()) return false
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
        return true
    }

    private companion object {
        val QUOTED_ADDRESS = Regex("\"([0-9.]+:[0-9]+)\"")
        val READY_TIMEOUT = 1.seconds
        val POLL_INTERVAL = 50.milliseconds
    }
}

/** Whether this engine runs decode requests. */
public val EngineDescription.decodes: Boolean get() = role != EngineRole.PREFILL
