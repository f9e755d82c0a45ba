/*
 * Limits the memory of one instance for what its clients send.
 *
 * Each connection has an account of the memory that it holds. When the budget is spent, the connection that holds most
 * and has made no progress for longest yields first. A connection yields only while no request of it is being served.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Memory that one connection holds.
 *
 * @param yieldMemory rejects the connection; its memory has been released from the budget before
 */
public class MemoryAccount(private val yieldMemory: () -> Unit) {
    /** Bytes that count against the budget. */
    public var heldBytes: Int = 0
        internal set

    /** Whether the connection may be rejected to free its memory. */
    public var mayYield: Boolean = true

    /** Time at which the client last sent something. */
    public var progressAt: Timestamp = Timestamp(0)

    internal fun evict(): Unit = yieldMemory()
}

/** Shares [maximumBytes] between all connections of clients. */
public class RequestMemoryBudget(private val maximumBytes: Int) {
    private val accounts = LinkedHashSet<MemoryAccount>()
    private val maximumLargeBytes = (maximumBytes * LARGE_SHARE).toInt()

    /** Bytes of all accounts, and of those that hold more than [SMALL_ACCOUNT_BYTES]. */
    public var usedBytes: Int = 0
        private set
    private var largeBytes = 0

    /**
     * Records that [account] holds [bytes] at [now]. While the budget is spent, accounts that should yield first are
     * evicted.
     *
     * @return whether the memory was reserved; if not, the account is unchanged and its connection must be rejected
     */
    public fun resize(account: MemoryAccount, bytes: Int, now: Timestamp): Boolean {
        if (bytes > account.heldBytes) {
            while (!fits(account, bytes)) {
                val victim = findVictim(account, bytes, now) ?: return false
                release(victim)
                victim.evict()
            }
        }
        record(account, bytes)
        return true
    }

    /** Returns all memory of [account]. */
    public fun release(account: MemoryAccount): Unit = record(account, 0)

    private fun record(account: MemoryAccount, bytes: Int) {
        usedBytes += bytes - account.heldBytes
        largeBytes += largePart(bytes) - largePart(account.heldBytes)
        account.heldBytes = bytes
        if (bytes == 0) accounts.remove(account) else accounts.add(account)
    }

    private fun fits(account: MemoryAccount, bytes: Int): Boolean =
        usedBytes - account.heldBytes + bytes <= maximumBytes && largeFits(account, bytes)

    private fun largeFits(account: MemoryAccount, bytes: Int): Boolean =
        largePart(bytes) == 0 || largeBytes - largePart(account.heldBytes) + bytes <= maximumLargeBytes

    private fun largePart(bytes: Int) = if (bytes > SMALL_ACCOUNT_BYTES) bytes else 0

    /** Returns the account that yields to [account]; null if [account] itself should yield first. */
    private fun findVictim(account: MemoryAccount, bytes: Int, now: Timestamp): MemoryAccount? {
        val onlyLarge = !largeFits(account, bytes)
        val ownRank = bytes * MINIMUM_STALL.inWholeMilliseconds
        return accounts
            .filter { it !== account && it.mayYield && (!onlyLarge || largePart(it.heldBytes) > 0) }
            .maxByOrNull { rank(it, now) }
            ?.takeIf { rank(it, now) > ownRank }
    }

    /** Memory multiplied by the time without progress. */
    private fun rank(account: MemoryAccount, now: Timestamp): Long =
        account.heldBytes * maxOf(now - account.progressAt, MINIMUM_STALL).inWholeMilliseconds

    public companion object {
        /** Memory in bytes that ordinary requests do not exceed. */
        public const val SMALL_ACCOUNT_BYTES: Int = 65_536

        /** Share of the budget for larger accounts; the rest keeps ordinary requests going beside them. */
        private const val LARGE_SHARE = 0.75

        /** Shortest time that counts as a stall: a client that sends all the time does so at these intervals. */
        private val MINIMUM_STALL: Duration = 100.milliseconds
    }
}
