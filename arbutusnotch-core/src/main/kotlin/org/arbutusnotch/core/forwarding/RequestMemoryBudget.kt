/*
 * Limits the memory of one instance for what its clients send.
 *
 * Each connection has an account of the memory that it holds. When the budget is spent, the connection that holds most
 * and has made no progress for longest yields first. A connection yields only while no request of it is being served.
 * Since requests that are served keep their memory for as long as their servers take, each service has a share of it.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.PoolId
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

    /** Request of the connection that is being served; null if there is none. */
    internal var served: ServedRequest? = null

    internal fun evict(): Unit = yieldMemory()
}

/** Memory in bytes that a request for [service] holds while it is served. */
internal class ServedRequest(val service: PoolId, val bytes: Int)

/** Shares [maximumBytes] between all connections of clients. */
public class RequestMemoryBudget(maximumBytes: Int) {
    private val accounts = LinkedHashSet<MemoryAccount>()
    private val tiers = listOf(
        Tier(minimumBytes = 0, maximumBytes = maximumBytes),
        Tier(minimumBytes = MINIMAL_ACCOUNT_BYTES, maximumBytes = (maximumBytes * MEDIUM_SHARE).toInt()),
        Tier(minimumBytes = SMALL_ACCOUNT_BYTES, maximumBytes = (maximumBytes * LARGE_SHARE).toInt()),
    )

    /** Bytes of all accounts. */
    public val usedBytes: Int
        get() = tiers.first().usedBytes

    /**
     * Records that [account] holds [bytes] at [now]. While the budget is spent, accounts that should yield first are
     * evicted.
     *
     * @return whether the memory was reserved; if not, the account is unchanged and its connection must be rejected
     */
    public fun resize(account: MemoryAccount, bytes: Int, now: Timestamp): Boolean {
        if (bytes > account.heldBytes) {
            var fullTier = findFullTier(account, bytes)
            while (fullTier != null) {
                val victim = findVictim(fullTier, account, bytes, now) ?: return false
                release(victim)
                victim.evict()
                fullTier = findFullTier(account, bytes)
            }
        }
        record(account, bytes)
        return true
    }

    /** Returns whether a request for [service] that holds [bytes] may be served beside the others. */
    public fun mayServe(service: PoolId, bytes: Int): Boolean = tiers.all {
        it.partOf(bytes) == 0 || it.services.hasRoom(service, it.partOf(bytes))
    }

    /** Records that the request of [account] is served and holds [bytes] of [service]. */
    public fun startServing(account: MemoryAccount, service: PoolId, bytes: Int) {
        endServing(account)
        account.served = ServedRequest(service, bytes)
        tiers.forEach { it.services.add(service, it.partOf(bytes)) }
    }

    /** Records that the request of [account] is no longer served; has no effect if there is none. */
    public fun endServing(account: MemoryAccount) {
        val request = account.served ?: return
        account.served = null
        tiers.forEach { it.services.remove(request.service, it.partOf(request.bytes)) }
    }

    /** Returns all memory of [account]. */
    public fun release(account: MemoryAccount) {
        endServing(account)
        record(account, 0)
    }

    private fun record(account: MemoryAccount, bytes: Int) {
        tiers.forEach { it.usedBytes += it.partOf(bytes) - it.partOf(account.heldBytes) }
        account.heldBytes = bytes
        if (bytes == 0) accounts.remove(account) else accounts.add(account)
    }

    /** Returns the tier that has no room for [account] with [bytes]; null if all have. */
    private fun findFullTier(account: MemoryAccount, bytes: Int): Tier? = tiers.lastOrNull {
        it.partOf(bytes) > 0 && it.usedBytes - it.partOf(account.heldBytes) + bytes > it.maximumBytes
    }

    /** Returns the account in [tier] that yields to [account]; null if [account] itself should yield first. */
    private fun findVictim(tier: Tier, account: MemoryAccount, bytes: Int, now: Timestamp): MemoryAccount? {
        val ownRank = bytes * MINIMUM_STALL.inWholeMilliseconds
        return accounts
            .filter { it !== account && it.mayYield && tier.partOf(it.heldBytes) > 0 }
            .maxByOrNull { rank(it, now) }
            ?.takeIf { rank(it, now) > ownRank }
    }

    /** Memory multiplied by the time without progress. */
    private fun rank(account: MemoryAccount, now: Timestamp): Long =
        account.heldBytes * maxOf(now - account.progressAt, MINIMUM_STALL).inWholeMilliseconds

    /** Bounds the memory of all accounts that hold more than [minimumBytes]. */
    private class Tier(private val minimumBytes: Int, val maximumBytes: Int) {
        var usedBytes = 0
        val services = ServiceShares(maximumBytes)

        fun partOf(bytes: Int): Int = if (bytes > minimumBytes) bytes else 0
    }

    private companion object {
        /** Memory in bytes of a connection with a short request, and of one with an ordinary request. */
        const val MINIMAL_ACCOUNT_BYTES = 16_384
        const val SMALL_ACCOUNT_BYTES = 65_536

        /** Shares of the budget for larger accounts; the rest keeps smaller ones going beside them. */
        const val MEDIUM_SHARE = 0.875
        const val LARGE_SHARE = 0.75

        /** Shortest time that counts as a stall: a client that sends all the time does so at these intervals. */
        val MINIMUM_STALL: Duration = 100.milliseconds
    }
}
