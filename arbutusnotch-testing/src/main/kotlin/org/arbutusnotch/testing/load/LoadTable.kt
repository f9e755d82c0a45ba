/*
 * Text report of a load.
 */
package org.arbutusnotch.testing.load

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Returns the measurements of [result] as a text table; goodput counts answers within [targets]. */
public fun loadTable(result: LoadResult, targets: LatencyTargets): String = buildString {
    appendLine(
        "requests=${result.records.size} faulty=${result.faultyCount} " +
            "goodput=${percent(result.goodput(targets))}",
    )
    result.outcomes().toSortedMap().forEach { (kind, outcomes) ->
        val counts = outcomes.toSortedMap().entries.joinToString(" ") { "${it.key}=${it.value}" }
        appendLine("  %-22s %s".format(kind, counts))
    }
    appendLine("  %-22s %8s %9s %9s %9s %9s".format("milliseconds", "count", "p50", "p95", "p99", "p99.9"))
    result.priorities().forEach { priority ->
        appendLine(quantileRow("first token, prio $priority", result.timeToFirstToken(priority)))
        appendLine(quantileRow("between tokens, prio $priority", result.tokenInterval(priority)))
    }
    appendLine(quantileRow("service calls", result.serviceCalls()))
    val entries = result.answersByEntry().toSortedMap().entries.joinToString(" ") { "${it.key}=${it.value}" }
    appendLine("  answers by entry: $entries")
}

private fun quantileRow(name: String, quantiles: Quantiles): String = "  %-22s %8d %9s %9s %9s %9s".format(
    name,
    quantiles.count,
    millis(quantiles.p50),
    millis(quantiles.p95),
    millis(quantiles.p99),
    millis(quantiles.p999),
)

private fun millis(duration: Duration): String = "%.1f".format(duration.toDouble(DurationUnit.MILLISECONDS))

private fun percent(share: Double): String = "%.1f%%".format(share * PERCENT)

private const val PERCENT = 100
