/*
 * The traffic that keeping the origins of streams causes at the intended scale.
 */
package org.arbutusnotch.forwarding.stream

import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.message.PeerMessage
import org.arbutusnotch.core.message.StreamMessage
import org.arbutusnotch.core.stream.StreamOrigin
import org.arbutusnotch.peer.PeerMessageCodec
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan

class OriginTrafficTest {
    /** Guards against messages that take most of the bytes that an instance may spend on control. */
    @Test
    fun `messages of all streams take less than half of the control traffic of an instance`() {
        val stream = RequestId("9c41d07be2a35f68")
        val origin = StreamOrigin(PoolId("briefing-llm"), SoftwareVersion("v1.12.3"))
        val messages: List<PeerMessage> = listOf(
            StreamMessage.Notice(stream, origin, number = 1, remainingMillis = 14_000),
            StreamMessage.Confirmation(stream, number = 1),
        )
        val bytesPerStream = KEEPERS * messages.sumOf { PeerMessageCodec.encode(it).size + DATAGRAM_HEADER_BYTES }
        val bytesPerSecond = bytesPerStream * STREAMS_PER_SECOND / INSTANCES
        println("$bytesPerStream bytes for each stream, $bytesPerSecond bytes a second for each instance")
        expectThat(bytesPerSecond).isLessThan(CONTROL_BYTES_PER_SECOND / 2)
    }

    private companion object {
        const val KEEPERS = 3
        const val DATAGRAM_HEADER_BYTES = 28
        const val STREAMS_PER_SECOND = 4_000
        const val INSTANCES = 330
        const val CONTROL_BYTES_PER_SECOND = 20_000
    }
}
