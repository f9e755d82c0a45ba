/*
 * Tests how the owner of a quota counts requests.
 */
package org.arbutusnotch.core.workspace

import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.membership.DispatchRole
import org.arbutusnotch.core.membership.InstanceCounts
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class QuotaLedgerTest {
    private val holder = InstanceId(InstanceAddress("10.0.0.1:1"), Incarnation(1))
    private val tolerance = QuotaTolerance(window = 8.seconds, overage = 0.25, slack = 0.0)
    private var share = QuotaShare.WHOLE
    private val ledger = QuotaLedger(tolerance) { _, _ -> share }
    private var quota = WorkspaceQuota(perSecond = 100.0, burst = 200.0)
    private val initialCredit = 125.0

    /** The burst and half of the overage of a window. */
    private val capacity = 200 + 125
    private var now = Timestamp(1_000_000)
    private var count = 0

    private fun workspace() = Workspace(WorkspaceId("w"), emptySet(), quota = quota)

    private fun request(units: Int, ticket: String = "t${count++}"): QuotaDecision =
        ledger.request(TicketId(ticket), holder, workspace(), units.toDouble(), now)

    /** Returns the units that are granted in [duration] when units of one are requested all the time. */
    private fun drain(duration: Duration): Int {
        val end = now + duration
        var granted = 0
        while (true) {
            while (request(1) == QuotaDecision.Granted) granted += 1
            if (now >= end) return granted
            now += 50.milliseconds
        }
    }

    private fun retryTime(decision: QuotaDecision): Duration? = (decision as QuotaDecision.Exceeded).retryAt?.minus(now)

    /** Guards against a retry time at which the request is rejected again. */
    @Test
    fun `rejected request is granted at its retry time`() {
        drain(Duration.ZERO)
        val retry = retryTime(request(30))
        expectThat(retry).isEqualTo(300.milliseconds)
        now += 299.milliseconds
        expectThat(request(30)).isA<QuotaDecision.Exceeded>()
        now += 1.milliseconds
        expectThat(request(30)).isEqualTo(QuotaDecision.Granted)
    }

    /** Guards against counting a message twice that was duplicated or resent. */
    @Test
    fun `repeated ticket is counted once and gets the same reply`() {
        repeat(5) { expectThat(request(25, ticket = "a")).isEqualTo(QuotaDecision.Granted) }
        expectThat(request(100)).isEqualTo(QuotaDecision.Granted)
        val rejected = request(10, ticket = "b")
        now += 500.milliseconds
        expectThat(request(10, ticket = "b")).isEqualTo(rejected)
    }

    /** Guards against credit from a return that is repeated, or whose units were never taken. */
    @Test
    fun `units are returned once`() {
        request(125, ticket = "a")
        request(100)
        repeat(2) { ledger.giveBack(TicketId("a"), WorkspaceId("w"), now) }
        ledger.giveBack(TicketId("unknown"), WorkspaceId("w"), now)
        expectThat(drain(Duration.ZERO)).isEqualTo(125)
    }

    /** Guards against units that stay taken because the return overtook its request. */
    @Test
    fun `request that arrives after its return is not counted`() {
        ledger.giveBack(TicketId("a"), WorkspaceId("w"), now)
        request(125, ticket = "a")
        expectThat(drain(Duration.ZERO)).isEqualTo(initialCredit.toInt())
    }

    /** Guards against a credit above a lowered burst, and against a jump of the credit when the limit is raised. */
    @Test
    fun `changed limit applies at once`() {
        request(1)
        quota = WorkspaceQuota(perSecond = 10.0, burst = 20.0)
        expectThat(drain(1.seconds)).isLessThanOrEqualTo(20 + 10 + 13)
        quota = WorkspaceQuota(perSecond = 100.0, burst = 200.0)
        expectThat(drain(Duration.ZERO)).isEqualTo(0)
        expectThat(drain(1.seconds)).isEqualTo(100)
    }

    /** Guards against a whole burst each time that the ownership moves. */
    @Test
    fun `instance that becomes the owner starts with the initial credit`() {
        share = QuotaShare(rate = 0.5, isOwner = false)
        quota = WorkspaceQuota(perSecond = 10.0, burst = 1_000.0)
        expectThat(drain(Duration.ZERO)).isEqualTo(500)
        now += 1_000.seconds
        share = QuotaShare.WHOLE
        expectThat(drain(Duration.ZERO)).isLessThanOrEqualTo(270)
    }

    /** Guards against a request that can never run because it is a little larger than the burst. */
    @Test
    fun `request above the burst takes the slack, a larger one has no retry time`() {
        val slackLedger = QuotaLedger(QuotaTolerance(slack = 400.0)) { _, _ -> share }
        fun take(units: Double) = slackLedger.request(TicketId("t${count++}"), holder, workspace(), units, now)
        take(1.0)
        now += 60.seconds
        expectThat(retryTime(take(526.0))).isNull()
        expectThat(take(525.0)).isEqualTo(QuotaDecision.Granted)
        expectThat(retryTime(take(100.0))).isEqualTo(2.seconds)
    }

    /** Guards against a pause of the owner that is credited with more than its bucket holds. */
    @Test
    fun `credit after a pause is at most one bucket`() {
        drain(Duration.ZERO)
        now += 60.seconds
        expectThat(drain(Duration.ZERO)).isEqualTo(capacity)
    }

    /**
     * Guards against a workspace that is rejected although it stays below rate x window + burst in every window: a
     * bucket of the burst alone rejected 136 such requests of a workspace whose load rose for five seconds.
     */
    @Test
    fun `load that rises for some seconds and stays below the quota of each window is granted`() {
        request(1)
        now += 60.seconds
        val decisions = (0 until 50).flatMap {
            now += 100.milliseconds
            List(8) { request(2) }
        }
        expectThat(decisions.toSet()).isEqualTo(setOf(QuotaDecision.Granted))
    }

    /** Guards against tickets that use memory for ever, and workspaces that were removed. */
    @Test
    fun `tickets and removed workspaces are forgotten`() {
        repeat(30) { request(10) }
        now += 20.seconds
        ledger.tick(now) { false }
        expectThat(ledger.ticketCount to ledger.size).isEqualTo(0 to 0)
    }

    @Test
    fun `owners that may exist together use little more than the quota`() {
        val counts = InstanceCounts(known = 100, reachable = 100)
        val minority = InstanceCounts(known = 100, reachable = 40)
        expectThat(QuotaShare.of(counts, DispatchRole.Dispatcher, 0).rate).isEqualTo(1.0)
        expectThat(QuotaShare.of(minority, DispatchRole.Dispatcher, 0).rate).isEqualTo(0.2)
        expectThat(QuotaShare.of(counts, DispatchRole.Substitute, 30).rate).isEqualTo(0.15)
        expectThat(QuotaShare.of(counts, DispatchRole.Substitute, 0).rate).isEqualTo(0.005)
        expectThat(QuotaShare.of(counts, DispatchRole.Successor, 0).rate).isEqualTo(0.25)
        expectThat(QuotaShare.of(minority, DispatchRole.Successor, 0).rate).isEqualTo(0.2)
    }
}
