package org.arbutusnotch.core.routing

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
import org.arbutusnotch.core.fixture.PREFILL_POOL
import org.arbutusnotch.core.fixture.SeededSequences
import org.arbutusnotch.core.fixture.decodeServer
import org.arbutusnotch.core.fixture.deployment
import org.arbutusnotch.core.fixture.prefillServer
import org.arbutusnotch.core.fixture.summary
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.straggler.ServerView
import kotlin.time.Duration.Companion.milliseconds

internal sealed interface RouterStep {
    data class Summary(val server: Int, val freeSlots: Int, val queuedWork: Int, val millisPerUnit: Int) : RouterStep

    data class Failure(val server: Int) : RouterStep

    data class Leave(val servers: Set<Int>) : RouterStep

    data class Prefill(val server: Int, val blocks: Int) : RouterStep

    data class Wait(val millis: Int) : RouterStep

    data class Place(val tokens: Int, val timeoutMillis: Int, val excluded: Set<Int>, val priority: Int) : RouterStep
}

/** Guards against placements on unusable servers, and against refusals while a usable server has capacity. */
internal class RouterPropertyTest {
    @Property(edgeCases = EdgeCasesMode.NONE, afterFailure = AfterFailureMode.RANDOM_SEED)
    fun placementsNameUsableServersAndRefusalsARetryTime(@ForAll("steps") steps: List<RouterStep>) {
        val fixture = RouterFixture()
        steps.forEach { step -> perform(fixture, step) }
    }

    private fun perform(fixture: RouterFixture, step: RouterStep) {
        when (step) {
            is RouterStep.Summary -> {
                val micros = step.millisPerUnit * 1_000L
                val server = server(step.server)
                fixture.servers.merge(summary(server, fixture.now, step.freeSlots, step.queuedWork, micros))
            }

            is RouterStep.Failure -> fixture.servers.recordFailure(server(step.server), fixture.now)

            is RouterStep.Leave -> {
                val configuration = deployment(leaving = step.servers.map { server(it) }.toSet())
                fixture.servers.configure(configuration)
                fixture.router.configure(configuration)
            }

            is RouterStep.Prefill -> fixture.prefixes.recordPrefill(
                prefillServer(step.server),
                DIGESTS.take(step.blocks),
            )

            is RouterStep.Wait -> fixture.advance(step.millis.milliseconds)

            is RouterStep.Place -> placeAndCheck(fixture, step)
        }
    }

    private fun placeAndCheck(fixture: RouterFixture, step: RouterStep.Place) {
        val request = fixture.completion(
            digests = DIGESTS.take(step.tokens / PromptDigests.BLOCK_TOKENS),
            promptTokens = step.tokens,
            priority = step.priority,
            timeout = step.timeoutMillis.milliseconds,
            excluded = step.excluded.map { server(it) }.toSet(),
        )
        val decode = usableServers(fixture, DECODE_POOL, request.excludedServers)
        val prefill = usableServers(fixture, PREFILL_POOL, request.excludedServers)
        when (val placement = fixture.placeCompletion(request)) {
            is Placement.Placed -> {
                checkCandidates(placement.decode.map { it.server to it.probe }, decode)
                checkCandidates(placement.prefill.map { it.server to it.probe }, prefill)
                val fastest = placement.prefill.minOf { it.predictedTimeToFirstToken }
                val slotWait = placement.decode.first().predictedWait
                val unloaded = placement.prefill.minOf { it.predictedTimeToFirstToken - it.predictedWait } - slotWait
                // The local view of queues is up to 250 ms old; the owner decides on overruns below that.
                val maximumViewAge = 250.milliseconds
                val unattainable = unloaded * 1.25 + maximumViewAge >= fastest
                check(unattainable || fixture.now + fastest <= request.firstTokenDeadline + maximumViewAge) {
                    "placed too late: $placement"
                }
                placement.prefill.forEach { check(it.uncachedTokens in 1..step.tokens) { "uncached tokens of $it" } }
            }

            is Placement.Refused -> {
                check(placement.retryAt > fixture.now) { "retry time is not later: $placement" }
                val expected = if (decode.isEmpty() || prefill.isEmpty()) {
                    RefusalReason.NO_BACKEND_SERVER
                } else {
                    RefusalReason.CAPACITY
                }
                check(placement.reason == expected) { "expected $expected, found $placement" }
            }
        }
    }

    private fun usableServers(fixture: RouterFixture, pool: PoolId, excluded: Set<BackendServerId>): List<ServerView> =
        fixture.servers.servers(pool, fixture.now)
            .filter { !it.leaving && it.backoffUntil == null && it.server !in excluded }

    private fun checkCandidates(candidates: List<Pair<BackendServerId, Boolean>>, usable: List<ServerView>) {
        check(candidates.isNotEmpty()) { "no candidate among $usable" }
        val servers = candidates.map { it.first }
        check(servers.distinct() == servers) { "repeated candidates: $servers" }
        check(usable.map { it.server }.containsAll(servers)) { "$servers are not all in $usable" }
        val slow = usable.filter { it.excluded }.map { it.server }
        val probes = servers.filter { it in slow }
        check(slow.size == usable.size || probes.size <= 1) { "several slow servers: $probes" }
        val due = usable.filter { it.probeDue }.map { it.server }
        check(slow.size == usable.size || due.containsAll(probes)) { "$probes get work before their probe is due" }
    }

    private fun server(number: Int) = if (number < 6) decodeServer(number) else prefillServer(number - 6)

    @Provide
    fun steps(): Arbitrary<List<RouterStep>> {
        val servers = Arbitraries.integers().between(0, 11)
        val queuedWork = Arbitraries.of(0, 0, 10, 1_000, 10_000, 50_000)
        val millisPerUnit = Arbitraries.of(0, 26, 26, 26, 130)
        val freeSlots = Arbitraries.integers().between(0, 20)
        val timeouts = Arbitraries.of(50, 320, 1_000, 10_000)
        val serverSets = servers.set().ofMaxSize(8)
        val tokens = Arbitraries.integers().between(1, 20_000)
        val priorities = Arbitraries.integers().between(0, 9)
        return SeededSequences.of(
            Arbitraries.frequencyOf<RouterStep>(
                Tuple.of(
                    8,
                    Combinators.combine(servers, freeSlots, queuedWork, millisPerUnit)
                        .`as` { server, slots, work, interval -> RouterStep.Summary(server, slots, work, interval) },
                ),
                Tuple.of(2, servers.map { RouterStep.Failure(it) }),
                Tuple.of(1, serverSets.map { RouterStep.Leave(it) }),
                Tuple.of(
                    2,
                    Combinators.combine(Arbitraries.integers().between(0, 5), Arbitraries.integers().between(1, 20))
                        .`as` { server, blocks -> RouterStep.Prefill(server, blocks) },
                ),
                Tuple.of(4, Arbitraries.integers().between(1, 1_000).map { RouterStep.Wait(it) }),
                Tuple.of(
                    8,
                    Combinators.combine(tokens, timeouts, serverSets, priorities)
                        .`as` { size, time, excluded, priority -> RouterStep.Place(size, time, excluded, priority) },
                ),
            ).list().ofMaxSize(80).withSizeDistribution(RandomDistribution.uniform()),
        )
    }

    private companion object {
        val DIGESTS = (1..20).map { ContentDigest("digest-$it") }
    }
}
