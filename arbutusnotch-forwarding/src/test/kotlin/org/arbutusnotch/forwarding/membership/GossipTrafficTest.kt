/*
 * Tests the size of the gossip of a large fleet.
 */
package org.arbutusnotch.forwarding.membership

import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.membership.InstanceTable
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.peer.PeerMessageCodec
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class GossipTrafficTest {
    private val change = StorePosition(era = 1_000, revision = 1_000_000_000_000)

    private fun rowOf(number: Int) = InstanceRow(
        instance = InstanceId(InstanceAddress("10.100.100.$number:47600"), Incarnation(1_700_000_000_000)),
        entryAddress = "10.100.100.$number:48000",
        operatorAddress = "10.100.100.$number:48001",
        failureDomain = FailureDomainId("failure-domain-${number % DOMAINS}"),
        state = InstanceState.SERVING,
        heartbeat = 1_000_000,
        active = RevisionMark(RevisionNumber(1_000_000), ContentDigest("")),
    )

    /** Guards against changes that are passed on at once and take more than the traffic permitted for an instance. */
    @Test
    fun `regular gossip and changes passed on stay below the permitted traffic`() {
        val table = InstanceTable(rowOf(0))
        table.merge((1 until FLEET).map { rowOf(it) }, Timestamp(1))
        val regular = Gossip(
            sender = table.self,
            rows = table.rowsToSend(),
            heartbeats = table.heartbeatsToSend(),
            highestFence = Long.MAX_VALUE,
            latestServerChange = change,
            heardServerChange = change,
        )
        val relayed = Gossip(table.self, rows = emptyList(), heardServerChange = change)
        val targets = table.relayTargets(Random(1))
        expectThat(targets.distinct()).hasSize(InstanceTable.RELAY_TARGETS)
        val regularBytes = REGULAR_MESSAGES * datagramBytes(regular)
        val relayedBytes = RELAYS * targets.size * datagramBytes(relayed)
        expectThat(regularBytes + relayedBytes).isLessThanOrEqualTo(PERMITTED_BYTES)
    }

    private fun datagramBytes(message: Gossip) = PeerMessageCodec.encode(message).size + HEADER_BYTES

    private companion object {
        const val FLEET = 330
        const val DOMAINS = 3

        /** Regular messages in a second: four in the failure domain and two to others. */
        const val REGULAR_MESSAGES = 6

        /** Times in a second at which an instance passes a change on at once. */
        const val RELAYS = 2

        /** Headers of a datagram over IPv4. */
        const val HEADER_BYTES = 28

        /** Traffic that the users permit for an instance in a second. */
        const val PERMITTED_BYTES = 20_000
    }
}
