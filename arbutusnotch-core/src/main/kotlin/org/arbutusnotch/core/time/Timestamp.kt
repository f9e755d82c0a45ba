/*
 * The point in time that tables and messages store. Tables store deadlines as timestamps, never as durations.
 */
package org.arbutusnotch.core.time

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Holds a point in time in milliseconds since the Unix epoch. */
@Serializable
@JvmInline
public value class Timestamp(public val epochMillis: Long) : Comparable<Timestamp> {
    override fun compareTo(other: Timestamp): Int = epochMillis.compareTo(other.epochMillis)

    /** Returns the timestamp that is [duration] later. */
    public operator fun plus(duration: Duration): Timestamp = Timestamp(epochMillis + duration.inWholeMilliseconds)

    /** Returns the timestamp that is [duration] earlier. */
    public operator fun minus(duration: Duration): Timestamp = Timestamp(epochMillis - duration.inWholeMilliseconds)

    /** Returns the time elapsed since [earlier]; negative when [earlier] is after this timestamp. */
    public operator fun minus(earlier: Timestamp): Duration = (epochMillis - earlier.epochMillis).milliseconds

    override fun toString(): String = epochMillis.toString()
}
