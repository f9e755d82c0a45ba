/*
 * The HTTP server for callers: authentication, client limits and routes.
 */
package org.arbutusnotch.daemon.entry

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import org.arbutusnotch.core.configuration.CallerDirectory
import org.arbutusnotch.core.configuration.CallerIdentity
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.membership.DrainState
import org.arbutusnotch.core.message.InstanceState
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.settings.LimitSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Describes an admitted request: its caller, its content and the configuration that applies to it. */
internal class AdmittedRequest(
    val id: RequestId,
    val caller: CallerIdentity,
    val directory: CallerDirectory,
    val request: AggregatedHttpRequest,
    val receivedAt: Timestamp,
)

/** Handles an admitted request. */
internal fun interface AdmittedHandler {
    /** Returns the response; throws [RefusedException] when the request is refused before it runs. */
    suspend fun handle(context: ServiceRequestContext, admitted: AdmittedRequest): HttpResponse
}

/** Refuses a request before it runs; [outcome] is reported to the caller. */
internal class RefusedException(val outcome: RequestOutcome.NotRun, message: String, cause: Throwable? = null) :
    Exception(message, cause)

/** Serves requests with the components of [entry]; [limits] bound the headers and bodies that are accepted. */
internal class EntryServer(
    private val entry: EntryContext,
    private val limits: LimitSettings,
    private val scope: CoroutineScope,
) {
    private val completions = CompletionEndpoint(entry, limits)
    private val calls = PlainCallEndpoint(entry)
    private val responder = RefusalResponder(entry)

    /** Adds the routes for callers and their limits to [builder]. */
    fun addTo(builder: ServerBuilder): ServerBuilder = builder
        .maxRequestLength(limits.bodyBytes.toLong())
        .http1MaxHeaderSize(limits.headerBytes)
        .http2MaxHeaderListSize(limits.headerBytes.toLong())
        .requestTimeoutMillis(0)
        .route().post("/v1/completions").build(withAdmission(completions))
        .route().post("/v1/services/{service}/{operation}").build(withAdmission(calls))
        .route().get("/v1/entry-points").build(HttpService { context, request -> entryPoints(context, request) })
        .service("prefix:/", HttpService { context, _ -> unknownPath(context) })

    private fun withAdmission(handler: AdmittedHandler): HttpService = HttpService { context, request ->
        respond { id, receivedAt -> admit(context, request, id, receivedAt, handler) }
    }

    /** Runs [handle] with a new request id and cancels it when the caller disconnects. */
    private fun respond(handle: suspend (RequestId, Timestamp) -> HttpResponse): HttpResponse {
        val receivedAt = entry.clock.now()
        val running = scope.future {
            val id = entry.loop.run {
                lastWorkAt = receivedAt
                nextRequestId()
            }
            try {
                handle(id, receivedAt)
            } catch (refused: RefusedException) {
                responder.refuse(id, refused.outcome, refused.message.orEmpty())
            }
        }
        val response = HttpResponse.of(running)
        response.whenComplete().whenComplete { _, failure -> if (failure != null) running.cancel(true) }
        return response
    }

    private suspend fun admit(
        context: ServiceRequestContext,
        request: HttpRequest,
        id: RequestId,
        receivedAt: Timestamp,
        handler: AdmittedHandler,
    ): HttpResponse {
        val directory = activeDirectory()
        val caller = directory.authenticate(request.headers())
            ?: throw refused(RefusalReason.UNAUTHENTICATED, "the authorization header carries no known bearer key")
        val withinLimit = entry.loop.run { clientLimits.tryStart(caller.client, caller.concurrentRequests) }
        if (!withinLimit) {
            throw refused(
                RefusalReason.CLIENT_LIMIT,
                "client ${caller.client} has ${caller.concurrentRequests} running requests on this instance",
                retryAt = entry.clock.now() + RETRY_DELAY,
            )
        }
        val release = ClientLimitRelease(entry, caller.client)
        try {
            val body = receiveBody(request)
            val response = handler.handle(context, AdmittedRequest(id, caller, directory, body, receivedAt))
            response.whenComplete().whenComplete { _, _ -> release.release() }
            release.releasedByResponse = true
            return response
        } finally {
            if (!release.releasedByResponse) release.release()
        }
    }

    private suspend fun activeDirectory(): CallerDirectory {
        val (state, directory, drain) = entry.loop.run { Triple(instances.ownRow.state, directory, drain) }
        if (drain.leaving && drain !is DrainState.LeavingLists) {
            throw refused(RefusalReason.DRAINING, "the instance is shutting down; ask for a new list of entry points")
        }
        if (directory == null || state == InstanceState.STARTING) {
            val message = "the instance has no active configuration yet"
            throw refused(RefusalReason.NO_CONFIGURATION, message, entry.clock.now() + RETRY_DELAY)
        }
        return directory
    }

    private suspend fun receiveBody(request: HttpRequest): AggregatedHttpRequest = try {
        withTimeoutOrNull(limits.bodyTimeout) { request.aggregate().await() }
            ?: run {
                request.abort()
                throw refused(RefusalReason.BODY_TIMEOUT, "the body was not received within ${limits.bodyTimeout}")
            }
    } catch (_: ContentTooLargeException) {
        throw refused(RefusalReason.REQUEST_TOO_LARGE, "the body has more than ${limits.bodyBytes} bytes")
    }

    private fun entryPoints(context: ServiceRequestContext, request: HttpRequest): HttpResponse = respond { id, _ ->
        val caller = request.headers().get(HttpHeaderNames.AUTHORIZATION)
            ?: context.remoteAddress().address.hostAddress
        val reply = entry.loop.run { entryPoints(caller, entry.clock.now()) }
        val headers = ResponseHeaders.builder(HttpStatus.OK)
            .contentType(MediaType.JSON_UTF_8)
            .add(REQUEST_ID_HEADER, id.value)
            .build()
        HttpResponse.of(headers, HttpData.ofUtf8(entryJson.encodeToString(reply)))
    }

    private fun unknownPath(context: ServiceRequestContext): HttpResponse = respond { _, _ ->
        throw refused(RefusalReason.UNKNOWN_ROUTE, "no route for ${context.method()} ${context.path()}")
    }

    private companion object {
        val RETRY_DELAY: Duration = 1.seconds
    }
}

/** Creates the exception that refuses a request before it runs. */
internal fun refused(reason: RefusalReason, message: String, retryAt: Timestamp? = null): RefusedException =
    RefusedException(RequestOutcome.NotRun(reason, retryAt), message)
