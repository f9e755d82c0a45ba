/*
 * The requests, results and transfers of an engine. Their state changes only on the engine's thread.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.CompletableFuture

/** Represents a prefill request that is queued or running. */
internal class PrefillJob(
    val call: PrefillCall,
    val arrivalNumber: Long,
    val promptDigest: String,
    val prefixDigests: List<String>,
    val reply: CompletableFuture<HttpResponse>,
) {
    val promptTokens: Int = ExpectedOutput.promptTokens(call.prompt)
    var cachedTokens: Int = 0
    var isRunning: Boolean = false

    val computedTokens: Int get() = promptTokens - cachedTokens
    val usedBlocks: Int get() = if (isRunning) ExpectedOutput.blocks(promptTokens) else 0

    fun toHeldRecord(): HeldRecord = HeldRecord(
        attempt = call.attempt,
        instance = call.instance,
        incarnation = call.incarnation,
        kind = "prefill",
        pieces = usedBlocks,
        deadlineEpochMillis = call.deadlineEpochMillis,
    )
}

/** Represents the KV cache of a finished prefill, which is kept until it is transferred or expires. */
internal class PrefillResult(
    val handle: String,
    val job: PrefillJob,
    val expiresAtNanos: Long,
    val expiresAtEpochMillis: Long,
) {
    /** Number of transfers in progress; the result does not expire while there is one. */
    var activeTransferCount: Int = 0

    val blockCount: Int = ExpectedOutput.blocks(job.promptTokens)

    fun toHeldRecord(): HeldRecord = job.toHeldRecord().copy(
        kind = "prefill_result",
        pieces = blockCount,
        deadlineEpochMillis = expiresAtEpochMillis,
    )
}

/** Represents the transfer of a result to another engine. */
internal class Transfer(val result: PrefillResult, val reply: CompletableFuture<HttpResponse>)

/** Names the phase of a decode request. */
internal enum class DecodePhase { WAITING, IMPORTING, RUNNING }

/** Represents a decode request that waits for a slot, imports its KV cache or generates tokens. */
internal class DecodeJob(val call: DecodeCall, val arrivalNumber: Long, val reply: CompletableFuture<HttpResponse>) {
    var phase: DecodePhase = DecodePhase.WAITING
    var promptDigest: String = ""
    var promptTokens: Int = 0
    var nextTokenIndex: Int = call.firstTokenIndex
    var streamWriter: HttpResponseWriter? = null
    var importResponse: HttpResponse? = null

    val sentTokenCount: Int get() = nextTokenIndex - call.firstTokenIndex
    val usedBlocks: Int
        get() = if (phase == DecodePhase.RUNNING) ExpectedOutput.blocks(promptTokens + nextTokenIndex) else 0

    fun toHeldRecord(): HeldRecord = HeldRecord(
        attempt = call.attempt,
        instance = call.instance,
        incarnation = call.incarnation,
        kind = "decode",
        pieces = usedBlocks,
        deadlineEpochMillis = call.deadlineEpochMillis,
    )

    fun writeToken(attempt: String, token: String) {
        streamWriter?.tryWrite(
            HttpData.ofUtf8(wireJson.encodeToString(TokenLine(attempt, nextTokenIndex, token)) + "\n"),
        )
    }

    fun writeEnd() {
        streamWriter?.tryWrite(
            HttpData.ofUtf8(wireJson.encodeToString(EndLine(call.attempt, true, nextTokenIndex)) + "\n"),
        )
        streamWriter?.close()
    }
}
