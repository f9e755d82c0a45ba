/*
 * Guards against requests that end one server after the other, and against sound requests that are refused instead.
 */
package org.arbutusnotch.core.quarantine

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.membership.addressOf
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

internal class RequestQuarantineTest {
    private val start = Timestamp(1_000_000)
    private val content = ContentDigest("c")
    private val server = BackendServerId("s-1")
    private val other = BackendServerId("s-2")
    private val quarantine = RequestQuarantine(addressOf(1))
    private val peer = RequestQuarantine(addressOf(2))

    private fun RequestQuarantine.ended(server: BackendServerId, now: Timestamp = start, startedAt: Long = 7) =
        noteServerEnded(content, server, startedAt, now)

    @Test
    fun `second server that ends under a content has it refused for ten minutes`() {
        expectThat(quarantine.ended(server)).isFalse()
        expectThat(quarantine.refusedUntil(content, start)).isNull()
        expectThat(quarantine.ended(other, start + 1.seconds)).isTrue()
        expectThat(quarantine.refusedUntil(content, start + 2.seconds)).isEqualTo(start + 1.seconds + 10.minutes)
        expectThat(quarantine.refusedUntil(content, start + 11.minutes)).isNull()
    }

    /** Guards against one end of a server that counts as often as it was seen. */
    @Test
    fun `process that ended counts once, whoever saw it, and its next start counts again`() {
        quarantine.ended(server)
        peer.ended(server, start + 300.milliseconds)
        quarantine.merge(peer.entriesToGossip(start + 1.seconds), start + 1.seconds)
        quarantine.ended(server, start + 1.seconds)
        expectThat(quarantine.refusedUntil(content, start + 1.seconds)).isNull()
        expectThat(quarantine.ended(server, start + 2.seconds, startedAt = 8)).isTrue()
    }

    @Test
    fun `ends that several instances saw count together`() {
        quarantine.ended(server)
        peer.ended(other)
        expectThat(quarantine.merge(peer.entriesToGossip(start), start)).isEqualTo(listOf(content))
        expectThat(quarantine.refusedUntil(content, start)).isNotNull()
    }

    @Test
    fun `completion frees a content on every instance`() {
        quarantine.ended(server)
        quarantine.ended(other)
        peer.merge(quarantine.entriesToGossip(start), start)
        expectThat(peer.refusedUntil(content, start)).isNotNull()
        quarantine.noteCompleted(content, start + 1.seconds)
        expectThat(quarantine.refusedUntil(content, start + 1.seconds)).isNull()
        peer.merge(quarantine.entriesToGossip(start + 1.seconds), start + 1.seconds)
        expectThat(peer.refusedUntil(content, start + 1.seconds)).isNull()
    }

    /** Guards against a common content that stays refused after all servers of its pool ended at once. */
    @Test
    fun `content that has completed lately is not refused, whoever saw servers end under it`() {
        quarantine.noteCompleted(content, start)
        quarantine.ended(server, start + 1.seconds)
        quarantine.ended(other, start + 1.seconds)
        peer.ended(server, start + 1.seconds)
        peer.ended(other, start + 1.seconds)
        quarantine.merge(peer.entriesToGossip(start + 1.seconds), start + 1.seconds)
        expectThat(quarantine.refusedUntil(content, start + 1.seconds)).isNull()
        peer.merge(quarantine.entriesToGossip(start + 2.seconds), start + 2.seconds)
        expectThat(peer.refusedUntil(content, start + 2.seconds)).isNull()
        quarantine.ended(server, start + 20.minutes, startedAt = 8)
        expectThat(quarantine.ended(other, start + 20.minutes, startedAt = 8)).isTrue()
    }

    /** Guards against gossip that carries old reports for as long as they count. */
    @Test
    fun `report is sent some times, and afterwards only to newcomers if its content is refused`() {
        quarantine.ended(server)
        val sendings = (1..100).count { quarantine.entriesToGossip(start + 1.seconds * it).isNotEmpty() }
        expectThat(sendings).isLessThan(20)
        expectThat(quarantine.entriesForNewcomer(start + 2.minutes)).isEmpty()
        quarantine.ended(other, start + 2.minutes)
        expectThat(quarantine.entriesForNewcomer(start + 3.minutes)).hasSize(2)
    }

    /** Guards against instances that never hear of a content because datagrams are lost. */
    @Test
    fun `all of a hundred instances refuse in three seconds although one datagram in ten is lost`() {
        (1..50).forEach { seed ->
            val random = Random(seed)
            val instances = (1..100).map { RequestQuarantine(addressOf(it)) }
            instances[0].ended(server)
            instances[1].ended(other)
            (0 until 12).forEach { round -> gossip(instances, start + 250.milliseconds * round, random) }
            expectThat(instances.map { it.refusedUntil(content, start + 3.seconds) }).all { isNotNull() }
        }
    }

    private fun gossip(instances: List<RequestQuarantine>, now: Timestamp, random: Random) {
        instances.forEach { sender ->
            val target = instances.random(random)
            val arrives = random.nextInt(10) > 0
            val refused = if (arrives) target.merge(sender.entriesToGossip(now), now) else emptyList()
            refused.filter { target.hasSeen(it, now) }.forEach { content ->
                val entries = target.entriesOf(content, now)
                instances.filter { random.nextInt(10) > 0 }.forEach { it.merge(entries, now) }
            }
        }
    }
}
