/*
 * Shares the processing time of one instance between the connections of its clients.
 *
 * Time is divided into turns. In each turn, what clients have sent is decoded for a limited time; the rest is held
 * until the next one, so that periodic work, the store and the answers of servers never wait for a whole crowd.
 * Connections that have caused little work go first; among the others, the one that has caused least, whose bytes are
 * then decoded to their end.
 */
package org.arbutusnotch.core.forwarding

/** Received bytes of one connection, and the processing time that its bytes have taken. */
public abstract class ReadAccount {
    /** Received bytes that are not decoded. */
    public abstract val heldBytes: Int

    /** Decodes the next received bytes, at most a few kilobytes. */
    public abstract fun decodePiece()

    /** Time in nanoseconds that the connection has taken beyond its free share, as of [settledNanos]. */
    internal var debtNanos: Long = 0
        private set
    private var settledNanos: Long? = null

    /** Reduces the debt by the free share of the time until [nowNanos]. */
    internal fun settle(nowNanos: Long) {
        val elapsed = settledNanos?.let { nowNanos - it } ?: 0
        settledNanos = nowNanos
        debtNanos = (debtNanos - elapsed / NANOS_PER_FREE_NANO).coerceAtLeast(0)
    }

    internal fun charge(nanos: Long) {
        debtNanos += nanos
    }

    private companion object {
        /** Inverse of the share of the processing time that one connection takes without a debt. */
        const val NANOS_PER_FREE_NANO = 100
    }
}

/**
 * Decides when received bytes are decoded.
 *
 * @param turnNanos time in nanoseconds for which received bytes are decoded before other events are handled
 * @param nanoTime returns a time in nanoseconds that never goes back
 */
public class ReadSchedule(private val turnNanos: Long = TURN_NANOS, private val nanoTime: () -> Long) {
    private val waiting = LinkedHashSet<ReadAccount>()

    /** Time in nanoseconds that decoding has taken in this turn. */
    private var spentNanos = 0L
    private var cheapInSuccession = 0

    /** Waiting account whose bytes are decoded in part; an incomplete head takes much more memory than its bytes. */
    private var unfinished: ReadAccount? = null

    /** Number of connections that wait for the next turn. */
    public val waitingConnections: Int
        get() = waiting.size

    private val hasTime: Boolean
        get() = spentNanos < turnNanos

    /** Decodes the bytes that [account] has just received; those for which there is no time wait for the next turn. */
    public fun onReceived(account: ReadAccount) {
        account.settle(nanoTime())
        if (waiting.isEmpty() || isCheap(account)) {
            while (account.heldBytes > 0 && hasTime) decodePiece(account)
        }
        keepWaiting(account)
    }

    /** Decodes bytes of waiting connections for the time of one turn; bytes that arrive afterwards have a new turn. */
    public fun runTurn() {
        spentNanos = 0
        while (hasTime) {
            val next = selectNext() ?: break
            waiting -= next
            decodePiece(next)
            keepWaiting(next)
        }
        spentNanos = 0
    }

    /** Removes [account], whose bytes were discarded. */
    public fun remove(account: ReadAccount) {
        waiting -= account
        if (unfinished === account) unfinished = null
    }

    private fun keepWaiting(account: ReadAccount) {
        if (account.heldBytes > 0) waiting += account
    }

    private fun decodePiece(account: ReadAccount) {
        val bytes = account.heldBytes
        if (unfinished == null) unfinished = account
        val start = nanoTime()
        account.decodePiece()
        val end = nanoTime()
        if (account.heldBytes == 0 && unfinished === account) unfinished = null
        spentNanos += end - start
        account.settle(end)
        account.charge(minOf(end - start, (bytes - account.heldBytes) * MAXIMUM_NANOS_PER_BYTE))
    }

    /** Returns the cheap account that has waited longest; if there is none, or after several, one of the others. */
    private fun selectNext(): ReadAccount? {
        val now = nanoTime()
        waiting.forEach { it.settle(now) }
        val cheap = waiting.firstOrNull { isCheap(it) }.takeIf { cheapInSuccession < CHEAP_PER_OTHER }
        cheapInSuccession = if (cheap == null) 0 else cheapInSuccession + 1
        return cheap ?: unfinished ?: waiting.minByOrNull { it.debtNanos }
    }

    private fun isCheap(account: ReadAccount) =
        account.debtNanos + account.heldBytes * EXPECTED_NANOS_PER_BYTE <= CHEAP_NANOS

    private companion object {
        /** Default length of a turn; scores on the bench were lower with 5 ms (docs/design/request-memory.md). */
        const val TURN_NANOS = 20_000_000L

        /** Debt and expected work in nanoseconds up to which a connection goes first. */
        const val CHEAP_NANOS = 1_000_000L

        /** Expected time for a byte, that of one-byte chunks and of the shortest header lines. */
        const val EXPECTED_NANOS_PER_BYTE = 400L

        /** Time for a byte above which the process was paused meanwhile; a pause is not charged to the connection. */
        const val MAXIMUM_NANOS_PER_BYTE = 4_000L

        /** Cheap connections after which another one is selected, so that none waits for ever. */
        const val CHEAP_PER_OTHER = 8
    }
}
