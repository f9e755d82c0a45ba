/*
 * Measures processor time per operation and live heap bytes per structure in this process.
 */
package org.arbutusnotch.testing.capacity

import java.lang.management.ManagementFactory

/** Holds one measurement: the [value] of [metric] in [unit] at [size]. */
public data class CapacityMeasurement(val metric: String, val size: Int, val value: Double, val unit: String)

/** Measures repeated operations, because a single one is shorter than the resolution of the clocks. */
public object CapacityMeter {
    private val threads = ManagementFactory.getThreadMXBean()

    /** Returns the processor time of one run of [operation] in microseconds: the minimum over several rounds. */
    public fun microsPerRun(runs: Int, operation: (Int) -> Unit): Double {
        var next = 0
        repeat(WARM_UP_ROUNDS) { repeat(runs) { operation(next++) } }
        return (1..ROUNDS).minOf {
            val start = threads.currentThreadCpuTime
            repeat(runs) { operation(next++) }
            (threads.currentThreadCpuTime - start) / runs / NANOS_PER_MICRO
        }
    }

    /** Returns the live heap bytes of one structure that [create] returns: the mean over [copies] structures. */
    public fun liveBytes(copies: Int, create: (Int) -> Any): Double {
        val retained = arrayOfNulls<Any>(copies)
        repeat(copies) { retained[it] = create(it) }
        val usedWithStructures = usedBytes()
        check(retained.all { it != null })
        // The baseline is measured after the release, when the garbage of earlier measurements is collected as well.
        retained.fill(null)
        return (usedWithStructures - usedBytes()).toDouble() / copies
    }

    private fun usedBytes(): Long {
        repeat(GC_RUNS) {
            System.gc()
            Thread.sleep(GC_PAUSE_MILLIS)
        }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private const val WARM_UP_ROUNDS = 3
    private const val ROUNDS = 5
    private const val GC_RUNS = 3
    private const val GC_PAUSE_MILLIS = 30L
    private const val NANOS_PER_MICRO = 1_000.0
}

/** Holds a line fitted to measurements: [intercept] + [slope] x size. */
public data class LinearFit(val metric: String, val intercept: Double, val slope: Double, val unit: String) {
    /** Returns the value of the line at [size]. */
    public fun valueAt(size: Int): Double = intercept + slope * size

    public companion object {
        /** Fits a line to [measurements] of one metric and unit by least squares. */
        public fun of(measurements: List<CapacityMeasurement>): LinearFit {
            val meanSize = measurements.map { it.size }.average()
            val meanValue = measurements.map { it.value }.average()
            val squaredDeviations = measurements.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = measurements.sumOf { (it.size - meanSize) * (it.value - meanValue) } / squaredDeviations
            return LinearFit(
                metric = measurements.first().metric,
                intercept = meanValue - slope * meanSize,
                slope = slope,
                unit = measurements.first().unit,
            )
        }
    }
}
