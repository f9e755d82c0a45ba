/*
 * Measures processor time per operation and live bytes of a structure in this process.
 */
package org.arbutusnotch.testing.capacity

import java.lang.management.ManagementFactory

/** Holds one measured figure: [value] in [unit] at [size]. */
public data class CapacityFigure(val measure: String, val size: Int, val value: Double, val unit: String)

/** Measures by repetition, since a single operation is shorter than the resolution of the clocks. */
public object CapacityMeter {
    private val threads = ManagementFactory.getThreadMXBean()

    /** Returns the processor time of one run of [operation] in microseconds, as the least of several rounds. */
    public fun microsPerRun(runs: Int, operation: (Int) -> Unit): Double {
        var next = 0
        repeat(WARM_UP_ROUNDS) { repeat(runs) { operation(next++) } }
        return (1..ROUNDS).minOf {
            val start = threads.currentThreadCpuTime
            repeat(runs) { operation(next++) }
            (threads.currentThreadCpuTime - start) / runs / NANOS_PER_MICRO
        }
    }

    /** Returns the live bytes of one structure that [build] creates, averaged over [copies]. */
    public fun liveBytes(copies: Int, build: (Int) -> Any): Double {
        val kept = arrayOfNulls<Any>(copies)
        repeat(copies) { kept[it] = build(it) }
        val full = usedBytes()
        check(kept.all { it != null })
        // Measured after the structures are released, since what earlier measurements left behind is gone by then.
        kept.fill(null)
        return (full - usedBytes()).toDouble() / copies
    }

    private fun usedBytes(): Long {
        repeat(COLLECTIONS) {
            System.gc()
            Thread.sleep(COLLECTION_PAUSE_MILLIS)
        }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private const val WARM_UP_ROUNDS = 3
    private const val ROUNDS = 5
    private const val COLLECTIONS = 3
    private const val COLLECTION_PAUSE_MILLIS = 30L
    private const val NANOS_PER_MICRO = 1_000.0
}

/** Holds a straight line through measured figures: [atZero] + [perUnit] x size. */
public data class Slope(val measure: String, val atZero: Double, val perUnit: Double, val unit: String) {
    /** Returns the value of the line at [size]. */
    public fun at(size: Int): Double = atZero + perUnit * size

    public companion object {
        /** Fits a line to [figures], which share measure and unit, by least squares. */
        public fun of(figures: List<CapacityFigure>): Slope {
            val meanSize = figures.map { it.size }.average()
            val meanValue = figures.map { it.value }.average()
            val spread = figures.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val perUnit = figures.sumOf { (it.size - meanSize) * (it.value - meanValue) } / spread
            return Slope(figures.first().measure, meanValue - perUnit * meanSize, perUnit, figures.first().unit)
        }
    }
}
