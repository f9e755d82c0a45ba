/*
 * Selects the instance that owns the quota of a workspace, and the share that this instance may use.
 *
 * Both are needed for each request, and hashing every instance for every request would use most of a small machine.
 * Owners are therefore kept until the candidates change, and the counts of instances for a moment.
 */
package org.arbutusnotch.forwarding.quota

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.membership.DispatchRole
import org.arbutusnotch.core.membership.InstanceCounts
import org.arbutusnotch.core.membership.RendezvousHash
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.core.workspace.QuotaShare
import kotlin.time.Duration.Companion.milliseconds

/**
 * Selects owners in the view of [self].
 *
 * @param candidates returns the instances that may own quotas; the same list until they change
 * @param recentlyLost returns the instances that became unreachable recently and may still count for others
 * @param counts returns the numbers of known and reachable instances
 */
internal class QuotaOwners(
    private val self: InstanceId,
    private val candidates: () -> List<InstanceId>,
    private val recentlyLost: () -> List<InstanceId>,
    private val counts: () -> InstanceCounts,
    private val now: () -> Timestamp,
) {
    private var knownCandidates: List<InstanceId> = emptyList()
    private val owners = HashMap<WorkspaceId, InstanceId>()
    private var view = View(emptyList(), InstanceCounts(1, 1), validUntil = Timestamp(0))

    /** Returns the candidates; the same list until they change. */
    fun candidates(): List<InstanceId> {
        val latest = candidates.invoke()
        if (latest !== knownCandidates) {
            knownCandidates = latest
            owners.clear()
            view = view.copy(validUntil = Timestamp(0))
        }
        return latest
    }

    /** Returns the owner of [workspace] without the instances in [skipped]; this instance if there is no other. */
    fun ownerOf(workspace: WorkspaceId, skipped: Set<InstanceAddress> = emptySet()): InstanceAddress {
        val all = candidates()
        val owner = owners.getOrPut(workspace) { preferred(workspace, all) }
        if (owner.address !in skipped) return owner.address
        return preferred(workspace, all.filter { it.address !in skipped }).address
    }

    /** Returns the share that this instance uses of the quota of [workspace] with [holders]. */
    fun shareOf(workspace: WorkspaceId, holders: Int): QuotaShare {
        val mayOwn = candidates().any { it.address == self.address }
        val isOwner = mayOwn && ownerOf(workspace) == self.address
        val latest = latestView()
        val role = when {
            !isOwner -> DispatchRole.Substitute
            preferred(workspace, latest.lost + self) == self -> DispatchRole.Dispatcher
            else -> DispatchRole.Successor
        }
        return QuotaShare.of(latest.counts, role, holders)
    }

    private fun latestView(): View {
        val time = now()
        if (time >= view.validUntil) view = View(recentlyLost(), counts(), time + VIEW_LIFETIME)
        return view
    }

    private fun preferred(workspace: WorkspaceId, instances: List<InstanceId>): InstanceId =
        RendezvousHash.select(workspace.value, instances) { it.address.value } ?: self

    private data class View(val lost: List<InstanceId>, val counts: InstanceCounts, val validUntil: Timestamp)

    private companion object {
        /** Time for which counts are used: short beside the time after which an instance is suspected. */
        val VIEW_LIFETIME = 100.milliseconds
    }
}
