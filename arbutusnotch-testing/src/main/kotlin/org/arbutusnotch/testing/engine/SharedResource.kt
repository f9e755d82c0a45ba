/*
 * A resource whose capacity is shared equally by its jobs (processor sharing): the prefill processors or a link.
 */
package org.arbutusnotch.testing.engine

private const val NANOS_PER_SECOND = 1e9
private const val COMPLETION_TOLERANCE_UNITS = 1e-6

/**
 * Divides [unitsPerSecond] equally among jobs. The caller passes the time, so that late timers do not change the amount
 * of work done.
 */
internal class SharedResource<T : Any>(private val unitsPerSecond: Double) {
    private class Job<T>(val value: T, var remainingUnits: Double)

    private val jobs = mutableListOf<Job<T>>()
    private var lastNanos = 0L
    private var slowdownFactor = 1.0

    val jobCount: Int get() = jobs.size

    /** Work that remains, summed over all jobs. */
    val remainingUnits: Double get() = jobs.sumOf { it.remainingUnits }

    fun add(value: T, units: Double) {
        jobs += Job(value, units)
    }

    /** Returns the work that remains for [value]; null when it is not a job of this resource. */
    fun remainingUnitsOf(value: T): Double? = jobs.firstOrNull { it.value == value }?.remainingUnits

    fun remove(value: T): Boolean = jobs.removeIf { it.value == value }

    /**
     * Credits every job with the work done until [nowNanos] at the previous slowdown factor, which
     * [newSlowdownFactor] then replaces. Returns the finished jobs and removes them.
     */
    fun advance(nowNanos: Long, newSlowdownFactor: Double): List<T> {
        val doneUnits = jobs.takeIf { it.isNotEmpty() }?.let { unitsPerJob(nowNanos - lastNanos) } ?: 0.0
        lastNanos = nowNanos
        slowdownFactor = newSlowdownFactor
        jobs.forEach { it.remainingUnits -= doneUnits }
        val finished = jobs.filter { it.remainingUnits <= COMPLETION_TOLERANCE_UNITS }
        jobs.removeAll(finished)
        return finished.map { it.value }
    }

    /** Returns when the next job finishes if no job is added or removed; null without jobs. */
    fun nextFinishNanos(): Long? = jobs.minOfOrNull { it.remainingUnits }?.let { units ->
        lastNanos + (units * jobs.size * slowdownFactor / unitsPerSecond * NANOS_PER_SECOND).toLong() + 1
    }

    private fun unitsPerJob(elapsedNanos: Long): Double =
        elapsedNanos / NANOS_PER_SECOND * unitsPerSecond / slowdownFactor / jobs.size
}
