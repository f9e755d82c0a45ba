/*
 * Result of one request as its caller observed it.
 */
package org.arbutusnotch.testing.load

import kotlin.time.Duration

/**
 * Classifies how a request ended for its caller.
 *
 * @property code name in reports
 */
public enum class ObservedOutcome(public val code: String) {
    /** The answer was complete and every byte was correct. */
    ANSWERED("answered"),

    /** The answer ended as complete but contained wrong bytes. */
    WRONG_ANSWER("wrong_answer"),

    /** The last refusal stated that the request did not run. */
    NOT_RUN("not_run"),

    /** The last refusal stated that the request may have run. */
    UNKNOWN("unknown"),

    /** The last attempt ended without a complete answer or a refusal. */
    BROKEN("broken"),
}

/**
 * Records one request as its caller observed it. Times count from the scheduled arrival, so that latencies include the
 * delay of a request that was sent late.
 *
 * @property reason refusal reason, or why the answer was wrong or incomplete; empty when answered
 * @property attempts number of attempts
 * @property entryAddress entry address of the last attempt
 * @property total time to the end of the last attempt
 * @property timeToFirstToken time to the first token of the final answer; null when there is none or it is not streamed
 * @property tokenIntervals times between the tokens of the final answer
 * @property idempotencyToken token of a non-idempotent call; null for other requests
 */
public class RequestRecord(
    public val scheduled: ScheduledRequest,
    public val outcome: ObservedOutcome,
    public val reason: String,
    public val attempts: Int,
    public val entryAddress: String,
    public val total: Duration,
    public val timeToFirstToken: Duration? = null,
    public val tokenIntervals: List<Duration> = emptyList(),
    public val idempotencyToken: String? = null,
) {
    /** Request that was sent. */
    public val request: PlannedRequest get() = scheduled.request

    /** Mean time between tokens; zero for an answer of at most one token. */
    public val meanTokenInterval: Duration
        get() = if (tokenIntervals.isEmpty()) {
            Duration.ZERO
        } else {
            tokenIntervals.fold(Duration.ZERO, Duration::plus) / tokenIntervals.size
        }
}
