/*
 * Decides when a decode stream is at risk and has to move to another server by resume.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Watches one decode stream.
 *
 * @property lastTokenAt time of the latest token, or of the start of the stream
 * @property expectedInterval expected time between tokens: the target or the median of the pool
 * @property observedInterval smoothed time between the tokens of this stream
 * @property nextTokenDeadline time at which the stream counts as at risk unless a token arrives
 */
public data class StreamWatch(
    public val lastTokenAt: Timestamp,
    public val expectedInterval: Duration,
    public val observedInterval: Duration,
    public val nextTokenDeadline: Timestamp,
) {
    /** Returns the watch after [tokens] tokens arrived at [now]. */
    public fun received(now: Timestamp, tokens: Int = 1): StreamWatch {
        if (tokens <= 0) return this
        val sample = (now - lastTokenAt) / tokens
        val smoothed = observedInterval + (sample - observedInterval) * WEIGHT
        return copy(
            lastTokenAt = now,
            observedInterval = smoothed,
            nextTokenDeadline = now + patience(expectedInterval),
        )
    }

    /** Tells whether the stream produced no token for too long. */
    public fun isAtRisk(now: Timestamp): Boolean = now >= nextTokenDeadline

    /** Returns the time since the last token, which bounds the current interval from below. */
    public fun silence(now: Timestamp): Duration = now - lastTokenAt

    /**
     * Decides whether the stream moves to another server.
     *
     * @param serverExcluded whether its server is excluded as slow
     * @param remainingTokens output tokens that are still to come
     * @param resumeCost predicted time until the first token on another server
     */
    public fun decide(
        now: Timestamp,
        serverExcluded: Boolean,
        remainingTokens: Int,
        resumeCost: Duration,
    ): StreamAction = when {
        remainingTokens <= 0 -> StreamAction.Continue
        isAtRisk(now) -> StreamAction.Resume(ResumeReason.NO_TOKEN)
        serverExcluded && paysOff(now, remainingTokens, resumeCost) -> StreamAction.Resume(ResumeReason.SLOW_SERVER)
        else -> StreamAction.Continue
    }

    /** Compares the time that the slowdown will cost, by its usual length, with the cost of moving. */
    private fun paysOff(now: Timestamp, remainingTokens: Int, resumeCost: Duration): Boolean {
        val interval = maxOf(observedInterval, silence(now))
        if (interval <= expectedInterval * SLOW_FACTOR) return false
        val lostByTokens = (interval - expectedInterval) * remainingTokens
        val lostByTime = REMAINING_SLOWDOWN * (1.0 - expectedInterval / interval)
        return minOf(lostByTokens, lostByTime) > resumeCost * RESUME_MARGIN
    }

    public companion object {
        private const val WEIGHT = 0.3
        private const val SLOW_FACTOR = 2.0
        private const val RESUME_MARGIN = 1.5

        /** A slowdown by a factor of five still produces a token in this many intervals. */
        private const val PATIENCE_INTERVALS = 8

        private val SHORTEST_PATIENCE: Duration = 200.milliseconds

        /** Slowdowns last 1 to 5 s; half a second of one has passed when it is detected. */
        private val REMAINING_SLOWDOWN: Duration = 2.5.seconds

        private fun patience(expectedInterval: Duration): Duration =
            maxOf(expectedInterval * PATIENCE_INTERVALS, SHORTEST_PATIENCE)

        /**
         * Starts to watch a stream that is requested at [now].
         *
         * @param firstTokenAfter predicted time until its first token
         */
        public fun start(
            now: Timestamp,
            expectedInterval: Duration,
            firstTokenAfter: Duration = Duration.ZERO,
        ): StreamWatch {
            val deadline = now + firstTokenAfter + patience(expectedInterval)
            return StreamWatch(now, expectedInterval, expectedInterval, deadline)
        }
    }
}

/** Describes what is to be done about a running stream. */
public sealed class StreamAction {
    /** The stream stays where it is. */
    public data object Continue : StreamAction()

    /** The stream moves: its prompt and the tokens received so far are resumed on another server. */
    public data class Resume(public val reason: ResumeReason) : StreamAction()
}

/** Names why a stream moves. */
public enum class ResumeReason {
    NO_TOKEN,
    SLOW_SERVER,
}
