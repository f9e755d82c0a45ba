/*
 * Guards against a third crash by one request after its first crash is known, in whatever order reports arrive, and
 * against tables that stay different.
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

/** Lets callers send one request that crashes every server and one that was only near a crash to every instance. */
internal class QuarantineModel {
    var crashes = 0
        private set

    private val addresses = (1..INSTANCES).map { addressOf(it) }
    private val tables = addresses.map { QuarantineTable(it) }
    private val runs = mutableListOf<ModelRun>()
    private val network = mutableListOf<Pair<Int, List<QuarantineEntry>>>()
    private val known = List(INSTANCES) { mutableSetOf<QuarantineEntry>() }
    private val reports = mutableSetOf<QuarantineEntry>()
    private var runsAfterFirstCrashWasKnown = 0
    private var time = 1_000_000L
    private var servers = 0

    fun begin(choice: Choice) {
        val index = choice.of(tables.indices.toList())
        val digest = choice.of(listOf(CRASHING, CRASHING, INNOCENT))
        if (tables[index].beginRun(digest, now(), addresses) is RunDecision.Refused) return
        if (digest == CRASHING) checkMayRun()
        runs += ModelRun(index, digest, now())
    }

    fun end(choice: Choice) {
        if (runs.isEmpty()) return
        val run = choice.of(runs)
        runs.remove(run)
        val table = tables[run.instance]
        val crashed = run.digest == CRASHING || choice.chance(oneIn = 4)
        if (crashed) {
            servers += 1
            val report = table.report(run.digest, BackendServerId("10.1.0.$servers:80"), now())
            if (run.digest == CRASHING) {
                crashes += 1
                reports += report
                known[run.instance] += report
            }
        }
        table.endRun(run.digest, run.startedAt, completed = !crashed, now())
        val urgent = table.takeUrgent()
        tables.indices.filter { it != run.instance }.forEach { network += it to urgent }
    }

    fun deliver(choice: Choice) {
        if (network.isEmpty()) return
        val message = choice.of(network)
        if (!choice.chance(oneIn = 6)) network.remove(message)
        receive(message.first, message.second)
    }

    fun gossip(choice: Choice) {
        val entries = tables[choice.of(tables.indices.toList())].entriesToGossip(now())
        network += choice.of(tables.indices.toList()) to entries
    }

    fun passTime(choice: Choice) {
        time += choice.of(listOf(1L, 20L, 1_000L))
        tables.forEach { it.tick(now()) }
    }

    /** Delivers what is left and exchanges gossip; every table must then decide alike. */
    fun settle() {
        repeat(2) {
            val messages = network.toList()
            network.clear()
            messages.forEach { receive(it.first, it.second) }
            tables.forEach { table ->
                val entries = table.entriesToGossip(now())
                tables.indices.forEach { receive(it, entries) }
            }
        }
        listOf(CRASHING, INNOCENT).forEach { digest ->
            val decisions = tables.map { it.isQuarantined(digest, now()) }.toSet()
            check(decisions.size == 1) { "tables differ on whether ${digest.value} is quarantined" }
        }
    }

    private fun receive(index: Int, entries: List<QuarantineEntry>) {
        tables[index].merge(entries, now())
        known[index] += entries.filter { it in reports }
    }

    private fun checkMayRun() {
        if (reports.isEmpty() || known.any { it != reports }) return
        if (runs.any { it.digest == CRASHING && !it.beganAfterFirstCrashWasKnown }) return
        check(reports.size == 1) { "the request runs again after ${reports.size} crashes that every instance knows" }
        check(runs.none { it.digest == CRASHING }) { "the request runs twice at a time after a first crash" }
        runsAfterFirstCrashWasKnown += 1
        check(runsAfterFirstCrashWasKnown <= 1) { "the request ran more than once after its first crash was known" }
    }

    private fun now() = Timestamp(time)

    private inner class ModelRun(val instance: Int, val digest: ContentDigest, val startedAt: Timestamp) {
        val beganAfterFirstCrashWasKnown = reports.isNotEmpty() && known.all { it == reports }
    }

    private companion object {
        const val INSTANCES = 4
        val CRASHING = ContentDigest("crashing")
        val INNOCENT = ContentDigest("innocent")
    }
}
