/*
 * Records where streams began, has other instances keep it, and asks them for streams of instances that are lost.
 *
 * The keepers are told when a run is sent, well before its first event. The stream does not wait for them: messages are
 * sent again until they are confirmed, and it takes the loss of the instance and of all keepers to lose an origin.
 */
package org.arbutusnotch.forwarding.stream

import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.membership.InstanceView
import org.arbutusnotch.core.message.StreamMessage
import org.arbutusnotch.core.stream.OriginKeepers
import org.arbutusnotch.core.stream.OriginLookup
import org.arbutusnotch.core.stream.StreamOrigin
import org.arbutusnotch.core.stream.StreamOriginTable
import org.arbutusnotch.core.time.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks the origins of streams.
 *
 * @param serving returns the other instances that serve
 * @param asked returns the other instances that may know an origin, also those that have just become unreachable
 */
internal class StreamOrigins(
    private val serving: () -> List<InstanceView>,
    private val asked: () -> List<InstanceView>,
    private val send: (InstanceAddress, StreamMessage) -> Unit,
    private val now: () -> Timestamp,
) {
    private val table = StreamOriginTable()
    private val notices = LinkedHashMap<NoticeKey, PendingNotice>()
    private val questions = LinkedHashMap<RequestId, PendingQuestion>()
    private var nextCleanUpAt = Timestamp(0)

    /** Number of streams whose origin this instance holds. */
    val size: Int
        get() = table.size

    /** Records that [stream] begins at [origin] with the run [number], until its caller gives up at [expiresAt]. */
    fun record(stream: RequestId, origin: StreamOrigin, number: Int, expiresAt: Timestamp) {
        table.record(stream, origin, number, expiresAt)
        OriginKeepers.select(stream, serving(), KEEPERS).forEach { keeper ->
            val key = NoticeKey(stream, keeper)
            val notice = PendingNotice(origin, number, expiresAt)
            notices[key] = notice
            sendNotice(key, notice)
        }
    }

    /**
     * Calls [onFound] with the origin of [stream] as instances keep it. It is unknown if all that may keep it answer
     * that they do not, and unavailable if some do not answer in time.
     */
    fun find(stream: RequestId, onFound: (OriginLookup) -> Unit) {
        table.find(stream, now())?.let { return onFound(OriginLookup.Known(it)) }
        val keepers = OriginKeepers.select(stream, asked(), ASKED_INSTANCES)
        if (keepers.isEmpty()) return onFound(OriginLookup.Unknown)
        val question = questions.getOrPut(stream) { PendingQuestion(keepers.toMutableSet(), now() + ANSWER_TIME) }
        question.waiting += onFound
        if (question.waiting.size == 1) sendQuestion(stream, question)
    }

    fun onMessage(message: StreamMessage, sender: InstanceAddress) {
        when (message) {
            is StreamMessage.Notice -> {
                val expiresAt = now() + message.remainingMillis.milliseconds
                table.record(message.stream, message.origin, message.number, expiresAt)
                send(sender, StreamMessage.Confirmation(message.stream, message.number))
            }

            is StreamMessage.Confirmation -> {
                val key = NoticeKey(message.stream, sender)
                if (notices[key]?.number == message.number) notices.remove(key)
            }

            is StreamMessage.Question ->
                send(sender, StreamMessage.Answer(message.stream, table.find(message.stream, now())))

            is StreamMessage.Answer -> onAnswer(message, sender)
        }
    }

    private fun onAnswer(answer: StreamMessage.Answer, sender: InstanceAddress) {
        val question = questions[answer.stream] ?: return
        question.unanswered -= sender
        val origin = answer.origin
        when {
            origin != null -> end(answer.stream, OriginLookup.Known(origin))
            question.unanswered.isEmpty() -> end(answer.stream, OriginLookup.Unknown)
        }
    }

    private fun end(stream: RequestId, lookup: OriginLookup) {
        questions.remove(stream)?.waiting?.forEach { it(lookup) }
    }

    /** Repeats unconfirmed notices and unanswered questions, and drops what is no longer of use. */
    fun tick(now: Timestamp) {
        notices.values.removeIf { it.sends >= MAXIMUM_SENDS || now >= it.expiresAt }
        notices.entries.toList().forEach { (key, notice) -> if (now >= notice.nextSendAt) sendNotice(key, notice) }
        questions.entries.toList().forEach { (stream, question) ->
            if (now >= question.endsAt) end(stream, OriginLookup.Unavailable) else sendQuestion(stream, question)
        }
        if (now < nextCleanUpAt) return
        nextCleanUpAt = now + CLEAN_UP_INTERVAL
        table.removeExpired(now)
    }

    private fun sendNotice(key: NoticeKey, notice: PendingNotice) {
        notice.sends += 1
        notice.nextSendAt = now() + RESEND_INTERVAL
        val remainingMillis = (notice.expiresAt - now()).inWholeMilliseconds
        send(key.keeper, StreamMessage.Notice(key.stream, notice.origin, notice.number, remainingMillis))
    }

    private fun sendQuestion(stream: RequestId, question: PendingQuestion) {
        if (now() < question.nextSendAt) return
        question.nextSendAt = now() + RESEND_INTERVAL
        question.unanswered.toList().forEach { send(it, StreamMessage.Question(stream)) }
    }

    private data class NoticeKey(val stream: RequestId, val keeper: InstanceAddress)

    private class PendingNotice(
        val origin: StreamOrigin,
        val number: Int,
        val expiresAt: Timestamp,
        var sends: Int = 0,
        var nextSendAt: Timestamp = Timestamp(0),
    )

    private class PendingQuestion(val unanswered: MutableSet<InstanceAddress>, val endsAt: Timestamp) {
        val waiting = mutableListOf<(OriginLookup) -> Unit>()
        var nextSendAt: Timestamp = Timestamp(0)
    }

    private companion object {
        /** Instances that keep an origin besides the one that serves the stream. */
        const val KEEPERS = 3

        /** Instances that are asked: more than keep it, since the instances may have changed since then. */
        const val ASKED_INSTANCES = 8

        /** Time until an unanswered message is sent again: several round trips between failure domains. */
        val RESEND_INTERVAL = 40.milliseconds

        /** Sends of one notice; instances of an earlier release never confirm it. */
        const val MAXIMUM_SENDS = 5

        /** Time for the answers to a question, in which it is sent three times. */
        val ANSWER_TIME = 120.milliseconds
        val CLEAN_UP_INTERVAL = 500.milliseconds
    }
}
