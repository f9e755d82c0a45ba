/*
 * How much memory of an engine the runs of a server will take.
 *
 * A run begins with its prompt and grows with each token until it ends and frees everything. It answers crests, at which
 * memory is the limit: runs that began at different times never need their largest memory together, so that a server
 * holds more of them than their sizes at the end allow.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration

/**
 * Describes a run by the memory that it takes.
 *
 * @property promptTokens memory at the beginning
 * @property outputTokens tokens that it is expected to generate
 * @property generatesFrom time of the first token
 */
internal data class MemoryUse(val promptTokens: Int, val outputTokens: Int, val generatesFrom: Timestamp)

internal object MemoryForecast {
    /**
     * Returns the most tokens that [runs] will hold together at any time from [now] on.
     *
     * Memory only falls when a run ends, so the highest level lies immediately before the end of one of them. A run that
     * has not ended when it was expected to is taken to end next.
     *
     * @param perOutput time for one token of the output
     */
    fun peak(runs: List<MemoryUse>, perOutput: Duration, now: Timestamp): Double {
        val perMillisecond = MICROS_PER_MILLI / perOutput.inWholeMicroseconds.coerceAtLeast(1)
        val byEnd = runs.sortedByDescending { it.end(perOutput, now).epochMillis }
        var running = 0
        var prompts = 0.0
        var beginnings = 0.0
        var peak = 0.0
        for (run in byEnd) {
            running += 1
            prompts += run.promptTokens
            beginnings += (run.generatesFrom - now).inWholeMilliseconds
            val end = (run.end(perOutput, now) - now).inWholeMilliseconds
            peak = maxOf(peak, prompts + (running * end - beginnings) * perMillisecond)
        }
        return peak
    }

    private fun MemoryUse.end(perOutput: Duration, now: Timestamp): Timestamp =
        maxOf(generatesFrom + perOutput * outputTokens, now)

    private const val MICROS_PER_MILLI = 1_000.0
}
