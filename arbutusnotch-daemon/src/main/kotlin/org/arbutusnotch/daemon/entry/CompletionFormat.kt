/*
 * The JSON format of `POST /v1/completions`, compatible with clients of the OpenAI completions API.
 */
package org.arbutusnotch.daemon.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.arbutusnotch.core.id.RequestId

internal val entryJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/** Holds the fields of a completion request that the router uses; other keys are ignored. */
@Serializable
internal data class CompletionBody(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int = DEFAULT_MAX_TOKENS,
    val stream: Boolean = false,
)

/** Holds one chunk of a streamed completion, or a completion that is not streamed. */
@Serializable
internal data class CompletionChunk(
    val id: String,
    @SerialName("object") val kind: String = "text_completion",
    val model: String,
    val choices: List<CompletionChoice>,
)

/** Holds the text of a [CompletionChunk]. */
@Serializable
internal data class CompletionChoice(
    val index: Int = 0,
    val text: String,
    @SerialName("finish_reason") val finishReason: String?,
)

/** Builds the chunk that carries [text] of the completion [request]. */
internal fun completionChunk(request: RequestId, model: String, text: String, finishReason: String? = null): String =
    chunkJson.encodeToString(
        CompletionChunk(
            id = request.value,
            kind = "text_completion",
            model = model,
            choices = listOf(CompletionChoice(index = 0, text = text, finishReason = finishReason)),
        ),
    )

/** Frames [data] as one server-sent event. */
internal fun serverSentEvent(data: String): String = "data: $data\n\n"

/** Marks the end of a complete stream; a stream without it is incomplete. */
internal const val END_OF_STREAM: String = "[DONE]"

/** Finish reason of an output that ended because `max_tokens` tokens were generated. */
internal const val FINISH_LENGTH: String = "length"

private const val DEFAULT_MAX_TOKENS = 16

private val chunkJson = Json { encodeDefaults = true }
