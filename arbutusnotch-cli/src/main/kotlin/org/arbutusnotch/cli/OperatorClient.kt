/*
 * Requests to the operator port, and to the entry port for the entry points that callers fetch.
 */
package org.arbutusnotch.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import kotlinx.coroutines.future.await
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.decodeFromJsonElement
import java.util.concurrent.CompletionException
import kotlin.time.Duration

/** Describes why an instance returned no usable response. */
internal sealed class InstanceError {
    abstract val address: String
    abstract val exitCode: ExitCode

    /** No complete response arrived in time. */
    data class Unreachable(override val address: String, val cause: String) : InstanceError() {
        override val exitCode: ExitCode = ExitCode.UNREACHABLE

        override fun toString(): String = "$address: unreachable: $cause"
    }

    /** The instance responded with an error status. */
    data class Refused(override val address: String, val status: Int, val body: String) : InstanceError() {
        override val exitCode: ExitCode = ExitCode.FAILED

        override fun toString(): String = "$address: refused with status $status: $body"
    }

    /** The response is not valid for the operator port of an instance. */
    data class Unreadable(override val address: String, val cause: String) : InstanceError() {
        override val exitCode: ExitCode = ExitCode.FAILED

        override fun toString(): String = "$address: unreadable response: $cause"
    }
}

/** Sends requests to instances and waits up to [timeout] for each response. */
internal class OperatorClient(timeout: Duration) : AutoCloseable {
    private val factory = ClientFactory.builder().connectTimeoutMillis(timeout.inWholeMilliseconds).build()
    private val client = WebClient.builder()
        .factory(factory)
        .responseTimeoutMillis(timeout.inWholeMilliseconds)
        .maxResponseLength(MAXIMUM_RESPONSE_BYTES)
        .build()

    suspend fun status(address: String): Result<InstanceStatus, InstanceError> =
        get(address, "/operator/status").andThen { json ->
            decode(address) { OPERATOR_JSON.decodeFromJsonElement<InstanceStatus>(json) }
        }

    suspend fun get(address: String, path: String): Result<JsonElement, InstanceError> =
        send(HttpMethod.GET, address, path)

    suspend fun post(address: String, path: String): Result<JsonElement, InstanceError> =
        send(HttpMethod.POST, address, path)

    suspend fun delete(address: String, path: String): Result<JsonElement, InstanceError> =
        send(HttpMethod.DELETE, address, path)

    private suspend fun send(method: HttpMethod, address: String, path: String): Result<JsonElement, InstanceError> {
        val response = client.execute(HttpRequest.of(method, "$PLAIN_HTTP://$address$path")).aggregate()
        return response.handle { received, failure -> result(address, received, failure) }.await()
    }

    private fun result(
        address: String,
        response: AggregatedHttpResponse?,
        failure: Throwable?,
    ): Result<JsonElement, InstanceError> = when {
        response == null -> Err(InstanceError.Unreachable(address, describe(failure)))
        response.status().isSuccess -> parse(address, response.contentUtf8())
        else -> Err(InstanceError.Refused(address, response.status().code(), response.contentUtf8().trim()))
    }

    /** Parses a response body; an empty body, such as that of a drain request, is an empty object. */
    private fun parse(address: String, body: String): Result<JsonElement, InstanceError> =
        decode(address) { OPERATOR_JSON.parseToJsonElement(body.ifBlank { "{}" }) }

    private inline fun <T> decode(address: String, decoder: () -> T): Result<T, InstanceError> = try {
        Ok(decoder())
    } catch (exception: SerializationException) {
        Err(InstanceError.Unreadable(address, exception.message.orEmpty().lineSequence().first()))
    }

    override fun close() {
        factory.closeAsync()
    }

    private companion object {
        const val PLAIN_HTTP = "h1c"
        const val MAXIMUM_RESPONSE_BYTES = 64L * 1024 * 1024
    }
}

/** Describes the innermost cause, because the outer exceptions say only that a request failed. */
private fun describe(failure: Throwable?): String {
    val root = generateSequence(failure) { it.cause }.last { it !is CompletionException }
    return listOfNotNull(root.javaClass.simpleName, root.message).joinToString(": ")
}
