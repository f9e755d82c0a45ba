package org.arbutusnotch.core.straggler

import net.jqwik.api.AfterFailureMode
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.Tuple
import org.arbutusnotch.core.fixture.DECODE_POOL
import org.arbutusnotch.core.fixture.START
import org.arbutusnotch.core.fixture.SeededSequences
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.summary
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds

internal sealed interface SpeedStep {
    data class Tokens(val server: Int, val count: Int, val millis: Int) : SpeedStep

    data class Silence(val server: Int, val millis: Int) : SpeedStep

    data class Summary(val server: Int, val millis: Int, val ageMillis: Int) : SpeedStep

    data class Failure(val server: Int) : SpeedStep

    data class Configure(val servers: Int, val leaving: Set<Int>) : SpeedStep

    data class Advance(val millis: Int) : SpeedStep
}

/** Guards against excluding more than a third of a pool, or servers without measurements that show them to be slow. */
internal class ServerTablePropertyTest {
    @Property(edgeCases = EdgeCasesMode.NONE, afterFailure = AfterFailureMode.RANDOM_SEED)
    fun atMostAThirdOfAPoolIsExcludedAndOnlySlowServers(@ForAll("steps") steps: List<SpeedStep>) {
        val table = ServerTable().apply { configure(deployment(decodeServers = 9)) }
        val lastMergedAt = HashMap<Int, Timestamp>()
        var now = START
        steps.forEach { step ->
            now = perform(table, step, now, lastMergedAt)
            val excludedBefore = excluded(table, now).toSet()
            val decisions = table.tick(now)
            checkExclusionLimit(table, now)
            checkExclusionReasons(table, decisions, now)
            val after = excluded(table, now).toSet()
            val added = decisions.filterIsInstance<StragglerDecision.Excluded>().map { it.server }.toSet()
            val returned = decisions.filterIsInstance<StragglerDecision.Returned>().map { it.server }.toSet()
            check(after == excludedBefore + added - returned) { "decisions do not match the change: $decisions" }
        }
    }

    private fun perform(
        table: ServerTable,
        step: SpeedStep,
        now: Timestamp,
        lastMergedAt: HashMap<Int, Timestamp>,
    ): Timestamp {
        when (step) {
            is SpeedStep.Tokens -> {
                val elapsed = step.millis.milliseconds * step.count
                table.observeTokens(decodeServer(step.server), step.count, elapsed, now)
            }

            is SpeedStep.Silence -> table.observeSilence(decodeServer(step.server), 1, step.millis.milliseconds, now)

            is SpeedStep.Summary -> mergeSummary(table, step, now, lastMergedAt)

            is SpeedStep.Failure -> table.recordFailure(decodeServer(step.server), now)

            is SpeedStep.Configure -> {
                val leaving = step.leaving.map { decodeServer(it) }.toSet()
                lastMergedAt.keys.removeIf { it >= step.servers }
                table.configure(deployment(decodeServers = step.servers, leaving = leaving))
            }

            is SpeedStep.Advance -> return now + step.millis.milliseconds
        }
        return now
    }

    private fun mergeSummary(
        table: ServerTable,
        step: SpeedStep.Summary,
        now: Timestamp,
        lastMergedAt: HashMap<Int, Timestamp>,
    ) {
        val server = decodeServer(step.server)
        val measuredAt = now - step.ageMillis.milliseconds
        val before = table.server(server, now)
        val older = lastMergedAt[step.server]?.let { measuredAt <= it } ?: false
        table.merge(summary(server, measuredAt, freeSlots = step.millis % 20, micros = step.millis * 1_000L))
        if (before == null) return
        val after = table.server(server, now)
        if (older) check(after == before) { "an older summary changed $before to $after" }
        if (!older) lastMergedAt[step.server] = measuredAt
    }

    private fun excluded(table: ServerTable, now: Timestamp) =
        table.servers(DECODE_POOL, now).filter { it.excluded }.map { it.server }

    private fun checkExclusionLimit(table: ServerTable, now: Timestamp) {
        val pool = table.servers(DECODE_POOL, now)
        val usable = pool.filter { !it.leaving && it.backoffUntil == null }
        val excluded = pool.filter { it.excluded }
        check(excluded.size <= usable.size / 3) { "${excluded.size} of ${usable.size} usable servers are excluded" }
        check(usable.containsAll(excluded)) { "a leaving or failed server is excluded" }
    }

    private fun checkExclusionReasons(table: ServerTable, decisions: List<StragglerDecision>, now: Timestamp) {
        val usable = table.servers(DECODE_POOL, now).filter { !it.leaving && it.backoffUntil == null && it.measured }
        val timesPerUnit = usable.map { it.timePerUnit }.sorted()
        decisions.filterIsInstance<StragglerDecision.Excluded>().forEach { decision ->
            val faster = timesPerUnit.count { it * 2 < decision.timePerUnit }
            check(faster * 2 >= timesPerUnit.size) {
                "$decision although only $faster of $timesPerUnit are less than half its time per unit"
            }
        }
        val median = timesPerUnit.getOrNull((timesPerUnit.size - 1) / 2) ?: return
        val limit = table.servers(DECODE_POOL, now).count { !it.leaving && it.backoffUntil == null } / 3
        val slowNotExcluded = usable.filter { !it.excluded && it.timePerUnit > median * 2 }
        val excluded = usable.filter { it.excluded }
        check(slowNotExcluded.isEmpty() || excluded.size == limit) { "$slowNotExcluded are not excluded" }
        val slowestNotExcluded = slowNotExcluded.maxOfOrNull { it.timePerUnit } ?: return
        check(excluded.all { it.timePerUnit >= slowestNotExcluded }) {
            "a faster server is excluded instead of $slowNotExcluded"
        }
    }

    @Provide
    fun steps(): Arbitrary<List<SpeedStep>> {
        val servers = Arbitraries.integers().between(0, 8)
        val millis = Arbitraries.of(20, 25, 26, 27, 30, 50, 60, 130, 200)
        val counts = Arbitraries.integers().between(1, 6)
        val ages = Arbitraries.integers().between(0, 1_000)
        return SeededSequences.of(
            Arbitraries.frequencyOf<SpeedStep>(
                Tuple.of(
                    10,
                    Combinators.combine(servers, counts, millis).`as` { s, c, m ->
                        SpeedStep.Tokens(s, c, m)
                    },
                ),
                Tuple.of(3, Combinators.combine(servers, millis).`as` { s, m -> SpeedStep.Silence(s, m) }),
                Tuple.of(4, Combinators.combine(servers, millis, ages).`as` { s, m, a -> SpeedStep.Summary(s, m, a) }),
                Tuple.of(1, servers.map { SpeedStep.Failure(it) }),
                Tuple.of(
                    1,
                    Combinators.combine(Arbitraries.integers().between(1, 9), servers.set().ofMaxSize(3))
                        .`as` { count, leaving -> SpeedStep.Configure(count, leaving) },
                ),
                Tuple.of(6, Arbitraries.integers().between(1, 400).map { SpeedStep.Advance(it) }),
            ).list().ofMaxSize(100).withSizeDistribution(RandomDistribution.uniform()),
        )
    }
}
