/*
 * The things that are counted, each with the name that it has in metrics.
 */
package org.arbutusnotch.daemon.telemetry

/** Names why work was started again on another backend server. */
public enum class RetryReason(public val code: String) {
    NOT_CONNECTED("not_connected"),
    SERVER_FULL("server_full"),
    SERVER_FAILED("server_failed"),
    HANDLE_GONE("handle_gone"),
    STREAM_BROKEN("stream_broken"),
    TRANSFER_STALLED("transfer_stalled"),
    PREFILL_LATE("prefill_late"),
    STREAM_MIGRATED("stream_migrated"),
}

/** Names what happened to an execution permit. */
public enum class PermitEvent(public val code: String) {
    GRANTED("granted"),
    ANSWER_REPEATED("answer_repeated"),
    DENIED("denied"),
    RETURNED("returned"),
    ANSWERED("answered"),
    UNKNOWN("unknown"),
}

/** Names what happened to a reservation at its owner. */
public enum class ReservationEvent(public val code: String) {
    GRANTED("granted"),
    QUEUED("queued"),
    REFUSED("refused"),
}

/** Names what happened to a quarantined request digest. */
public enum class QuarantineEvent(public val code: String) {
    CRASH_RECORDED("crash_recorded"),
    REFUSED("refused"),
    CLEARED("cleared"),
}

/** Names what happened to a configuration revision. */
public enum class RevisionEvent(public val code: String) {
    CANDIDATE("candidate"),
    ACTIVATED("activated"),
    INVALID("invalid"),
    STALE("stale"),
    CONFLICT("conflict"),
}

/** Names why an output token was dropped. */
public enum class TokenDrop(public val code: String) {
    OTHER_ATTEMPT("other_attempt"),
    OUT_OF_ORDER("out_of_order"),
}

/** Names what an instance cancelled at an engine because nobody waits for it. */
public enum class HeldCancellation(public val code: String) {
    TERMINATED_INCARNATION("terminated_incarnation"),
    PAST_DEADLINE("past_deadline"),
    CALLER_GONE("caller_gone"),
    OTHER_ATTEMPT_FINISHED("other_attempt_finished"),
}
