/*
 * Guards against more than one further crash by a request after all instances know of its first, for any order of
 * reports, and against tables that do not converge.
 */
package org.arbutusnotch.core.quarantine

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
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.membership.addressOf
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.time.Timestamp
import java.util.function.Predicate

internal class QuarantineFuzzTest {
    @Property(seed = ANNOTATED_SEED, edgeCases = EdgeCasesMode.NONE)
    fun `a request crashes at most one server after every instance knows of its first crash`(
        @ForAll("sequences") sequence: ActionChain<QuarantineModel>,
    ) {
        val model = sequence.run()
        model.settle()
        Statistics.label("crashes").collect(model.crashes.coerceAtMost(2)).coverage { checker ->
            checker.check(2).percentage(Predicate<Double> { it > MINIMUM_COVERAGE_PERCENT })
        }
    }

    @Provide
    fun sequences(): Arbitrary<ActionChain<QuarantineModel>> = ActionChain
        .startWith { QuarantineModel() }
        .withAction(6, FuzzStep("begin", QuarantineModel::begin))
        .withAction(4, FuzzStep("end", QuarantineModel::end))
        .withAction(6, FuzzStep("deliver", QuarantineModel::deliver))
        .withAction(2, FuzzStep("gossip", QuarantineModel::gossip))
        .withAction(2, FuzzStep("pass time", QuarantineModel::passTime))
        .withMaxTransformations(STEPS)
        .seeded()

    private companion object {
        const val STEPS = 60
        const val MINIMUM_COVERAGE_PERCENT = 10.0
    }
}

/**
 * Models callers that send two requests to every instance: one that crashes every server, and one that only runs on
 * servers that crash for other reasons.
 */
internal class QuarantineModel {
    var crashes = 0
        private set

    private val addresses = (1..INSTANCES).map { addressOf(it) }
    private val tables = addresses.map { QuarantineTable(it) }
    private val activeRuns = mutableListOf<ModelRun>()
    private val pendingMessages = mutableListOf<Pair<Int, List<QuarantineEntry>>>()
    private val receivedReports = List(INSTANCES) { mutableSetOf<QuarantineEntry>() }
    private val reports = mutableSetOf<QuarantineEntry>()
    private var runsAfterKnownCrash = 0
    private var epochMillis = 1_000_000L
    private var serverCount = 0

    fun begin(choice: Choice) {
        val index = choice.of(tables.indices.toList())
        val digest = choice.of(listOf(CRASHING, CRASHING, HARMLESS))
        if (tables[index].beginRun(digest, now(), addresses) is RunDecision.Refused) return
        if (digest == CRASHING) checkRunAllowed()
        activeRuns += ModelRun(index, digest, now())
    }

    fun end(choice: Choice) {
        if (activeRuns.isEmpty()) return
        val run = choice.of(activeRuns)
        activeRuns.remove(run)
        val table = tables[run.instance]
        val crashed = run.digest == CRASHING || choice.chance(oneIn = 4)
        if (crashed) {
            serverCount += 1
            val report = table.report(run.digest, BackendServerId("10.1.0.$serverCount:80"), now())
            if (run.digest == CRASHING) {
                crashes += 1
                reports += report
                receivedReports[run.instance] += report
            }
        }
        table.endRun(run.digest, run.startedAt, completed = !crashed, now())
        val urgentReports = table.drainUrgentReports()
        tables.indices.filter { it != run.instance }.forEach { pendingMessages += it to urgentReports }
    }

    fun deliver(choice: Choice) {
        if (pendingMessages.isEmpty()) return
        val message = choice.of(pendingMessages)
        if (!choice.chance(oneIn = 6)) pendingMessages.remove(message)
        receive(message.first, message.second)
    }

    fun gossip(choice: Choice) {
        val entries = tables[choice.of(tables.indices.toList())].entriesToGossip(now())
        pendingMessages += choice.of(tables.indices.toList()) to entries
    }

    fun passTime(choice: Choice) {
        epochMillis += choice.of(listOf(1L, 20L, 1_000L))
        tables.forEach { it.tick(now()) }
    }

    /** Delivers the pending messages and exchanges gossip; all tables must then agree on the quarantined requests. */
    fun settle() {
        repeat(2) {
            val messages = pendingMessages.toList()
            pendingMessages.clear()
            messages.forEach { receive(it.first, it.second) }
            tables.forEach { table ->
                val entries = table.entriesToGossip(now())
                tables.indices.forEach { receive(it, entries) }
            }
        }
        listOf(CRASHING, HARMLESS).forEach { digest ->
            val decisions = tables.map { it.isQuarantined(digest, now()) }.toSet()
            check(decisions.size == 1) { "tables differ on whether ${digest.value} is quarantined" }
        }
    }

    private fun receive(index: Int, entries: List<QuarantineEntry>) {
        tables[index].merge(entries, now())
        receivedReports[index] += entries.filter { it in reports }
    }

    private fun checkRunAllowed() {
        if (reports.isEmpty() || receivedReports.any { it != reports }) return
        if (activeRuns.any { it.digest == CRASHING && !it.beganAfterKnownCrash }) return
        check(reports.size == 1) { "the request ran again although every instance knows of ${reports.size} crashes" }
        check(activeRuns.none { it.digest == CRASHING }) { "two runs of the request overlap after its first crash" }
        runsAfterKnownCrash += 1
        check(runsAfterKnownCrash <= 1) { "the request ran more than once after its first crash was known" }
    }

    private fun now() = Timestamp(epochMillis)

    private inner class ModelRun(val instance: Int, val digest: ContentDigest, val startedAt: Timestamp) {
        val beganAfterKnownCrash = reports.isNotEmpty() && receivedReports.all { it == reports }
    }

    private companion object {
        const val INSTANCES = 4
        val CRASHING = ContentDigest("crashing")
        val HARMLESS = ContentDigest("innocent")
    }
}
