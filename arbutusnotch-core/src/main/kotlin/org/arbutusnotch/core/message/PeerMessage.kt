/*
 * The messages between instances. They are plain data; the peer module encodes them as CBOR.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.arbutusnotch.core.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
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

/** Is implemented by every message that instances exchange. */
@Serializable
public sealed interface PeerMessage

/** Names the state of an instance in its own gossip row. */
@Serializable
public enum class InstanceState {
    STARTING,
    SERVING,
    DRAINING,
}

/** Names a configuration revision with the digest of its content. */
@Serializable
public data class RevisionMark(
    @SerialName("r") public val revision: RevisionNumber,
    @SerialName("d") public val digest: ContentDigest,
)

/**
 * Describes one instance in gossip.
 *
 * @property heartbeat counter that only the described instance raises
 * @property version counter that only the described instance raises, with each change of another property
 * @property inForce the revision that the instance routes by
 * @property candidate the revision that the instance has read and not yet put in force
 * @property conflicted the highest revision for which the instance knows two different contents
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
    @SerialName("r") public val inForce: RevisionMark? = null,
    @SerialName("c") public val candidate: RevisionMark? = null,
    @SerialName("x") public val conflicted: RevisionNumber? = null,
)

/**
 * Passes on the heartbeat of an instance whose row the receiver is expected to have. A receiver with another
 * incarnation or version of the row ignores it and waits for the row itself.
 */
@Serializable
public data class HeartbeatRow(
    @SerialName("a") public val address: InstanceAddress,
    @SerialName("n") public val incarnation: Incarnation,
    @SerialName("v") public val version: Long,
    @SerialName("h") public val heartbeat: Long,
)

/**
 * Summarizes what the owner of a backend server knows of it.
 *
 * @property tokenIntervalMicros observed time between tokens of a decode server, observed time for 1,000 uncached
 * prompt tokens of a prefill server, or observed call time of a service server; 0 when nothing was observed
 * @property queuedWork reserved and unfinished prefill tokens, or reservations that wait for a slot
 * @property measuredAt time of the owner's observation; the later summary of a server wins
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
 * Reports that a request with [digest] was running on [server] when the server crashed at [crashedAt].
 *
 * @property reporter the instance that saw the crash; it alone may run the request again after a first crash
 * @property withdrawn whether the report no longer counts: a later run completed, or an operator cleared it
 * @property startedAt start of the server's process that crashed, in epoch milliseconds; 0 when it is not known
 */
@Serializable
public data class QuarantineEntry(
    @SerialName("d") public val digest: ContentDigest,
    @SerialName("s") public val server: BackendServerId,
    @SerialName("c") public val crashedAt: Timestamp,
    @SerialName("r") public val reporter: InstanceAddress? = null,
    @SerialName("w") public val withdrawn: Boolean = false,
    @SerialName("a") public val startedAt: Long = 0,
)

/**
 * Carries the newest rows, server summaries and crash reports that the sender knows.
 *
 * @property highestFence highest number of an order to a server that the sender knows of; 0 when there is none
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
) : PeerMessage

/** Acknowledges a message that has no other reply. */
@Serializable
@SerialName("ack")
public data object Acknowledged : PeerMessage

/** Asks for the bytes of the revision that the receiver has in force or as candidate. */
@Serializable
@SerialName("config-fetch")
public data class ConfigurationFetch(public val mark: RevisionMark) : PeerMessage

/** Answers [ConfigurationFetch]; [bytes] is null when the receiver does not have the revision. */
@Serializable
@SerialName("config-content")
public class ConfigurationContent(public val mark: RevisionMark, @ByteString public val bytes: ByteArray?) :
    PeerMessage

/** Identifies a non-idempotent request: the same token of another workspace is another request. */
@Serializable
public data class TokenKey(public val client: ClientId, public val workspace: WorkspaceId, public val token: String)

/** Asks the issuer of a token for the execution permit. */
@Serializable
@SerialName("permit")
public data class PermitRequest(
    public val key: TokenKey,
    public val requestDigest: ContentDigest,
    public val holder: InstanceId,
    public val attempt: AttemptId,
    public val permitDeadline: Timestamp,
) : PeerMessage

/** Answers [PermitRequest]. */
@Serializable
public sealed interface PermitReply : PeerMessage {
    /** The caller of the issuer may run the request until [deadline]. */
    @Serializable
    @SerialName("permit-granted")
    public data class Granted(public val permit: Long, public val deadline: Timestamp) : PermitReply

    /** Another holder runs the request until [deadline] at the latest. */
    @Serializable
    @SerialName("permit-running")
    public data class Running(public val deadline: Timestamp) : PermitReply

    /** The request ran and this is its answer. */
    @Serializable
    @SerialName("permit-answered")
    public data class Answered(public val answer: RecordedAnswer) : PermitReply

    /** No permit is given, now or later, unless the reason is [PermitDenial.TABLE_FULL]. */
    @Serializable
    @SerialName("permit-denied")
    public data class Denied(public val denial: PermitDenial) : PermitReply
}

/** Names why an issuer gives no permit. */
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

    /** The requested permit would already have ended; no permit of the token was used so far. */
    DEADLINE_PASSED,
}

/** Holds the answer of a plain service, as it is given to a caller that repeats its request. */
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
    /** No byte was written to a backend server; the permit can be given again. */
    @Serializable
    @SerialName("handed-back")
    public data object HandedBack : PermitResult

    /** The request ran and [answer] is whole. */
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
 * Asks the owner of [server] for a reservation.
 *
 * @property work uncached prompt tokens for [ReservationKind.PREFILL], expected output tokens for
 * [ReservationKind.DECODE], 1 for [ReservationKind.SERVICE]
 * @property startDeadline latest time at which the reservation must start to be of use
 * @property lastResort whether the entry knows no other server; an owner then grants although it excludes the server
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

/** Answers [ReserveRequest]. */
@Serializable
public sealed interface ReserveReply : PeerMessage {
    /** Resources are held until [deadline], which a [StreamReport] extends. */
    @Serializable
    @SerialName("reserve-granted")
    public data class Granted(public val deadline: Timestamp, public val summary: ServerSummary) : ReserveReply

    /** Nothing is held; another try on this server can succeed at [retryAt]. */
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

/** Gives back a reservation. */
@Serializable
@SerialName("release")
public data class ReleaseRequest(public val server: BackendServerId, public val attempt: AttemptId) : PeerMessage

/**
 * Describes the progress of one attempt since the last report.
 *
 * @property tokens output tokens received; for a prefill the uncached prompt tokens finished; for a service call 1
 * @property elapsedMicros time that these took
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

/** Tells the owner of [server] which attempts of [holder] run there, and renews their reservations. */
@Serializable
@SerialName("stream-report")
public data class StreamReport(
    public val server: BackendServerId,
    public val holder: InstanceId,
    public val attempts: List<AttemptProgress>,
) : PeerMessage

/** Answers [StreamReport] with what the owner knows of the server. */
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
