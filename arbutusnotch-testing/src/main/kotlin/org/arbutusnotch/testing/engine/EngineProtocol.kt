/*
 * Messages of the engine protocol and of the engine emulator's management calls.
 */
package org.arbutusnotch.testing.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Names the kind of requests that an engine serves. */
public enum class EngineRole(public val code: String) {
    PREFILL("prefill"),
    DECODE("decode"),
    BOTH("both"),
}

/** Requests the prefill of [prompt]. */
@Serializable
public data class PrefillCall(
    public val attempt: String,
    public val instance: String = "",
    public val incarnation: Long = 0,
    public val model: String,
    public val prompt: String,
    public val priority: Int = 0,
    public val deadlineEpochMillis: Long = Long.MAX_VALUE,
)

/** Answers [PrefillCall]. */
@Serializable
public data class PrefillReply(
    public val handle: String,
    public val promptTokens: Int,
    public val cachedTokens: Int,
    public val expiresAtEpochMillis: Long,
)

/**
 * Requests the output tokens [firstTokenIndex] to [maxTokens] - 1 of the prompt behind [handle].
 *
 * @property maxTokens length of the complete output in tokens, including those before [firstTokenIndex]
 */
@Serializable
public data class DecodeCall(
    public val attempt: String,
    public val instance: String = "",
    public val incarnation: Long = 0,
    public val model: String,
    public val sourceServer: String,
    public val handle: String,
    public val firstTokenIndex: Int = 0,
    public val maxTokens: Int,
    public val priority: Int = 0,
    public val deadlineEpochMillis: Long = Long.MAX_VALUE,
)

/** Represents a line of a decode stream that carries a token. */
@Serializable
public data class TokenLine(public val attempt: String, public val index: Int, public val token: String)

/**
 * Represents the last line of a complete decode stream.
 *
 * @property tokens length of the complete output in tokens, including those before the first token of this stream
 */
@Serializable
public data class EndLine(public val attempt: String, public val end: Boolean, public val tokens: Int)

/** Describes the prompt behind an exported handle. */
@Serializable
public data class KvDescription(public val promptDigest: String, public val promptTokens: Int)

/** Requests the cancellation of the work of [attempt] and the release of its memory. */
@Serializable
public data class CancelCall(public val attempt: String)

/** Answers [CancelCall]; [released] is false when the attempt had no work and no memory. */
@Serializable
public data class CancelReply(public val released: Boolean)

/**
 * Describes a request or prefill result of an attempt and the memory that it holds.
 *
 * @property kind `prefill` (queued or running), `prefill_result` or `decode`
 * @property pieces number of memory blocks
 */
@Serializable
public data class HeldRecord(
    public val attempt: String,
    public val instance: String,
    public val incarnation: Long,
    public val kind: String,
    public val pieces: Int,
    public val deadlineEpochMillis: Long,
)

/** Answers `GET /engine/held`. */
@Serializable
public data class HeldReport(public val held: List<HeldRecord>)

/** Answers `GET /engine/load` and `GET /service/load`. */
@Serializable
public data class LoadReport(
    public val asOfEpochMillis: Long,
    public val active: Int,
    public val waiting: Int,
    public val capacity: Int,
    public val queuedPrefillTokens: Long = 0,
)

/** Describes a change of the prefix cache; [kind] is `stored` or `evicted`. */
@Serializable
public data class CacheEvent(public val sequence: Long, public val kind: String, public val prefixDigest: String)

/** Answers `GET /engine/cache-events`. */
@Serializable
public data class CacheEvents(public val next: Long, public val events: List<CacheEvent>)

/** Holds an operator's order that the router forwards, such as `load_model` or `set_role`. */
@Serializable
public data class OrderCall(
    public val kind: String,
    public val model: String? = null,
    public val role: String? = null,
    public val fencing: Long = 0,
)

/** Answers [OrderCall] with the highest fencing number that the engine has seen. */
@Serializable
public data class OrderReply(public val fencing: Long)

/** Represents a fault to inject into an engine; the body of `POST /emulator/faults`. */
@Serializable
public sealed interface EngineFault {
    /** Multiplies the duration of steps, prefills and transfers by [factor] for [durationMillis]. */
    @Serializable
    @SerialName("slow")
    public data class Slow(public val factor: Double, public val durationMillis: Long) : EngineFault

    /** Halts the process immediately. */
    @Serializable
    @SerialName("crash")
    public data object Crash : EngineFault

    /**
     * Halts the process [afterMillis] after a prefill whose prompt contains [marker], or a decode of the prompt with
     * [promptDigest], started.
     */
    @Serializable
    @SerialName("crash_on_prompt")
    public data class CrashOnPrompt(
        public val marker: String? = null,
        public val promptDigest: String? = null,
        public val afterMillis: Long = 10,
    ) : EngineFault

    /** Delays the start of the next [count] KV cache exports by [durationMillis]. */
    @Serializable
    @SerialName("stall_transfer")
    public data class StallTransfer(public val durationMillis: Long, public val count: Int = 1) : EngineFault

    /**
     * Breaks the next [count] decode streams after [afterTokens] tokens; with [keepRunning] the engine continues to
     * generate tokens and to hold memory until the attempt is cancelled.
     */
    @Serializable
    @SerialName("drop_streams")
    public data class DropStreams(
        public val afterTokens: Int = 1,
        public val count: Int = 1,
        public val keepRunning: Boolean = false,
    ) : EngineFault

    /** Delays every prefill reply and the start of every decode stream by [delayMillis] for [durationMillis]. */
    @Serializable
    @SerialName("delay_answers")
    public data class DelayAnswers(public val delayMillis: Long, public val durationMillis: Long) : EngineFault

    /** Sends a token line with the id of another attempt before each of the next [count] tokens. */
    @Serializable
    @SerialName("foreign_token")
    public data class ForeignToken(public val count: Int = 1) : EngineFault

    /** Reports this load instead of the actual load for [durationMillis]. */
    @Serializable
    @SerialName("wrong_load")
    public data class WrongLoad(
        public val active: Int,
        public val waiting: Int,
        public val queuedPrefillTokens: Long = 0,
        public val durationMillis: Long,
    ) : EngineFault

    /** Refuses every prefill and decode request with [status] for [durationMillis]. */
    @Serializable
    @SerialName("refuse")
    public data class Refuse(public val durationMillis: Long, public val status: Int = 503) : EngineFault

    /** Ends all active faults. */
    @Serializable
    @SerialName("clear")
    public data object Clear : EngineFault
}

/** Counts the prefills and decodes that were started for one prompt. */
@Serializable
public data class PromptRuns(public val promptDigest: String, public val prefills: Int, public val decodes: Int)

/** Describes a prefill or decode request that the engine accepted. */
@Serializable
public data class AcceptedWork(public val attempt: String, public val kind: String, public val epochMillis: Long)

/**
 * Answers `GET /emulator/statistics`.
 *
 * @property prefillTokensComputed prompt tokens that were computed because they were not in the prefix cache
 * @property prefillTokensWasted computed prompt tokens whose prefill was stopped or whose result was never transferred
 * @property accepted the most recently accepted requests, oldest first
 */
@Serializable
public data class EngineStatistics(
    public val server: String,
    public val role: String,
    public val runs: List<PromptRuns>,
    public val prefillTokensComputed: Long,
    public val prefillTokensCached: Long,
    public val prefillTokensWasted: Long,
    public val prefillResults: Long,
    public val prefillResultsUsed: Long,
    public val prefillResultsWasted: Long,
    public val tokensGenerated: Long,
    public val streamsCompleted: Long,
    public val refusals: Long,
    public val foreignTokensSent: Long,
    public val blocksHeld: Int,
    public val accepted: List<AcceptedWork>,
)
