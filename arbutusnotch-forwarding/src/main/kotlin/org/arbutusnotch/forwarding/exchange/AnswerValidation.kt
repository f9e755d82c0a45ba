/*
 * Validates complete answers of backend servers.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.forwarding.ServerAnswer
import org.arbutusnotch.forwarding.http.ResponseHead

internal sealed class AnswerValidation {
    /** The answer may be forwarded. */
    data class Valid(val head: ResponseHead) : AnswerValidation()

    /** The server states that it did not run the request. */
    data class NotRun(val detail: String) : AnswerValidation()

    /** The answer must not be forwarded, and the request may have run. */
    data class Invalid(val detail: String) : AnswerValidation()

    companion object {
        /** Validates the answer with [head] and its parsed form [answer] to the request with [id]. */
        fun of(head: ResponseHead?, answer: ServerAnswer?, id: RequestId): AnswerValidation = when {
            head == null || answer == null -> Invalid("no head")
            isForAnotherRequest(answer, id) -> Invalid("answer to another request")
            answer.notRun -> NotRun("status ${head.status}")
            answer.requestId == null -> Invalid("answer without a request id")
            !answer.sealed && head.status in SUCCESS_STATUSES -> Invalid("answer without seal")
            else -> Valid(head)
        }

        /** Returns whether [answer] names another request than [id], so that nothing it says holds for this one. */
        fun isForAnotherRequest(answer: ServerAnswer, id: RequestId): Boolean =
            answer.requestId != null && answer.requestId != id

        /** Status codes of answers that must carry a seal. */
        val SUCCESS_STATUSES = 200..299
    }
}
