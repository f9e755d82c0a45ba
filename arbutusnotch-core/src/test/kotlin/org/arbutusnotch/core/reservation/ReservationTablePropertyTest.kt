package org.arbutusnotch.core.reservation

import net.jqwik.api.AfterFailureMode
import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.arbutusnotch.core.fixture.SeededSequences
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.instance
import org.arbutusnotch.core.fixture.prefillServer
import org.arbutusnotch.core.fixture.serviceServer
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.AttemptProgress
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.StreamReport
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against leaked, lost and duplicated reservations under any order of requests, duplicates, message losses, late
 * releases, adoptions, restarts and configuration changes.
 */
internal class ReservationTablePropertyTest {
    @Property(edgeCases = EdgeCasesMode.NONE, afterFailure = AfterFailureMode.RANDOM_SEED)
    fun decodeSlotsAreGrantedInOrderNeverAboveCapacityAndNeverLost(
        @ForAll("decodeSteps") steps: List<ReservationStep>,
    ) {
        ReservationRun(decodeServer(0), ReservationKind.DECODE).run(steps)
    }

    @Property(edgeCases = EdgeCasesMode.NONE, afterFailure = AfterFailureMode.RANDOM_SEED)
    fun serviceSlotsAreGrantedInOrderNeverAboveCapacityAndNeverLost(
        @ForAll("serviceSteps") steps: List<ReservationStep>,
    ) {
        ReservationRun(serviceServer(0), ReservationKind.SERVICE).run(steps)
    }

    @Property(edgeCases = EdgeCasesMode.NONE, afterFailure = AfterFailureMode.RANDOM_SEED)
    fun prefillWorkIsGrantedInOrderWithinTheWindowAndNeverLost(@ForAll("prefillSteps") steps: List<ReservationStep>) {
        ReservationRun(prefillServer(0), ReservationKind.PREFILL).run(steps)
    }

    @Provide
    fun decodeSteps(): Arbitrary<List<ReservationStep>> = SeededSequences.of(ReservationSteps.sequences(200))

    @Provide
    fun serviceSteps(): Arbitrary<List<ReservationStep>> = SeededSequences.of(ReservationSteps.sequences(1))

    @Provide
    fun prefillSteps(): Arbitrary<List<ReservationStep>> = SeededSequences.of(ReservationSteps.sequences(3_000))
}

/** Applies the same steps to a table and to the oracle and compares both after each step. */
internal class ReservationRun(private val server: BackendServerId, private val kind: ReservationKind) {
    private val fixture = ReservationFixture(deployment(slots = SLOTS), server, kind)
    private val oracle = ReservationOracle(kind, SLOTS)
    private val incarnations = LongArray(HOLDER_COUNT) { 1 }
    private val latestSeen = LongArray(HOLDER_COUNT)

    fun run(steps: List<ReservationStep>) {
        steps.forEach { step ->
            perform(step)
            oracle.compare(fixture.table, fixture, fixture.now)
        }
    }

    private fun perform(step: ReservationStep) = when (step) {
        is ReservationStep.Reserve -> reserve(step)
        is ReservationStep.Release -> release(attempt(step.number))
        is ReservationStep.Report -> report(step.holder, incarnations[step.holder], step.numbers, step.finished)
        is ReservationStep.StaleReport -> report(step.holder, incarnations[step.holder] - 1, step.numbers, false)
        is ReservationStep.Advance -> advance(step.millis)
        is ReservationStep.Restart -> restart(step.holder)
        is ReservationStep.SetLeaving -> setLeaving(step.leaving)
        is ReservationStep.SetExcluded -> setExcluded(step.excluded)
        is ReservationStep.ApplyLoadReport -> applyLoadReport(step)
    }

    private fun reserve(step: ReservationStep.Reserve) {
        val holder = step.number % HOLDER_COUNT
        latestSeen[holder] = incarnations[holder]
        val request = fixture.request(
            attempt = attempt(step.number).value,
            priority = step.priority,
            maximumWait = step.maximumWaitMillis.milliseconds,
            work = step.work,
            holder = instance(holder, incarnations[holder]),
            lastResort = step.lastResort,
        )
        oracle.expire(fixture.now)
        val ended = oracle.isEnded(request.attempt)
        val existing = oracle.reservations[request.attempt]
        val decision = fixture.table.reserve(request, fixture.now)
        if (!ended) oracle.recordDemand(step.priority, fixture.now)
        when {
            ended -> check(decision is ReservationDecision.Refused) { "ended attempt was accepted: $decision" }

            existing != null -> {
                check(decision is ReservationDecision.Granted) {
                    "reservation was not renewed by a repeated request: $decision"
                }
                oracle.put(request.attempt, request.holder, request.work, fixture.now)
            }

            else -> {
                oracle.queue[request.attempt] = request
                oracle.apply(decision, fixture.now)
            }
        }
    }

    private fun release(attempt: AttemptId) {
        oracle.expire(fixture.now)
        oracle.endAttempt(attempt, fixture.now)
        applyAll(fixture.table.release(server, attempt, fixture.now))
    }

    private fun report(holder: Int, incarnation: Long, numbers: Set<Int>, finished: Boolean) {
        val own = numbers.filter { it % HOLDER_COUNT == holder }
        val id = instance(holder, incarnation)
        val progress = own.map { AttemptProgress(attempt(it, incarnation), kind, 0, 0, 0, ADOPTED_WORK, finished) }
        val result = fixture.table.report(StreamReport(server, id, progress), fixture.now)
        if (incarnation < latestSeen[holder]) {
            check(result.summary == null) { "report of a terminated incarnation was accepted" }
            return
        }
        latestSeen[holder] = incarnation
        oracle.expire(fixture.now)
        val started = own.map { attempt(it, incarnation) }.filterNot { oracle.isEnded(it) }
        started.forEach { attempt ->
            if (finished) oracle.endAttempt(attempt, fixture.now) else start(attempt, id)
        }
        val grantedByReport = result.decisions.filter { it.attempt in started && it is ReservationDecision.Granted }
        applyAll(result.decisions - grantedByReport.toSet())
    }

    private fun start(attempt: AttemptId, holder: InstanceId) {
        val queued = oracle.queue.remove(attempt)
        if (queued == null && attempt !in oracle.reservations) oracle.recordAdopted()
        val work = queued?.work ?: ADOPTED_WORK
        oracle.put(attempt, holder, work, fixture.now)
    }

    private fun advance(millis: Int) {
        val decisions = fixture.advance(millis.milliseconds)
        oracle.expireEnded(fixture.now)
        oracle.expire(fixture.now)
        applyAll(decisions)
        val overdue = oracle.queue.values.filter { it.startDeadline < fixture.now }
        check(overdue.isEmpty()) { "requests are queued after their start deadline: $overdue" }
    }

    private fun restart(holder: Int) {
        val terminated = instance(holder, incarnations[holder])
        incarnations[holder]++
        oracle.removeHolder(terminated)
        applyAll(fixture.table.removeHolder(terminated, fixture.now))
    }

    private fun setLeaving(leaving: Boolean) {
        val configuration = deployment(slots = SLOTS, leaving = if (leaving) setOf(server) else emptySet())
        oracle.leaving = leaving
        applyAll(fixture.table.configure(configuration, fixture.now))
    }

    private fun setExcluded(excluded: Boolean) {
        oracle.setExcluded(excluded, fixture.now)
        applyAll(fixture.table.setExcluded(server, excluded, fixture.now))
    }

    private fun applyLoadReport(step: ReservationStep.ApplyLoadReport) {
        val report = LoadReport(fixture.now - step.ageMillis.milliseconds, step.active)
        oracle.applyLoadReport(report)
        applyAll(fixture.table.applyLoadReport(server, report, fixture.now))
    }

    private fun applyAll(decisions: List<ReservationDecision>) = decisions.forEach { oracle.apply(it, fixture.now) }

    private fun attempt(number: Int, incarnation: Long = incarnations[number % HOLDER_COUNT]) =
        AttemptId("${number % HOLDER_COUNT}/$incarnation/$number")

    private companion object {
        const val SLOTS = 6
        const val ADOPTED_WORK = 100
    }
}
