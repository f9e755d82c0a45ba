package org.arbutusnotch.core.forwarding

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ReadScheduleTest {
    private var nanos = 0L
    private val schedule = ReadSchedule(turnNanos = 5_000_000) { nanos }
    private val decoded = mutableListOf<String>()

    /** Receives [bytes], each of which takes a microsecond, and is decoded in pieces of 1,000 bytes. */
    private inner class Connection(private val name: String, bytes: Int) : ReadAccount() {
        override var heldBytes = bytes

        override fun decodePiece() {
            val piece = minOf(heldBytes, 1_000)
            heldBytes -= piece
            nanos += piece * 1_000L
            decoded += name
        }
    }

    private fun receive(name: String, bytes: Int) = Connection(name, bytes).also { schedule.onReceived(it) }

    /** Guards against other events that wait while the bytes of many connections are decoded. */
    @Test
    fun `turn ends when its time is spent`() {
        repeat(10) { receive("c$it", bytes = 3_000) }
        expectThat(decoded).containsExactly("c0", "c0", "c0", "c1", "c1")
        schedule.runTurn()
        expectThat(decoded.drop(5)).containsExactly("c1", "c2", "c2", "c2", "c3")
    }

    /** Guards against ordinary requests that wait behind costly ones, and costly ones that never get a turn. */
    @Test
    fun `short requests go first but do not keep others waiting for ever`() {
        val costly = receive("costly", bytes = 8_000)
        repeat(50) { receive("short", bytes = 500) }
        schedule.runTurn()
        expectThat(decoded.drop(5)).isEqualTo(List(8) { "short" } + "costly")
        expectThat(costly.heldBytes).isEqualTo(2_000)
    }

    /** Guards against connections that keep the debt of work done long ago. */
    @Test
    fun `connection goes first again after its debt is paid`() {
        val costly = receive("costly", bytes = 5_000)
        costly.heldBytes = 500
        receive("other", bytes = 3_000)
        schedule.onReceived(costly)
        schedule.runTurn()
        expectThat(decoded.drop(5)).containsExactly("other", "other", "other", "costly")
        nanos += 500_000_000
        decoded.clear()
        receive("busy", bytes = 6_000)
        costly.heldBytes = 500
        schedule.onReceived(costly)
        schedule.runTurn()
        expectThat(decoded.drop(5)).containsExactly("costly", "busy")
    }

    /** Guards against decoding for connections that are closed. */
    @Test
    fun `removed connection gets no turn`() {
        receive("first", bytes = 5_000)
        schedule.remove(receive("second", bytes = 2_000))
        decoded.clear()
        schedule.runTurn()
        expectThat(decoded).isEmpty()
    }
}
