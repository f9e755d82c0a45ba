/*
 * How many servers of a pool should read prompts, and how many should generate.
 *
 * It answers crests at which decode memory is full while prefill servers have nothing to do. Decode servers can read
 * prompts too, though slowly, so that a pool with too few prefill servers still serves.
 */
package org.arbutusnotch.core.dispatch

import kotlin.math.roundToInt
import kotlin.time.Duration

/** Averages the requests of a pool. */
internal class DemandAverage {
    var promptTokens = 0.0
        private set
    var outputTokens = 0.0
        private set
    var samples = 0
        private set

    fun observe(prompt: Int, output: Int) {
        val weight = maxOf(WEIGHT, 1.0 / (samples + 1))
        promptTokens += weight * (prompt - promptTokens)
        outputTokens += weight * (output - outputTokens)
        samples += 1
    }

    private companion object {
        const val WEIGHT = 0.02
    }
}

internal object StagePlan {
    /** Prefill servers beyond the balance; crests of prompts are shorter than those of memory. */
    private const val PREFILL_HEADROOM = 1.3

    /**
     * Returns whether one of [prefill] servers should become a decode server beside [decode] others.
     *
     * @param readingTime time of one prefill server for one request
     * @param holdingTime time of one decode server for one request, with as many at once as its memory holds
     */
    fun hasSurplusPrefill(prefill: Int, decode: Int, readingTime: Duration, holdingTime: Duration): Boolean {
        if (prefill <= 1 || holdingTime <= Duration.ZERO) return false
        val share = readingTime / (readingTime + holdingTime)
        val wanted = (share * (prefill + decode) * PREFILL_HEADROOM).roundToInt().coerceAtLeast(1)
        return prefill > wanted
    }
}
