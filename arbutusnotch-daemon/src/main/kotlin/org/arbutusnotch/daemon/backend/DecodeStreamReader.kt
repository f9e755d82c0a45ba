/*
 * Parses the response to a decode request.
 */
package org.arbutusnotch.daemon.backend

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpObject
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.ResponseHeaders
import org.arbutusnotch.core.time.Timestamp

/** Converts the HTTP objects of one response to [DecodeEvent]s. */
internal class DecodeStreamReader(private val clock: () -> Timestamp) {
    private val lines = LineSplitter(MAXIMUM_LINE_BYTES)
    private var headers: ResponseHeaders? = null
    private var errorBody = StringBuilder()

    /** Whether the final event was returned. */
    var isFinished: Boolean = false
        private set

    /** Whether the end marker was read, so that the engine has nothing more to send. */
    var isComplete: Boolean = false
        private set

    /** Returns the events that are complete with [element]. */
    fun read(element: HttpObject): List<DecodeEvent> {
        when (element) {
            is ResponseHeaders -> if (!element.status().isInformational) headers = element
            is HttpData -> return readBody(element)
        }
        return emptyList()
    }

    /** Returns the final event of a response that ended without one; null when it was returned before. */
    fun endOfStream(): DecodeEvent? {
        if (isFinished) return null
        isFinished = true
        val received = headers ?: return broken("response ended before its headers")
        val error = statusError(received.status(), received, errorBody.toString(), clock())
        return if (error != null) DecodeEvent.Failed(error) else broken("stream ended before its end marker")
    }

    private fun readBody(data: HttpData): List<DecodeEvent> {
        if (headers?.status() != HttpStatus.OK) {
            if (errorBody.length < MAXIMUM_DETAIL_CHARACTERS) errorBody.append(data.toStringUtf8())
            return emptyList()
        }
        val events = mutableListOf<DecodeEvent>()
        for (line in lines.add(data.array())) {
            if (isFinished) break
            events += toEvent(line)
        }
        if (!isFinished && lines.isOverLimit) events += malformed("line exceeds $MAXIMUM_LINE_BYTES bytes")
        return events
    }

    private fun toEvent(line: String): DecodeEvent {
        val event = decodeJsonOrNull(DecodeLine.serializer(), line)?.toEvent()
            ?: return malformed(line.take(MAXIMUM_DETAIL_CHARACTERS))
        if (event is DecodeEvent.End) {
            isFinished = true
            isComplete = true
        }
        return event
    }

    private fun malformed(detail: String): DecodeEvent {
        isFinished = true
        return DecodeEvent.Failed(BackendError.Malformed(detail))
    }

    private fun broken(detail: String): DecodeEvent = DecodeEvent.Failed(BackendError.BrokenAfterWrite(detail))

    private companion object {
        const val MAXIMUM_LINE_BYTES = 64 * 1024
    }
}
