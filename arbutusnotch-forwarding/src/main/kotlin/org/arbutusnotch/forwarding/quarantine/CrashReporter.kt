/*
 * Keeps requests away from servers that would end under them.
 *
 * Servers also close connections of sound requests, by faults of their own or of the network, and busy ones are slow to
 * accept others. Only one whose host refuses connections to it has ended.
 */
package org.arbutusnotch.forwarding.quarantine

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.quarantine.RequestQuarantine
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration

/**
 * Records what becomes of requests at servers, and answers whether one may go to another server.
 *
 * @param probe finds out whether connections to a server are refused, and passes the result to its second argument
 * @param spread sends reports to every reachable instance
 */
internal class CrashReporter(
    private val quarantine: RequestQuarantine,
    private val now: () -> Timestamp,
    private val probe: (BackendServer, (Boolean) -> Unit) -> Unit,
    private val spread: (List<QuarantineEntry>) -> Unit,
) {
    private val log = EventLog("quarantine")

    /** Returns for how long no server must get a request with [content]; null when one may. */
    fun refusedFor(content: ContentDigest): Duration? = quarantine.refusedUntil(content, now())?.let { it - now() }

    /**
     * Records whether [server], which closed its connection while it worked for the request with [content], has ended,
     * and calls [onKnown] then: the request must not go to another server before.
     */
    fun noteClosed(content: ContentDigest, server: BackendServer, request: RequestId, onKnown: () -> Unit) {
        if (quarantine.hasCompletedRecently(content, now())) return onKnown()
        probe(server) { refused ->
            if (refused) noteEnded(content, server, request)
            onKnown()
        }
    }

    private fun noteEnded(content: ContentDigest, server: BackendServer, request: RequestId) {
        val refused = quarantine.recordCrash(content, server.id, server.startedAt, now())
        log.info("server_ended_under_request") {
            field("request", request)
            field("content", content)
            field("server", server.id)
            field("started_at", server.startedAt)
        }
        if (refused) onRefused(content)
    }

    /** Records that a server ran the request with [content] to its end. */
    fun noteCompleted(content: ContentDigest): Unit = quarantine.recordCompletion(content, now())

    /** Returns the reports that the next gossip carries. */
    fun reportsToGossip(): List<QuarantineEntry> = quarantine.entriesToGossip(now())

    /** Returns the reports that an instance must hear of that has just become reachable. */
    fun reportsForNewcomer(): List<QuarantineEntry> = quarantine.entriesForNewPeer(now())

    /** Takes over what another instance reported. */
    fun merge(entries: List<QuarantineEntry>) {
        if (entries.isNotEmpty()) quarantine.merge(entries, now()).forEach { onRefused(it) }
    }

    /** Those who saw servers end tell all instances at once, so that a few messages suffice in a large fleet. */
    private fun onRefused(content: ContentDigest) {
        if (quarantine.hasObservedCrash(content, now())) spread(quarantine.entriesOf(content, now()))
        log.info("request_quarantined") {
            field("content", content)
            field("servers", quarantine.entriesOf(content, now()).joinToString(",") { it.server.value })
            field("refused_millis", refusedFor(content)?.inWholeMilliseconds)
        }
    }
}
