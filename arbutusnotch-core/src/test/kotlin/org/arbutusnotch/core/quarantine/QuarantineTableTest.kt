/*
 * Guards against a request that crashes a third backend server, and against a harmless request that stays refused.
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
    private val otherServer = BackendServerId("10.1.0.2:80")
    private val liveInstances = (1..4).map { addressOf(it) }
    private val table = QuarantineTable(addressOf(1))
    private val peerTable = QuarantineTable(addressOf(2))

    @Test
    fun `two distinct crashes quarantine a digest and one crash does not`() {
        table.report(digest, server, start)
        table.report(digest, server, start)
        expectThat(table.isQuarantined(digest, start)).isFalse()
        table.report(digest, otherServer, start)
        expectThat(table.isQuarantined(digest, start)).isTrue()
    }

    @Test
    fun `two crashes of the same server quarantine a digest`() {
        table.report(digest, server, start)
        table.report(digest, server, start + 1.seconds)
        expectThat(table.isQuarantined(digest, start + 1.seconds)).isTrue()
    }

    @Test
    fun `after a first crash only the reporting instance runs the request, one run at a time`() {
        table.report(digest, server, start)
        peerTable.merge(table.drainUrgentReports(), start)
        expectThat(peerTable.beginRun(digest, start, liveInstances)).isA<RunDecision.Refused>()
        expectThat(table.beginRun(digest, start, liveInstances)).isEqualTo(RunDecision.Exclusive)
        expectThat(table.beginRun(digest, start, liveInstances)).isEqualTo(RunDecision.Refused(start + 1.seconds))
    }

    @Test
    fun `a request that crashes every server causes two crashes when its caller tries every instance`() {
        val tables = liveInstances.map { QuarantineTable(it) }
        var crashes = 0
        repeat(20) { attempt ->
            val now = start + attempt.seconds
            val instanceTable = tables[attempt % tables.size]
            if (instanceTable.beginRun(digest, now, liveInstances) !is RunDecision.Refused) {
                crashes += 1
                instanceTable.report(digest, BackendServerId("10.1.0.$attempt:80"), now)
                instanceTable.endRun(digest, now, completed = false, now)
                val reports = instanceTable.drainUrgentReports()
                tables.forEach { it.merge(reports, now) }
            }
        }
        expectThat(crashes).isEqualTo(2)
    }

    @Test
    fun `a run that began before the first crash blocks the exclusive run`() {
        table.beginRun(digest, start, liveInstances)
        table.beginRun(digest, start, liveInstances)
        table.report(digest, server, start)
        table.endRun(digest, start, completed = false, start)
        expectThat(table.beginRun(digest, start, liveInstances)).isA<RunDecision.Refused>()
        table.endRun(digest, start, completed = false, start)
        expectThat(table.beginRun(digest, start, liveInstances)).isEqualTo(RunDecision.Exclusive)
    }

    @Test
    fun `another instance runs the request when the reporting instance is no longer live`() {
        val tables = liveInstances.drop(1).map { QuarantineTable(it) }
        table.report(digest, server, start)
        val reports = table.drainUrgentReports()
        tables.forEach { it.merge(reports, start) }
        val runners = tables.filter { it.beginRun(digest, start, liveInstances.drop(1)) == RunDecision.Exclusive }
        expectThat(runners).hasSize(1)
    }

    @Test
    fun `a completed run withdraws the report of a harmless request on every instance`() {
        table.report(digest, server, start)
        peerTable.merge(table.drainUrgentReports(), start)
        table.beginRun(digest, start + 1.seconds, liveInstances)
        table.endRun(digest, start + 1.seconds, completed = true, start + 2.seconds)
        peerTable.merge(table.drainUrgentReports(), start + 2.seconds)
        expectThat(peerTable.beginRun(digest, start + 2.seconds, liveInstances)).isEqualTo(RunDecision.Unrestricted)
    }

    @Test
    fun `a run that began before the crash does not withdraw the report`() {
        table.beginRun(digest, start, liveInstances)
        table.report(digest, server, start + 1.seconds)
        table.endRun(digest, start, completed = true, start + 2.seconds)
        expectThat(table.list(start + 2.seconds)).hasSize(1)
    }

    @Test
    fun `a late copy of a report does not override its withdrawal`() {
        table.report(digest, server, start)
        val report = table.drainUrgentReports()
        table.clear(start)
        table.merge(report, start)
        expectThat(table.list(start)).isEmpty()
    }

    @Test
    fun `clearing withdraws the reports on every instance`() {
        table.report(digest, server, start)
        table.report(digest, otherServer, start)
        peerTable.merge(table.drainUrgentReports(), start)
        expectThat(table.clear(start)).isEqualTo(1)
        peerTable.merge(table.drainUrgentReports(), start)
        expectThat(peerTable.isQuarantined(digest, start)).isFalse()
    }

    @Test
    fun `reports expire at the same time on every instance and are not merged afterwards`() {
        val report = table.report(digest, server, start)
        val end = start + QuarantineTable.DEFAULT_RETENTION
        peerTable.merge(listOf(report), end - 1.seconds)
        expectThat(peerTable.list(end - 1.seconds).single().until).isEqualTo(end)
        expectThat(peerTable.list(end)).isEmpty()
        peerTable.tick(end)
        peerTable.merge(listOf(report), end)
        expectThat(peerTable.entriesToGossip(end)).isEmpty()
    }

    @Test
    fun `a report dated too far in the future is ignored`() {
        peerTable.merge(listOf(QuarantineEntry(digest, server, start + 60.minutes, addressOf(1))), start)
        expectThat(peerTable.list(start)).isEmpty()
    }

    @Test
    fun `gossip sends every report once before it repeats one`() {
        (1..40).forEach { table.report(ContentDigest("d$it"), server, start) }
        val sent = (1..3).flatMap { table.entriesToGossip(start + it.seconds) }
        expectThat(sent.take(40).toSet()).hasSize(40)
        expectThat(sent).hasSize(3 * QuarantineTable.GOSSIP_LIMIT)
    }

    @Test
    fun `a full table evicts the digest that expires first`() {
        val smallTable = QuarantineTable(addressOf(1), capacity = 2)
        (1..3).forEach { smallTable.report(ContentDigest("d$it"), server, start + it.seconds) }
        expectThat(smallTable.list(start + 3.seconds).map { it.digest.value }).containsExactly("d2", "d3")
    }
}
