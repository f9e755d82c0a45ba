/*
 * The figures of one load.
 */
package org.arbutusnotch.testing.load

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/**
 * Holds the targets that an answer must meet to count for goodput.
 *
 * @property betweenTokens target for the mean time between the tokens of one answer
 */
public data class Targets(public val firstToken: Duration, public val betweenTokens: Duration)

/** Holds quantiles of a latency. */
public data class Quantiles(
    public val count: Long,
    public val p50: Duration,
    public val p95: Duration,
    public val p99: Duration,
    public val p999: Duration,
) {
    internal companion object {
        private const val DIGITS = 3
        private const val MEDIAN = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0
        private const val P999 = 99.9

        fun of(values: Sequence<Duration>): Quantiles {
            val histogram = Histogram(DIGITS)
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

/** Holds the record of every request of a load. */
public class LoadResult(public val records: List<RequestRecord>) {
    /** Records of completions. */
    public val completions: List<RequestRecord> = records.filter { it.request is PlannedRequest.Completion }

    /** Number of requests with wrong or missing outcomes. */
    public val faulty: Int =
        records.count { it.outcome == ObservedOutcome.WRONG_ANSWER || it.outcome == ObservedOutcome.BROKEN }

    /** Counts requests by kind, outcome and reason. */
    public fun outcomes(): Map<String, Map<String, Int>> = records.groupBy { it.request.kind }
        .mapValues { (_, kind) -> kind.groupingBy { outcomeText(it) }.eachCount() }

    /** Counts the answers of each entry address. */
    public fun answersByEntry(): Map<String, Int> =
        records.filter { it.outcome == ObservedOutcome.ANSWERED }.groupingBy { it.entry }.eachCount()

    /** Priorities of the completions in this load, highest first. */
    public fun priorities(): List<Int> = completions.map { it.request.caller.priority }.distinct().sortedDescending()

    /** Returns the time to first token; null as [priority] stands for all. */
    public fun firstToken(priority: Int? = null): Quantiles =
        Quantiles.of(ofPriority(priority).mapNotNull { it.firstToken })

    /** Returns the time between tokens; null as [priority] stands for all. */
    public fun betweenTokens(priority: Int? = null): Quantiles =
        Quantiles.of(ofPriority(priority).flatMap { it.gaps.asSequence() })

    /** Returns the whole time of answered plain service calls. */
    public fun serviceCalls(): Quantiles = Quantiles.of(
        records.asSequence()
            .filter { it.request is PlannedRequest.ServiceCall && it.outcome == ObservedOutcome.ANSWERED }
            .map { it.total },
    )

    /** Counts the streamed completions that were answered within both targets. */
    public fun good(targets: Targets): Int = streamed().count { it.isGood(targets) }

    /** Returns the share of offered streamed completions that were answered within both targets. */
    public fun goodput(targets: Targets): Double {
        val offered = streamed().size
        return if (offered == 0) 0.0 else good(targets).toDouble() / offered
    }

    private fun streamed(): List<RequestRecord> =
        completions.filter { (it.request as PlannedRequest.Completion).stream }

    private fun ofPriority(priority: Int?): Sequence<RequestRecord> =
        completions.asSequence().filter { priority == null || it.request.caller.priority == priority }

    private fun RequestRecord.isGood(targets: Targets): Boolean = outcome == ObservedOutcome.ANSWERED &&
        firstToken.let { it != null && it <= targets.firstToken } &&
        meanGap <= targets.betweenTokens

    private fun outcomeText(record: RequestRecord): String =
        listOf(record.outcome.code, record.reason).filter { it.isNotEmpty() }.joinToString(":")
}
