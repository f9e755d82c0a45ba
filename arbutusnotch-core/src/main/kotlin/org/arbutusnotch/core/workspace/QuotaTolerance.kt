/*
 * What the requests of a workspace may exceed its quota by, over all instances together.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.membership.InstanceTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Bounds the units of a workspace that run in any [window]: (rate x window + burst) x (1 + [overage]) + [slack].
 *
 * A change of the instance that counts, and times that differ between instances, use parts of the difference to the
 * quota itself, so that a workspace below its quota is not rejected because of them.
 *
 * @property overage fraction of the quota
 * @property slack tokens; it does not apply to workspaces whose quota counts requests
 */
public data class QuotaTolerance(
    public val window: Duration = DEFAULT_WINDOW,
    public val overage: Double = DEFAULT_OVERAGE,
    public val slack: Double = 0.0,
) {
    /** Returns the capacity of the bucket of an owner that uses all of [quota]. */
    public fun capacity(quota: WorkspaceQuota, countsTokens: Boolean): Double =
        quota.burst + burstAllowance(quota, countsTokens)

    /** Returns the credit of a new owner that uses all of [quota] and does not know what an earlier one granted. */
    public fun initialCredit(quota: WorkspaceQuota, countsTokens: Boolean): Double {
        val credit = excess(quota) * (1.0 - BURST_PART) + reserve(countsTokens)
        return credit.coerceIn(0.0, capacity(quota, countsTokens))
    }

    /** Returns the capacity and initial credit of an instance that uses [share] of [quota] beside the owner. */
    public fun partialCapacity(quota: WorkspaceQuota, countsTokens: Boolean, share: Double): Double =
        minOf(capacity(quota, countsTokens), quota.burst * share + reserve(countsTokens))

    /**
     * Returns the units per second for [share] of [quota]. While a successor must leave most of the quota to an owner
     * that may still run, it uses a part of the slack for the requests of workspaces below their quota.
     */
    public fun rate(quota: WorkspaceQuota, countsTokens: Boolean, share: QuotaShare): Double {
        val rate = quota.perSecond * share.rate
        if (!share.isOwner) return rate
        val seconds = InstanceTable.RECENTLY_LOST_TIME.toDouble(DurationUnit.SECONDS)
        return minOf(quota.perSecond, rate + reserve(countsTokens) / seconds)
    }

    /** Returns the part of the slack that one deviation from the quota may use. */
    public fun reserve(countsTokens: Boolean): Double = if (countsTokens) slack * SLACK_PART else 0.0

    private fun excess(quota: WorkspaceQuota): Double =
        (quota.perSecond * window.toDouble(DurationUnit.SECONDS) + quota.burst) * overage

    /**
     * Returns what a bucket holds beyond the burst. The quota is stated for whole windows: a workspace that used little
     * before may use more than rate and burst for some seconds and stay below it in every window.
     */
    private fun burstAllowance(quota: WorkspaceQuota, countsTokens: Boolean): Double =
        excess(quota) * BURST_PART + reserve(countsTokens)

    /** Values for deployments that do not state them. */
    public companion object {
        /** Window in which the units are counted. */
        public val DEFAULT_WINDOW: Duration = 8.seconds

        /** Fraction of the quota by which it may be exceeded. */
        public const val DEFAULT_OVERAGE: Double = 0.25

        /** Part of the slack for one deviation; a change of owner, a large request and a partition may coincide. */
        private const val SLACK_PART = 0.25

        /** Part of the overage for bursts; the rest is for changes of the instance that counts. */
        private const val BURST_PART = 0.5
    }
}
