/*
 * Tests datagrams that cannot be decoded or contain invalid values.
 */
package org.arbutusnotch.forwarding.membership

import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.message.Gossip
import org.arbutusnotch.core.message.HeldPlace
import org.arbutusnotch.core.message.HeldPlaces
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.PlacePart
import org.arbutusnotch.core.message.ServerNotice
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.fixture.ScriptedServer
import org.arbutusnotch.forwarding.fixture.testServer
import org.arbutusnotch.forwarding.http.socketAddress
import org.arbutusnotch.peer.PeerMessageCodec
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.DatagramPacket
import java.net.DatagramSocket
import kotlin.random.Random

class MalformedMessageTest {
    private val random = Random(7)
    private val unknownInstance = InstanceId(InstanceAddress("not an address"), Incarnation(Long.MAX_VALUE))
    private val pools = listOf("calls", "engines", "none").map { PoolId(it) }
    private val servers = listOf("a", "none").map { BackendServerId(it) }

    private fun edgeLong() = listOf(Long.MIN_VALUE, -1L, 0L, 1L, Long.MAX_VALUE).random(random)

    private fun edgeInt() = listOf(Int.MIN_VALUE, -1, 0, 1, Int.MAX_VALUE).random(random)

    private fun invalidMessage(number: Int): PeerMessage = when (number % 4) {
        0 -> DispatchRequest(
            ticket = TicketId("t$number"),
            holder = unknownInstance,
            failureDomain = FailureDomainId(""),
            pool = pools.random(random),
            work = listOf(DispatchWork.Call, DispatchWork.Generation(edgeInt(), edgeInt())).random(random),
            priority = edgeInt(),
            objectiveMillis = edgeLong(),
            beginMillis = edgeLong(),
            remainingMillis = edgeLong(),
        )

        1 -> HeldPlaces(
            holder = unknownInstance,
            pool = pools.random(random),
            places = listOf(HeldPlace(TicketId("h$number"), servers.random(random), PlacePart.RUN, edgeInt())),
        )

        2 -> ServerNotice.Pause(pools.random(random), BackendServerId("none"), unknownInstance, edgeLong())

        else -> Gossip(
            sender = unknownInstance,
            rows = emptyList(),
            highestFence = edgeLong(),
            latestServerChange = StorePosition(edgeLong(), edgeLong()),
            heardServerChange = StorePosition(edgeLong(), edgeLong()),
        )
    }

    /** Guards against a message that terminates the process or its periodic tick. */
    @Test
    fun `instance serves after malformed and invalid messages`() {
        val server = ScriptedServer { answer() }
        InstanceFixture(servers = listOf(testServer("a", server.address))).use { fixture ->
            val address = socketAddress(fixture.peer)
            DatagramSocket().use { socket ->
                repeat(MESSAGES) { number ->
                    val bytes = when (number % 3) {
                        0 -> random.nextBytes(random.nextInt(0, MAXIMUM_RANDOM_BYTES))
                        1 -> PeerMessageCodec.encode(invalidMessage(number)).let { it.copyOf(random.nextInt(it.size)) }
                        else -> PeerMessageCodec.encode(invalidMessage(number))
                    }
                    socket.send(DatagramPacket(bytes, bytes.size, address))
                }
            }
            Thread.sleep(PLACE_EXPIRY_MILLIS)
            repeat(5) { expectThat(fixture.call("/once/x", "r$it")?.status).isEqualTo(200) }
            expectThat(fixture.get(fixture.ready, "/ready")?.status).isEqualTo(200)
        }
        server.close()
    }

    private companion object {
        const val MESSAGES = 600
        const val MAXIMUM_RANDOM_BYTES = 2_000

        /** Longer than the lifetime of places that no instance reports again. */
        const val PLACE_EXPIRY_MILLIS = 1_700L
    }
}
