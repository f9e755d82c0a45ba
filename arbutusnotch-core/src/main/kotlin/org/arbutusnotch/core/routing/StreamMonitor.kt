/*
 * Detects decode streams that are at risk and decides when to resume them on another server.
 */
package org.arbutusnotch.core.routing

import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Monitors one decode stream.
 *
 * @property lastTokenAt time of the latest token, or of the start of the stream
 * @property expectedInterval expected time between tokens: the longer of the target and the interval predicted for the
 * server
 * @property observedInterval exponentially smoothed time between the tokens of this stream
 * @property nextTokenDeadline time from which the stream is at risk unless a token arrives before
 */
public data class StreamMonitor(
    public val lastTokenAt: Timestamp,
    public val expectedInterval: Duration,
    public val observedInterval: Duration,
    public val nextTokenDeadline: Timestamp,
) {
    /** Returns the monitor updated for [tokens] tokens that arrived at [now]. */
    public fun received(now: Timestamp, tokens: Int = 1): StreamMonitor {
        if (tokens <= 0) return this
        val sample = (now - lastTokenAt) / tokens
        val smoothed = observedInterval + (sample - observedInterval) * SMOOTHING_FACTOR
        return copy(
            lastTokenAt = now,
            observedInterval = smoothed,
            nextTokenDeadline = now + tokenTimeout(expectedInterval),
        )
    }

    /** Returns whether the deadline for the next token has passed. */
    public fun isAtRisk(now: Timestamp): Boolean = now >= nextTokenDeadline

    /** Returns the time since the last token, a lower bound of the current token interval. */
    public fun timeSinceLastToken(now: Timestamp): Duration = now - lastTokenAt

    /**
     * Decides whether to resume the stream on another server.
     *
     * @param serverExcluded whether the current server is excluded as slow
     * @param remainingTokens output tokens that have not arrived yet
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

        serverExcluded && isResumeWorthwhile(now, remainingTokens, resumeCost) ->
            StreamAction.Resume(ResumeReason.SLOW_SERVER)

        else -> StreamAction.Continue
    }

    /** Returns whether the expected delay from the slowdown exceeds the cost of a resume. */
    private fun isResumeWorthwhile(now: Timestamp, remainingTokens: Int, resumeCost: Duration): Boolean {
        val interval = maxOf(observedInterval, timeSinceLastToken(now))
        if (interval <= expectedInterval * SLOW_INTERVAL_FACTOR) return false
        val delayOverRemainingTokens = (interval - expectedInterval) * remainingTokens
        val delayOverSlowdown = EXPECTED_REMAINING_SLOWDOWN * (1.0 - expectedInterval / interval)
        return minOf(delayOverRemainingTokens, delayOverSlowdown) > resumeCost * RESUME_COST_FACTOR
    }

    public companion object {
        private const val SMOOTHING_FACTOR = 0.3
        private const val SLOW_INTERVAL_FACTOR = 2.0
        private const val RESUME_COST_FACTOR = 1.5

        /** A server that is slowed down by a factor of five still produces a token within this many intervals. */
        private const val TIMEOUT_INTERVALS = 8

        private val MINIMUM_TOKEN_TIMEOUT: Duration = 200.milliseconds

        /** Slowdowns last 1 to 5 s; about 0.5 s has passed by the time one is detected. */
        private val EXPECTED_REMAINING_SLOWDOWN: Duration = 2.5.seconds

        private fun tokenTimeout(expectedInterval: Duration): Duration =
            maxOf(expectedInterval * TIMEOUT_INTERVALS, MINIMUM_TOKEN_TIMEOUT)

        /**
         * Creates the monitor of a stream that is requested at [now].
         *
         * @param firstTokenAfter predicted time until the first token
         */
        public fun start(
            now: Timestamp,
            expectedInterval: Duration,
            firstTokenAfter: Duration = Duration.ZERO,
        ): StreamMonitor {
            val deadline = now + firstTokenAfter + tokenTimeout(expectedInterval)
            return StreamMonitor(now, expectedInterval, expectedInterval, deadline)
        }
    }
}

/** Represents the action to take on a running stream. */
public sealed class StreamAction {
    /** Leaves the stream on its server. */
    public data object Continue : StreamAction()

    /** Resumes the stream on another server, from its prompt and the tokens received so far. */
    public data class Resume(public val reason: ResumeReason) : StreamAction()
}

/** Lists the reasons for resuming a stream on another server. */
public enum class ResumeReason {
    NO_TOKEN,
    SLOW_SERVER,
}
