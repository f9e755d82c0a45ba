/*
 * The messages by which instances keep the origins of each other's streams.
 */
package org.arbutusnotch.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.stream.StreamOrigin

/** Marks the messages about origins of streams. */
@Serializable
public sealed interface StreamMessage : PeerMessage {
    /** Id of the request that brings, or brought, the first event of the stream. */
    public val stream: RequestId

    /**
     * Asks the receiver to keep [origin]. It is sent again until the receiver confirms it.
     *
     * @property number number of the run, higher for each further run of the same request
     * @property remainingMillis time left until the caller gives up
     */
    @Serializable
    @SerialName("stream-origin")
    public data class Notice(
        @SerialName("s") override val stream: RequestId,
        @SerialName("o") public val origin: StreamOrigin,
        @SerialName("n") public val number: Int,
        @SerialName("d") public val remainingMillis: Long,
    ) : StreamMessage

    /** Confirms the [Notice] with [number]. */
    @Serializable
    @SerialName("stream-origin-kept")
    public data class Confirmation(
        @SerialName("s") override val stream: RequestId,
        @SerialName("n") public val number: Int,
    ) : StreamMessage

    /** Asks for the origin of a stream. */
    @Serializable
    @SerialName("stream-origin-question")
    public data class Question(@SerialName("s") override val stream: RequestId) : StreamMessage

    /** Answers a [Question]; [origin] is null when the sender does not know it. */
    @Serializable
    @SerialName("stream-origin-answer")
    public data class Answer(
        @SerialName("s") override val stream: RequestId,
        @SerialName("o") public val origin: StreamOrigin? = null,
    ) : StreamMessage
}
