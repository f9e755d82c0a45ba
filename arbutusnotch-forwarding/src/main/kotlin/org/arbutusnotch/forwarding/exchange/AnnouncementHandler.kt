/*
 * Handles the announcements that backend servers send with their answers: leaving and pause.
 */
package org.arbutusnotch.forwarding.exchange

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.forwarding.ServerRegistry
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.forwarding.ServerAnswer
import org.arbutusnotch.forwarding.ServerPause
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Stops sending requests to servers that announce in an answer that they are leaving or need a pause.
 *
 * @param onLeaving is called for each answer that announces that its server is leaving
 * @param onPause is called for each answer that asks for a pause
 */
internal class AnnouncementHandler(
    private val registry: ServerRegistry,
    private val now: () -> Timestamp,
    private val onLeaving: (BackendServer) -> Unit,
    private val onPause: (BackendServer, Duration) -> Unit,
) {
    private val log = EventLog("announcements")
    private val serversWithLoggedPause = HashSet<BackendServerId>()

    /** Handles the announcements in [answer], which [server] sent to [request]. */
    fun handle(server: BackendServer, answer: ServerAnswer, request: RequestId? = null) {
        if (answer.leaving) recordLeaving(server, request)
        when (val pause = answer.pause) {
            ServerPause.None -> Unit
            is ServerPause.For -> pause(server, minOf(pause.duration, MAXIMUM_PAUSE), request)
            is ServerPause.Unreadable -> logUnreadablePause(server, pause.text)
        }
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

    /** Logs a malformed pause, once per server. */
    private fun logUnreadablePause(server: BackendServer, text: String) {
        if (serversWithLoggedPause.size >= MAXIMUM_LOGGED_SERVERS || !serversWithLoggedPause.add(server.id)) return
        log.warn("unreadable_pause") {
            field("server", server.id)
            field("text", text.take(MAXIMUM_LOGGED_CHARACTERS))
        }
    }

    private companion object {
        /** Upper bound of a pause; longer pauses, which suggest that the server is gone, are shortened to it. */
        val MAXIMUM_PAUSE = 1.hours

        /** Number of servers whose malformed pauses are logged. */
        const val MAXIMUM_LOGGED_SERVERS = 1_000

        /** Number of characters of a malformed value that are logged. */
        const val MAXIMUM_LOGGED_CHARACTERS = 40
    }
}
