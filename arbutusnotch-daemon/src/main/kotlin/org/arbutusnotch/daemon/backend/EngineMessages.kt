/*
 * The requests and replies of the engine protocol.
 */
package org.arbutusnotch.daemon.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.time.Timestamp

/** Asks an engine to run the prefill of [prompt]. */
@Serializable
public data class PrefillRequest(
    public val attempt: AttemptId,
    public val instance: InstanceAddress,
    public val incarnation: Incarnation,
    public val model: ModelId,
    public val prompt: String,
    public val priority: Int,
    @SerialName("deadline_epoch_millis") public val deadline: Timestamp,
)

/**
 * Describes a finished prefill.
 *
 * @property handle identifies the result at the engine that holds it
 * @property cachedTokens number of prompt tokens found in the prefix cache of the engine
 * @property expiresAt time from which the engine may discard the result
 */
@Serializable
public data class PrefillResult(
    public val handle: String,
    @SerialName("prompt_tokens") public val promptTokens: Int,
    @SerialName("cached_tokens") public val cachedTokens: Int,
    @SerialName("expires_at_epoch_millis") public val expiresAt: Timestamp,
)

/**
 * Asks an engine to decode from the prefill result [handle] of [sourceServer].
 *
 * @property firstTokenIndex index of the first token to send; above 0 when a broken stream is resumed
 * @property maxTokens exclusive upper bound of the index of the last token
 */
@Serializable
public data class DecodeRequest(
    public val attempt: AttemptId,
    public val instance: InstanceAddress,
    public val incarnation: Incarnation,
    public val model: ModelId,
    @SerialName("source_server") public val sourceServer: BackendServerId,
    public val handle: String,
    @SerialName("first_token_index") public val firstTokenIndex: Int,
    @SerialName("max_tokens") public val maxTokens: Int,
    public val priority: Int,
    @SerialName("deadline_epoch_millis") public val deadline: Timestamp,
)

/** Describes an element of a decode stream. */
public sealed interface DecodeEvent {
    /** Carries the output token at [index]. */
    public data class Token(public val attempt: AttemptId, public val index: Int, public val text: String) : DecodeEvent

    /** Ends the stream of [attempt] after [tokens] tokens; nothing follows. */
    public data class End(public val attempt: AttemptId, public val tokens: Int) : DecodeEvent

    /** Ends the stream without its end marker; nothing follows. */
    public data class Failed(public val error: BackendError) : DecodeEvent
}

/**
 * Describes the memory that an engine has allocated for an attempt.
 *
 * @property kind kind of work that uses the memory, such as `prefill`, `prefill_result` or `decode`
 * @property blocks number of blocks of engine memory
 */
@Serializable
public data class EngineAllocation(
    public val attempt: AttemptId,
    public val instance: InstanceAddress,
    public val incarnation: Incarnation,
    public val kind: String,
    @SerialName("pieces") public val blocks: Int,
    @SerialName("deadline_epoch_millis") public val deadline: Timestamp,
)

/** Holds the load that an engine reported as of [asOf]; the report lags behind the actual load. */
@Serializable
public data class EngineLoad(
    @SerialName("as_of_epoch_millis") public val asOf: Timestamp,
    public val active: Int,
    public val waiting: Int,
    public val capacity: Int,
    @SerialName("queued_prefill_tokens") public val queuedPrefillTokens: Long = 0,
)

/** Lists the changes of a cached prefix. */
@Serializable
public enum class CacheEventKind {
    @SerialName("stored")
    STORED,

    @SerialName("evicted")
    EVICTED,
}

/** Reports that an engine stored or evicted a prefix; a gap in the sequence numbers means lost events. */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    public val kind: CacheEventKind,
    @SerialName("prefix_digest") public val prefixDigest: ContentDigest,
)

/** Holds [events] and [next], the sequence number to pass to the following read. */
@Serializable
public data class CacheEvents(public val next: Long, public val events: List<CacheEvent>)

/** Describes a command to an engine. */
public sealed interface EngineCommand {
    /** Loads [model]. */
    public data class LoadModel(public val model: ModelId) : EngineCommand

    /** Changes the role of the engine to [role], `prefill` or `decode`. */
    public data class SetRole(public val role: String) : EngineCommand
}

@Serializable
internal data class DecodeLine(
    val attempt: AttemptId,
    val index: Int? = null,
    val token: String? = null,
    val end: Boolean = false,
    val tokens: Int? = null,
) {
    /** Returns the event of this line; null when a key is missing. */
    fun toEvent(): DecodeEvent? = when {
        end && tokens != null -> DecodeEvent.End(attempt, tokens)
        !end && index != null && token != null -> DecodeEvent.Token(attempt, index, token)
        else -> null
    }
}

@Serializable
internal data class CancelRequest(val attempt: AttemptId)

@Serializable
internal data class CancelReply(val released: Boolean)

@Serializable
internal data class AllocationsReply(val held: List<EngineAllocation>)

@Serializable
internal data class CommandRequest(
    val kind: String,
    val model: ModelId? = null,
    val role: String? = null,
    val fencing: RevisionNumber,
)

@Serializable
internal data class CommandRefusal(val fencing: RevisionNumber)
