/*
 * The responses of the platform and the results of polling it.
 */
package org.arbutusnotch.daemon.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.InstanceAddress
import org.arbutusnotch.core.message.PublishedInstance
import org.arbutusnotch.core.time.Timestamp

/** Identifies a write to the store of the platform; it is unrelated to the revision of the operators' file. */
@JvmInline
public value class StoreVersion(public val value: Long) : Comparable<StoreVersion> {
    override fun compareTo(other: StoreVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Represents the state before the first read. */
        public val NONE: StoreVersion = StoreVersion(0)
    }
}

/** Describes why the platform returned no usable response. */
public sealed interface PlatformError {
    /** The platform could not be reached, or the connection failed before the response was complete. */
    public data class Unreachable(public val detail: String) : PlatformError

    /** The platform did not respond in time. */
    public data object TimedOut : PlatformError

    /** The platform returned status 429. */
    public data object RateLimited : PlatformError

    /** The platform returned any other unexpected status. */
    public data class FailedStatus(public val status: Int) : PlatformError

    /** The value exceeds the size limit; [version] is null when the response did not contain it. */
    public data class TooLarge(public val version: StoreVersion?) : PlatformError

    /** The response violates the protocol. */
    public data class Malformed(public val detail: String) : PlatformError
}

/** Describes the result of one poll of the configuration. */
public sealed interface ConfigurationUpdate {
    /**
     * The platform returned the operators' file.
     *
     * @property stale whether a higher store version was returned before, that is, the platform serves old state
     */
    public class Content(public val version: StoreVersion, public val bytes: ByteArray, public val stale: Boolean) :
        ConfigurationUpdate

    /** Nothing changed since the last poll. */
    public data object Unchanged : ConfigurationUpdate

    /** The poll failed; the next one starts at [retryAt]. */
    public data class Failed(public val error: PlatformError, public val retryAt: Timestamp) : ConfigurationUpdate
}

/** Describes the result of one poll of the instance list. */
public sealed interface InstanceListUpdate {
    /** The platform returned its instance list as of [asOf]; it lags behind the actual state. */
    public data class Content(public val asOf: Timestamp, public val instances: List<PublishedInstance>) :
        InstanceListUpdate

    /** The poll failed; the next one starts at [retryAt]. */
    public data class Failed(public val error: PlatformError, public val retryAt: Timestamp) : InstanceListUpdate
}

@Serializable
internal data class InstanceListReply(
    @SerialName("as_of_epoch_millis") val asOf: Timestamp,
    val instances: List<InstanceEntry>,
) {
    fun toUpdate(): InstanceListUpdate = InstanceListUpdate.Content(asOf, instances.map { it.toPublishedInstance() })
}

@Serializable
internal data class InstanceEntry(
    @SerialName("peer_address") val peerAddress: InstanceAddress,
    @SerialName("entry_address") val entryAddress: String,
    @SerialName("operator_address") val operatorAddress: String,
    @SerialName("failure_domain") val failureDomain: FailureDomainId,
    val state: String,
) {
    fun toPublishedInstance() = PublishedInstance(
        address = peerAddress,
        entryAddress = entryAddress,
        operatorAddress = operatorAddress,
        failureDomain = failureDomain,
        leaving = state == LEAVING,
    )

    private companion object {
        const val LEAVING = "leaving"
    }
}
