/*
 * `POST /v1/services/{service}/{operation}`: forwards the body to a replica of the service and returns its answer.
 */
package org.arbutusnotch.daemon.entry

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.ServiceRequestContext
import kotlinx.coroutines.async
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.message.RecordedAnswer
import org.arbutusnotch.core.outcome.RefusalReason
import org.arbutusnotch.core.outcome.RequestOutcome

/** Handles calls of plain services. */
internal class PlainCallEndpoint(private val entry: EntryContext) : AdmittedHandler {
    private val responder = RefusalResponder(entry)

    override suspend fun handle(context: ServiceRequestContext, admitted: AdmittedRequest): HttpResponse {
        val task = createTask(context, admitted)
        return when (val outcome = run(task)) {
            is PlainCallOutcome.Answered -> answerResponse(task.id, outcome.answer)
            is PlainCallOutcome.Refused -> responder.refuse(task.id, outcome.outcome, refusalMessage(outcome.outcome))
        }
    }

    /** Runs [task]; a non-idempotent call continues when its caller disconnects, so that its answer is recorded. */
    private suspend fun run(task: PlainCallTask): PlainCallOutcome {
        if (task.operation.idempotent) return PlainCallRun(entry, task).run()
        return entry.background.async { PlainCallRun(entry, task).run() }.await()
    }

    private fun createTask(context: ServiceRequestContext, admitted: AdmittedRequest): PlainCallTask {
        val service = context.pathParam("service").orEmpty()
        val name = context.pathParam("operation").orEmpty()
        val operation = admitted.directory.operation(service, name)
            ?: throw refused(RefusalReason.UNKNOWN_ROUTE, "operation $name of service $service is not configured")
        val body = admitted.request.content().array()
        return PlainCallTask(
            id = admitted.id,
            caller = admitted.caller,
            service = service,
            operation = operation,
            body = body,
            contentType = admitted.request.headers().get(HttpHeaderNames.CONTENT_TYPE),
            token = admitted.request.headers().get(IDEMPOTENCY_KEY_HEADER),
            digest = ContentDigest(DigestUtils.sha256Hex("$service/$name ".toByteArray() + body)),
            deadline = admitted.receivedAt + operation.timeout,
        )
    }

    private fun answerResponse(request: RequestId, answer: RecordedAnswer): HttpResponse {
        entry.counters.countOutcome(RequestOutcome.Answered)
        val headers = ResponseHeaders.builder(answer.status)
            .add(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
            .add(REQUEST_ID_HEADER, request.value)
            .add(OUTCOME_HEADER, RequestOutcome.Answered.code)
            .build()
        return HttpResponse.of(headers, HttpData.wrap(answer.body))
    }

    private fun refusalMessage(outcome: RequestOutcome): String = when (outcome) {
        is RequestOutcome.Answered -> ""

        is RequestOutcome.NotRun -> when (outcome.reason) {
            RefusalReason.TOKEN_MISSING ->
                "the operation is not idempotent: send idempotency-key: <issuer prefix>.<key of your own>"

            else -> "the call was not run: ${outcome.reason.code}"
        }

        is RequestOutcome.Unknown -> "the call may have run: ${outcome.reason.code}"
    }
}

internal const val IDEMPOTENCY_KEY_HEADER: String = "idempotency-key"
