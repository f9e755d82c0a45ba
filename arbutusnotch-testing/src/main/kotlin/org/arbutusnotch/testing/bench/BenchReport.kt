/*
 * The report of a benchmark, as JSON and as text.
 */
package org.arbutusnotch.testing.bench

import kotlinx.serialization.Serializable
import org.arbutusnotch.testing.load.Quantiles
import kotlin.time.DurationUnit

/** Holds quantiles in milliseconds. */
@Serializable
public data class QuantileReport(
    public val count: Long,
    public val p50: Double,
    public val p95: Double,
    public val p99: Double,
    public val p999: Double,
)

/** Holds the latencies of one priority. */
@Serializable
public data class PriorityReport(
    public val priority: Int,
    public val firstTokenMillis: QuantileReport,
    public val betweenTokensMillis: QuantileReport,
)

/**
 * Holds the results of one policy over all seeds.
 *
 * @property goodputOfOffered streamed completions within both targets, as a share of those offered
 * @property goodputOfCarriable the same completions as a share of those that the engines had capacity for
 * @property wastedPrefillShare computed prompt tokens of unused prefill results, as a share of all computed ones
 * @property heldBlocks engine memory blocks that were still allocated at the end of the runs
 * @property duplicateExecutions non-idempotent requests that took effect more than once
 * @property lostExecutions answered non-idempotent requests that did not take effect
 * @property falselyNotRun non-idempotent requests that were refused as not run and took effect
 * @property controlBytesPerSecond bytes per second that an instance sent to its peers, mean over instances
 * @property processorShare processor time that an instance used, as a share of one core, mean over instances
 */
@Serializable
public data class PolicyReport(
    public val policy: String,
    public val runs: Int,
    public val requests: Int,
    public val goodputOfOffered: Double,
    public val goodputOfCarriable: Double,
    public val priorities: List<PriorityReport>,
    public val serviceCallMillis: QuantileReport,
    public val outcomes: Map<String, Map<String, Int>>,
    public val wastedPrefillShare: Double,
    public val refusals: Map<String, Double>,
    public val retries: Map<String, Double>,
    public val heldBlocks: Int,
    public val engineCrashes: Int,
    public val duplicateExecutions: Int,
    public val lostExecutions: Int,
    public val falselyNotRun: Int,
    public val controlBytesPerSecond: Double,
    public val processorShare: Double,
)

/** Holds the settings and the results of a benchmark. */
@Serializable
public data class BenchReport(
    public val deployment: String,
    public val scenario: String,
    public val seeds: List<Long>,
    public val secondsPerRun: Int,
    public val requestsPerSecond: Double,
    public val policies: List<PolicyReport>,
)

internal fun Quantiles.toReport(): QuantileReport = QuantileReport(
    count = count,
    p50 = p50.toDouble(DurationUnit.MILLISECONDS),
    p95 = p95.toDouble(DurationUnit.MILLISECONDS),
    p99 = p99.toDouble(DurationUnit.MILLISECONDS),
    p999 = p999.toDouble(DurationUnit.MILLISECONDS),
)

/** Returns the report of one policy as text. */
internal fun PolicyReport.text(): String = buildString {
    appendLine("== policy=$policy runs=$runs requests=$requests")
    appendLine("  goodput: offered=${percent(goodputOfOffered)} carriable=${percent(goodputOfCarriable)}")
    appendLine("  %-24s %8s %9s %9s %9s %9s".format("milliseconds", "count", "p50", "p95", "p99", "p99.9"))
    priorities.forEach {
        appendLine(row("first token, prio ${it.priority}", it.firstTokenMillis))
        appendLine(row("between tokens, prio ${it.priority}", it.betweenTokensMillis))
    }
    appendLine(row("service calls", serviceCallMillis))
    appendLine("  outcomes: $outcomes")
    appendLine("  wasted_prefill=${percent(wastedPrefillShare)} refusals=$refusals retries=$retries")
    appendLine("  held_blocks=$heldBlocks engine_crashes=$engineCrashes")
    appendLine("  duplicates=$duplicateExecutions lost=$lostExecutions falsely_not_run=$falselyNotRun")
    append("  control_bytes_per_second=%.0f processor_share=%s".format(controlBytesPerSecond, percent(processorShare)))
}

private fun row(name: String, quantiles: QuantileReport): String = "  %-24s %8d %9.1f %9.1f %9.1f %9.1f"
    .format(name, quantiles.count, quantiles.p50, quantiles.p95, quantiles.p99, quantiles.p999)

private fun percent(share: Double): String = "%.1f%%".format(share * PERCENT)

private const val PERCENT = 100
