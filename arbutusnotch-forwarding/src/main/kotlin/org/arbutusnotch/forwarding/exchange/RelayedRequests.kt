/*
 * Requests that one instance handles for another one, which reaches none of the servers.
 *
 * A request is relayed at most once: a peer that does not reach the servers either refuses it. The peer runs it like
 * one of its own, so that limits, retries, drains and the version of a stream are decided and counted there alone.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.id.InstanceAddress

/**
 * Counts the requests that this instance handles for others, and finds peers for its own.
 *
 * @param controlAddress returns the address at which a serving peer takes relayed requests; null if it does not serve
 */
internal class RelayedRequests(private val controlAddress: (InstanceAddress) -> String? = { null }) {
    private var active = 0

    /** Number of requests that this instance handles for others. */
    val activeCount: Int
        get() = active

    /** Whether this instance may handle a further request for another one. */
    val hasRoom: Boolean
        get() = active < MAXIMUM_ACTIVE

    fun recordStart() {
        active += 1
    }

    fun recordEnd() {
        active -= 1
    }

    /** Returns the control address of [peer]; null if it does not serve. */
    fun addressOf(peer: InstanceAddress): String? = controlAddress(peer)

    internal companion object {
        /** Header field that marks a relayed request; only other instances reach the control address. */
        const val HEADER: String = "Arbutusnotch-Relayed-By"

        /** Limit of concurrent relayed requests, which leaves most of a small instance to its own callers. */
        const val MAXIMUM_ACTIVE = 64
    }
}
