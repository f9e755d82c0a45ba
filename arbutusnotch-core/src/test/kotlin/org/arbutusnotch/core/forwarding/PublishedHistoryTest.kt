/*
 * The versions that can have begun a stream, by the registry's own knowledge and by the history of the store.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PublishedHistoryTest {
    private val pool = PoolId("pool")
    private val now = Timestamp(1_000_000)
    private val since = now - 15.seconds

    private fun server(
        id: String,
        version: String,
        age: Long = 60_000,
        pool: PoolId = this.pool,
        leaving: Boolean = false,
    ) = BackendServer(
        id = BackendServerId(id),
        pool = pool,
        address = "10.0.0.1:1",
        failureDomain = FailureDomainId("one"),
        stage = ServerStage.WHOLE,
        slots = 4,
        leaving = leaving,
        startedAt = now.epochMillis - age,
        version = SoftwareVersion(version),
    )

    private fun history(
        vararg listed: ListedServer,
        written: List<BackendServer> = emptyList(),
        removed: Set<String> = emptySet(),
    ) = PublishedHistory(listed.toList(), firstRevision = 50, written, removed.map { BackendServerId(it) }.toSet())

    private fun versions(vararg version: String) = version.map { SoftwareVersion(it) }.toSet()

    @Test
    fun `only version that has served is known`() {
        val read = history(ListedServer(server("a", "1"), created = 3), ListedServer(server("b", "1"), created = 4))
        expectThat(read.versions(pool, since)).isEqualTo(versions("1"))
    }

    /** Guards against a version that is forgotten because its servers left before the listing. */
    @Test
    fun `version that left within the history may have begun a stream`() {
        val read = history(
            ListedServer(server("a", "2", age = 9_000), created = 55),
            written = listOf(server("old", "1", leaving = true), server("other", "7", pool = PoolId("other"))),
            removed = setOf("old"),
        )
        expectThat(read.versions(pool, since)).isEqualTo(versions("1", "2"))
    }

    /** Guards against a history that was dropped in the middle of a release. */
    @Test
    fun `history that lacks the registration of a recent server does not tell`() {
        val read = history(ListedServer(server("a", "2", age = 9_000), created = 50))
        expectThat(read.versions(pool, since)).isNull()
        expectThat(read.versions(pool, now - 5.seconds)).isEqualTo(versions("2"))
    }

    /** Guards against a server of unknown version that left without notice. */
    @Test
    fun `history that lacks the content of a removed entry does not tell`() {
        val read = history(ListedServer(server("a", "2"), created = 3), removed = setOf("old"))
        expectThat(read.versions(pool, since)).isNull()
    }

    /** Guards against a version that is forgotten at once, or kept for ever, when its last server leaves. */
    @Test
    fun `registry knows the versions of servers that left while a stream may last`() {
        val registry = ServerRegistry(grace = 1_200.milliseconds, outageGrace = 2_500.milliseconds)
        expectThat(registry.completeSince).isNull()
        registry.replaceAll(listOf(server("a", "1"), server("b", "2")), now)
        expectThat(registry.completeSince).isEqualTo(now)
        registry.put(server("b", "3", age = 10), now + 1.seconds)
        registry.remove(BackendServerId("a"), now + 2.seconds)
        registry.usable(now + 4.seconds)
        expectThat(registry.versions(pool, now)).isEqualTo(versions("1", "2", "3"))
        expectThat(registry.versions(pool, now + 3.seconds)).isEqualTo(versions("1", "3"))
        expectThat(registry.versions(pool, now + 5.seconds)).isEqualTo(versions("3"))
        registry.replaceAll(listOf(server("b", "3", age = 10)), now + 9.seconds)
        expectThat(registry.completeSince).isEqualTo(now + 9.seconds)
    }
}
