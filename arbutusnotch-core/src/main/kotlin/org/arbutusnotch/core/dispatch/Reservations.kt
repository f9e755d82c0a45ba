/*
 * Servers that a pass leaves to requests which are ahead in the order and still wait.
 */
package org.arbutusnotch.core.dispatch

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ServerStage
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.SoftwareVersion

/** Records which servers the requests that are visited next in a pass may use. */
internal class Reservations {
    private val versions = HashSet<SoftwareVersion>()
    private var open: Set<BackendServerId>? = null

    /** Leaves the servers of [version] to a request that can only run there. */
    fun reserveVersion(version: SoftwareVersion) {
        versions += version
    }

    /**
     * Leaves all servers except [servers], which are too slow for the request that waits, to that request. Returns
     * whether any server remains for the others.
     */
    fun openOnly(servers: Set<BackendServerId>): Boolean {
        val remaining = open?.intersect(servers) ?: servers
        open = remaining
        return remaining.isNotEmpty()
    }

    /** Returns whether the requests that are visited next may use [server]; any may use a prefill server. */
    fun admits(server: BackendServer): Boolean =
        server.version !in versions && (server.stage == ServerStage.PREFILL || open?.contains(server.id) ?: true)
}
