/*
 * The metrics of a daemon.
 */
package org.arbutusnotch.daemon.telemetry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.peer.MessageTraffic
import org.arbutusnotch.peer.PeerTraffic
import java.util.concurrent.atomic.AtomicReferenceArray
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.toJavaDuration

/** Holds the value of one metric; [name] includes its tags, as in `refusals{outcome=not_run,reason=capacity}`. */
public data class CounterValue(public val name: String, public val value: Double)

/**
 * Counts the events of a daemon and measures its latencies.
 *
 * The counter of every enumeration entry exists from the start with the value 0, so that a rate can be computed from
 * the first event on. All functions may be called from any thread.
 */
public class Counters(
    private val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
) {
    private val answered = counter("requests", "outcome", RequestOutcome.Answered.code)
    private val notRun = refusalCounters(NOT_RUN)
    private val unknown = refusalCounters(UNKNOWN)
    private val retries = RetryReason.entries.associateWith { counter("retries", "reason", it.code) }
    private val permits = PermitEvent.entries.associateWith { counter("permits", "event", it.code) }
    private val reservations = ReservationKind.entries.associateWith(::reservationCounters)
    private val quarantines = QuarantineEvent.entries.associateWith { counter("quarantines", "event", it.code) }
    private val revisions = RevisionEvent.entries.associateWith { counter("revisions", "event", it.code) }
    private val droppedTokens = TokenDropReason.entries.associateWith { counter("dropped_tokens", "reason", it.code) }
    private val cancellations = CancellationReason.entries.associateWith {
        counter("held_cancelled", "reason", it.code)
    }
    private val timeToFirstToken = LatencyTimers("first_token", FIRST_TOKEN_BUCKETS)
    private val tokenInterval = LatencyTimers("between_tokens", BETWEEN_TOKENS_BUCKETS)

    @Volatile
    private var peerTraffic: PeerTraffic? = null

    /** Counts the final outcome of a request. */
    public fun countOutcome(outcome: RequestOutcome) {
        when (outcome) {
            is RequestOutcome.Answered -> answered.increment()
            is RequestOutcome.NotRun -> notRun.getValue(outcome.reason).increment()
            is RequestOutcome.Unknown -> unknown.getValue(outcome.reason).increment()
        }
    }

    /** Counts a retry on another backend server. */
    public fun countRetry(reason: RetryReason): Unit = retries.getValue(reason).increment()

    /** Counts an event of an execution permit. */
    public fun countPermitEvent(event: PermitEvent): Unit = permits.getValue(event).increment()

    /** Counts an event of a reservation of [kind]. */
    public fun countReservationEvent(kind: ReservationKind, event: ReservationEvent): Unit =
        reservations.getValue(kind).getValue(event).increment()

    /** Counts an event of a quarantined digest. */
    public fun countQuarantineEvent(event: QuarantineEvent): Unit = quarantines.getValue(event).increment()

    /** Counts an event of a configuration revision. */
    public fun countRevisionEvent(event: RevisionEvent): Unit = revisions.getValue(event).increment()

    /** Counts an output token that was not sent to the caller. */
    public fun countDroppedToken(reason: TokenDropReason): Unit = droppedTokens.getValue(reason).increment()

    /** Counts a cancelled prefill result or decode stream. */
    public fun countCancellation(reason: CancellationReason): Unit = cancellations.getValue(reason).increment()

    /** Records the time to first token of a request with [priority]. */
    public fun recordTimeToFirstToken(priority: Int, time: Duration): Unit = timeToFirstToken.record(priority, time)

    /** Records the time between two consecutive tokens of a request with [priority]. */
    public fun recordTokenInterval(priority: Int, time: Duration): Unit = tokenInterval.record(priority, time)

    /** Registers a gauge named [name], in snake case, whose value is the result of [read]. */
    public fun registerGauge(name: String, read: () -> Number) {
        Gauge.builder("$PREFIX$name", read).strongReference(true).register(registry)
    }

    /** Adds the message and byte counts of [traffic] to the metrics. */
    public fun includePeerTraffic(traffic: PeerTraffic) {
        peerTraffic = traffic
    }

    /** Returns every metric in the Prometheus text format. */
    public fun scrape(): String {
        registerPeerTraffic()
        return registry.scrape()
    }

    /** Returns every counter and gauge, and the count, total and maximum of every timer, sorted by name. */
    public fun snapshot(): List<CounterValue> {
        registerPeerTraffic()
        return registry.meters.flatMap(::measurements).sortedBy { it.name }
    }

    private fun measurements(meter: Meter): List<CounterValue> = meter.measure().map { measurement ->
        val name = meter.id.name.removePrefix(PREFIX)
        val suffix = if (meter is Timer) "_${measurement.statistic.tagValueRepresentation}" else ""
        CounterValue(name + suffix + formatTags(meter), measurement.value)
    }

    private fun formatTags(meter: Meter): String {
        val tags = meter.id.tags
        if (tags.isEmpty()) return ""
        return tags.joinToString(separator = ",", prefix = "{", postfix = "}") { "${it.key}=${it.value}" }
    }

    private fun registerPeerTraffic() {
        val traffic = peerTraffic ?: return
        for (type in traffic.snapshot()) registerPeerTraffic(traffic, type.type)
    }

    private fun registerPeerTraffic(traffic: PeerTraffic, type: String) {
        registerPeerCounter(traffic, "peer_messages", type, IN) { it.messagesIn }
        registerPeerCounter(traffic, "peer_messages", type, OUT) { it.messagesOut }
        registerPeerCounter(traffic, "peer_bytes", type, IN) { it.bytesIn }
        registerPeerCounter(traffic, "peer_bytes", type, OUT) { it.bytesOut }
    }

    private fun registerPeerCounter(
        traffic: PeerTraffic,
        name: String,
        type: String,
        direction: String,
        read: (MessageTraffic) -> Long,
    ) {
        val tags = Tags.of("direction", direction, "type", type)
        FunctionCounter.builder("$PREFIX$name", traffic) { (it.of(type)?.let(read) ?: 0L).toDouble() }
            .tags(tags)
            .register(registry)
    }

    private fun refusalCounters(outcome: String): Map<RefusalReason, Counter> = RefusalReason.entries.associateWith {
        counter("refusals", Tags.of("outcome", outcome, "reason", it.code))
    }

    private fun reservationCounters(kind: ReservationKind): Map<ReservationEvent, Counter> =
        ReservationEvent.entries.associateWith {
            counter("reservations", Tags.of("event", it.code, "kind", kind.name.lowercase()))
        }

    private fun counter(name: String, key: String, value: String): Counter = counter(name, Tags.of(key, value))

    private fun counter(name: String, tags: Tags): Counter = registry.counter("$PREFIX$name", tags)

    private inner class LatencyTimers(private val name: String, private val buckets: List<Duration>) {
        private val byPriority = AtomicReferenceArray<Timer?>(PRIORITY_COUNT)

        fun record(priority: Int, time: Duration) {
            val index = priority.coerceIn(0, PRIORITY_COUNT - 1)
            val timer = byPriority.get(index) ?: register(index).also { byPriority.set(index, it) }
            timer.record(time.toJavaDuration())
        }

        // Micrometer accepts the buckets only as a vararg; the array is copied once per priority.
        @Suppress("SpreadOperator")
        private fun register(priority: Int): Timer = Timer.builder("$PREFIX$name")
            .tag("priority", priority.toString())
            .serviceLevelObjectives(*buckets.map { it.toJavaDuration() }.toTypedArray())
            .register(registry)
    }

    private companion object {
        const val PREFIX = "arbutusnotch_"
        const val IN = "in"
        const val OUT = "out"
        const val PRIORITY_COUNT = 10
        val NOT_RUN = RequestOutcome.NotRun(RefusalReason.CAPACITY).code
        val UNKNOWN = RequestOutcome.Unknown(RefusalReason.CAPACITY).code

        /** Include the target of 320 ms, so that the share of requests within it can be read. */
        val FIRST_TOKEN_BUCKETS = listOf(50, 100, 200, 320, 500, 1_000, 2_000, 5_000).map { it.milliseconds }

        /** Include the target of 26 ms, so that the share of intervals within it can be read. */
        val BETWEEN_TOKENS_BUCKETS = listOf(5, 10, 15, 20, 26, 35, 50, 100, 250, 1_000).map { it.milliseconds }
    }
}
