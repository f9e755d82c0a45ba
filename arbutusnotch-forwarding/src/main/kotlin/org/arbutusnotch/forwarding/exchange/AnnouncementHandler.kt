/*
 * Handles the announcements that backend servers send with their answers: leaving, pause and request limit.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.LimitObservation
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.ServerAnswer
import org.arbutusnotch.forwarding.ServerLimit
import org.arbutusnotch.forwarding.ServerPause
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Stops sending requests to servers that announce in an answer that they are leaving or need a pause, and records the
 * request limits that they name.
 *
 * @param onLeaving is called for each answer that announces that its server is leaving
 * @param onPause is called for each answer that asks for a pause
 * @param onLimit is called when the request limit that a server names changes, also when it ends
 */
internal class AnnouncementHandler(
    private val registry: ServerRegistry,
    private val now: () -> Timestamp,
    private val onLeaving: (BackendServer) -> Unit,
    private val onPause: (BackendServer, Duration) -> Unit,
    private val onLimit: (BackendServer, LimitObservation) -> Unit,
) {
    private val log = EventLog("announcements")
    private val loggedValues = HashSet<Pair<String, BackendServerId>>()

    /** Handles the announcements in [answer], which [server] sent to [request]. */
    fun handle(server: BackendServer, answer: ServerAnswer, request: RequestId? = null) {
        if (answer.leaving) recordLeaving(server, request)
        when (val pause = answer.pause) {
            ServerPause.None -> Unit
            is ServerPause.For -> pause(server, minOf(pause.duration, MAXIMUM_PAUSE), request)
            is ServerPause.Unreadable -> logUnreadable("unreadable_pause", server, pause.text)
        }
        when (val limit = answer.limit) {
            ServerLimit.Unknown -> Unit

            // An answer to another request may be older than the limit. Answers to prefills may have no id.
            ServerLimit.None ->
                if (answer.requestId == null || answer.requestId == request) recordLimit(server, null, request)

            is ServerLimit.Named -> recordLimit(server, limit.perSecond, request)

            is ServerLimit.Unreadable -> logUnreadable("unreadable_limit", server, limit.text)
        }
    }

    private fun recordLimit(server: BackendServer, perSecond: Double?, request: RequestId?) {
        val observation = LimitObservation(server.id, server.startedAt, perSecond, observedAt = now())
        if (!registry.recordLimit(observation)) return
        log.info(if (perSecond == null) "server_limit_ended" else "server_limited") {
            field("server", server.id)
            field("per_second", perSecond)
            field("request", request)
        }
        onLimit(server, observation)
    }

    private fun recordLeaving(server: BackendServer, request: RequestId?) {
        if (registry.recordLeaving(server.id, server.startedAt)) {
            log.info("server_leaves") {
                field("server", server.id)
                field("started_at", server.startedAt)
                field("request", request)
            }
        }
        onLeaving(server)
    }

    private fun pause(server: BackendServer, duration: Duration, request: RequestId?) {
        registry.pause(server.id, now() + duration)
        log.info("server_paused") {
            field("server", server.id)
            field("pause_millis", duration.inWholeMilliseconds)
            field("request", request)
        }
        onPause(server, duration)
    }

    /** Logs a malformed value as [event], once per server. */
    private fun logUnreadable(event: String, server: BackendServer, text: String) {
        if (loggedValues.size >= MAXIMUM_LOGGED_VALUES || !loggedValues.add(event to server.id)) return
        log.warn(event) {
            field("server", server.id)
            field("text", text.take(MAXIMUM_LOGGED_CHARACTERS))
        }
    }

    private companion object {
        /** Upper bound of a pause; longer pauses, which suggest that the server is gone, are shortened to it. */
        val MAXIMUM_PAUSE = 1.hours

        /** Number of malformed values that are logged. */
        const val MAXIMUM_LOGGED_VALUES = 1_000

        /** Number of characters of a malformed value that are logged. */
        const val MAXIMUM_LOGGED_CHARACTERS = 40
    }
}
