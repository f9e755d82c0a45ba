/*
 * Chart of the time to first token over the arrival time.
 */
package org.arbutusnotch.testing.bench

import org.arbutusnotch.testing.load.LoadResult
import org.knowm.xchart.VectorGraphicsEncoder
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat
import org.knowm.xchart.XYChartBuilder
import java.nio.file.Path
import kotlin.io.path.outputStream
import kotlin.time.DurationUnit

/** Writes an SVG chart of the 95th percentile of each second of arrivals to [file], with one line per policy. */
internal fun writeFirstTokenChart(title: String, results: Map<String, LoadResult>, file: Path) {
    val chart = XYChartBuilder().width(WIDTH).height(HEIGHT).title(title)
        .xAxisTitle("arrival, seconds")
        .yAxisTitle("time to first token, p95 of each second, milliseconds")
        .build()
    results.forEach { (policy, result) ->
        val points = points(result)
        if (points.isNotEmpty()) {
            val seconds = points.map { it.first }.toDoubleArray()
            val millis = points.map { it.second }.toDoubleArray()
            chart.addSeries(policy, seconds, millis)
        }
    }
    file.outputStream().use { VectorGraphicsEncoder.saveVectorGraphic(chart, it, VectorGraphicsFormat.SVG) }
}

private fun points(result: LoadResult): List<Pair<Double, Double>> = result.completions
    .mapNotNull { record -> record.timeToFirstToken?.let { record.scheduled.arrival.inWholeSeconds to it } }
    .groupBy({ it.first }, { it.second })
    .toSortedMap()
    .map { (second, times) ->
        val sorted = times.sorted()
        val p95 = sorted[(sorted.size * P95).toInt().coerceAtMost(sorted.lastIndex)]
        second.toDouble() to p95.toDouble(DurationUnit.MILLISECONDS)
    }

private const val WIDTH = 1_000
private const val HEIGHT = 500
private const val P95 = 0.95
