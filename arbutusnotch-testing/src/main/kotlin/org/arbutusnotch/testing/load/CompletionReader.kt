/*
 * Reads a streamed completion on the event loop of its connection, so that times between tokens do not include the
 * scheduling of other threads.
 */
package org.arbutusnotch.testing.load

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import org.arbutusnotch.testing.http.wireJson
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.CompletableFuture

/** Represents the JSON body of a refusal. */
@Serializable
internal data class RefusalBody(val error: RefusalDetail)

/** Represents the details of a refusal. */
@Serializable
internal data class RefusalDetail(
    val reason: String,
    val outcome: String,
    val message: String = "",
    val retryAtEpochMillis: Long? = null,
    val issuerPrefix: String? = null,
)

@Serializable
internal data class CompletionChunk(val choices: List<CompletionChoice> = emptyList(), val error: RefusalDetail? = null)

@Serializable
internal data class CompletionChoice(val text: String, val finishReason: String? = null)

/**
 * Holds the received part of one response.
 *
 * @property tokenNanos monotonic arrival time of each token, in nanoseconds
 * @property done whether the end marker arrived
 * @property failure why the connection failed; null when the response ended normally
 */
internal class ReceivedResponse(
    val status: Int?,
    val text: String,
    val tokenNanos: List<Long>,
    val finishReason: String?,
    val done: Boolean,
    val refusal: RefusalDetail?,
    val failure: Throwable?,
)

/** Reads a response that is either a completion, streamed or as one JSON body, or a refusal. */
internal class CompletionReader : Subscriber<HttpObject> {
    val received: CompletableFuture<ReceivedResponse> = CompletableFuture()

    private val text = StringBuilder()
    private val line = StringBuilder()
    private val tokenNanos = mutableListOf<Long>()
    private var headers: ResponseHeaders? = null
    private var finishReason: String? = null
    private var refusal: RefusalDetail? = null
    private var done = false

    fun read(response: HttpResponse): CompletableFuture<ReceivedResponse> {
        response.subscribe(this)
        return received
    }

    override fun onSubscribe(subscription: Subscription): Unit = subscription.request(Long.MAX_VALUE)

    override fun onNext(item: HttpObject) {
        when (item) {
            is ResponseHeaders -> if (!item.status().isInformational) headers = item
            is HttpData -> appendContent(item.toStringUtf8())
        }
    }

    override fun onError(failure: Throwable): Unit = finish(failure)

    override fun onComplete(): Unit = finish(null)

    private fun finish(failure: Throwable?) {
        if (line.isNotEmpty()) processLine(line.toString())
        received.complete(
            ReceivedResponse(
                headers?.status()?.code(),
                text.toString(),
                tokenNanos,
                finishReason,
                done,
                refusal,
                failure,
            ),
        )
    }

    private fun appendContent(content: String) {
        line.append(content)
        var end = line.indexOf("\n")
        while (end >= 0) {
            processLine(line.substring(0, end))
            line.delete(0, end + 1)
            end = line.indexOf("\n")
        }
    }

    private fun processLine(text: String) {
        val data = text.removePrefix("data:").trim()
        when {
            data.isEmpty() -> Unit
            data == "[DONE]" -> done = true
            else -> processChunk(data)
        }
    }

    private fun processChunk(data: String) {
        val chunk = try {
            wireJson.decodeFromString<CompletionChunk>(data)
        } catch (_: SerializationException) {
            // Data that is not a chunk is appended, so that the text differs from the expected one.
            text.append(data)
            return
        }
        chunk.error?.let { refusal = it }
        chunk.choices.forEach { choice ->
            if (choice.text.isNotEmpty()) tokenNanos += System.nanoTime()
            text.append(choice.text)
            choice.finishReason?.let { finishReason = it }
        }
    }
}
