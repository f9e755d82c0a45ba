/*
 * Where a stream began, which decides where it may go on.
 *
 * What two software versions write does not fit together, and no server checks it. So a stream goes on only at the
 * version that sent its first event, whichever instance continues it.
 */
package org.arbutusnotch.core.stream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.id.SoftwareVersion

/** Names the software that began a stream: a [version] of the servers of [pool]. */
@Serializable
public data class StreamOrigin(
    @SerialName("p") public val pool: PoolId,
    @SerialName("v") public val version: SoftwareVersion,
)

/** Describes what an instance could find out about the origin of a stream. */
public sealed class OriginLookup {
    /** The stream began at [origin]. */
    public data class Known(public val origin: StreamOrigin) : OriginLookup()

    /** Several versions may have begun the stream, and nobody is left who knows which. */
    public data object Unknown : OriginLookup()

    /** The store, or an instance that may know the origin, does not answer at present. */
    public data object Unavailable : OriginLookup()
}
