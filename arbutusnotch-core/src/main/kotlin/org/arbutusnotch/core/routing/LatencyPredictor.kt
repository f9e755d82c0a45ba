/*
 * Predicts waiting and processing times for placement and admission control.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.straggler.ServerView
import org.arbutusnotch.core.straggler.SpeedEstimate
import org.arbutusnotch.core.straggler.WorkUnits
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Predicts waiting and processing times from server views, cached prefixes and measured transfer times. */
internal class LatencyPredictor(private val prefixes: PrefixTable) {
    private val transferSpeed = SpeedEstimate(TRANSFER_SMOOTHING_FACTOR)
    private val meanOutputTokens = HashMap<PoolId, Double>()

    /** Records that the transfer of a prefill result of [promptTokens] took [elapsed]. */
    fun observeTransfer(promptTokens: Int, elapsed: Duration, now: Timestamp) {
        transferSpeed.observe(WorkUnits.of(ReservationKind.PREFILL, promptTokens), elapsed, 1, now)
    }

    /** Updates the moving average of [maxTokens] in [pool], which predicts how long requests occupy decode slots. */
    fun observeMaxTokens(pool: PoolId, maxTokens: Int) {
        val mean = meanOutputTokens[pool] ?: maxTokens.toDouble()
        meanOutputTokens[pool] = mean + OUTPUT_SMOOTHING_FACTOR * (maxTokens - mean)
    }

    fun transferTime(promptTokens: Int): Duration =
        WorkUnits.time(ReservationKind.PREFILL, promptTokens, transferSpeed.timePerUnit ?: DEFAULT_TRANSFER_TIME)

    /** Predicts how many prompt tokens [view] has to compute; the last token is always computed. */
    fun uncachedTokens(view: ServerView, digests: List<ContentDigest>, promptTokens: Int): Int {
        val cached = prefixes.cachedBlocks(view.server, digests) * PromptDigests.BLOCK_TOKENS
        return (promptTokens - cached).coerceAtLeast(1)
    }

    fun workTime(view: ServerView, work: Int): Duration = WorkUnits.time(view.kind, work, view.timePerUnit)

    fun prefillWait(view: ServerView): Duration =
        if (view.queuedWork == 0) Duration.ZERO else workTime(view, view.queuedWork)

    /** Predicts the time until [view] has a free slot for another request. */
    fun slotWait(view: ServerView): Duration {
        if (view.freeSlots > 0) return Duration.ZERO
        val occupancy = when (view.kind) {
            ReservationKind.DECODE ->
                view.timePerUnit * (meanOutputTokens[view.definition.pool] ?: DEFAULT_OUTPUT_TOKENS)

            ReservationKind.PREFILL, ReservationKind.SERVICE -> view.timePerUnit
        }
        return occupancy / view.definition.slots.coerceAtLeast(1) * (view.queuedWork + 1)
    }

    private companion object {
        const val TRANSFER_SMOOTHING_FACTOR = 0.2
        const val OUTPUT_SMOOTHING_FACTOR = 0.05
        const val DEFAULT_OUTPUT_TOKENS = 100.0

        /** Transfer time for 1,000 prompt tokens; used until a transfer has been measured. */
        val DEFAULT_TRANSFER_TIME: Duration = 4.milliseconds
    }
}
