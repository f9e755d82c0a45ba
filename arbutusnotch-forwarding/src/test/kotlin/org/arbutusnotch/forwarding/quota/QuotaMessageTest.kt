/*
 * Tests that a running instance answers the quota messages of others from its own configuration.
 */
package org.arbutusnotch.forwarding.quota

import com.github.michaelbull.result.get
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.QuotaReply
import org.arbutusnotch.core.message.QuotaRequest
import org.arbutusnotch.core.message.QuotaReturn
import org.arbutusnotch.core.workspace.WorkspaceQuota
import org.arbutusnotch.forwarding.fixture.InstanceFixture
import org.arbutusnotch.forwarding.http.socketAddress
import org.arbutusnotch.peer.PeerMessageCodec
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress

class QuotaMessageTest {
    private val socket = DatagramSocket(0, InetAddress.getLoopbackAddress()).also { it.soTimeout = 5_000 }
    private val holder = InstanceId(InstanceAddress("127.0.0.1:${socket.localPort}"), Incarnation(1))

    private fun send(target: String, message: PeerMessage) {
        val bytes = PeerMessageCodec.encode(message)
        socket.send(DatagramPacket(bytes, bytes.size, socketAddress(target)))
    }

    private fun ask(target: String, ticket: String, tokens: Long, workspace: WorkspaceId = WORKSPACE): QuotaReply {
        send(target, QuotaRequest(TicketId(ticket), holder, workspace, tokens, RevisionNumber(2)))
        while (true) {
            val packet = DatagramPacket(ByteArray(60_000), 60_000)
            socket.receive(packet)
            val message = PeerMessageCodec.decode(packet.data.copyOf(packet.length)).get()
            if (message is QuotaReply && message.ticket == TicketId(ticket)) return message
        }
    }

    /** Guards against messages that reach no ledger, and a rejection of a workspace that only a holder knows. */
    @Test
    fun `instance counts the requests of others`() {
        InstanceFixture(routesWith(WorkspaceQuota(perSecond = 1.0, burst = 40.0)), emptyList()).use { instance ->
            expectThat(ask(instance.peer, "a", 47)).isEqualTo(QuotaReply.Exceeded(TicketId("a"), retryMillis = null))
            expectThat(ask(instance.peer, "b", 4)).isA<QuotaReply.Granted>()
            val exceeded = ask(instance.peer, "c", 4) as QuotaReply.Exceeded
            expectThat(exceeded.retryMillis ?: 0).isIn(1L..4_000L)
            send(instance.peer, QuotaReturn(TicketId("b"), WORKSPACE, 4))
            expectThat(ask(instance.peer, "d", 4)).isA<QuotaReply.Granted>()
            expectThat(ask(instance.peer, "e", 9_000, WorkspaceId("newer"))).isA<QuotaReply.Granted>()
        }
    }
}
