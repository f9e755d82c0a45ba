/*
 * The predictions on which placement and admission rest.
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

/** Predicts waits and work times from views of servers and the measured transfer time. */
internal class PlacementCosts(private val prefixes: PrefixTable) {
    private val transfer = SpeedEstimate(TRANSFER_WEIGHT)
    private val outputTokens = HashMap<PoolId, Double>()

    /** Records that the transfer of a prefill result of [promptTokens] took [elapsed]. */
    fun observeTransfer(promptTokens: Int, elapsed: Duration, now: Timestamp) {
        transfer.observe(WorkUnits.of(ReservationKind.PREFILL, promptTokens), elapsed, 1, now)
    }

    /** Records the output length of a request, from which the time that a slot is held is predicted. */
    fun observeRequest(pool: PoolId, maxTokens: Int) {
        val mean = outputTokens[pool] ?: maxTokens.toDouble()
        outputTokens[pool] = mean + OUTPUT_WEIGHT * (maxTokens - mean)
    }

    fun transferTime(promptTokens: Int): Duration =
        WorkUnits.time(ReservationKind.PREFILL, promptTokens, transfer.timePerUnit ?: DEFAULT_TRANSFER)

    /** Predicts the tokens of a prompt that [view] has to compute; the last token is always computed. */
    fun uncachedTokens(view: ServerView, digests: List<ContentDigest>, promptTokens: Int): Int {
        val cached = prefixes.cachedPieces(view.server, digests) * PromptDigests.PIECE_TOKENS
        return (promptTokens - cached).coerceAtLeast(1)
    }

    fun workTime(view: ServerView, work: Int): Duration = WorkUnits.time(view.kind, work, view.timePerUnit)

    fun prefillWait(view: ServerView): Duration =
        if (view.queuedWork == 0) Duration.ZERO else workTime(view, view.queuedWork)

    /** Predicts the time until [view] has a free slot for one more request. */
    fun slotWait(view: ServerView): Duration {
        if (view.freeSlots > 0) return Duration.ZERO
        val held = when (view.kind) {
            ReservationKind.DECODE -> view.timePerUnit * (outputTokens[view.definition.pool] ?: DEFAULT_OUTPUT_TOKENS)
            ReservationKind.PREFILL, ReservationKind.SERVICE -> view.timePerUnit
        }
        return held / view.definition.slots.coerceAtLeast(1) * (view.queuedWork + 1)
    }

    private companion object {
        const val TRANSFER_WEIGHT = 0.2
        const val OUTPUT_WEIGHT = 0.05
        const val DEFAULT_OUTPUT_TOKENS = 100.0

        /** Time for 1,000 prompt tokens over the link before a transfer was measured. */
        val DEFAULT_TRANSFER: Duration = 4.milliseconds
    }
}
