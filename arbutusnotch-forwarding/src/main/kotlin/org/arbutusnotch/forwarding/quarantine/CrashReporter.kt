/*
 * Stops requests that crash backend servers from reaching further ones.
 *
 * A closed connection alone is no evidence of a crash: servers also close connections of harmless requests because of
 * their own or network faults, and busy servers are slow to accept connections. Only a server whose host refuses
 * connections has terminated.
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
 * Records crashes and completions of requests at servers, and decides whether a request may be sent to a server.
 *
 * @param probe checks whether connections to a server are refused, and passes the result to its second argument
 * @param broadcast sends reports to every reachable instance
 */
internal class CrashReporter(
    private val quarantine: RequestQuarantine,
    private val now: () -> Timestamp,
    private val probe: (BackendServer, (Boolean) -> Unit) -> Unit,
    private val broadcast: (List<QuarantineEntry>) -> Unit,
) {
    private val log = EventLog("quarantine")

    /** Returns for how long requests with [content] remain quarantined; null when they are not. */
    fun remainingQuarantine(content: ContentDigest): Duration? =
        quarantine.refusedUntil(content, now())?.let { it - now() }

    /**
     * Checks whether [server], which closed its connection while it processed the request with [content], has crashed.
     * The request must not be sent to another server before [onChecked] is called.
     */
    fun onConnectionClosed(content: ContentDigest, server: BackendServer, request: RequestId, onChecked: () -> Unit) {
        if (quarantine.hasCompletedRecently(content, now())) return onChecked()
        probe(server) { refused ->
            if (refused) recordCrash(content, server, request)
            onChecked()
        }
    }

    private fun recordCrash(content: ContentDigest, server: BackendServer, request: RequestId) {
        val quarantined = quarantine.recordCrash(content, server.id, server.startedAt, now())
        log.info("server_ended_under_request") {
            field("request", request)
            field("content", content)
            field("server", server.id)
            field("started_at", server.startedAt)
        }
        if (quarantined) onQuarantined(content)
    }

    /** Records that a server completed the request with [content]. */
    fun recordCompletion(content: ContentDigest): Unit = quarantine.recordCompletion(content, now())

    /** Returns the reports for the next gossip message. */
    fun reportsToGossip(): List<QuarantineEntry> = quarantine.entriesToGossip(now())

    /** Returns the reports that an instance needs when it has just become reachable. */
    fun reportsForNewPeer(): List<QuarantineEntry> = quarantine.entriesForNewPeer(now())

    /** Merges the reports of another instance. */
    fun merge(entries: List<QuarantineEntry>) {
        if (entries.isNotEmpty()) quarantine.merge(entries, now()).forEach { onQuarantined(it) }
    }

    /** Only instances that observed a crash broadcast it, so that a few messages suffice in a large fleet. */
    private fun onQuarantined(content: ContentDigest) {
        if (quarantine.hasObservedCrash(content, now())) broadcast(quarantine.entriesOf(content, now()))
        log.info("request_quarantined") {
            field("content", content)
            field("servers", quarantine.entriesOf(content, now()).joinToString(",") { it.server.value })
            field("refused_millis", remainingQuarantine(content)?.inWholeMilliseconds)
        }
    }
}
