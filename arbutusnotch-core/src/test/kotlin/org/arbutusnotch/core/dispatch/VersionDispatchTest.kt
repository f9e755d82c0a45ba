/*
 * Places of requests while the servers of a pool run several software versions.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.dispatch.DispatchFixture.Companion.server
import org.arbutusnotch.core.forwarding.EngineProfile
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.SoftwareVersion
import org.arbutusnotch.core.message.DispatchRefusal
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class VersionDispatchTest {
    private val engine = EngineProfile(slots = 4, memoryTokens = 10_000)
    private val generation = DispatchWork.Generation(promptTokens = 1_000, expectedOutputTokens = 100)

    private fun decode(id: String, version: String) = server(id, ServerStage.DECODE, version = version)

    private fun prefill(id: String, version: String) = server(id, ServerStage.PREFILL, version = version)

    private fun DispatchFixture.request(version: String? = null, tokens: Int = 1_000): DispatchRequest =
        request(generation.copy(promptTokens = tokens), remaining = 9.seconds)
            .copy(version = version?.let { SoftwareVersion(it) }, begun = version != null)

    /** Guards against a continuation at the least loaded server, whatever its version. */
    @Test
    fun `continuation goes to its own version however loaded that is`() {
        val fixture = DispatchFixture(listOf(decode("a", "1"), decode("b", "2"), decode("c", "10")), engine)
        repeat(2) {
            val granted = fixture.submit(fixture.request(version = "1", tokens = 2_000)).granted()
            expectThat(granted.single().server.value).isEqualTo("a")
            fixture.advance(2.seconds)
        }
    }

    /** Guards against a continuation that waits until its deadline for a version that is gone. */
    @Test
    fun `continuation whose version has no server for runs is refused at once`() {
        val fixture = DispatchFixture(listOf(decode("a", "1"), prefill("p", "2")), engine)
        listOf("2", "3").forEach { version ->
            val refused = fixture.submit(fixture.request(version = version)).refused()
            expectThat(refused.single().reason).isEqualTo(DispatchRefusal.NO_SERVER)
        }
        val excluded = fixture.request(version = "1").copy(excluded = listOf(BackendServerId("a")))
        expectThat(fixture.submit(excluded).refused().single().reason).isEqualTo(DispatchRefusal.NO_SERVER)
    }

    /** Guards against a queue that stands still behind a continuation, and against one that starves it. */
    @Test
    fun `waiting continuation keeps its version's servers but not the others`() {
        val fixture = DispatchFixture(listOf(decode("a", "1")), engine)
        val full = fixture.submit(fixture.request(tokens = 7_000)).granted().single()
        expectThat(fixture.submit(fixture.request(version = "1", tokens = 5_000)).granted()).hasSize(0)
        fixture.dispatcher.configure(listOf(decode("a", "1"), decode("b", "2")), engine)
        expectThat(fixture.submit(fixture.request(tokens = 500)).granted().single().server.value).isEqualTo("b")
        fixture.advance(1.seconds)
        val small = fixture.submit(fixture.request(tokens = 500)).granted().single()
        expectThat(small.server.value).isEqualTo("b")
        expectThat(fixture.release(full).granted().single().server.value).isEqualTo("a")
    }

    /** Guards against a continuation that is refused because of a queue that it does not have to wait for. */
    @Test
    fun `continuation waits although the queue of new streams is too long`() {
        val fixture = DispatchFixture(listOf(decode("a", "1")), engine)
        val full = fixture.submit(fixture.request(tokens = 9_000)).granted().single()
        while (fixture.submit(fixture.request(tokens = 9_000)).refused().isEmpty()) {
            check(fixture.dispatcher.queueLength < 100)
        }
        val continuation = fixture.request(version = "1", tokens = 9_000)
        expectThat(fixture.submit(continuation).refused()).hasSize(0)
        expectThat(fixture.release(full).granted().first().ticket).isEqualTo(continuation.ticket)
    }

    /** Guards against a decode server that fetches what another version has written. */
    @Test
    fun `prefill and run are placed at one version`() {
        val servers = listOf(prefill("p1", "1"), decode("d1", "1"), prefill("p2", "2"), decode("d2", "2"))
        val fixture = DispatchFixture(servers, engine)
        repeat(6) {
            val granted = fixture.submit(fixture.request(tokens = 1_500)).granted().singleOrNull() ?: return@repeat
            expectThat(granted.prefillServer?.value).isEqualTo(granted.server.value.replace('d', 'p'))
        }
    }

    /** Guards against a version without a prefill server whose decode servers stay idle. */
    @Test
    fun `decode server prefills the prompt when its version has no prefill server`() {
        val fixture = DispatchFixture(listOf(prefill("p1", "1"), decode("d2", "2")), engine)
        val granted = fixture.submit(fixture.request()).granted().single()
        expectThat(granted.server.value).isEqualTo("d2")
        expectThat(granted.prefillServer).isEqualTo(null)
    }
}
