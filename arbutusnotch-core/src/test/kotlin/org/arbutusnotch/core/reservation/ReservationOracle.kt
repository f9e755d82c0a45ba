/*
 * A simple description of what a reservation table must hold, against which the real one is compared.
 *
 * It takes the choice between grant, queue and refusal from the table and checks that the choice was allowed; all other
 * effects it computes by itself.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.ReserveRequest
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ReservationOracle(private val kind: ReservationKind, private val slots: Int) {
    data class Held(val holder: InstanceId, val work: Int, val grantedAt: Timestamp, val deadline: Timestamp)

    val held = LinkedHashMap<AttemptId, Held>()
    val queue = LinkedHashMap<AttemptId, ReserveRequest>()
    var leaving = false
    private val ended = HashMap<AttemptId, Timestamp>()
    private var lastHighPriority: Timestamp? = null
    private var excludedSince: Timestamp? = null
    private val counts = mutableListOf<Pair<Timestamp, Int>>()
    private var reportedAt: Timestamp? = null
    private var unaccounted = 0

    fun isEnded(attempt: AttemptId): Boolean = attempt in ended

    fun noteDemand(priority: Int, now: Timestamp) {
        if (priority >= HIGH_PRIORITY) lastHighPriority = now
    }

    fun expire(now: Timestamp) {
        held.values.removeIf { it.deadline <= now }
    }

    fun forgetEnded(now: Timestamp) {
        ended.values.removeIf { it <= now }
    }

    fun end(attempt: AttemptId, now: Timestamp) {
        held.remove(attempt)
        queue.remove(attempt)
        ended[attempt] = now + 5.seconds
    }

    fun removeHolder(holder: InstanceId) {
        held.values.removeIf { it.holder == holder }
        queue.values.removeIf { it.holder == holder }
    }

    fun hold(attempt: AttemptId, holder: InstanceId, work: Int, now: Timestamp) {
        val before = held[attempt]
        held[attempt] = Held(holder, before?.work ?: work, before?.grantedAt ?: now, now + 2.seconds)
    }

    fun setExcluded(excluded: Boolean, now: Timestamp) {
        excludedSince = if (excluded) excludedSince ?: now else null
    }

    fun correct(report: LoadReport) {
        if (reportedAt?.let { report.asOf <= it } == true) return
        reportedAt = report.asOf
        if (kind != ReservationKind.PREFILL) unaccounted = (report.active - countAround(report.asOf)).coerceAtLeast(0)
    }

    fun noteAdopted() {
        if (unaccounted > 0) unaccounted--
    }

    /** Returns the highest own count within 100 ms of [at]. */
    private fun countAround(at: Timestamp): Int = counts.filterIndexed { index, (since, _) ->
        val until = counts.getOrNull(index + 1)?.first
        since <= at + 100.milliseconds && (until == null || until >= at - 100.milliseconds)
    }.maxOfOrNull { it.second } ?: 0

    private fun occupied(now: Timestamp): Int =
        held.size + if (reportedAt?.let { now - it <= 5.seconds } == true) unaccounted else 0

    /** Applies a decision that the table made about a new or a queued request. */
    fun apply(decision: ReservationDecision, now: Timestamp) {
        val request = checkNotNull(queue.remove(decision.attempt)) { "decision about unknown request: $decision" }
        when (decision) {
            is ReservationDecision.Granted -> grant(request, decision, now)

            is ReservationDecision.Refused -> {
                check(decision.retryAt > now) { "retry time is not later: $decision" }
                check(decision.retryAt <= now + 30.seconds) { "retry time is too late: $decision" }
            }

            is ReservationDecision.Queued -> {
                check(decision.predictedStart <= request.startDeadline) { "hopeless request queued: $decision" }
                queue[request.attempt] = request
            }
        }
    }

    private fun grant(request: ReserveRequest, decision: ReservationDecision.Granted, now: Timestamp) {
        check(!leaving) { "grant on a leaving server: $decision" }
        check(request.startDeadline >= now) { "grant past its start deadline: $decision" }
        check(hasRoomFor(request, now)) { "grant beyond the capacity: $decision while ${held.size} are held" }
        checkProbes(request)
        check(queue.values.none { precedes(it, request) }) { "grant out of order: $decision while $queue wait" }
        hold(request.attempt, request.holder, request.work, now)
        if (request.priority < HIGH_PRIORITY && queue.isNotEmpty() && kind != ReservationKind.PREFILL) {
            check(occupied(now) <= slots - keptSlots(now)) { "grant of a slot kept for high priorities: $decision" }
        }
    }

    private fun checkProbes(request: ReserveRequest) {
        val since = excludedSince ?: return
        val probes = held.values.count { it.grantedAt >= since }
        check(request.lastResort || probes < 2) { "$probes probes run on an excluded server" }
    }

    private fun precedes(left: ReserveRequest, right: ReserveRequest): Boolean = left.priority > right.priority ||
        (left.priority == right.priority && left.startDeadline < right.startDeadline)

    private fun hasRoomFor(request: ReserveRequest, now: Timestamp): Boolean {
        if (kind != ReservationKind.PREFILL) return occupied(now) < slots
        val behindTheRunning = held.values.drop(1).sumOf { it.work } + request.work
        return held.isEmpty() || (held.size < slots && behindTheRunning <= PREFILL_WINDOW_TOKENS)
    }

    private fun keptSlots(now: Timestamp): Int =
        if (lastHighPriority?.let { now - it <= 5.seconds } == true) KEPT_SLOTS else 0

    /** Checks that [table] holds and queues the same, and that nothing waits for a free resource. */
    fun compare(table: ReservationTable, fixture: ReservationFixture, now: Timestamp) {
        val actual = table.reservations(fixture.server).associate { it.attempt to it.deadline }
        val expected = held.mapValues { it.value.deadline }
        check(actual == expected) { "held: expected $expected, found $actual" }
        val order = table.queued(fixture.server)
        check(order.toSet() == queue.keys) { "queued: expected ${queue.keys}, found $order" }
        val sorted = order.map { queue.getValue(it) }.zipWithNext().none { (first, second) -> precedes(second, first) }
        check(sorted) { "queue is out of order: $order" }
        counts += now to held.size
        checkNothingIdle(now)
        val free = checkNotNull(table.summary(fixture.server, now)).freeSlots
        val expectedFree = if (leaving) 0 else (slots - occupied(now)).coerceAtLeast(0)
        check(free == expectedFree) { "free slots: expected $expectedFree, found $free" }
    }

    private fun checkNothingIdle(now: Timestamp) {
        if (queue.isEmpty() || excludedSince != null) return
        check(!leaving) { "queue on a leaving server" }
        val idle = if (kind == ReservationKind.PREFILL) held.isEmpty() else occupied(now) < slots - KEPT_SLOTS
        check(!idle) { "free resources while $queue wait" }
        val urgent = queue.values.any { it.priority >= HIGH_PRIORITY }
        check(kind == ReservationKind.PREFILL || !urgent || occupied(now) >= slots) {
            "kept slot is idle while $queue wait"
        }
    }

    private companion object {
        const val HIGH_PRIORITY = 5
        const val KEPT_SLOTS = 1

        /** 100 ms at the default of 50 ms for 1,000 tokens. */
        const val PREFILL_WINDOW_TOKENS = 2_000
    }
}
