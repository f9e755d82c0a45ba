/*
 * Exponential backoff: the time between attempts doubles with each failure in a row.
 */
package org.arbutusnotch.core.time

import kotlin.time.Duration

/** More doublings exceed every maximum in use, and would overflow the factor. */
private const val MAXIMUM_DOUBLINGS = 16

/** Returns this duration doubled [doublings] times, 0 or more, but [maximum] at most. */
public fun Duration.backoff(doublings: Int, maximum: Duration): Duration =
    minOf(this * (1 shl minOf(doublings, MAXIMUM_DOUBLINGS)), maximum)
