/*
 * Guards against a request that crashes a third backend server, and against an innocent request that stays refused.
 */
package org.arbutusnotch.core.quarantine

import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.membership.addressOf
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.time.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

internal class QuarantineTableTest {
    private val start = Timestamp(1_000_000)
    private val digest = ContentDigest("d")
    private val server = BackendServerId("10.1.0.1:80")
    private val other = BackendServerId("10.1.0.2:80")
    private val live = (1..4).map { addressOf(it) }
    private val table = QuarantineTable(addressOf(1))
    private val peer = QuarantineTable(addressOf(2))

    @Test
    fun `one crash does not quarantine and two different ones do`() {
        table.report(digest, server, start)
        table.report(digest, server, start)
        expectThat(table.isQuarantined(digest, start)).isFalse()
        table.report(digest, other, start)
        expectThat(table.isQuarantined(digest, start)).isTrue()
    }

    @Test
    fun `two crashes of one server quarantine`() {
        table.report(digest, server, start)
        table.report(digest, server, start + 1.seconds)
        expectThat(table.isQuarantined(digest, start + 1.seconds)).isTrue()
    }

    @Test
    fun `after a first crash only the reporting instance runs the request, once at a time`() {
        table.report(digest, server, start)
        peer.merge(table.takeUrgent(), start)
        expectThat(peer.beginRun(digest, start, live)).isA<RunDecision.Refused>()
        expectThat(table.beginRun(digest, start, live)).isEqualTo(RunDecision.Exclusive)
        expectThat(table.beginRun(digest, start, live)).isEqualTo(RunDecision.Refused(start + 1.seconds))
    }

    @Test
    fun `a request that crashes every server costs two crashes when its caller tries every entry`() {
        val tables = live.map { QuarantineTable(it) }
        var crashes = 0
        repeat(20) { attempt ->
            val now = start + attempt.seconds
            val entry = tables[attempt % tables.size]
            if (entry.beginRun(digest, now, live) !is RunDecision.Refused) {
                crashes += 1
                entry.report(digest, BackendServerId("10.1.0.$attempt:80"), now)
                entry.endRun(digest, now, completed = false, now)
                val reports = entry.takeUrgent()
                tables.forEach { it.merge(reports, now) }
            }
        }
        expectThat(crashes).isEqualTo(2)
    }

    @Test
    fun `a run that began before the first crash blocks the exclusive run`() {
        table.beginRun(digest, start, live)
        table.beginRun(digest, start, live)
        table.report(digest, server, start)
        table.endRun(digest, start, completed = false, start)
        expectThat(table.beginRun(digest, start, live)).isA<RunDecision.Refused>()
        table.endRun(digest, start, completed = false, start)
        expectThat(table.beginRun(digest, start, live)).isEqualTo(RunDecision.Exclusive)
    }

    @Test
    fun `another instance runs the request when the reporter is no longer live`() {
        val tables = live.drop(1).map { QuarantineTable(it) }
        table.report(digest, server, start)
        val reports = table.takeUrgent()
        tables.forEach { it.merge(reports, start) }
        val allowed = tables.filter { it.beginRun(digest, start, live.drop(1)) == RunDecision.Exclusive }
        expectThat(allowed).hasSize(1)
    }

    @Test
    fun `a completed run frees an innocent request everywhere`() {
        table.report(digest, server, start)
        peer.merge(table.takeUrgent(), start)
        table.beginRun(digest, start + 1.seconds, live)
        table.endRun(digest, start + 1.seconds, completed = true, start + 2.seconds)
        peer.merge(table.takeUrgent(), start + 2.seconds)
        expectThat(peer.beginRun(digest, start + 2.seconds, live)).isEqualTo(RunDecision.Unrestricted)
    }

    @Test
    fun `a run that began before the crash does not free the request`() {
        table.beginRun(digest, start, live)
        table.report(digest, server, start + 1.seconds)
        table.endRun(digest, start, completed = true, start + 2.seconds)
        expectThat(table.list(start + 2.seconds)).hasSize(1)
    }

    @Test
    fun `an old report does not return after a withdrawal`() {
        table.report(digest, server, start)
        val report = table.takeUrgent()
        table.clear(start)
        table.merge(report, start)
        expectThat(table.list(start)).isEmpty()
    }

    @Test
    fun `clearing frees the digests on every instance`() {
        table.report(digest, server, start)
        table.report(digest, other, start)
        peer.merge(table.takeUrgent(), start)
        expectThat(table.clear(start)).isEqualTo(1)
        peer.merge(table.takeUrgent(), start)
        expectThat(peer.isQuarantined(digest, start)).isFalse()
    }

    @Test
    fun `reports expire everywhere at the same time and are not taken over afterwards`() {
        val report = table.report(digest, server, start)
        val end = start + QuarantineTable.DEFAULT_RETENTION
        peer.merge(listOf(report), end - 1.seconds)
        expectThat(peer.list(end - 1.seconds).single().until).isEqualTo(end)
        expectThat(peer.list(end)).isEmpty()
        peer.tick(end)
        peer.merge(listOf(report), end)
        expectThat(peer.entriesToGossip(end)).isEmpty()
    }

    @Test
    fun `a report from far ahead is ignored`() {
        peer.merge(listOf(QuarantineEntry(digest, server, start + 60.minutes, addressOf(1))), start)
        expectThat(peer.list(start)).isEmpty()
    }

    @Test
    fun `gossip sends every report before it sends one again`() {
        (1..40).forEach { table.report(ContentDigest("d$it"), server, start) }
        val sent = (1..3).flatMap { table.entriesToGossip(start + it.seconds) }
        expectThat(sent.take(40).toSet()).hasSize(40)
        expectThat(sent).hasSize(3 * QuarantineTable.GOSSIP_LIMIT)
    }

    @Test
    fun `a full table drops the digest that expires first`() {
        val small = QuarantineTable(addressOf(1), capacity = 2)
        (1..3).forEach { small.report(ContentDigest("d$it"), server, start + it.seconds) }
        expectThat(small.list(start + 3.seconds).map { it.digest.value }).containsExactly("d2", "d3")
    }
}
