/*
 * What a caller saw of one request.
 */
package org.arbutusnotch.testing.load

import kotlin.time.Duration

/** Names how a request ended for its caller. */
public enum class ObservedOutcome(public val code: String) {
    /** The answer was whole and every byte was right. */
    ANSWERED("answered"),

    /** The answer claimed to be whole and had wrong bytes. */
    WRONG_ANSWER("wrong_answer"),

    /** The last refusal said that nothing ran. */
    NOT_RUN("not_run"),

    /** The last refusal said that the request may have run. */
    UNKNOWN("unknown"),

    /** No attempt brought an answer or a refusal. */
    BROKEN("broken"),
}

/**
 * Describes one request as its caller saw it. Times count from the scheduled arrival, so that a late send does not hide
 * waiting time.
 *
 * @property reason refusal reason, or why the answer was wrong or broken; empty when answered
 * @property entry entry address that gave the last answer
 * @property firstToken time to the first token of the answer that counts
 * @property gaps times between its tokens
 * @property idempotencyToken token of a non-idempotent call
 */
public class RequestRecord(
    public val scheduled: ScheduledRequest,
    public val outcome: ObservedOutcome,
    public val reason: String,
    public val attempts: Int,
    public val entry: String,
    public val total: Duration,
    public val firstToken: Duration? = null,
    public val gaps: List<Duration> = emptyList(),
    public val idempotencyToken: String? = null,
) {
    /** Request that was sent. */
    public val request: PlannedRequest get() = scheduled.request

    /** Mean time between tokens; zero for an answer of one token. */
    public val meanGap: Duration
        get() = if (gaps.isEmpty()) Duration.ZERO else gaps.fold(Duration.ZERO, Duration::plus) / gaps.size
}
