/*
 * The origins of streams that this instance serves or keeps for other instances.
 */
package org.arbutusnotch.core.stream

import org.arbutusnotch.core.collection.BoundedMap
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.time.Timestamp

/** Holds the origin of each stream until its caller gives up. */
public class StreamOriginTable {
    private val records = BoundedMap<RequestId, Record>(MAXIMUM_RECORDS)

    /** Number of streams whose origin is held. */
    public val size: Int
        get() = records.size

    /**
     * Records that [stream] began at [origin]. A run that was repeated elsewhere before its first event has a higher
     * [number], and a late message about an earlier one changes nothing.
     */
    public fun record(stream: RequestId, origin: StreamOrigin, number: Int, expiresAt: Timestamp) {
        val known = records[stream]
        when {
            known == null || number > known.number -> records[stream] = Record(origin, number, expiresAt)

            known.origin == origin && expiresAt > known.expiresAt ->
                records[stream] = Record(origin, known.number, expiresAt)
        }
    }

    /** Returns the origin of [stream]; null when it is not known. */
    public fun find(stream: RequestId, now: Timestamp): StreamOrigin? =
        records[stream]?.takeIf { now < it.expiresAt }?.origin

    /** Removes the streams whose callers have given up. */
    public fun removeExpired(now: Timestamp) {
        records.values.removeIf { it.expiresAt <= now }
    }

    private class Record(val origin: StreamOrigin, val number: Int, val expiresAt: Timestamp)

    private companion object {
        /** Limit of stored origins: ten times the streams that an instance serves and keeps at the intended scale. */
        const val MAXIMUM_RECORDS = 8_192
    }
}
