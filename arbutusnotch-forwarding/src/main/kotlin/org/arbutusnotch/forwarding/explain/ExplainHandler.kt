/*
 * Answers where a request would go now, without sending, counting or reserving anything.
 *
 * The instance that is asked finds the route; the dispatcher of each pool of the route explains its own decision.
 */
package org.arbutusnotch.forwarding.explain

import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.arbutusnotch.core.dispatch.PlaceExplanation
import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.RouteKind
import org.arbutusnotch.core.forwarding.RouteTable
import org.arbutusnotch.core.forwarding.RouteTarget
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.message.DispatchRequest
import org.arbutusnotch.core.message.DispatchWork
import org.arbutusnotch.core.workspace.Workspace
import org.arbutusnotch.forwarding.exchange.waitingTime
import org.arbutusnotch.forwarding.http.DisconnectListener
import org.arbutusnotch.forwarding.http.HeaderField
import org.arbutusnotch.forwarding.http.HttpRequestMessage
import org.arbutusnotch.forwarding.http.RequestHandler
import org.arbutusnotch.forwarding.http.Responder
import org.arbutusnotch.forwarding.http.ResponseHead

/**
 * Handles `GET /explain`, with the parameters `host`, `path`, `prompt_tokens`, `output_tokens`, `priority` and
 * `workspace`, and the requests that other instances send to this one as a dispatcher.
 *
 * @param dispatcherOf returns the instance that dispatches a pool
 * @param explainPlace explains the decision of the dispatcher in this instance
 * @param askDispatcher sends a JSON body to an instance and passes on its response; null if there is none
 */
internal class ExplainHandler(
    private val self: InstanceId,
    private val domain: FailureDomainId,
    private val routes: () -> RouteTable?,
    private val dispatcherOf: (PoolId) -> InstanceAddress,
    private val explainPlace: (DispatchRequest) -> PlaceExplanation,
    private val askDispatcher: (InstanceAddress, ByteArray, (ByteArray?) -> Unit) -> Unit,
) : RequestHandler {
    override fun handle(request: HttpRequestMessage, responder: Responder): DisconnectListener? {
        if (request.head.path == PLACE_PATH) handlePlace(request, responder) else handleRequest(request, responder)
        return null
    }

    private fun handlePlace(request: HttpRequestMessage, responder: Responder) {
        val place = decode(DispatchRequest.serializer(), request.body.toByteArray())
        if (place == null) {
            responder.send(ResponseHead(BAD_REQUEST, "Bad Request", emptyList()), ByteArray(0))
        } else {
            val description = PlaceDescription.of(explainPlace(place))
            responder.sendJson(json.encodeToString(PlaceDescription.serializer(), description))
        }
    }

    private fun handleRequest(request: HttpRequestMessage, responder: Responder) {
        val parameters = QueryStringDecoder(request.head.target).parameters().mapValues { it.value.first() }
        val table = routes()
        val route = table?.find(parameters["host"].orEmpty(), parameters["path"].orEmpty())
        val workspace = table?.workspaces?.find { it.id.value == parameters["workspace"] }
        val base = RequestExplanation(self.address.value, table?.revision?.value)
        when {
            table == null -> responder.sendExplanation(base.copy(refusal = "no_configuration"))

            route == null -> responder.sendExplanation(base.copy(refusal = "unknown_route"))

            route.requiresKey && table.workspaces != null && workspace == null ->
                responder.sendExplanation(base.copy(refusal = "unauthenticated", route = describe(route, table)))

            else -> {
                val described = base.copy(
                    route = describe(route, table),
                    workspace = workspace?.let { WorkspaceDescription.of(it) },
                )
                explainPools(route, parameters, workspace) { responder.sendExplanation(described.copy(pools = it)) }
            }
        }
    }

    /** A key is needed only if there are workspaces. */
    private fun describe(route: Route, table: RouteTable) =
        RouteDescription.of(route, requiresKey = route.requiresKey && table.workspaces != null)

    private fun explainPools(
        route: Route,
        parameters: Map<String, String>,
        workspace: Workspace?,
        onExplained: (List<PoolDescription>) -> Unit,
    ) {
        val targets = route.targets
        if (targets.isEmpty()) return onExplained(emptyList())
        val descriptions = arrayOfNulls<PoolDescription>(targets.size)
        var missing = targets.size
        targets.forEachIndexed { index, target ->
            val request = placeRequest(route, target, parameters, workspace)
            val dispatcher = dispatcherOf(target.pool)
            explainPlace(dispatcher, request) { place ->
                descriptions[index] = PoolDescription(target.pool.value, target.weight, dispatcher.value, place)
                missing -= 1
                if (missing == 0) onExplained(descriptions.filterNotNull())
            }
        }
    }

    private fun explainPlace(
        dispatcher: InstanceAddress,
        request: DispatchRequest,
        onExplained: (PlaceDescription?) -> Unit,
    ) {
        if (dispatcher == self.address) return onExplained(PlaceDescription.of(explainPlace(request)))
        val body = json.encodeToString(DispatchRequest.serializer(), request).toByteArray()
        askDispatcher(dispatcher, body) { response ->
            onExplained(response?.let { decode(PlaceDescription.serializer(), it) })
        }
    }

    private fun placeRequest(
        route: Route,
        target: RouteTarget,
        parameters: Map<String, String>,
        workspace: Workspace?,
    ): DispatchRequest {
        val tokens = { name: String -> parameters[name]?.toIntOrNull()?.coerceAtLeast(0) ?: 0 }
        return DispatchRequest(
            ticket = TicketId("${self.address}/explain"),
            holder = self,
            failureDomain = domain,
            pool = target.pool,
            work = when (route.kind) {
                is RouteKind.Generation -> DispatchWork.Generation(tokens("prompt_tokens"), tokens("output_tokens"))
                RouteKind.IdempotentCall, RouteKind.NonIdempotentCall -> DispatchWork.Call
            },
            priority = parameters["priority"]?.toIntOrNull() ?: workspace?.priority ?: route.priority,
            objectiveMillis = route.objective.inWholeMilliseconds,
            beginMillis = route.waitingTime(route.timeLimit).inWholeMilliseconds,
            remainingMillis = route.timeLimit.inWholeMilliseconds,
        )
    }

    private fun Responder.sendExplanation(explanation: RequestExplanation) =
        sendJson(json.encodeToString(RequestExplanation.serializer(), explanation))

    private fun Responder.sendJson(text: String) =
        send(ResponseHead(OK, "OK", listOf(HeaderField("Content-Type", "application/json"))), text.toByteArray())

    private fun <T> decode(deserializer: DeserializationStrategy<T>, body: ByteArray): T? = try {
        json.decodeFromString(deserializer, body.decodeToString())
    } catch (_: SerializationException) {
        null
    }

    internal companion object {
        /** Path of explanations of requests. */
        const val PATH = "/explain"

        /** Path at which a dispatcher explains its decisions to other instances. */
        const val PLACE_PATH = "/explain-place"

        /** Instances of other versions may send further fields. */
        private val json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }
        private const val OK = 200
        private const val BAD_REQUEST = 400
    }
}
