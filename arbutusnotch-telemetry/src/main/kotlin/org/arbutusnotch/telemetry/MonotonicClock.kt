/*
 * The clock of the daemon. It starts at the wall clock and then follows the monotonic clock of the JVM, so that a step
 * of the wall clock cannot shorten or extend a deadline.
 */
package org.arbutusnotch.telemetry

import org.arbutusnotch.core.time.Timestamp

/** Returns the current time, which never goes back. */
public fun interface Clock {
    public fun now(): Timestamp
}

/** Implements [Clock] by adding elapsed monotonic time to [startEpochMillis], the wall clock at construction. */
public class MonotonicClock(private val startEpochMillis: Long = System.currentTimeMillis()) : Clock {
    private val startNanos = System.nanoTime()

    override fun now(): Timestamp = Timestamp(startEpochMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI)
}

private const val NANOS_PER_MILLI = 1_000_000L
