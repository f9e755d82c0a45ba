/*
 * The HTTP interface for operators.
 */
package org.arbutusnotch.daemon.operator

import com.github.michaelbull.result.fold
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.QueryParams
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.future.future
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.arbutusnotch.core.id.ModelId
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome
import kotlin.time.Duration.Companion.seconds

/**
 * Adds the routes of the operator interface, backed by [view], to this server.
 *
 * The interface has no authentication and must be bound to the loopback interface or the management network.
 */
public fun ServerBuilder.operatorServices(view: OperatorView): ServerBuilder {
    val routes = OperatorRoutes(view)
    route().get("/health").build(routes.health())
    route().get("/ready").build(routes.ready())
    route().get("/metrics").build(routes.metrics())
    route().get("/operator/status").build(routes.status())
    route().get("/operator/explain").build(routes.explain())
    route().post("/operator/drain").build(routes.drain())
    route().path("/operator/quarantine").methods(HttpMethod.GET, HttpMethod.DELETE).build(routes.quarantine())
    route().get("/operator/counters").build(routes.counters())
    return this
}

private class OperatorRoutes(private val view: OperatorView) {
    fun health(): HttpService = service { healthResponse(view.isHealthy(), "healthy") }

    fun ready(): HttpService = service { healthResponse(view.isReady(), "ready") }

    fun metrics(): HttpService = service { HttpResponse.of(HttpStatus.OK, PROMETHEUS_TEXT, view.metrics()) }

    fun status(): HttpService = service { jsonResponse(StatusReply.serializer(), view.status()) }

    fun explain(): HttpService = service { context ->
        val query = explainQuery(context.queryParams())
        if (query == null) {
            errorResponse(
                RefusalReason.MALFORMED_REQUEST,
                "expected model, prompt_tokens and priority, or service and operation",
            )
        } else {
            view.explain(query).fold(
                success = { jsonResponse(ExplainReply.serializer(), it) },
                failure = { errorResponse(it, "the request would be refused") },
            )
        }
    }

    fun drain(): HttpService = service {
        view.drain()
        jsonResponse(DrainReply.serializer(), DrainReply("draining"), HttpStatus.ACCEPTED)
    }

    fun quarantine(): HttpService = service { context ->
        if (context.method() == HttpMethod.DELETE) {
            jsonResponse(QuarantineClearedReply.serializer(), QuarantineClearedReply(view.clearQuarantine()))
        } else {
            jsonResponse(QuarantineReply.serializer(), QuarantineReply(view.quarantine()))
        }
    }

    fun counters(): HttpService = service {
        jsonResponse(COUNTERS_SERIALIZER, view.counters().associate { it.name to it.value })
    }

    private fun healthResponse(condition: Boolean, name: String): HttpResponse {
        val status = if (condition) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE
        return jsonResponse(HealthReply.serializer(), HealthReply(if (condition) name else "not $name"), status)
    }

    private fun explainQuery(params: QueryParams): ExplainQuery? {
        val model = params.get("model")
        val service = params.get("service")
        return when {
            model != null && service == null -> completionQuery(model, params)
            model == null && service != null -> params.get("operation")?.let { ExplainQuery.Service(service, it) }
            else -> null
        }
    }

    private fun completionQuery(model: String, params: QueryParams): ExplainQuery? {
        val promptTokens = params.get("prompt_tokens")?.toIntOrNull()?.takeIf { it > 0 } ?: return null
        val priority = (params.get("priority") ?: "0").toIntOrNull()?.takeIf { it in PRIORITY_RANGE } ?: return null
        return ExplainQuery.Completion(ModelId(model), promptTokens, priority)
    }
}

/** Runs [handler] on the event loop of the request; responds with 503 when it takes longer than [VIEW_TIMEOUT]. */
private fun service(handler: suspend (ServiceRequestContext) -> HttpResponse): HttpService = HttpService { context, _ ->
    val scope = CoroutineScope(context.eventLoop().asCoroutineDispatcher())
    HttpResponse.of(
        scope.future {
            withTimeoutOrNull(VIEW_TIMEOUT) { handler(context) }
                ?: errorResponse(RefusalReason.INSTANCE_PAUSED, "the instance did not answer within $VIEW_TIMEOUT")
        },
    )
}

private fun errorResponse(reason: RefusalReason, message: String): HttpResponse {
    val detail = ErrorDetail(reason.code, RequestOutcome.NotRun(reason).code, message)
    return jsonResponse(ErrorReply.serializer(), ErrorReply(detail), HttpStatus.valueOf(reason.httpStatus))
}

private fun <T> jsonResponse(
    serializer: SerializationStrategy<T>,
    value: T,
    status: HttpStatus = HttpStatus.OK,
): HttpResponse = HttpResponse.of(status, MediaType.JSON_UTF_8, operatorJson.encodeToString(serializer, value))

private val operatorJson = Json { encodeDefaults = true }
private val COUNTERS_SERIALIZER = MapSerializer(String.serializer(), Double.serializer())
private val PROMETHEUS_TEXT = MediaType.parse("text/plain; version=0.0.4; charset=utf-8")
private val VIEW_TIMEOUT = 2.seconds
private val PRIORITY_RANGE = 0..9
