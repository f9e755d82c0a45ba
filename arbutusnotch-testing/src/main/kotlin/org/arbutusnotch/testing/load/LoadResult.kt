/*
 * Measurements of one load.
 */
package org.arbutusnotch.testing.load

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Holds the latency targets that an answer must meet to count for goodput.
 *
 * @property tokenInterval target for the mean time between the tokens of one answer
 */
public data class LatencyTargets(public val timeToFirstToken: Duration, public val tokenInterval: Duration)

/** Holds the quantiles of a latency. */
public data class Quantiles(
    public val count: Long,
    public val p50: Duration,
    public val p95: Duration,
    public val p99: Duration,
    public val p999: Duration,
) {
    internal companion object {
        private const val SIGNIFICANT_DIGITS = 3
        private const val MEDIAN = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0
        private const val P999 = 99.9

        fun of(values: Sequence<Duration>): Quantiles {
            val histogram = Histogram(SIGNIFICANT_DIGITS)
            values.forEach { histogram.recordValue(it.inWholeMicroseconds.coerceAtLeast(0)) }
            return Quantiles(
                count = histogram.totalCount,
                p50 = histogram.getValueAtPercentile(MEDIAN).microseconds,
                p95 = histogram.getValueAtPercentile(P95).microseconds,
                p99 = histogram.getValueAtPercentile(P99).microseconds,
                p999 = histogram.getValueAtPercentile(P999).microseconds,
            )
        }
    }
}

/** Holds the records of all requests of a load. */
public class LoadResult(public val records: List<RequestRecord>) {
    /** Records of completions. */
    public val completions: List<RequestRecord> = records.filter { it.request is PlannedRequest.Completion }

    /** Number of requests with a wrong answer, or with neither an answer nor a refusal. */
    public val faultyCount: Int =
        records.count { it.outcome == ObservedOutcome.WRONG_ANSWER || it.outcome == ObservedOutcome.BROKEN }

    /** Returns the number of requests by kind, outcome and reason. */
    public fun outcomes(): Map<String, Map<String, Int>> = records.groupBy { it.request.kind }
        .mapValues { (_, kind) -> kind.groupingBy { outcomeName(it) }.eachCount() }

    /** Returns the number of answered requests by entry address. */
    public fun answersByEntry(): Map<String, Int> =
        records.filter { it.outcome == ObservedOutcome.ANSWERED }.groupingBy { it.entryAddress }.eachCount()

    /** Priorities of the completions in this load, highest first. */
    public fun priorities(): List<Int> = completions.map { it.request.caller.priority }.distinct().sortedDescending()

    /** Returns the quantiles of the time to first token for [priority]; null includes all priorities. */
    public fun timeToFirstToken(priority: Int? = null): Quantiles =
        Quantiles.of(completionsOf(priority).mapNotNull { it.timeToFirstToken })

    /** Returns the quantiles of the time between tokens for [priority]; null includes all priorities. */
    public fun tokenInterval(priority: Int? = null): Quantiles =
        Quantiles.of(completionsOf(priority).flatMap { it.tokenIntervals.asSequence() })

    /** Returns the quantiles of the total time of answered plain service calls. */
    public fun serviceCalls(): Quantiles = Quantiles.of(
        records.asSequence()
            .filter { it.request is PlannedRequest.ServiceCall && it.outcome == ObservedOutcome.ANSWERED }
            .map { it.total },
    )

    /** Returns the number of streamed completions that were answered within both targets. */
    public fun countWithinTargets(targets: LatencyTargets): Int = streamed().count { it.meetsTargets(targets) }

    /** Returns the share of offered streamed completions that were answered within both targets. */
    public fun goodput(targets: LatencyTargets): Double {
        val offered = streamed().size
        return if (offered == 0) 0.0 else countWithinTargets(targets).toDouble() / offered
    }

    private fun streamed(): List<RequestRecord> =
        completions.filter { (it.request as PlannedRequest.Completion).stream }

    private fun completionsOf(priority: Int?): Sequence<RequestRecord> =
        completions.asSequence().filter { priority == null || it.request.caller.priority == priority }

    private fun RequestRecord.meetsTargets(targets: LatencyTargets): Boolean = outcome == ObservedOutcome.ANSWERED &&
        timeToFirstToken.let { it != null && it <= targets.timeToFirstToken } &&
        meanTokenInterval <= targets.tokenInterval

    private fun outcomeName(record: RequestRecord): String =
        listOf(record.outcome.code, record.reason).filter { it.isNotEmpty() }.joinToString(":")
}
