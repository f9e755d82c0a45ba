/*
 * Lists every instance.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

internal class StatusCommand : SuspendingCliktCommand("status") {
    private val options by InstanceOptions()

    override fun help(context: Context): String =
        "List every instance with its revision, digest, state, backend servers and conflicts. " +
            "The other instances are discovered through the named ones."

    override fun helpEpilog(context: Context): String = example("status --instance 127.0.0.1:18082")

    override suspend fun run() {
        val fleet = OperatorClient(options.timeout).use { client -> FleetReader(client).read(options.instances) }
        when (options.output) {
            OutputFormat.JSON -> printJson(fleet.instances.map(::StatusResult))
            OutputFormat.TABLE -> printTable(STATUS_COLUMNS, fleet.instances.map { statusRow(it, fleet) })
        }
        failOnErrors(fleet.errors)
    }
}

@Serializable
internal data class StatusResult(
    @SerialName("operator_address") val operatorAddress: String,
    val status: InstanceStatus? = null,
    val error: String? = null,
) {
    constructor(result: InstanceResult) : this(result.operatorAddress, result.status, result.error?.toString())
}

private val STATUS_COLUMNS = listOf(
    "OPERATOR ADDRESS",
    "INSTANCE",
    "DOMAIN",
    "STATE",
    "REVISION",
    "DIGEST",
    "CANDIDATE",
    "SERVERS",
    "CONFLICTS",
    "PEERS",
)

private const val SHOWN_DIGEST_CHARACTERS = 12

private fun statusRow(result: InstanceResult, fleet: FleetStatus): List<String> {
    val status = result.status ?: return unreadableRow(result, fleet.peerView(result.operatorAddress))
    return listOf(
        result.operatorAddress,
        status.instance.value,
        status.failureDomain.value,
        status.state,
        status.revision?.toString() ?: NO_VALUE,
        status.digest?.value?.take(SHOWN_DIGEST_CHARACTERS) ?: NO_VALUE,
        status.candidateRevision?.toString() ?: NO_VALUE,
        serversCell(status.servers),
        status.conflicts.toString(),
        "${status.peers.count { peer -> peer.reachable }}/${status.peers.size}",
    )
}

/** Shows what [peerView] contains about an instance that did not return its own status. */
private fun unreadableRow(result: InstanceResult, peerView: PeerStatus?): List<String> {
    val state = if (result.error is InstanceError.Unreachable) "unreachable" else "unreadable"
    val instance = peerView?.instance?.value ?: NO_VALUE
    val domain = peerView?.failureDomain?.value ?: NO_VALUE
    val cells = listOf(result.operatorAddress, instance, domain, state)
    return cells + List(STATUS_COLUMNS.size - cells.size) { NO_VALUE }
}

private fun serversCell(servers: List<ServerStatus>): String {
    val excluded = servers.count { server -> server.excluded }
    return if (excluded == 0) "${servers.size}" else "${servers.size} ($excluded excluded)"
}
