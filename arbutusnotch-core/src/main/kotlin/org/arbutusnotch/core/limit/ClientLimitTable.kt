/*
 * The limit on the number of concurrent requests of each client on this instance.
 */
package org.arbutusnotch.core.limit

import org.arbutusnotch.core.id.ClientId

/** Counts the running requests of each client, so that one client cannot exhaust an instance. */
public class ClientLimitTable {
    private val running = HashMap<ClientId, Int>()

    /** Counts a request of [client] and returns true, or returns false if [limit] requests are already running. */
    public fun tryStart(client: ClientId, limit: Int): Boolean {
        val current = running[client] ?: 0
        if (current >= limit) return false
        running[client] = current + 1
        return true
    }

    /**
     * Counts a request of [client] as finished.
     *
     * @throws IllegalStateException when no request of [client] is running, because a request was then finished twice
     */
    public fun finish(client: ClientId) {
        val current = running[client] ?: 0
        check(current > 0) { "client $client has no running request to finish" }
        if (current == 1) running.remove(client) else running[client] = current - 1
    }

    /** Returns the total number of running requests of all clients. */
    public fun total(): Int = running.values.sum()
}
