/*
 * HTTP client for the engine protocol.
 */
package org.arbutusnotch.daemon.backend

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpHeaders
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.onCompletion
import kotlinx.coroutines.flow.transformWhile
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.time.Timestamp

/**
 * Sends requests to engines.
 *
 * A call ends by its deadline. Cancelling its coroutine closes its connection.
 */
public class EngineClient(
    factory: ClientFactory,
    private val clock: () -> Timestamp = { Timestamp(System.currentTimeMillis()) },
) {
    private val http = BackendHttp(factory, clock)

    /** Runs a prefill on [server] and returns when it has finished, or fails at the deadline of [request]. */
    public suspend fun prefill(server: BackendServerId, request: PrefillRequest): Result<PrefillResult, BackendError> {
        val call = post(server, "/engine/prefill", PrefillRequest.serializer(), request, request.deadline)
        return exchange(call, PrefillResult.serializer())
    }

    /**
     * Returns the stream of a decode on [server]; the request is sent when the flow is collected.
     *
     * The last element is [DecodeEvent.End] or [DecodeEvent.Failed]. Stopping collection early closes the stream.
     */
    public fun decode(server: BackendServerId, request: DecodeRequest): Flow<DecodeEvent> = flow {
        val call = post(server, "/engine/decode", DecodeRequest.serializer(), request, request.deadline)
        val started = http.start(call.copy(maximumResponseBytes = 0))
        if (started == null) {
            emit(DecodeEvent.Failed(BackendError.TimedOut(mayHaveBeenReceived = false)))
        } else {
            emitAll(decodeEvents(started))
        }
    }

    /** Cancels [attempt] and releases its memory; returns whether the engine had allocated any. */
    public suspend fun cancel(
        server: BackendServerId,
        attempt: AttemptId,
        deadline: Timestamp,
    ): Result<Boolean, BackendError> {
        val call = post(server, "/engine/cancel", CancelRequest.serializer(), CancelRequest(attempt), deadline)
        return exchange(call, CancelReply.serializer()).map { it.released }
    }

    /** Returns the memory that [server] has allocated, by attempt. */
    public suspend fun allocations(
        server: BackendServerId,
        deadline: Timestamp,
    ): Result<List<EngineAllocation>, BackendError> =
        exchange(get(server, "/engine/held", deadline), AllocationsReply.serializer()).map { it.held }

    /** Returns the load that [server] reports. */
    public suspend fun load(server: BackendServerId, deadline: Timestamp): Result<EngineLoad, BackendError> =
        exchange(get(server, "/engine/load", deadline), EngineLoad.serializer())

    /** Returns the cache events of [server] after the sequence number [after]. */
    public suspend fun cacheEvents(
        server: BackendServerId,
        after: Long,
        deadline: Timestamp,
    ): Result<CacheEvents, BackendError> =
        exchange(get(server, "/engine/cache-events?after=$after", deadline), CacheEvents.serializer())

    /** Sends [command] to [server] with [fencingNumber]. */
    public suspend fun sendCommand(
        server: BackendServerId,
        command: EngineCommand,
        fencingNumber: RevisionNumber,
        deadline: Timestamp,
    ): Result<Unit, BackendError> {
        val body = when (command) {
            is EngineCommand.LoadModel -> CommandRequest("load_model", model = command.model, fencing = fencingNumber)
            is EngineCommand.SetRole -> CommandRequest("set_role", role = command.role, fencing = fencingNumber)
        }
        val call = post(server, "/engine/orders", CommandRequest.serializer(), body, deadline)
        return http.exchange(call).andThen(::commandResult)
    }

    private fun commandResult(response: AggregatedHttpResponse): Result<Unit, BackendError> {
        if (response.status() == HttpStatus.CONFLICT) {
            val refusal = decodeJsonOrNull(CommandRefusal.serializer(), response.contentUtf8())
            return Err(BackendError.FencingRefused(refusal?.fencing))
        }
        val error = statusError(response.status(), response.headers(), response.contentUtf8(), clock())
        return if (error == null) Ok(Unit) else Err(error)
    }

    private fun decodeEvents(started: StartedCall): Flow<DecodeEvent> {
        val reader = DecodeStreamReader(clock)
        return started.response.asFlow(isComplete = { reader.isComplete })
            .transformWhile { element ->
                reader.read(element).forEach { emit(it) }
                !reader.isFinished
            }
            .onCompletion { cause -> if (cause == null) reader.endOfStream()?.let { emit(it) } }
            .catch { failure -> emit(DecodeEvent.Failed(started.classify(failure))) }
    }

    private suspend fun <T> exchange(call: BackendCall, reply: DeserializationStrategy<T>): Result<T, BackendError> =
        http.exchange(call).andThen { response ->
            val body = response.contentUtf8()
            val error = statusError(response.status(), response.headers(), body, clock())
            if (error != null) Err(error) else decodeReply(reply, body)
        }

    private fun <T> decodeReply(reply: DeserializationStrategy<T>, body: String): Result<T, BackendError> {
        val value = decodeJsonOrNull(reply, body)
        return if (value == null) Err(BackendError.Malformed(body.take(MAXIMUM_DETAIL_CHARACTERS))) else Ok(value)
    }

    private fun get(server: BackendServerId, path: String, deadline: Timestamp) =
        BackendCall(server, HttpMethod.GET, path, deadline)

    private fun <T> post(
        server: BackendServerId,
        path: String,
        serializer: SerializationStrategy<T>,
        body: T,
        deadline: Timestamp,
    ) = BackendCall(
        server = server,
        method = HttpMethod.POST,
        path = path,
        deadline = deadline,
        headers = JSON_HEADERS,
        body = HttpData.ofUtf8(protocolJson.encodeToString(serializer, body)),
    )

    private companion object {
        val JSON_HEADERS: HttpHeaders = HttpHeaders.of(HttpHeaderNames.CONTENT_TYPE, MediaType.JSON_UTF_8)
    }
}

/** Reads and writes the JSON of backend servers and the platform; unknown keys of later versions are ignored. */
internal val protocolJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/** Decodes [text] as a value of [type]; returns null when it is not valid JSON of that type. */
internal fun <T> decodeJsonOrNull(type: DeserializationStrategy<T>, text: String): T? = try {
    protocolJson.decodeFromString(type, text)
} catch (_: IllegalArgumentException) {
    null
}
