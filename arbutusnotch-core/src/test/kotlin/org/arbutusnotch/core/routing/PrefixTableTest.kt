package org.arbutusnotch.core.routing

import net.jqwik.api.AfterFailureMode
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.RandomDistribution
import net.jqwik.api.Tuple
import org.arbutusnotch.core.fixture.SeededSequences
import org.arbutusnotch.core.fixture.prefillServer
import org.arbutusnotch.core.id.ContentDigest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

/** Guards against predictions based on evicted prefixes, and against unbounded growth of the table. */
internal class PrefixTableTest {
    private val table = PrefixTable()
    private val server = prefillServer(0)
    private val digests = (1..5).map { ContentDigest("digest-$it") }

    private fun stored(sequence: Long, digest: Int) = CacheEvent(sequence, CacheEventKind.STORED, digests[digest - 1])

    private fun evicted(sequence: Long, digest: Int) = CacheEvent(sequence, CacheEventKind.EVICTED, digests[digest - 1])

    @Test
    fun `the longest cached prefix counts`() {
        table.apply(server, listOf(stored(1, 1), stored(2, 2), stored(3, 3)), latestSequence = 3)
        expectThat(table.cachedBlocks(server, digests)).isEqualTo(3)
        expectThat(table.cachedBlocks(server, digests.take(2))).isEqualTo(2)
        expectThat(table.cachedBlocks(prefillServer(1), digests)).isEqualTo(0)
    }

    @Test
    fun `an evicted prefix no longer counts`() {
        table.apply(server, listOf(stored(1, 1), stored(2, 2), evicted(3, 2)), latestSequence = 3)
        expectThat(table.cachedBlocks(server, digests)).isEqualTo(1)
    }

    @Test
    fun `a recorded prefill counts before its events arrive`() {
        table.recordPrefill(server, digests.take(4))
        expectThat(table.cachedBlocks(server, digests)).isEqualTo(4)
    }

    @Test
    fun `repeated events have no effect`() {
        table.apply(server, listOf(stored(1, 1), evicted(2, 1), stored(3, 2)), latestSequence = 3)
        table.apply(server, listOf(stored(1, 1)), latestSequence = 3)
        expectThat(table.cachedBlocks(server, digests.take(1))).isEqualTo(0)
        expectThat(table.cachedBlocks(server, digests.take(2))).isEqualTo(2)
    }

    @Test
    fun `each missing event evicts the least recently stored digest`() {
        table.apply(server, (1..5).map { stored(it.toLong(), it) }, latestSequence = 5)
        table.apply(server, listOf(stored(8, 5)), latestSequence = 8)
        expectThat(table.cachedBlocks(server, digests.take(2))).isEqualTo(0)
        expectThat(table.cachedBlocks(server, digests.take(3))).isEqualTo(3)
        expectThat(table.lastSequence(server)).isEqualTo(8)
    }

    @Test
    fun `a restarted engine has an empty cache`() {
        table.apply(server, (1..5).map { stored(it.toLong(), it) }, latestSequence = 5)
        table.apply(server, listOf(stored(1, 1)), latestSequence = 1)
        expectThat(table.cachedBlocks(server, digests)).isEqualTo(1)
    }

    @Test
    fun `servers that left the configuration are removed`() {
        table.recordPrefill(server, digests)
        table.retainServers(setOf(prefillServer(1)))
        expectThat(table.size).isEqualTo(0)
    }

    /** Compares the table with the cache of an engine over lossless and lossy event streams. */
    @Property(edgeCases = EdgeCasesMode.NONE, afterFailure = AfterFailureMode.RANDOM_SEED)
    fun tableFollowsTheCacheOfAnEngineAndStaysBounded(@ForAll("steps") steps: List<CacheStep>) {
        val engine = CachingEngine()
        val table = PrefixTable(capacity = CachingEngine.CAPACITY * 2).apply { retainServers(setOf(server)) }
        var lossless = true
        steps.forEach { step ->
            when (step) {
                is CacheStep.Store -> engine.store(ContentDigest("digest-${step.digest}"))

                is CacheStep.Poll -> {
                    val pending = engine.events.filter { it.sequence > table.lastSequence(server) }
                    val delivered = pending.drop(step.lost)
                    if (delivered.size < pending.size) lossless = false
                    val repeated = engine.events.filter { it.sequence <= table.lastSequence(server) }.takeLast(3)
                    table.apply(server, repeated + delivered, engine.lastSequence)
                    if (lossless) {
                        check(cached(table) == engine.cache) {
                            "cache ${engine.cache}, table ${cached(table)}"
                        }
                    }
                }
            }
            check(table.size <= CachingEngine.CAPACITY * 2) { "the table holds ${table.size} digests" }
        }
    }

    private fun cached(table: PrefixTable) = (0 until DIGESTS).map { ContentDigest("digest-$it") }
        .filter { table.cachedBlocks(server, listOf(it)) == 1 }
        .toSet()

    @Test
    fun `the capacity is shared by all servers`() {
        val small = PrefixTable(capacity = 10)
        (0..4).forEach { small.recordPrefill(prefillServer(it), digests) }
        (0..4).forEach { small.recordPrefill(prefillServer(it), digests) }
        expectThat(small.size).isLessThanOrEqualTo(10)
    }

    @Provide
    fun steps(): Arbitrary<List<CacheStep>> = SeededSequences.of(
        Arbitraries.frequencyOf<CacheStep>(
            Tuple.of(4, Arbitraries.integers().between(0, DIGESTS - 1).map { CacheStep.Store(it) }),
            Tuple.of(2, Arbitraries.of(0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2).map { CacheStep.Poll(it) }),
        ).list().ofMaxSize(80).withSizeDistribution(RandomDistribution.uniform()),
    )

    private companion object {
        const val DIGESTS = 12
    }
}

internal sealed interface CacheStep {
    data class Store(val digest: Int) : CacheStep

    /** Polls for new events, of which the first [lost] are missing. */
    data class Poll(val lost: Int) : CacheStep
}

/** Simulates an engine that caches a few blocks and evicts the least recently stored one. */
internal class CachingEngine {
    val cache = LinkedHashSet<ContentDigest>()
    val events = mutableListOf<CacheEvent>()
    var lastSequence = 0L
        private set

    fun store(digest: ContentDigest) {
        cache.remove(digest)
        cache.add(digest)
        events += CacheEvent(++lastSequence, CacheEventKind.STORED, digest)
        if (cache.size <= CAPACITY) return
        val oldest = cache.first()
        cache.remove(oldest)
        events += CacheEvent(++lastSequence, CacheEventKind.EVICTED, oldest)
    }

    companion object {
        const val CAPACITY = 5
    }
}
