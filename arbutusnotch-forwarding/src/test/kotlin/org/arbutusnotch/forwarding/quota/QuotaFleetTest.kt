/*
 * Tests that a fleet keeps the quota of a workspace during faults, and rejects no request of a workspace below it.
 */
package org.arbutusnotch.forwarding.quota

import org.arbutusnotch.core.workspace.QuotaTolerance
import org.arbutusnotch.core.workspace.WorkspaceQuota
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class QuotaFleetTest {
    private val quota = WorkspaceQuota(perSecond = 3_000.0, burst = 9_000.0)
    private val window = 8.seconds

    /** A fault that begins after ten seconds and, if it ends, ends after four more. */
    enum class Fault {
        NONE,
        OWNER_LOST,
        OWNER_PAUSED,
        OWNER_REPLACED,
        TWO_OWNERS,
        OWNER_IN_MINORITY,
        OWNER_IN_MAJORITY,
        ALL_LOST,
        MANY_NOT_RUN,
    }

    private fun QuotaFleet.schedule(fault: Fault) = schedule(10.seconds) {
        val owner = owner
        when (fault) {
            Fault.NONE -> Unit

            Fault.OWNER_LOST -> owner.isUp = false

            Fault.OWNER_PAUSED -> owner.pausedUntil = now + 4.seconds

            Fault.OWNER_REPLACED -> restart(listOf(owner))

            // Half of the instances do not reach the owner, which still reaches the other half.
            Fault.TWO_OWNERS -> cut(4.seconds) { first, second ->
                (first === owner && instances.indexOf(second) % 2 == 0) ||
                    (second === owner && instances.indexOf(first) % 2 == 0)
            }

            Fault.OWNER_IN_MINORITY -> partition(instances.filter { it !== owner }.take(40) + owner)

            Fault.OWNER_IN_MAJORITY -> partition(instances.filter { it !== owner }.take(40))

            Fault.ALL_LOST -> restart(instances.toList())

            Fault.MANY_NOT_RUN -> notRunShare = 0.5
        }
    }

    private fun QuotaFleet.restart(lost: List<QuotaFleet.Instance>) {
        lost.forEach { it.isUp = false }
        schedule(700.milliseconds) {
            instances -= lost.toSet()
            lost.forEach { instances += Instance(it.id.address) }
        }
    }

    private fun QuotaFleet.cut(duration: Duration, isCut: (QuotaFleet.Instance, QuotaFleet.Instance) -> Boolean) {
        reaches = { first, second -> !isCut(first, second) }
        schedule(duration) { reaches = { _, _ -> true } }
    }

    private fun QuotaFleet.partition(part: List<QuotaFleet.Instance>) {
        val members = part.toSet()
        cut(8.seconds) { first, second -> (first in members) != (second in members) }
    }

    private fun bound(quota: WorkspaceQuota, tolerance: QuotaTolerance): Int =
        ((quota.perSecond * 8 + quota.burst) * (1 + tolerance.overage) + tolerance.slack).toInt()

    /** Guards against requests above the quota that run because several instances count them, or none does. */
    @ParameterizedTest
    @EnumSource
    fun `load far above the quota stays within the bound`(fault: Fault) {
        for (slack in listOf(0.0, 20_000.0)) {
            val tolerance = QuotaTolerance(window, slack = slack)
            val fleet = QuotaFleet(100, quota, tolerance, seed = 7)
            fleet.load(30.seconds, 9.milliseconds, { 200 })
            fleet.schedule(fault)
            fleet.run(32.seconds)
            expectThat(fleet.runs.maximumIn(window)).isLessThanOrEqualTo(bound(quota, tolerance))
            expectThat(fleet.runs.sumOf { it.tokens }).isGreaterThan(40_000)
        }
    }

    /** Guards against rejections of a workspace that keeps its quota. */
    @ParameterizedTest
    @EnumSource
    fun `load below the quota is not rejected`(fault: Fault) {
        val tolerance = QuotaTolerance(window, slack = 60_000.0)
        val fleet = QuotaFleet(100, quota, tolerance, seed = 11)
        val limit = WorkspaceQuota(quota.perSecond * LOAD_BELOW, quota.burst * LOAD_BELOW)
        fleet.load(30.seconds, 30.milliseconds, { 200 }, conforming(limit) { fleet.now })
        fleet.schedule(fault)
        fleet.run(32.seconds)
        expectThat(fleet.rejections.size).isEqualTo(0)
        expectThat(fleet.runs.size).isGreaterThan(150)
    }

    /** Guards against the earlier credit, or the earlier rate, after the limit was lowered. */
    @Test
    fun `lowered limit applies at once`() {
        val tolerance = QuotaTolerance(window)
        val fleet = QuotaFleet(100, quota, tolerance, seed = 3)
        val lower = WorkspaceQuota(perSecond = 300.0, burst = 900.0)
        fleet.schedule(10.seconds) {
            fleet.setQuota(lower)
            fleet.runs.clear()
        }
        fleet.schedule(9.seconds) { fleet.load(20.seconds, 9.milliseconds, { 20 }) }
        fleet.run(32.seconds)
        expectThat(fleet.runs.maximumIn(window)).isLessThanOrEqualTo(bound(lower, tolerance))
    }

    private companion object {
        /** Load of a workspace below its quota, which it uses without interruption. */
        const val LOAD_BELOW = 0.9
    }
}
