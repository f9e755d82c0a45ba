/*
 * One completion as the entry runs it.
 */
package org.arbutusnotch.daemon.entry

import org.arbutusnotch.core.configuration.CallerIdentity
import org.arbutusnotch.core.configuration.LatencyTargets
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.time.Timestamp

/**
 * Describes a completion.
 *
 * @property digest digest of model, prompt and output length, by which requests that crash engines are recognized
 * @property firstTokenDeadline time at which the target for the first token ends
 * @property deadline time at which the answer is of no more use
 */
internal data class CompletionWork(
    val id: RequestId,
    val caller: CallerIdentity,
    val model: ModelId,
    val prompt: String,
    val promptTokens: Int,
    val prefixDigests: List<ContentDigest>,
    val maxTokens: Int,
    val digest: ContentDigest,
    val targets: LatencyTargets,
    val receivedAt: Timestamp,
    val firstTokenDeadline: Timestamp,
    val deadline: Timestamp,
)

/** Receives the output tokens of a completion, each once and in order. */
internal fun interface TokenSink {
    suspend fun token(text: String)
}
