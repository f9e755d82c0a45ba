/*
 * Command lines and settings files of the processes of a deployment.
 */
package org.arbutusnotch.testing.launch

import java.nio.file.Path
import kotlin.io.path.writeText

/** Builds the command lines; writes settings files to [directory]. */
internal class LaunchCommands(
    private val description: DeploymentDescription,
    private val paths: LaunchPaths,
    private val directory: Path,
    private val platformAddress: String,
) {
    fun platform(config: Path, instances: Path): List<String> = emulator(
        "platform.PlatformEmulatorKt",
        listOf("--listen", platformAddress, "--config", config.toString(), "--instances", instances.toString()) +
            listOf("--list-lag-millis", description.listLagMillis.toString()),
    )

    fun engine(engine: EngineDescription, address: String): List<String> = emulator(
        "engine.EngineEmulatorKt",
        listOf("--listen", address, "--role", engine.role.code, "--slots", engine.slots.toString()) +
            listOf("--fencing").filter { engine.fencing } +
            engine.options,
    )

    fun service(service: ServiceDescription, address: String): List<String> = emulator(
        "service.ServiceEmulatorKt",
        listOf("--listen", address, "--slots", service.slots.toString()) +
            listOf("--journal", directory.resolve("${service.id}-executions.jsonl").toString()) +
            service.options,
    )

    fun instance(
        instance: InstanceDescription,
        addresses: InstanceAddresses,
        all: Collection<InstanceAddresses>,
    ): List<String> {
        val settings = directory.resolve("${instance.id}.toml")
        settings.writeText(settings(instance, addresses, all.filter { it != addresses }))
        return listOf(paths.java) + description.daemonFlags + COMMON_FLAGS +
            listOf("-cp", paths.daemon, "org.arbutusnotch.daemon.MainKt", "--settings", settings.toString())
    }

    private fun emulator(program: String, options: List<String>): List<String> =
        listOf(paths.java) + EMULATOR_FLAGS + COMMON_FLAGS +
            listOf("-cp", paths.emulators, "org.arbutusnotch.testing.$program") + options

    private fun settings(
        instance: InstanceDescription,
        addresses: InstanceAddresses,
        others: List<InstanceAddresses>,
    ): String = buildString {
        appendLine("[instance]")
        appendLine("entry_address = \"${addresses.entry}\"")
        appendLine("peer_address = \"${addresses.peer}\"")
        if (description.relayPeers) appendLine("peer_listen_address = \"${addresses.peerListen}\"")
        appendLine("operator_address = \"${addresses.operator}\"")
        appendLine("failure_domain = \"${instance.failureDomain}\"")
        appendLine("[platform]")
        appendLine("address = \"$platformAddress\"")
        appendLine("[limits]")
        description.limits.forEach { (key, value) -> appendLine("$key = $value") }
        appendLine("[routing]")
        appendLine("policy = \"${description.policy}\"")
        appendLine("[seed]")
        appendLine("peers = [${others.joinToString { "\"${it.peer}\"" }}]")
    }

    private companion object {
        val EMULATOR_FLAGS = listOf("-XX:+UseSerialGC", "-Xmx128m", "-XX:TieredStopAtLevel=1")

        /** About 40 processes share the machine; thread pools sized by its CPUs would have hundreds of threads. */
        val COMMON_FLAGS = listOf(
            "-XX:ActiveProcessorCount=2",
            "-Xss512k",
            "-Dio.netty.eventLoopThreads=2",
            "-Dcom.linecorp.armeria.numCommonWorkers=2",
        )
    }
}
