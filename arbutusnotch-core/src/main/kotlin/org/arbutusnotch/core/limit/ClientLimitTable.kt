/*
 * The number of requests that each client runs on this instance, held against the client's limit.
 */
package org.arbutusnotch.core.limit

import org.arbutusnotch.core.id.ClientId

/** Counts the running requests of each client, so that one client cannot use up an instance. */
public class ClientLimitTable {
    private val running = HashMap<ClientId, Int>()

    /** Counts one more request of [client] unless [limit] requests run already; returns whether it may start. */
    public fun tryStart(client: ClientId, limit: Int): Boolean {
        val current = running[client] ?: 0
        if (current >= limit) return false
        running[client] = current + 1
        return true
    }

    /**
     * Counts one request of [client] as ended.
     *
     * @throws IllegalStateException when none was running, since then an end was counted twice
     */
    public fun finish(client: ClientId) {
        val current = running[client] ?: 0
        check(current > 0) { "client $client has no running request to finish" }
        if (current == 1) running.remove(client) else running[client] = current - 1
    }

    /** Returns the number of running requests of all clients. */
    public fun total(): Int = running.values.sum()
}
