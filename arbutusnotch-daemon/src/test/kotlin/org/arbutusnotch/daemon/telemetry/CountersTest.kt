/*
 * Tests of the metrics that operators read.
 */
package org.arbutusnotch.daemon.telemetry

import com.github.michaelbull.result.get
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.Acknowledged
import org.arbutusnotch.core.message.ReleaseRequest
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.daemon.test
import org.arbutusnotch.peer.PeerTransport
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CountersTest {
    private val counters = Counters()

    private fun value(name: String): Double? = counters.snapshot().singleOrNull { it.name == name }?.value

    /** Guards against a refusal reason without a counter, also before the first refusal. */
    @Test
    fun `every refusal reason has a counter for each outcome from the start`() {
        for (reason in RefusalReason.entries) {
            for (outcome in listOf(RequestOutcome.NotRun(reason), RequestOutcome.Unknown(reason))) {
                val name = "refusals{outcome=${outcome.code},reason=${reason.code}}"
                expectThat(value(name)).describedAs(name).isEqualTo(0.0)
                counters.countOutcome(outcome)
                expectThat(value(name)).describedAs(name).isEqualTo(1.0)
            }
        }
    }

    /** Guards against an event that increments the counter of another. */
    @Test
    fun `each event increments only its own counter`() {
        counters.countOutcome(RequestOutcome.Answered)
        RetryReason.entries.forEach(counters::countRetry)
        PermitEvent.entries.forEach(counters::countPermitEvent)
        QuarantineEvent.entries.forEach(counters::countQuarantineEvent)
        RevisionEvent.entries.forEach(counters::countRevisionEvent)
        TokenDropReason.entries.forEach(counters::countDroppedToken)
        CancellationReason.entries.forEach(counters::countCancellation)
        for (kind in ReservationKind.entries) {
            ReservationEvent.entries.forEach { counters.countReservationEvent(kind, it) }
        }

        val counted = counters.snapshot().filterNot { it.name.startsWith("refusals") }
        expectThat(counted.filter { it.value != 1.0 }).isEqualTo(emptyList())
        expectThat(value("reservations{event=queued,kind=prefill}")).isEqualTo(1.0)
        expectThat(value("retries{reason=prefill_late}")).isEqualTo(1.0)
    }

    /** Guards against latencies of different priorities in one timer. */
    @Test
    fun `latencies are recorded by priority`() {
        counters.recordTimeToFirstToken(priority = 9, time = 300.milliseconds)
        counters.recordTimeToFirstToken(priority = 9, time = 100.milliseconds)
        counters.recordTokenInterval(priority = 0, time = 20.milliseconds)

        expectThat(value("first_token_count{priority=9}")).isEqualTo(2.0)
        expectThat(value("first_token_total{priority=9}")).isNotNull().isEqualTo(0.4)
        expectThat(value("between_tokens_count{priority=0}")).isEqualTo(1.0)
        expectThat(counters.scrape()).contains("arbutusnotch_first_token_seconds_bucket{priority=\"9\",le=\"0.32\"} 2")
    }

    /** Guards against control traffic that is missing from the metrics of an instance. */
    @Test
    fun `peer traffic is counted by type and direction`() = test {
        PeerTransport().use { server ->
            PeerTransport().use { client ->
                counters.includePeerTraffic(client.traffic)
                val address = server.start(InstanceAddress("127.0.0.1:0")) { Acknowledged }.get()
                val message = ReleaseRequest(BackendServerId("10.0.0.1:1"), AttemptId("1"))
                repeat(2) { client.request(address!!, message, 10.seconds) }

                val bytes = client.traffic.of("release")?.bytesOut?.toDouble()
                expectThat(value("peer_messages{direction=out,type=release}")).isEqualTo(2.0)
                expectThat(value("peer_messages{direction=in,type=ack}")).isEqualTo(2.0)
                expectThat(value("peer_bytes{direction=out,type=release}")).isEqualTo(bytes)
            }
        }
    }

    /** Guards against a gauge that is lost because its function is garbage collected. */
    @Suppress("ExplicitGarbageCollectionCall") // Only a collection reveals a weak reference.
    @Test
    fun `a gauge returns the current value`() {
        var running = 3
        counters.registerGauge("running_requests") { running }
        expectThat(value("running_requests")).isEqualTo(3.0)
        running = 4
        System.gc()
        expectThat(value("running_requests")).isEqualTo(4.0)
    }
}
