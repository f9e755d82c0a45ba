/*
 * The events and reasons that are counted, each with its label value in metrics.
 */
package org.arbutusnotch.daemon.telemetry

/** Lists the reasons for a retry on another backend server. */
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

/** Lists the events of an execution permit. */
public enum class PermitEvent(public val code: String) {
    GRANTED("granted"),
    ANSWER_REPEATED("answer_repeated"),
    DENIED("denied"),
    RETURNED("returned"),
    ANSWERED("answered"),
    UNKNOWN("unknown"),
}

/** Lists the decisions of a slot owner about a reservation. */
public enum class ReservationEvent(public val code: String) {
    GRANTED("granted"),
    QUEUED("queued"),
    REFUSED("refused"),
}

/** Lists the events of the quarantine of request digests. */
public enum class QuarantineEvent(public val code: String) {
    CRASH_RECORDED("crash_recorded"),
    REFUSED("refused"),
    CLEARED("cleared"),
}

/** Lists the events of a configuration revision. */
public enum class RevisionEvent(public val code: String) {
    CANDIDATE("candidate"),
    ACTIVATED("activated"),
    INVALID("invalid"),
    STALE("stale"),
    CONFLICT("conflict"),
}

/** Lists the reasons for dropping an output token. */
public enum class TokenDropReason(public val code: String) {
    OTHER_ATTEMPT("other_attempt"),
    OUT_OF_ORDER("out_of_order"),
}

/** Lists the reasons for cancelling an orphaned prefill result or decode stream at an engine. */
public enum class CancellationReason(public val code: String) {
    TERMINATED_INCARNATION("terminated_incarnation"),
    PAST_DEADLINE("past_deadline"),
    CALLER_GONE("caller_gone"),
    OTHER_ATTEMPT_FINISHED("other_attempt_finished"),
}
