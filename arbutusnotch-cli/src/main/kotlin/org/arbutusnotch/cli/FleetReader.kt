/*
 * The view of all instances: the named ones, and those that they name as peers.
 */
package org.arbutusnotch.cli

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

/** Holds what one instance answered, or why it did not. */
internal data class InstanceReading(
    val operatorAddress: String,
    val status: InstanceStatus?,
    val error: InstanceError?,
)

/** Holds one reading per instance, ordered by operator address. */
internal data class FleetReading(val instances: List<InstanceReading>) {
    val statuses: List<InstanceStatus> = instances.mapNotNull { it.status }
    val errors: List<InstanceError> = instances.mapNotNull { it.error }

    /** Returns what the instances that answered know of the one at [operatorAddress]; null when none knows it. */
    fun peerView(operatorAddress: String): PeerStatus? = statuses.asSequence()
        .flatMap { status -> status.peers }
        .firstOrNull { peer -> peer.operatorAddress == operatorAddress }

    /** Returns how many of the instances that answered reach the one at [operatorAddress]. */
    fun peersThatReach(operatorAddress: String): Int = statuses.count { status ->
        status.peers.any { peer -> peer.operatorAddress == operatorAddress && peer.reachable }
    }
}

/** Reads the status of every instance that can be found from a few. */
internal class FleetReader(private val client: OperatorClient) {
    /** Asks [addresses], then the peers that they name, until no further instance is named. */
    suspend fun read(addresses: List<String>): FleetReading {
        val readings = sortedMapOf<String, InstanceReading>()
        val asked = mutableSetOf<String>()
        var next = addresses.distinct()
        while (next.isNotEmpty()) {
            asked += next
            val answers = readAll(next)
            answers.forEach { reading -> readings[reading.operatorAddress] = reading }
            val peers = answers.flatMap { reading -> reading.status?.peers.orEmpty() }.filterNot { hasEnded(it) }
            next = peers.map { peer -> peer.operatorAddress }.distinct() - asked - readings.keys
        }
        return FleetReading(readings.values.toList())
    }

    private suspend fun readAll(addresses: List<String>): List<InstanceReading> = coroutineScope {
        addresses.map { address -> async { reading(address, client.status(address)) } }.awaitAll()
    }

    /**
     * Returns whether [peer] was shutting down and has become silent.
     *
     * Instances keep such a row for minutes, in which it would otherwise look like a failed instance.
     */
    private fun hasEnded(peer: PeerStatus): Boolean = !peer.reachable && peer.state in LEAVING_STATES

    /** Names an instance as it names itself, so that an alias such as a host name does not make it two instances. */
    private fun reading(address: String, result: Result<InstanceStatus, InstanceError>): InstanceReading {
        val status = result.get()
        return InstanceReading(status?.operatorAddress ?: address, status, result.getError())
    }

    private companion object {
        val LEAVING_STATES = setOf("draining", "leaving")
    }
}
