/*
 * Counts the requests of workspaces against their quotas, at the instance that decides about them.
 *
 * A ticket identifies one request. Its decision is remembered for some seconds, so that repeated messages get the same
 * reply and are counted once, and so that a return that arrives before its request is not lost.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.seconds

/** Tells whether a request may run. */
public sealed interface QuotaDecision {
    /** The request may run; its units were taken. */
    public data object Granted : QuotaDecision

    /** The request exceeds the quota until [retryAt]; null if it is larger than the quota ever admits. */
    public data class Exceeded(public val retryAt: Timestamp?) : QuotaDecision
}

/**
 * Holds the buckets of the workspaces and the recent tickets.
 *
 * @param share returns the share that this instance uses of the quota of a workspace that has the given number of
 * holders
 */
public class QuotaLedger(
    private val tolerance: QuotaTolerance,
    private val share: (workspace: WorkspaceId, holders: Int) -> QuotaShare,
) {
    private val accounts = HashMap<WorkspaceId, Account>()
    private val tickets = LinkedHashMap<TicketId, Ticket>()
    private val exceeded = LinkedHashMap<TicketId, Ticket>()

    /** Number of workspaces with a bucket. */
    public val size: Int
        get() = accounts.size

    /** Number of remembered tickets. */
    public val ticketCount: Int
        get() = tickets.size + exceeded.size

    /** Returns whether [workspace] has a bucket. */
    public operator fun contains(workspace: WorkspaceId): Boolean = workspace in accounts

    /** Decides about the request of [holder] that needs [units] of the quota of [workspace]. */
    public fun request(
        ticket: TicketId,
        holder: InstanceId,
        workspace: Workspace,
        units: Double,
        now: Timestamp,
    ): QuotaDecision {
        val quota = workspace.quota ?: return QuotaDecision.Granted
        known(ticket, now)?.let { return it.decision }
        val account = accounts.getOrPut(workspace.id) { Account(quota, workspace.countsTokens) }
        account.update(quota, workspace.countsTokens)
        return decide(account, ticket, holder, workspace.id, units, now)
    }

    /**
     * Decides about a request of a workspace that the configuration no longer contains. Its last quota applies; null if
     * there is none.
     */
    public fun requestOfRemoved(
        ticket: TicketId,
        holder: InstanceId,
        workspace: WorkspaceId,
        units: Double,
        now: Timestamp,
    ): QuotaDecision? {
        known(ticket, now)?.let { return it.decision }
        return accounts[workspace]?.let { decide(it, ticket, holder, workspace, units, now) }
    }

    private fun known(ticket: TicketId, now: Timestamp): Ticket? =
        (tickets[ticket] ?: exceeded[ticket])?.takeIf { now < it.forgetAt }

    private fun decide(
        account: Account,
        ticket: TicketId,
        holder: InstanceId,
        workspace: WorkspaceId,
        units: Double,
        now: Timestamp,
    ): QuotaDecision {
        account.holders[holder] = now + HOLDER_MEMORY
        account.holders.values.removeIf { it <= now }
        val bucket = account.applyShare(share(workspace, account.holders.size), now)
        val wait = bucket.take(units, now, debt = tolerance.reserve(account.countsTokens))
        if (wait == ZERO) {
            remember(tickets, ticket, Ticket(QuotaDecision.Granted, units, now + TICKET_MEMORY))
            return QuotaDecision.Granted
        }
        val decision = QuotaDecision.Exceeded(wait.takeIf { it.isFinite() }?.let { now + it })
        remember(exceeded, ticket, Ticket(decision, units = 0.0, now + EXCEEDED_MEMORY))
        return decision
    }

    /**
     * Returns the units of [ticket], whose request did not run, and tells whether there were any. The request itself
     * may arrive later and is then not counted.
     */
    public fun giveBack(ticket: TicketId, workspace: WorkspaceId, now: Timestamp): Boolean {
        val units = known(ticket, now)?.units ?: 0.0
        exceeded.remove(ticket)
        remember(tickets, ticket, Ticket(QuotaDecision.Granted, units = 0.0, now + TICKET_MEMORY))
        if (units > 0) accounts[workspace]?.bucket?.putBack(units, now)
        return units > 0
    }

    /** Applies the current shares, after the view of the other instances has changed. */
    public fun refreshShares(now: Timestamp): Unit = accounts.forEach { (workspace, account) ->
        account.applyShare(share(workspace, account.holders.size), now)
    }

    /** Forgets old tickets, and unused workspaces that [isConfigured] does not contain. */
    public fun tick(now: Timestamp, isConfigured: (WorkspaceId) -> Boolean) {
        tickets.removeForgotten(now)
        exceeded.removeForgotten(now)
        accounts.entries.removeIf { (workspace, account) ->
            account.holders.values.all { it <= now } && !isConfigured(workspace)
        }
    }

    private fun remember(map: LinkedHashMap<TicketId, Ticket>, ticket: TicketId, entry: Ticket) {
        // A ticket that is recorded again moves to the end, so that the order stays that of the times.
        map.remove(ticket)
        if (map.size >= MAXIMUM_TICKETS) map.remove(map.keys.first())
        map[ticket] = entry
    }

    /** All entries of a map are kept for the same time, so the oldest ones come first. */
    private fun LinkedHashMap<TicketId, Ticket>.removeForgotten(now: Timestamp) {
        val entries = values.iterator()
        while (entries.hasNext() && entries.next().forgetAt <= now) entries.remove()
    }

    private class Ticket(val decision: QuotaDecision, val units: Double, val forgetAt: Timestamp)

    private inner class Account(private var quota: WorkspaceQuota, countsTokens: Boolean) {
        var countsTokens = countsTokens
            private set
        var bucket: QuotaBucket? = null
            private set
        private var share: QuotaShare? = null

        /** Instances that have sent requests, with the time at which each is forgotten. */
        val holders = HashMap<InstanceId, Timestamp>()

        fun update(quota: WorkspaceQuota, countsTokens: Boolean) {
            if (quota == this.quota && countsTokens == this.countsTokens) return
            this.quota = quota
            this.countsTokens = countsTokens
            share = null
        }

        /** Returns the bucket after applying [latest]; whoever becomes the owner gets only the initial credit. */
        fun applyShare(latest: QuotaShare, now: Timestamp): QuotaBucket {
            val capacity = if (latest.isOwner) {
                tolerance.capacity(quota, countsTokens)
            } else {
                tolerance.partialCapacity(quota, countsTokens, latest.rate)
            }
            val rate = tolerance.rate(quota, countsTokens, latest)
            val current = bucket
            if (current == null) return QuotaBucket(rate, capacity, initialCredit(latest), now).also { use(it, latest) }
            val previous = share
            if (latest == previous) return current
            current.setLimit(rate, capacity, now)
            if (previous?.isOwner == false && latest.isOwner) current.limitCredit(initialCredit(latest))
            share = latest
            return current
        }

        private fun use(created: QuotaBucket, latest: QuotaShare) {
            bucket = created
            share = latest
        }

        private fun initialCredit(latest: QuotaShare): Double =
            if (latest.isOwner) tolerance.initialCredit(quota, countsTokens) else Double.MAX_VALUE
    }

    private companion object {
        /** Time for which a granted or returned ticket is remembered; later returns give no credit. */
        val TICKET_MEMORY: Duration = 10.seconds

        /** Time for which a rejected ticket is remembered: longer than its request is repeated. */
        val EXCEEDED_MEMORY: Duration = 1.seconds

        /** Time since its latest request for which an instance counts as a holder. */
        val HOLDER_MEMORY: Duration = 5.seconds

        /** Tickets of each kind that are remembered at most, so that their memory is bounded. */
        const val MAXIMUM_TICKETS = 20_000
    }
}
