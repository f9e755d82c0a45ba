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
 * Guards against leaked, lost and doubled reservations under any order of requests, duplicates, losses, late releases,
 * adoptions, restarts and changes of the configuration.
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

/** Runs the same steps against a table and the oracle and compares them after each step. */
internal class ReservationRun(private val server: BackendServerId, private val kind: ReservationKind) {
    private val fixture = ReservationFixture(deployment(slots = SLOTS), server, kind)
    private val oracle = ReservationOracle(kind, SLOTS)
    private val incarnations = LongArray(HOLDERS) { 1 }
    private val seen = LongArray(HOLDERS)

    fun run(steps: List<ReservationStep>) {
        steps.forEach { step ->
            perform(step)
            oracle.compare(fixture.table, fixture, fixture.now)
        }
    }

    private fun perform(step: ReservationStep) = when (step) {
        is ReservationStep.Ask -> ask(step)
        is ReservationStep.Release -> release(attempt(step.number))
        is ReservationStep.Report -> report(step.holder, incarnations[step.holder], step.numbers, step.finished)
        is ReservationStep.StaleReport -> report(step.holder, incarnations[step.holder] - 1, step.numbers, false)
        is ReservationStep.Wait -> wait(step.millis)
        is ReservationStep.Restart -> restart(step.holder)
        is ReservationStep.SetLeaving -> setLeaving(step.leaving)
        is ReservationStep.SetExcluded -> setExcluded(step.excluded)
        is ReservationStep.Correct -> correct(step)
    }

    private fun ask(step: ReservationStep.Ask) {
        val holder = step.number % HOLDERS
        seen[holder] = incarnations[holder]
        val request = fixture.request(
            attempt = attempt(step.number).value,
            priority = step.priority,
            patience = step.patienceMillis.milliseconds,
            work = step.work,
            holder = instance(holder, incarnations[holder]),
            lastResort = step.lastResort,
        )
        oracle.expire(fixture.now)
        val ended = oracle.isEnded(request.attempt)
        val held = oracle.held[request.attempt]
        val decision = fixture.table.reserve(request, fixture.now)
        if (!ended) oracle.noteDemand(step.priority, fixture.now)
        when {
            ended -> check(decision is ReservationDecision.Refused) { "ended attempt was accepted: $decision" }

            held != null -> {
                check(decision is ReservationDecision.Granted) { "held attempt was not granted again: $decision" }
                oracle.hold(request.attempt, request.holder, request.work, fixture.now)
            }

            else -> {
                oracle.queue[request.attempt] = request
                oracle.apply(decision, fixture.now)
            }
        }
    }

    private fun release(attempt: AttemptId) {
        oracle.expire(fixture.now)
        oracle.end(attempt, fixture.now)
        applyAll(fixture.table.release(server, attempt, fixture.now))
    }

    private fun report(holder: Int, incarnation: Long, numbers: Set<Int>, finished: Boolean) {
        val own = numbers.filter { it % HOLDERS == holder }
        val id = instance(holder, incarnation)
        val progress = own.map { AttemptProgress(attempt(it, incarnation), kind, 0, 0, 0, WORK, finished) }
        val result = fixture.table.report(StreamReport(server, id, progress), fixture.now)
        if (incarnation < seen[holder]) {
            check(result.summary == null) { "report of a terminated incarnation was accepted" }
            return
        }
        seen[holder] = incarnation
        oracle.expire(fixture.now)
        val started = own.map { attempt(it, incarnation) }.filterNot { oracle.isEnded(it) }
        started.forEach { attempt ->
            if (finished) oracle.end(attempt, fixture.now) else start(attempt, id)
        }
        val answered = result.decisions.filter { it.attempt in started && it is ReservationDecision.Granted }
        applyAll(result.decisions - answered.toSet())
    }

    private fun start(attempt: AttemptId, holder: InstanceId) {
        val queued = oracle.queue.remove(attempt)
        if (queued == null && attempt !in oracle.held) oracle.noteAdopted()
        val work = queued?.work ?: WORK
        oracle.hold(attempt, holder, work, fixture.now)
    }

    private fun wait(millis: Int) {
        val decisions = fixture.after(millis.milliseconds)
        oracle.forgetEnded(fixture.now)
        oracle.expire(fixture.now)
        applyAll(decisions)
        val overdue = oracle.queue.values.filter { it.startDeadline < fixture.now }
        check(overdue.isEmpty()) { "still queued past the start deadline: $overdue" }
    }

    private fun restart(holder: Int) {
        val terminated = instance(holder, incarnations[holder])
        incarnations[holder]++
        oracle.removeHolder(terminated)
        applyAll(fixture.table.removeTerminated(terminated, fixture.now))
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

    private fun correct(step: ReservationStep.Correct) {
        val report = LoadReport(fixture.now - step.ageMillis.milliseconds, step.active)
        oracle.correct(report)
        applyAll(fixture.table.correct(server, report, fixture.now))
    }

    private fun applyAll(decisions: List<ReservationDecision>) = decisions.forEach { oracle.apply(it, fixture.now) }

    private fun attempt(number: Int, incarnation: Long = incarnations[number % HOLDERS]) =
        AttemptId("${number % HOLDERS}/$incarnation/$number")

    private companion object {
        const val SLOTS = 6
        const val WORK = 100
    }
}
