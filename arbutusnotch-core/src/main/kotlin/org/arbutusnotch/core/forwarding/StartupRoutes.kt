/*
 * Decides when an instance that starts may serve the routes that it has read.
 *
 * A store that was restored from a copy may hold older routes than the ones that its peers have in force. A request for
 * a route that was added since would be denied until a peer is heard.
 */
package org.arbutusnotch.core.forwarding

import org.arbutusnotch.core.id.RevisionNumber
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

public object StartupRoutes {
    /** Time for which an instance waits for the first peer: several rounds of gossip to each seed. */
    private val PEER_TIMEOUT = 300.milliseconds

    /** Time for which it waits for newer routes of its peers, which may be unreachable for the transfer. */
    private val NEWER_ROUTES_TIMEOUT = 2.seconds

    /**
     * Returns whether routes of revision [own] may be served, [waited] after the start.
     *
     * @param peers revisions of the routes of reachable peers; null for a peer that has none yet
     * @param expectsPeers whether other instances may exist
     */
    public fun mayServe(
        own: RevisionNumber,
        peers: List<RevisionNumber?>,
        expectsPeers: Boolean,
        waited: Duration,
    ): Boolean {
        val known = peers.filterNotNull()
        return when {
            known.any { it > own } -> waited >= NEWER_ROUTES_TIMEOUT
            known.isNotEmpty() || !expectsPeers -> true
            else -> waited >= PEER_TIMEOUT
        }
    }
}
