/*
 * Decisions of the slot owner of a backend server about reservation requests.
 */
package org.arbutusnotch.core.reservation

import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.message.ReservationRefusal
import org.arbutusnotch.core.message.ReserveReply
import org.arbutusnotch.core.message.ServerSummary
import org.arbutusnotch.core.time.Timestamp

/** Describes the decision about the reservation of [attempt] on [server] for [holder]. */
public sealed class ReservationDecision {
    /** The requested backend server. */
    public abstract val server: BackendServerId

    /** The attempt that the reservation is for. */
    public abstract val attempt: AttemptId

    /** The instance that requested the reservation. */
    public abstract val holder: InstanceId

    /** The resources are reserved until [deadline], which a stream report extends. */
    public data class Granted(
        override val server: BackendServerId,
        override val attempt: AttemptId,
        override val holder: InstanceId,
        public val deadline: Timestamp,
        public val summary: ServerSummary,
    ) : ReservationDecision()

    /** Nothing is reserved; a retry on this server can succeed at [retryAt]. */
    public data class Refused(
        override val server: BackendServerId,
        override val attempt: AttemptId,
        override val holder: InstanceId,
        public val refusal: ReservationRefusal,
        public val retryAt: Timestamp,
        public val summary: ServerSummary? = null,
    ) : ReservationDecision()

    /** The request is queued; a later decision grants or refuses it, at its start deadline at the latest. */
    public data class Queued(
        override val server: BackendServerId,
        override val attempt: AttemptId,
        override val holder: InstanceId,
        public val predictedStart: Timestamp,
    ) : ReservationDecision()

    /** Returns the reply to send; null while the request is queued. */
    public fun toReply(): ReserveReply? = when (this) {
        is Granted -> ReserveReply.Granted(deadline, summary)
        is Refused -> ReserveReply.Refused(refusal, retryAt, summary)
        is Queued -> null
    }
}

/**
 * Describes the result of a stream report.
 *
 * @property summary current state of the server at its owner; null when this instance does not own it
 * @property decisions decisions about queued requests that result from the report
 */
public data class ReportResult(
    public val summary: ServerSummary?,
    public val decisions: List<ReservationDecision> = emptyList(),
)
