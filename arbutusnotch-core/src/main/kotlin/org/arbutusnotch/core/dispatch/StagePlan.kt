/*
 * How many servers of a pool should read prompts, and how many should generate.
 *
 * It answers crests at which decode memory is full while prefill servers have nothing to do. Decode servers can read
 * prompts too, though slowly, so that a pool with too few prefill servers still serves.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ServerStage
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

/** Names a server of a pool and the stage that it should change to. */
public data class StageChange(public val server: BackendServer, public val stage: ServerStage)

internal object StagePlan {
    /** Prefill servers beyond the balance; crests of prompts are shorter than those of memory. */
    private const val PREFILL_HEADROOM = 1.3

    /** Servers from which a pool keeps two prefill servers, since the loss of the only one leaves slow reading. */
    private const val POOL_WITH_SPARE_PREFILL = 5

    /** Share of the balance below which prefill servers are missing; far below the headroom, against flapping. */
    private const val PREFILL_SHORTAGE = 0.6

    /**
     * Returns the stage to which a server should change beside [prefill] and [decode] servers, or null.
     *
     * @param readingTime time of one prefill server for one request
     * @param holdingTime time of one decode server for one request, with as many at once as its memory holds
     */
    fun change(prefill: Int, decode: Int, readingTime: Duration, holdingTime: Duration): ServerStage? {
        if (holdingTime <= Duration.ZERO) return null
        val balance = readingTime / (readingTime + holdingTime) * (prefill + decode)
        val fewest = if (prefill + decode >= POOL_WITH_SPARE_PREFILL) 2 else 1
        val most = (balance * PREFILL_HEADROOM).roundToInt().coerceAtLeast(fewest)
        val least = (balance * PREFILL_SHORTAGE).roundToInt().coerceAtLeast(1)
        return when {
            prefill > most -> ServerStage.DECODE
            prefill < least && decode > 1 -> ServerStage.PREFILL
            else -> null
        }
    }
}
