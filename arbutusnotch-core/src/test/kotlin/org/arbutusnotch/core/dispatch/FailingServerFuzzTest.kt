/*
 * Guards, for any order of requests, answers and faults, against servers that fail at once and draw the requests of
 * their pool, and against pools that serve nobody because of their faults.
 */
package org.arbutusnotch.core.dispatch

import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.ActionChain
import net.jqwik.api.statistics.Statistics
import org.arbutusnotch.core.fuzz.ANNOTATED_SEED
import org.arbutusnotch.core.fuzz.Choice
import org.arbutusnotch.core.fuzz.FuzzStep
import org.arbutusnotch.core.fuzz.seeded
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.message.PlaceOutcome
import org.arbutusnotch.core.time.Timestamp
import java.util.function.Predicate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class FailingServerFuzzTest {
    @Property(tries = 1_000, seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `servers that fail get their probes and no more, and return when they have recovered`(
        @ForAll("minority") sequence: ActionChain<FailingPoolModel>,
    ) {
        val model = sequence.run()
        Statistics.label("longest series of failures").collect(model.longestSeries >= PACED_SERIES)
            .coverage { checker -> checker.check(true).percentage(Predicate<Double> { it > MINIMUM_COVERAGE_PERCENT }) }
        model.recover()
    }

    @Property(tries = 1_000, seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `pool in which any number of servers fail keeps serving`(
        @ForAll("all") sequence: ActionChain<FailingPoolModel>,
    ) {
        sequence.run().recover()
    }

    @Provide
    fun minority(): Arbitrary<ActionChain<FailingPoolModel>> = sequences(mayFail = 2)

    @Provide
    fun all(): Arbitrary<ActionChain<FailingPoolModel>> = sequences(mayFail = FailingPoolModel.SERVERS)

    private fun sequences(mayFail: Int): Arbitrary<ActionChain<FailingPoolModel>> = ActionChain
        .startWith { FailingPoolModel(mayFail) }
        .withAction(8, FuzzStep("submit", FailingPoolModel::submit))
        .withAction(4, FuzzStep("end", FailingPoolModel::end))
        .withAction(6, FuzzStep("pass time", FailingPoolModel::passTime))
        .withAction(2, FuzzStep("begin to fail", FailingPoolModel::beginToFail))
        .withAction(1, FuzzStep("heal", FailingPoolModel::heal))
        .withMaxTransformations(STEPS)
        .seeded()

    private companion object {
        const val STEPS = 120

        /** Failures one after the other after which probes are far apart. */
        const val PACED_SERIES = 5
        const val MINIMUM_COVERAGE_PERCENT = 5.0
    }
}

/** Models a pool of calls of which the first [mayFail] servers fail at times; a failing server answers at once. */
internal class FailingPoolModel(private val mayFail: Int) {
    private class Running(val granted: DispatchDecision.Granted, val since: Timestamp)

    private val ids = (1..SERVERS).map { BackendServerId("s$it") }
    private val fixture = DispatchFixture(ids.map { DispatchFixture.server(it.value, slots = SLOTS) })
    private val running = mutableListOf<Running>()
    private val failing = mutableSetOf<BackendServerId>()

    /** Failures of each server since its latest success, and the time of the latest one. */
    private val series = HashMap<BackendServerId, Int>()
    private val failedAt = HashMap<BackendServerId, Timestamp>()
    private val grants = HashMap<BackendServerId, Int>()
    var longestSeries = 0
        private set

    private fun runningAt(server: BackendServerId) = running.count { it.granted.server == server }

    fun submit(@Suppress("UNUSED_PARAMETER") choice: Choice) {
        val hasRoom = ids.drop(mayFail).any { runningAt(it) < SLOTS } || running.isEmpty()
        if (!hasRoom) return
        val decisions = fixture.submitCall()
        check(decisions.granted().isNotEmpty()) { "a request waits although a sound server, or each server, is free" }
        begin(decisions)
    }

    /** Begins the calls that [decisions] grant; a failing server ends its call at once. */
    private fun begin(decisions: List<DispatchDecision>): Unit = decisions.granted().forEach { granted ->
        checkPace(granted.server)
        grants.merge(granted.server, 1, Int::plus)
        val run = Running(granted, fixture.now)
        running += run
        if (granted.server in failing) end(run)
    }

    /** Checks the time since the latest of several failures of [server], unless most of the pool may have failed. */
    private fun checkPace(server: BackendServerId) {
        val failures = series[server] ?: 0
        if (failures < MINIMUM_SERIES || mayFail * 2 > SERVERS) return
        val pause = fixture.now - failedAt.getValue(server)
        val expected = minOf(FIRST_PAUSE * (1 shl minOf(failures - 1, MOST_DOUBLINGS)), LONGEST_PAUSE)
        check(pause >= expected) { "$server got a request $pause after its failure number $failures" }
    }

    fun end(choice: Choice) {
        if (running.isNotEmpty()) end(choice.of(running.toList()))
    }

    private fun end(run: Running) {
        running -= run
        val server = run.granted.server
        val fails = server in failing
        if (fails) recordFailure(server) else series[server] = 0
        val outcome = if (fails) PlaceOutcome.SERVER_FAILED else PlaceOutcome.COMPLETED
        begin(fixture.release(run.granted, outcome = outcome, elapsed = CALL_TIME))
    }

    private fun recordFailure(server: BackendServerId) {
        val isForgotten = failedAt[server]?.let { fixture.now - it >= MEMORY } ?: true
        if (isForgotten) series[server] = 0
        failedAt[server] = fixture.now
        longestSeries = maxOf(longestSeries, series.merge(server, 1, Int::plus) ?: 0)
    }

    fun passTime(choice: Choice) = passTime(choice.of(listOf(1, 10, 10, 50, 200, 700, 3_000)).milliseconds)

    /** Passes [time], and ends the calls that have run for their time. */
    private fun passTime(time: Duration) {
        fixture.advance(time)
        running.filter { fixture.now >= it.since + CALL_TIME }.forEach { end(it) }
        begin(fixture.dispatcher.tick(fixture.now))
    }

    fun beginToFail(choice: Choice) {
        failing += choice.of(ids.take(mayFail))
    }

    fun heal(choice: Choice) {
        failing -= choice.of(ids)
    }

    /** Ends all faults; each server must be in use again within [RETURN_TIME]. */
    fun recover() {
        failing.clear()
        sendFor(RETURN_TIME)
        grants.clear()
        sendFor(1.seconds)
        val unused = ids.filter { (grants[it] ?: 0) < 2 }
        check(unused.isEmpty()) { "$unused are not in use $RETURN_TIME after the end of all faults: $grants" }
    }

    /** Sends a request every [REQUEST_INTERVAL], of which each takes [CALL_TIME]. */
    private fun sendFor(time: Duration) {
        val end = fixture.now + time
        while (fixture.now < end) {
            if (running.size < MOST_RUNNING) begin(fixture.submitCall())
            passTime(REQUEST_INTERVAL)
        }
    }

    companion object {
        const val SERVERS = 5
        private const val SLOTS = 4
        private const val MOST_RUNNING = 12
        private val CALL_TIME = 200.milliseconds
        private val REQUEST_INTERVAL = 20.milliseconds

        /** Failures after which a server whose peers are sound is held back whatever it answered before. */
        private const val MINIMUM_SERIES = 4
        private val FIRST_PAUSE = 50.milliseconds
        private val LONGEST_PAUSE = 2.seconds
        private const val MOST_DOUBLINGS = 10

        /** Time for which failures are remembered without a request. */
        private val MEMORY = 10.seconds
        private val RETURN_TIME = 4.seconds
    }
}
