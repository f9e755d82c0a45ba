/*
 * The messages that instances exchange. They are plain data classes; the peer module encodes them as CBOR.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.core.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.arbutusnotch.core.forwarding.StorePosition
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ClientId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.WorkspaceId
import org.arbutusnotch.core.time.Timestamp

/** Marks the messages that instances exchange. */
@Serializable
public sealed interface PeerMessage

/** Names the lifecycle state that an instance announces in its gossip row. */
@Serializable
public enum class InstanceState {
    STARTING,
    SERVING,
    DRAINING,
}

/** Identifies a configuration revision by its number and the digest of its content. */
@Serializable
public data class RevisionMark(
    @SerialName("r") public val revision: RevisionNumber,
    @SerialName("d") public val digest: ContentDigest,
)

/**
 * Describes one instance in gossip.
 *
 * @property heartbeat counter that only the described instance raises
 * @property version counter that only the described instance raises, whenever it changes another property
 * @property active the revision that is active on the instance
 * @property candidate the revision that the instance has read but not activated yet
 * @property conflicted the highest revision for which the instance has seen two different contents
 * @property capacity processor capacity of the instance in cores; 0 when unknown
 */
@Serializable
public data class InstanceRow(
    @SerialName("i") public val instance: InstanceId,
    @SerialName("e") public val entryAddress: String,
    @SerialName("o") public val operatorAddress: String,
    @SerialName("f") public val failureDomain: FailureDomainId,
    @SerialName("s") public val state: InstanceState,
    @SerialName("h") public val heartbeat: Long,
    @SerialName("v") public val version: Long = 0,
    @SerialName("r") public val active: RevisionMark? = null,
    @SerialName("c") public val candidate: RevisionMark? = null,
    @SerialName("x") public val conflicted: RevisionNumber? = null,
    @SerialName("w") public val capacity: Double = 0.0,
)

/**
 * Forwards the heartbeat of an instance whose row the receiver is expected to have. It shows that the instance runs,
 * whatever version of the row the receiver has. Its state and active revision are those of [version], so that a change
 * of them spreads as fast as heartbeats; a receiver that has another incarnation ignores the heartbeat.
 *
 * @property state state of the instance; null from instances of earlier versions
 * @property active the revision that is active on the instance
 */
@Serializable
public data class HeartbeatRow(
    @SerialName("a") public val address: InstanceAddress,
    @SerialName("n") public val incarnation: Incarnation,
    @SerialName("v") public val version: Long,
    @SerialName("h") public val heartbeat: Long,
    @SerialName("s") public val state: InstanceState? = null,
    @SerialName("r") public val active: RevisionMark? = null,
)

/**
 * Summarizes what the owner of a backend server knows about it.
 *
 * @property tokenIntervalMicros measured time in microseconds: between tokens of a decode server, for 1,000 uncached
 * prompt tokens of a prefill server, or for a call of a service server; 0 when there is no measurement
 * @property queuedWork reserved prefill tokens that are not finished, or reservations that wait for a slot
 * @property excluded whether the owner has excluded the server because it is slow
 * @property measuredAt time of the owner's measurement; of two summaries of a server the later one is used
 */
@Serializable
public data class ServerSummary(
    @SerialName("s") public val server: BackendServerId,
    @SerialName("f") public val freeSlots: Int,
    @SerialName("q") public val queuedWork: Int,
    @SerialName("t") public val tokenIntervalMicros: Long,
    @SerialName("x") public val excluded: Boolean,
    @SerialName("m") public val measuredAt: Timestamp,
)

/**
 * Reports that a request with [digest] was running on [server] when the server crashed at [crashedAt]. The digest is
 * that of the request's content or of a part of its prompt.
 *
 * @property reporter the instance that observed the crash; only it may rerun the request after a first crash
 * @property withdrawn whether the report was retracted because a later run completed or an operator cleared it
 * @property startedAt start time of the server process that crashed, in epoch milliseconds; 0 when unknown
 * @property runBegunAt start of the run that the crash interrupted, the latest one if there were several; null when
 * unknown
 * @property runContent content of the request of that run, in a report about a part of its prompt
 * @property answeredBefore whether some instance knows of an answer to a request with [digest] before the crash
 */
@Serializable
public data class QuarantineEntry(
    @SerialName("d") public val digest: ContentDigest,
    @SerialName("s") public val server: BackendServerId,
    @SerialName("c") public val crashedAt: Timestamp,
    @SerialName("r") public val reporter: InstanceAddress? = null,
    @SerialName("w") public val withdrawn: Boolean = false,
    @SerialName("a") public val startedAt: Long = 0,
    @SerialName("b") public val runBegunAt: Timestamp? = null,
    @SerialName("k") public val answeredBefore: Boolean = false,
    @SerialName("n") public val runContent: ContentDigest? = null,
)

/**
 * Carries the latest rows, server summaries and crash reports that the sender knows.
 *
 * @property highestFence highest fencing number of an order that the sender knows of; 0 when there is none
 * @property latestServerChange latest change of the published servers that the sender knows; null when it knows none,
 * and from instances of earlier versions
 * @property heardServerChange latest change of the published servers that peers have named to the sender and that it
 * does not have; null when there is none, and from instances of earlier versions
 * @property question what the sender asks the receiver to answer; null for nothing
 * @property wantedRows instances whose rows the sender asks for, since it has heard of them only by their heartbeats
 * @property suspected instances that have recently not answered the sender; a receiver asks them itself
 */
@Serializable
@SerialName("gossip")
public data class Gossip(
    public val sender: InstanceId,
    public val rows: List<InstanceRow>,
    public val heartbeats: List<HeartbeatRow> = emptyList(),
    public val summaries: List<ServerSummary> = emptyList(),
    public val quarantined: List<QuarantineEntry> = emptyList(),
    public val highestFence: Long = 0,
    public val latestServerChange: StorePosition? = null,
    public val heardServerChange: StorePosition? = null,
    public val question: GossipQuestion? = null,
    public val wantedRows: List<InstanceAddress> = emptyList(),
    public val suspected: List<InstanceId> = emptyList(),
) : PeerMessage

/** Names what the sender of a [Gossip] message asks its receiver to answer. */
@Serializable
public enum class GossipQuestion {
    /** Whether the receiver runs: it answers with its own row. */
    RUNNING,

    /** Which instances the receiver reaches: it answers with all their rows. */
    ALL_ROWS,
}

/** Acknowledges a message that has no other reply. */
@Serializable
@SerialName("ack")
public data object Acknowledged : PeerMessage

/** Requests the content of the receiver's active or candidate revision. */
@Serializable
@SerialName("config-fetch")
public data class ConfigurationFetch(public val mark: RevisionMark) : PeerMessage

/** Replies to [ConfigurationFetch]; [bytes] is null when the replying instance does not have the revision. */
@Serializable
@SerialName("config-content")
public class ConfigurationContent(public val mark: RevisionMark, @ByteString public val bytes: ByteArray?) :
    PeerMessage

/** Identifies a non-idempotent request; the same token in another workspace identifies a different request. */
@Serializable
public data class TokenKey(public val client: ClientId, public val workspace: WorkspaceId, public val token: String)

/**
 * Requests the execution permit from the issuer of a token.
 *
 * @property holder instance that asks for the permit
 * @property permitDeadline time until which the permit is requested
 */
@Serializable
@SerialName("permit")
public data class PermitRequest(
    public val key: TokenKey,
    public val requestDigest: ContentDigest,
    public val holder: InstanceId,
    public val attempt: AttemptId,
    public val permitDeadline: Timestamp,
) : PeerMessage

/** Replies to [PermitRequest]. */
@Serializable
public sealed interface PermitReply : PeerMessage {
    /** The requesting instance may run the request until [deadline]. */
    @Serializable
    @SerialName("permit-granted")
    public data class Granted(public val permit: Long, public val deadline: Timestamp) : PermitReply

    /** Another attempt holds the permit, until [deadline] at the latest. */
    @Serializable
    @SerialName("permit-running")
    public data class Running(public val deadline: Timestamp) : PermitReply

    /** The request has already run; [answer] is its recorded answer. */
    @Serializable
    @SerialName("permit-answered")
    public data class Answered(public val answer: RecordedAnswer) : PermitReply

    /**
     * The permit is denied. The same request can get another reply later if [denial] is [PermitDenial.TABLE_FULL],
     * [PermitDenial.LIFETIME_TOO_LONG] or [PermitDenial.OUTCOME_UNKNOWN] (after a late [PermitClose]); a request with a
     * later permit deadline can succeed after [PermitDenial.DEADLINE_PASSED]. Any other denial is final.
     */
    @Serializable
    @SerialName("permit-denied")
    public data class Denied(public val denial: PermitDenial) : PermitReply
}

/** Names why an issuer denies a permit. */
@Serializable
public enum class PermitDenial {
    MALFORMED,
    OTHER_ISSUER,
    EXPIRED,
    LIFETIME_TOO_LONG,
    TABLE_FULL,
    REQUEST_DIFFERS,
    OUTCOME_UNKNOWN,
    ANSWER_NOT_RETAINED,

    /** The requested permit deadline has already passed; no permit of the token has been used. */
    DEADLINE_PASSED,
}

/** Holds the answer of a plain service, which is replayed to a caller that repeats its request. */
@Serializable
public class RecordedAnswer(
    public val status: Int,
    public val contentType: String,
    @ByteString public val body: ByteArray,
)

/** Reports how a permit ended. */
@Serializable
@SerialName("permit-close")
public data class PermitClose(
    public val key: TokenKey,
    public val attempt: AttemptId,
    public val permit: Long,
    public val result: PermitResult,
) : PeerMessage

/** Names how a permit ended. */
@Serializable
public sealed interface PermitResult {
    /** No byte was written to a backend server, so the permit can be granted again. */
    @Serializable
    @SerialName("handed-back")
    public data object HandedBack : PermitResult

    /** The request ran and [answer] is complete. */
    @Serializable
    @SerialName("answered")
    public data class Answered(public val answer: RecordedAnswer) : PermitResult

    /** The request may have run. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : PermitResult
}

/** Names the resource of a backend server that is reserved. */
@Serializable
public enum class ReservationKind {
    DECODE,
    PREFILL,
    SERVICE,
}

/**
 * Requests a reservation from the owner of [server].
 *
 * @property work uncached prompt tokens for [ReservationKind.PREFILL], expected output tokens for
 * [ReservationKind.DECODE], 1 for [ReservationKind.SERVICE]
 * @property startDeadline latest time at which a reservation is still useful
 * @property lastResort whether the entry has no other usable server; the owner then grants the reservation even if it
 * has excluded the server
 */
@Serializable
@SerialName("reserve")
public data class ReserveRequest(
    public val server: BackendServerId,
    public val kind: ReservationKind,
    public val attempt: AttemptId,
    public val holder: InstanceId,
    public val priority: Int,
    public val work: Int,
    public val startDeadline: Timestamp,
    public val revision: RevisionNumber,
    public val lastResort: Boolean = false,
) : PeerMessage

/** Replies to [ReserveRequest]. */
@Serializable
public sealed interface ReserveReply : PeerMessage {
    /** The resource is reserved until [deadline], which each [StreamReport] extends. */
    @Serializable
    @SerialName("reserve-granted")
    public data class Granted(public val deadline: Timestamp, public val summary: ServerSummary) : ReserveReply

    /** Nothing is reserved; a retry on this server may succeed from [retryAt]. */
    @Serializable
    @SerialName("reserve-refused")
    public data class Refused(
        public val refusal: ReservationRefusal,
        public val retryAt: Timestamp,
        public val summary: ServerSummary? = null,
    ) : ReserveReply
}

/** Names why a reservation is refused. */
@Serializable
public enum class ReservationRefusal {
    NO_CAPACITY,
    LEAVING,
    EXCLUDED,
    UNKNOWN_SERVER,
    NOT_OWNER,
    DEADLINE_TOO_CLOSE,
}

/** Releases a reservation. */
@Serializable
@SerialName("release")
public data class ReleaseRequest(public val server: BackendServerId, public val attempt: AttemptId) : PeerMessage

/**
 * Describes the progress of one attempt since the last report.
 *
 * @property tokens output tokens that a decode received, uncached prompt tokens that a prefill processed, or 1 for a
 * service call
 * @property elapsedMicros time in microseconds that these tokens took
 * @property work amount of work as in [ReserveRequest.work]
 */
@Serializable
public data class AttemptProgress(
    @SerialName("a") public val attempt: AttemptId,
    @SerialName("k") public val kind: ReservationKind,
    @SerialName("t") public val tokens: Int,
    @SerialName("e") public val elapsedMicros: Long,
    @SerialName("p") public val priority: Int,
    @SerialName("w") public val work: Int,
    @SerialName("d") public val finished: Boolean = false,
)

/** Reports to the owner of [server] which attempts of [holder] run there, and renews their reservations. */
@Serializable
@SerialName("stream-report")
public data class StreamReport(
    public val server: BackendServerId,
    public val holder: InstanceId,
    public val attempts: List<AttemptProgress>,
) : PeerMessage

/** Replies to [StreamReport] with the owner's summary of the server; null when it has none. */
@Serializable
@SerialName("stream-report-reply")
public data class StreamReportReply(public val summary: ServerSummary?) : PeerMessage

/** Describes an instance in the platform's published list. */
public data class PublishedInstance(
    public val address: InstanceAddress,
    public val entryAddress: String,
    public val operatorAddress: String,
    public val failureDomain: FailureDomainId,
    public val leaving: Boolean,
)
