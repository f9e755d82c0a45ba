/*
 * Splits the quota of a workspace while several instances may count its requests at the same time.
 *
 * It is stricter than LimitShare, whose one and a half limits would exceed the overage of a quota.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.membership.DispatchRole
import org.arbutusnotch.core.membership.InstanceCounts

/**
 * Describes which part of a quota an instance uses.
 *
 * @property rate fraction of the rate
 * @property isOwner whether the instance owns the workspace in its own view; if not, its burst is reduced as the rate
 */
public data class QuotaShare(public val rate: Double, public val isOwner: Boolean) {
    /** Derives shares from the view of the other instances. */
    public companion object {
        private const val BESIDE_OWNER = 0.5
        private const val SUCCESSOR = 0.25

        /** The whole quota. */
        public val WHOLE: QuotaShare = QuotaShare(rate = 1.0, isOwner = true)

        /**
         * Returns the share of an instance in [role]. An owner in a minority and a substitute use at most a quarter and
         * a half of the quota, in proportion to the instances for which they count; [holders] of them are known to a
         * substitute.
         */
        public fun of(counts: InstanceCounts, role: DispatchRole, holders: Int): QuotaShare = when (role) {
            DispatchRole.Dispatcher ->
                if (counts.hasMajority) WHOLE else QuotaShare(counts.reachableShare * BESIDE_OWNER, isOwner = false)

            DispatchRole.Successor ->
                if (counts.hasMajority) {
                    QuotaShare(SUCCESSOR, isOwner = true)
                } else {
                    QuotaShare(minOf(SUCCESSOR, counts.reachableShare * BESIDE_OWNER), isOwner = false)
                }

            DispatchRole.Substitute ->
                QuotaShare(holders.coerceIn(1, counts.known) * BESIDE_OWNER / counts.known, isOwner = false)
        }
    }
}
