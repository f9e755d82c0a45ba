/*
 * Tests when an instance that starts may serve the routes that it has read.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.RevisionNumber
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StartupRoutesTest {
    private fun mayServe(vararg peers: Long?, expectsPeers: Boolean = true, waited: Duration) = StartupRoutes.mayServe(
        own = RevisionNumber(5),
        peers = peers.map { revision -> revision?.let { RevisionNumber(it) } },
        expectsPeers = expectsPeers,
        waited = waited,
    )

    /** Guards against an instance that serves routes of a restored store before it hears of newer ones. */
    @Test
    fun `instance waits for newer routes of a peer`() {
        expectThat(mayServe(5, 6, waited = 1_900.milliseconds)).isFalse()
        expectThat(mayServe(5, 4, waited = Duration.ZERO)).isTrue()
    }

    /** Guards against an instance that never serves because a peer with newer routes cannot be read. */
    @Test
    fun `instance serves after a while although a peer has newer routes`() {
        expectThat(mayServe(6, waited = 2_000.milliseconds)).isTrue()
    }

    /** Guards against an instance that serves before the first peer could answer, or never because none exists. */
    @Test
    fun `instance waits a moment for its first peer`() {
        expectThat(mayServe(waited = 250.milliseconds)).isFalse()
        expectThat(mayServe(null, waited = 250.milliseconds)).isFalse()
        expectThat(mayServe(waited = 300.milliseconds)).isTrue()
        expectThat(mayServe(expectsPeers = false, waited = Duration.ZERO)).isTrue()
    }
}
