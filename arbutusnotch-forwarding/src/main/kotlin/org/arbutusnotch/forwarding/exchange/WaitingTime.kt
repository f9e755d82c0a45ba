/*
 * Limits the time for which a request may wait for a place.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.forwarding.Route
import org.arbutusnotch.core.forwarding.RouteKind
import kotlin.time.Duration

/** Returns the time without progress after which a caller disconnects whose deadline is [remaining] away. */
internal fun Route.callerTimeout(remaining: Duration): Duration = when (val kind = kind) {
    is RouteKind.Generation -> kind.eventTimeout
    RouteKind.IdempotentCall, RouteKind.NonIdempotentCall -> remaining
}

/** Returns the time for which a request may wait for a place if its deadline is [remaining] away. */
internal fun Route.waitingTime(remaining: Duration): Duration =
    minOf(remaining, callerTimeout(remaining)) * WAITING_SHARE

/**
 * Share of the caller's timeout for which its request may wait. A later refusal leaves the caller no time to
 * retry.
 */
private const val WAITING_SHARE = 0.7
