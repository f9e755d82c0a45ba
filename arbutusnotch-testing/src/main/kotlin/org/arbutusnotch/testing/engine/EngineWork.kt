/*
 * The work that an engine holds memory for. Records change only on the engine's thread.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpResponseWriter
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.CompletableFuture

/** Is a prefill that waits or runs. */
internal class PrefillJob(
    val call: PrefillCall,
    val arrival: Long,
    val promptDigest: String,
    val prefixDigests: List<String>,
    val reply: CompletableFuture<HttpResponse>,
) {
    val promptTokens: Int = ExpectedOutput.promptTokens(call.prompt)
    var cachedTokens: Int = 0
    var isRunning: Boolean = false

    val computedTokens: Int get() = promptTokens - cachedTokens
    val blocks: Int get() = if (isRunning) ExpectedOutput.blocks(promptTokens) else 0

    fun held(): HeldRecord = HeldRecord(
        attempt = call.attempt,
        instance = call.instance,
        incarnation = call.incarnation,
        kind = "prefill",
        pieces = blocks,
        deadlineEpochMillis = call.deadlineEpochMillis,
    )
}

/** Is the KV cache of a finished prefill, kept until it is transferred or expires. */
internal class PrefillResult(
    val handle: String,
    val job: PrefillJob,
    val expiresAtNanos: Long,
    val expiresAtEpochMillis: Long,
) {
    /** Transfers that run now; the result does not expire meanwhile. */
    var transfers: Int = 0

    val blocks: Int = ExpectedOutput.blocks(job.promptTokens)

    fun held(): HeldRecord = job.held().copy(
        kind = "prefill_result",
        pieces = blocks,
        deadlineEpochMillis = expiresAtEpochMillis,
    )
}

/** Is the export of a result over the link to another engine. */
internal class Transfer(val result: PrefillResult, val reply: CompletableFuture<HttpResponse>)

/** Names how far a decode request has come. */
internal enum class DecodePhase { WAITING, IMPORTING, RUNNING }

/** Is a decode request that waits for a slot, imports its KV cache or generates tokens. */
internal class DecodeJob(val call: DecodeCall, val arrival: Long, val reply: CompletableFuture<HttpResponse>) {
    var phase: DecodePhase = DecodePhase.WAITING
    var promptDigest: String = ""
    var promptTokens: Int = 0
    var nextIndex: Int = call.firstTokenIndex
    var writer: HttpResponseWriter? = null
    var import: HttpResponse? = null

    val sentTokens: Int get() = nextIndex - call.firstTokenIndex
    val blocks: Int get() = if (phase == DecodePhase.RUNNING) ExpectedOutput.blocks(promptTokens + nextIndex) else 0

    fun held(): HeldRecord = HeldRecord(
        attempt = call.attempt,
        instance = call.instance,
        incarnation = call.incarnation,
        kind = "decode",
        pieces = blocks,
        deadlineEpochMillis = call.deadlineEpochMillis,
    )

    fun writeToken(attempt: String, token: String) {
        writer?.tryWrite(HttpData.ofUtf8(wireJson.encodeToString(TokenLine(attempt, nextIndex, token)) + "\n"))
    }

    fun writeEnd() {
        writer?.tryWrite(HttpData.ofUtf8(wireJson.encodeToString(EndLine(call.attempt, true, nextIndex)) + "\n"))
        writer?.close()
    }
}
