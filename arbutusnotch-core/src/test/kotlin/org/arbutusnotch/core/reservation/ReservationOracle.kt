/*
 * A simple model of the reservation table, against which the real table is compared.
 *
 * The oracle takes the choice between grant, queue and refusal from the table and checks that the choice was allowed.
 * It computes all other effects independently.
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
    data class ReservedAttempt(
        val holder: InstanceId,
        val work: Int,
        val grantedAt: Timestamp,
        val deadline: Timestamp,
    )

    val reservations = LinkedHashMap<AttemptId, ReservedAttempt>()
    val queue = LinkedHashMap<AttemptId, ReserveRequest>()
    var leaving = false
    private val ended = HashMap<AttemptId, Timestamp>()
    private var lastHighPriorityAt: Timestamp? = null
    private var excludedSince: Timestamp? = null
    private val counts = mutableListOf<Pair<Timestamp, Int>>()
    private var reportedAt: Timestamp? = null
    private var unaccounted = 0

    fun isEnded(attempt: AttemptId): Boolean = attempt in ended

    fun recordDemand(priority: Int, now: Timestamp) {
        if (priority >= HIGH_PRIORITY) lastHighPriorityAt = now
    }

    fun expire(now: Timestamp) {
        reservations.values.removeIf { it.deadline <= now }
    }

    fun expireEnded(now: Timestamp) {
        ended.values.removeIf { it <= now }
    }

    fun endAttempt(attempt: AttemptId, now: Timestamp) {
        reservations.remove(attempt)
        queue.remove(attempt)
        ended[attempt] = now + 5.seconds
    }

    fun removeHolder(holder: InstanceId) {
        reservations.values.removeIf { it.holder == holder }
        queue.values.removeIf { it.holder == holder }
    }

    fun put(attempt: AttemptId, holder: InstanceId, work: Int, now: Timestamp) {
        val existing = reservations[attempt]
        val grantedAt = existing?.grantedAt ?: now
        reservations[attempt] = ReservedAttempt(holder, existing?.work ?: work, grantedAt, now + 2.seconds)
    }

    fun setExcluded(excluded: Boolean, now: Timestamp) {
        excludedSince = if (excluded) excludedSince ?: now else null
    }

    fun applyLoadReport(report: LoadReport) {
        if (reportedAt?.let { report.asOf <= it } == true) return
        reportedAt = report.asOf
        if (kind != ReservationKind.PREFILL) {
            unaccounted = (report.active - highestCountAround(report.asOf)).coerceAtLeast(0)
        }
    }

    fun recordAdopted() {
        if (unaccounted > 0) unaccounted--
    }

    /** Returns the highest number of reservations within 100 ms of [at]. */
    private fun highestCountAround(at: Timestamp): Int = counts.filterIndexed { index, (since, _) ->
        val until = counts.getOrNull(index + 1)?.first
        since <= at + 100.milliseconds && (until == null || until >= at - 100.milliseconds)
    }.maxOfOrNull { it.second } ?: 0

    private fun occupied(now: Timestamp): Int =
        reservations.size + if (reportedAt?.let { now - it <= 5.seconds } == true) unaccounted else 0

    /** Applies a decision of the table about a new or queued request. */
    fun apply(decision: ReservationDecision, now: Timestamp) {
        val request = checkNotNull(queue.remove(decision.attempt)) { "decision about an unknown request: $decision" }
        when (decision) {
            is ReservationDecision.Granted -> grant(request, decision, now)

            is ReservationDecision.Refused -> {
                check(decision.retryAt > now) { "retry time is not in the future: $decision" }
                check(decision.retryAt <= now + 30.seconds) { "retry time is more than 30 s ahead: $decision" }
            }

            is ReservationDecision.Queued -> {
                check(decision.predictedStart <= request.startDeadline) {
                    "queued request is predicted to miss its start deadline: $decision"
                }
                queue[request.attempt] = request
            }
        }
    }

    private fun grant(request: ReserveRequest, decision: ReservationDecision.Granted, now: Timestamp) {
        check(!leaving) { "grant on a leaving server: $decision" }
        check(request.startDeadline >= now) { "grant after the start deadline: $decision" }
        check(hasCapacityFor(request, now)) {
            "grant beyond the capacity: $decision with ${reservations.size} reservations"
        }
        checkProbes(request)
        check(queue.values.none { precedes(it, request) }) { "grant out of order: $decision with queue $queue" }
        put(request.attempt, request.holder, request.work, now)
        if (request.priority < HIGH_PRIORITY && queue.isNotEmpty() && kind != ReservationKind.PREFILL) {
            check(occupied(now) <= slots - withheldSlots(now)) {
                "grant of a slot withheld for high priorities: $decision"
            }
        }
    }

    private fun checkProbes(request: ReserveRequest) {
        val since = excludedSince ?: return
        val probes = reservations.values.count { it.grantedAt >= since }
        check(request.lastResort || probes < 2) { "grant on an excluded server with $probes probes" }
    }

    private fun precedes(left: ReserveRequest, right: ReserveRequest): Boolean = left.priority > right.priority ||
        (left.priority == right.priority && left.startDeadline < right.startDeadline)

    private fun hasCapacityFor(request: ReserveRequest, now: Timestamp): Boolean {
        if (kind != ReservationKind.PREFILL) return occupied(now) < slots
        val workBehindRunning = reservations.values.drop(1).sumOf { it.work } + request.work
        return reservations.isEmpty() || (reservations.size < slots && workBehindRunning <= PREFILL_WINDOW_TOKENS)
    }

    private fun withheldSlots(now: Timestamp): Int =
        if (lastHighPriorityAt?.let { now - it <= 5.seconds } == true) WITHHELD_SLOTS else 0

    /** Checks that [table] has the same reservations and queue, and that no request waits for a free resource. */
    fun compare(table: ReservationTable, fixture: ReservationFixture, now: Timestamp) {
        val actual = table.reservations(fixture.server).associate { it.attempt to it.deadline }
        val expected = reservations.mapValues { it.value.deadline }
        check(actual == expected) { "reservations: expected $expected, found $actual" }
        val order = table.queued(fixture.server)
        check(order.toSet() == queue.keys) { "queued: expected ${queue.keys}, found $order" }
        val sorted = order.map { queue.getValue(it) }.zipWithNext().none { (first, second) -> precedes(second, first) }
        check(sorted) { "queue is out of order: $order" }
        counts += now to reservations.size
        checkNoIdleCapacity(now)
        val free = checkNotNull(table.summary(fixture.server, now)).freeSlots
        val expectedFree = if (leaving) 0 else (slots - occupied(now)).coerceAtLeast(0)
        check(free == expectedFree) { "free slots: expected $expectedFree, found $free" }
    }

    private fun checkNoIdleCapacity(now: Timestamp) {
        if (queue.isEmpty() || excludedSince != null) return
        check(!leaving) { "leaving server has queued requests: $queue" }
        val idle =
            if (kind == ReservationKind.PREFILL) reservations.isEmpty() else occupied(now) < slots - WITHHELD_SLOTS
        check(!idle) { "idle resources with queue $queue" }
        val highPriorityQueued = queue.values.any { it.priority >= HIGH_PRIORITY }
        check(kind == ReservationKind.PREFILL || !highPriorityQueued || occupied(now) >= slots) {
            "withheld slot is idle with queue $queue"
        }
    }

    private companion object {
        const val HIGH_PRIORITY = 5
        const val WITHHELD_SLOTS = 1

        /** Tokens that take 100 ms at the default of 50 ms for 1,000 tokens. */
        const val PREFILL_WINDOW_TOKENS = 2_000
    }
}
