/*
 * The messages between the instance that holds a request and the instance that owns the quota of its workspace.
 *
 * The clocks of instances differ, so a reply carries the time that is left.
 */
package org.arbutusnotch.core.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.core.id.TicketId
import org.arbutusnotch.core.id.WorkspaceId

/** Marks the messages between holders of requests and owners of quotas. */
@Serializable
public sealed interface QuotaMessage : PeerMessage

/**
 * Requests units of the quota of [workspace]. It is sent again with the same [ticket] until a reply arrives.
 *
 * @property tokens units of the request
 * @property revision revision of the configuration that the holder uses
 */
@Serializable
@SerialName("quota")
public data class QuotaRequest(
    @SerialName("t") public val ticket: TicketId,
    @SerialName("h") public val holder: InstanceId,
    @SerialName("w") public val workspace: WorkspaceId,
    @SerialName("k") public val tokens: Long,
    @SerialName("r") public val revision: RevisionNumber,
) : QuotaMessage

/** Answers a [QuotaRequest]. */
@Serializable
public sealed interface QuotaReply : QuotaMessage {
    /** Ticket of the request. */
    public val ticket: TicketId

    /** The request may run; its units are counted. */
    @Serializable
    @SerialName("quota-granted")
    public data class Granted(@SerialName("t") override val ticket: TicketId) : QuotaReply

    /** The request exceeds the quota for [retryMillis]; null if it is larger than the quota ever admits. */
    @Serializable
    @SerialName("quota-exceeded")
    public data class Exceeded(
        @SerialName("t") override val ticket: TicketId,
        @SerialName("m") public val retryMillis: Long? = null,
    ) : QuotaReply
}

/** Returns the [tokens] of a request that did not run and never will. */
@Serializable
@SerialName("quota-return")
public data class QuotaReturn(
    @SerialName("t") public val ticket: TicketId,
    @SerialName("w") public val workspace: WorkspaceId,
    @SerialName("k") public val tokens: Long,
) : QuotaMessage
