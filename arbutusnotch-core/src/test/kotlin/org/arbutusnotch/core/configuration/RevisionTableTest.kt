/*
 * Guards against a configuration that is reverted, activated before its peers have it, or active in two versions.
 */
package org.arbutusnotch.core.configuration

import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.membership.addressOf
import org.arbutusnotch.core.message.RevisionMark
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.containsExactly
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import strikt.assertions.single
import kotlin.time.Duration.Companion.milliseconds

internal class RevisionTableTest {
    private val start = Timestamp(1_000_000)
    private val table = RevisionTable(parse = ::parseContent)
    private val first = addressOf(2)
    private val second = addressOf(3)
    private val window = RevisionTable.ACTIVATION_WINDOW

    @Test
    fun `a candidate becomes active when every reachable peer has it`() {
        offer(1)
        table.merge(first, RevisionReport(candidate = markOf(1)))
        expectThat(table.tick(start, listOf(first, second))).filterIsInstance<RevisionEvent.Activated>().isEmpty()
        table.merge(second, RevisionReport(candidate = markOf(1)))
        expectThat(table.tick(start, listOf(first, second))).any { isA<RevisionEvent.Activated>() }
        expectThat(table.active?.mark).isEqualTo(markOf(1))
        expectThat(table.candidate).isNull()
    }

    @Test
    fun `a candidate becomes active when its window ends even if a peer has not reported it`() {
        offer(1)
        table.tick(start + window - 1.milliseconds, listOf(first))
        expectThat(table.active).isNull()
        table.tick(start + window, listOf(first))
        expectThat(table.active?.mark).isEqualTo(markOf(1))
    }

    @Test
    fun `a starting instance without peers waits for the window`() {
        offer(1)
        table.tick(start, emptyList())
        expectThat(table.active).isNull()
    }

    @Test
    fun `a pause restarts the window`() {
        table.tick(start, emptyList())
        offer(1)
        table.tick(start + 5_000.milliseconds, listOf(first))
        expectThat(table.active).isNull()
    }

    @Test
    fun `a content that is active on a peer is adopted at once`() {
        table.merge(first, RevisionReport(active = markOf(1)))
        val events = offer(1)
        expectThat(events).any { isA<RevisionEvent.Activated>() }
    }

    @Test
    fun `a candidate becomes active at once when a peer reports it as active`() {
        offer(1)
        expectThat(table.merge(first, RevisionReport(active = markOf(1)))).any { isA<RevisionEvent.Activated>() }
    }

    @Test
    fun `an older revision is refused`() {
        activate(2)
        expectThat(offer(1)).containsExactly(RevisionEvent.StaleRevision(markOf(1), RevisionNumber(2)))
        expectThat(table.active?.mark).isEqualTo(markOf(2))
        expectThat(table.candidate).isNull()
    }

    @Test
    fun `an older active revision of a peer is neither fetched nor adopted`() {
        activate(2)
        table.merge(first, RevisionReport(active = markOf(1)))
        expectThat(table.tick(start + window, listOf(first))).isEmpty()
        expectThat(table.active?.mark).isEqualTo(markOf(2))
    }

    @Test
    fun `a higher revision replaces the candidate`() {
        offer(1)
        offer(2)
        expectThat(table.candidate?.mark).isEqualTo(markOf(2))
        offer(1)
        expectThat(table.candidate?.mark).isEqualTo(markOf(2))
    }

    @Test
    fun `an invalid content is rejected only once`() {
        val bytes = "broken".encodeToByteArray()
        expectThat(table.offer(bytes, start)).single().isA<RevisionEvent.Rejected>()
        expectThat(table.offer(bytes, start)).isEmpty()
    }

    @Test
    fun `another content of the active revision is a conflict and changes nothing`() {
        activate(1)
        expectThat(offer(1, "other")).any { isA<RevisionEvent.Conflict>() }
        offer(1, "other")
        expectThat(table.conflictCount).isEqualTo(1)
        expectThat(table.active?.mark).isEqualTo(markOf(1))
        expectThat(table.candidate).isNull()
    }

    @Test
    fun `a candidate is dropped when a peer has another content of its revision as candidate`() {
        activate(1)
        offer(2)
        expectThat(table.merge(first, RevisionReport(candidate = markOf(2, "other"))))
            .any { isA<RevisionEvent.Conflict>() }
        expectThat(table.candidate).isNull()
        expectThat(table.ownReport.conflicted).isEqualTo(RevisionNumber(2))
        expectThat(table.active?.mark).isEqualTo(markOf(1))
    }

    @Test
    fun `a content does not become candidate when a peer already has another one of its revision`() {
        table.merge(first, RevisionReport(candidate = markOf(2, "other")))
        expectThat(offer(2)).any { isA<RevisionEvent.Conflict>() }
        expectThat(table.candidate).isNull()
        expectThat(table.ownReport.conflicted).isEqualTo(RevisionNumber(2))
    }

    @Test
    fun `a candidate is dropped when a peer reports a conflict of its revision`() {
        offer(2)
        table.merge(first, RevisionReport(conflicted = RevisionNumber(2)))
        expectThat(table.candidate).isNull()
        expectThat(table.conflictCount).isEqualTo(1)
        offer(2)
        expectThat(table.candidate).isNull()
    }

    @Test
    fun `a content that is active on a peer is adopted after a conflict`() {
        activate(1)
        offer(2, "other")
        table.merge(first, RevisionReport(active = markOf(2)))
        expectThat(fetches(start)).containsExactly(RevisionEvent.FetchRequired(first, markOf(2)))
        offer(2)
        expectThat(table.active?.mark).isEqualTo(markOf(2))
    }

    @Test
    fun `a higher revision is activated after a conflict`() {
        offer(2)
        table.merge(first, RevisionReport(conflicted = RevisionNumber(2)))
        activate(3)
        expectThat(table.active?.mark).isEqualTo(markOf(3))
    }

    @Test
    fun `a fetch is repeated only after the fetch interval`() {
        table.merge(first, RevisionReport(candidate = markOf(1)))
        expectThat(fetches(start)).hasSize(1)
        expectThat(fetches(start + 100.milliseconds)).isEmpty()
        expectThat(fetches(start + 600.milliseconds)).hasSize(1)
    }

    @Test
    fun `an instance serves only when no reachable peer has a higher active revision`() {
        expectThat(table.mayServe(emptyList())).isFalse()
        activate(1)
        table.merge(first, RevisionReport(active = markOf(2)))
        expectThat(table.mayServe(listOf(first))).isFalse()
        expectThat(table.mayServe(listOf(second))).isTrue()
        table.removePeer(first)
        expectThat(table.mayServe(listOf(first))).isTrue()
    }

    @Test
    fun `peers are served the bytes of the active revision and of the candidate`() {
        activate(1)
        offer(2)
        expectThat(table.bytesOf(markOf(1))?.decodeToString()).isEqualTo("1 first")
        expectThat(table.bytesOf(markOf(2))?.decodeToString()).isEqualTo("2 first")
        expectThat(table.bytesOf(markOf(3))).isNull()
    }

    @Test
    fun `a change of the own report is emitted once`() {
        val events = offer(1)
        expectThat(events).containsExactly(RevisionEvent.ReportChanged(RevisionReport(candidate = markOf(1))))
        expectThat(table.tick(start, listOf(first))).isEmpty()
    }

    private fun offer(revision: Long, text: String = "first"): List<RevisionEvent> =
        table.offer(contentOf(revision, text), start)

    private fun activate(revision: Long) {
        offer(revision)
        table.merge(first, RevisionReport(active = markOf(revision)))
        table.removePeer(first)
    }

    private fun fetches(now: Timestamp) = table.tick(now, listOf(first)).filterIsInstance<RevisionEvent.FetchRequired>()

    private fun markOf(revision: Long, text: String = "first") =
        RevisionMark(RevisionNumber(revision), ContentDigest(DigestUtils.sha256Hex(contentOf(revision, text))))
}
