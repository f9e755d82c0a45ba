/*
 * What a complete answer of a server is worth.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.forwarding.ServerAnswer
import org.arbutusnotch.forwarding.http.ResponseHead

internal sealed class AnswerVerdict {
    /** The answer may be passed on. */
    data class Valid(val head: ResponseHead) : AnswerVerdict()

    /** The server states that it did not run the request. */
    data class NotRun(val detail: String) : AnswerVerdict()

    /** The answer must not be passed on, and the request may have run. */
    data class Invalid(val detail: String) : AnswerVerdict()

    companion object {
        /** Judges the answer with [head], which says [facts], to the request with [id]. */
        fun of(head: ResponseHead?, facts: ServerAnswer?, id: RequestId): AnswerVerdict = when {
            head == null || facts == null -> Invalid("no head")
            facts.notRun -> NotRun("status ${head.status}")
            facts.requestId != id -> Invalid("answer to another request")
            !facts.sealed && head.status in SUCCESS -> Invalid("answer without seal")
            else -> Valid(head)
        }

        /** Status codes of answers that a server must vouch for. */
        val SUCCESS = 200..299
    }
}
