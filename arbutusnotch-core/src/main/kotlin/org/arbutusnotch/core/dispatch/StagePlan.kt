/*
 * Balances the numbers of prefill and decode servers of a pool.
 *
 * Without it, decode memory is full at peak load while prefill servers are idle. Decode servers can prefill prompts
 * too, though slowly, so that a pool with too few prefill servers still serves requests.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ServerStage
import kotlin.math.roundToInt
import kotlin.time.Duration

/** Averages the prompt and output lengths of a pool's requests, in tokens. */
internal class DemandAverage {
    var promptTokens = 0.0
        private set
    var outputTokens = 0.0
        private set
    var samples = 0
        private set

    fun observe(promptLength: Int, outputLength: Int) {
        val weight = maxOf(SAMPLE_WEIGHT, 1.0 / (samples + 1))
        promptTokens += weight * (promptLength - promptTokens)
        outputTokens += weight * (outputLength - outputTokens)
        samples += 1
    }

    private companion object {
        const val SAMPLE_WEIGHT = 0.02
    }
}

/** Names a server of a pool and the stage that it should switch to. */
public data class StageChange(public val server: BackendServer, public val stage: ServerStage)

internal object StagePlan {
    /** Prefill servers relative to the balance; peaks in prefill load are shorter than peaks in decode memory. */
    private const val PREFILL_HEADROOM = 1.3

    /** Pool size from which two prefill servers are kept, because losing the only one leaves just slow prefills. */
    private const val POOL_SIZE_WITH_SPARE_PREFILL = 5

    /** Share of the balance below which prefill servers are missing; far below the headroom to avoid flapping. */
    private const val PREFILL_SHORTAGE = 0.6

    /**
     * Returns the stage to which one server of the pool should switch, or null when the numbers are balanced.
     *
     * @param prefillTime time that one request occupies a prefill server
     * @param decodeTime time that one request occupies a decode server, divided by the requests that fit its memory
     */
    fun targetStage(
        prefillServers: Int,
        decodeServers: Int,
        prefillTime: Duration,
        decodeTime: Duration,
    ): ServerStage? {
        if (decodeTime <= Duration.ZERO) return null
        val balance = prefillTime / (prefillTime + decodeTime) * (prefillServers + decodeServers)
        val minimumPrefill = if (prefillServers + decodeServers >= POOL_SIZE_WITH_SPARE_PREFILL) 2 else 1
        val surplusLimit = (balance * PREFILL_HEADROOM).roundToInt().coerceAtLeast(minimumPrefill)
        val shortageLimit = (balance * PREFILL_SHORTAGE).roundToInt().coerceAtLeast(1)
        return when {
            prefillServers > surplusLimit -> ServerStage.DECODE
            prefillServers < shortageLimit && decodeServers > 1 -> ServerStage.PREFILL
            else -> null
        }
    }
}
