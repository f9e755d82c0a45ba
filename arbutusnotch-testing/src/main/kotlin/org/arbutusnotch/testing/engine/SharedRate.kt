/*
 * A resource whose rate is shared equally by everything that uses it: the processors for prefill, or a link.
 */
package org.arbutusnotch.testing.engine

private const val NANOS_PER_SECOND = 1e9
private const val FINISHED_UNITS = 1e-6

/** Shares [unitsPerSecond] among jobs. Time is an argument, so that late timers do not change the amount of work. */
internal class SharedRate<T : Any>(private val unitsPerSecond: Double) {
    private class Job<T>(val value: T, var remaining: Double)

    private val jobs = mutableListOf<Job<T>>()
    private var lastNanos = 0L
    private var slowness = 1.0

    val size: Int get() = jobs.size

    /** Units that are still to do. */
    val remaining: Double get() = jobs.sumOf { it.remaining }

    fun add(value: T, units: Double) {
        jobs += Job(value, units)
    }

    /** Returns the units that [value] still needs; null when it does not run. */
    fun remainingOf(value: T): Double? = jobs.firstOrNull { it.value == value }?.remaining

    fun remove(value: T): Boolean = jobs.removeIf { it.value == value }

    /** Accounts for the time up to [nowNanos] at the rate that applied so far, and returns the finished jobs. */
    fun advance(nowNanos: Long, newSlowness: Double): List<T> {
        val done = jobs.takeIf { it.isNotEmpty() }?.let { shareOf(nowNanos - lastNanos) } ?: 0.0
        lastNanos = nowNanos
        slowness = newSlowness
        jobs.forEach { it.remaining -= done }
        val finished = jobs.filter { it.remaining <= FINISHED_UNITS }
        jobs.removeAll(finished)
        return finished.map { it.value }
    }

    /** Returns when the next job finishes if nothing changes; null without jobs. */
    fun nextFinishNanos(): Long? = jobs.minOfOrNull { it.remaining }?.let { units ->
        lastNanos + (units * jobs.size * slowness / unitsPerSecond * NANOS_PER_SECOND).toLong() + 1
    }

    private fun shareOf(elapsedNanos: Long): Double =
        elapsedNanos / NANOS_PER_SECOND * unitsPerSecond / slowness / jobs.size
}
