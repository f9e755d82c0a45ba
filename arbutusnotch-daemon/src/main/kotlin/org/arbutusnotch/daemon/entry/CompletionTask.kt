/*
 * An admitted completion request with its deadlines, and the receiver of its output.
 */
package org.arbutusnotch.daemon.entry

import org.arbutusnotch.core.configuration.CallerIdentity
import org.arbutusnotch.core.configuration.LatencyTargets
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.time.Timestamp

/**
 * Describes a completion to run.
 *
 * @property digest digest of model, prompt and output length; identifies requests that crash engines
 * @property firstTokenDeadline deadline of the time-to-first-token target
 * @property deadline time after which the answer is no longer useful
 */
internal data class CompletionTask(
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

/** Receives the output tokens of a completion, each exactly once and in order. */
internal fun interface TokenSink {
    suspend fun emit(text: String)
}
