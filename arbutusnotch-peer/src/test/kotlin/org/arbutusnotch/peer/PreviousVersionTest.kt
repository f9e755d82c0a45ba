/*
 * Messages between this version and the one before it, which run side by side while instances are replaced.
 *
 * The types of the earlier version are copied here with the fields that it has.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.peer

import com.github.michaelbull.result.get
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.HeartbeatRow
import org.arbutusnotch.core.message.InstanceRow
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.message.ServerSummary
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PreviousVersionTest {
    @Serializable
    private sealed interface PreviousMessage

    @Serializable
    @SerialName("gossip")
    private data class PreviousGossip(
        val sender: InstanceId,
        val rows: List<InstanceRow>,
        val heartbeats: List<HeartbeatRow> = emptyList(),
        val summaries: List<ServerSummary> = emptyList(),
        val quarantined: List<QuarantineEntry> = emptyList(),
        val highestFence: Long = 0,
    ) : PreviousMessage

    private val sender = InstanceId(InstanceAddress("10.0.0.1:7600"), Incarnation(5))
    private val row = InstanceRow(
        instance = sender,
        entryAddress = "10.0.0.1:8000",
        operatorAddress = "10.0.0.1:8001",
        failureDomain = FailureDomainId("one"),
        state = InstanceState.SERVING,
        heartbeat = 12,
    )

    /** Guards against gossip of the earlier version that this one cannot read. */
    @Test
    fun `gossip of the earlier version is read`() {
        val bytes = peerCbor.encodeToByteArray<PreviousMessage>(PreviousGossip(sender, listOf(row), highestFence = 7))
        expectThat(PeerMessageCodec.decode(bytes).get()).isEqualTo(Gossip(sender, listOf(row), highestFence = 7))
    }

    /** Guards against gossip of this version that the earlier one drops, so that it takes the instance for gone. */
    @Test
    fun `gossip of this version is read by the earlier version`() {
        val change = StorePosition(era = 1, revision = 9)
        val gossip = Gossip(
            sender = sender,
            rows = listOf(row),
            highestFence = 7,
            latestServerChange = change,
            heardServerChange = change,
        )
        expectThat(PeerMessageCodec.decode(PeerMessageCodec.encode(gossip)).get()).isEqualTo(gossip)
        expectThat(peerCbor.decodeFromByteArray<PreviousMessage>(PeerMessageCodec.encode(gossip)))
            .isEqualTo(PreviousGossip(sender, listOf(row), highestFence = 7))
    }
}
