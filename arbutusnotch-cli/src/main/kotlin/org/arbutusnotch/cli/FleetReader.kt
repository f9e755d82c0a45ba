/*
 * Status of all instances: the named ones, and those that they report as peers.
 */
package org.arbutusnotch.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** Holds the status of one instance, or the error of the query. */
internal data class InstanceResult(val operatorAddress: String, val status: InstanceStatus?, val error: InstanceError?)

/** Holds one result per instance, ordered by operator address. */
internal data class FleetStatus(val instances: List<InstanceResult>) {
    val statuses: List<InstanceStatus> = instances.mapNotNull { it.status }
    val errors: List<InstanceError> = instances.mapNotNull { it.error }

    /** Returns the first peer entry that a responding instance has for [operatorAddress]; null if there is none. */
    fun peerView(operatorAddress: String): PeerStatus? = statuses.asSequence()
        .flatMap { status -> status.peers }
        .firstOrNull { peer -> peer.operatorAddress == operatorAddress }

    /** Returns how many of the responding instances can reach the one at [operatorAddress]. */
    fun countPeersThatReach(operatorAddress: String): Int = statuses.count { status ->
        status.peers.any { peer -> peer.operatorAddress == operatorAddress && peer.reachable }
    }
}

/** Reads the status of every instance that can be discovered from a few addresses. */
internal class FleetReader(private val client: OperatorClient) {
    /** Queries [addresses], then the peers that they report, until no new instance is reported. */
    suspend fun read(addresses: List<String>): FleetStatus {
        val results = sortedMapOf<String, InstanceResult>()
        val queried = mutableSetOf<String>()
        var pending = addresses.distinct()
        while (pending.isNotEmpty()) {
            queried += pending
            val newResults = readAll(pending)
            newResults.forEach { result -> results[result.operatorAddress] = result }
            val peers = newResults.flatMap { result -> result.status?.peers.orEmpty() }.filterNot { hasShutDown(it) }
            pending = peers.map { peer -> peer.operatorAddress }.distinct() - queried - results.keys
        }
        return FleetStatus(results.values.toList())
    }

    private suspend fun readAll(addresses: List<String>): List<InstanceResult> = coroutineScope {
        addresses.map { address -> async { instanceResult(address, client.status(address)) } }.awaitAll()
    }

    /**
     * Returns whether [peer] was shutting down and has become unreachable.
     *
     * Instances keep the row of such a peer for minutes; without this check it would be reported as a failed instance.
     */
    private fun hasShutDown(peer: PeerStatus): Boolean = !peer.reachable && peer.state in SHUTDOWN_STATES

    /** Uses the address that the instance reports, so that an alias such as a host name does not list it twice. */
    private fun instanceResult(address: String, result: Result<InstanceStatus, InstanceError>): InstanceResult {
        val status = result.get()
        return InstanceResult(status?.operatorAddress ?: address, status, result.getError())
    }

    private companion object {
        val SHUTDOWN_STATES = setOf("draining", "leaving")
    }
}
