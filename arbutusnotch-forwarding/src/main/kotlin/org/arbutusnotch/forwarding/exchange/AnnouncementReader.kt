/*
 * Acts on what servers say of themselves in their answers.
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
 * Takes servers out of use that say in an answer that they leave or want no requests for a while.
 *
 * @param onLeaving is called for each answer of a server that leaves
 * @param onPause is called for each answer of a server that wants no requests for a while
 */
internal class AnnouncementReader(
    private val registry: ServerRegistry,
    private val now: () -> Timestamp,
    private val onLeaving: (BackendServer) -> Unit,
    private val onPause: (BackendServer, Duration) -> Unit,
) {
    private val log = EventLog("announcements")
    private val unreadable = HashSet<BackendServerId>()

    /** Takes over what [server] said in the answer that [facts] describes; [request] is what it answered. */
    fun read(server: BackendServer, facts: ServerAnswer, request: RequestId? = null) {
        if (facts.leaving) noteLeaving(server, request)
        when (val pause = facts.pause) {
            ServerPause.None -> Unit
            is ServerPause.For -> pause(server, minOf(pause.time, LONGEST_PAUSE), request)
            is ServerPause.Unreadable -> noteUnreadable(server, pause.text)
        }
    }

    private fun noteLeaving(server: BackendServer, request: RequestId?) {
        if (registry.recordLeaving(server.id, server.startedAt)) {
            log.info("server_leaves") {
                field("server", server.id)
                field("started_at", server.startedAt)
                field("request", request)
            }
        }
        onLeaving(server)
    }

    private fun pause(server: BackendServer, time: Duration, request: RequestId?) {
        registry.pause(server.id, now() + time)
        log.info("server_paused") {
            field("server", server.id)
            field("pause_millis", time.inWholeMilliseconds)
            field("request", request)
        }
        onPause(server, time)
    }

    /** Logs a pause that cannot be read once for each server. */
    private fun noteUnreadable(server: BackendServer, text: String) {
        if (unreadable.size >= MAXIMUM_UNREADABLE || !unreadable.add(server.id)) return
        log.warn("unreadable_pause") {
            field("server", server.id)
            field("text", text.take(MAXIMUM_LOGGED))
        }
    }

    private companion object {
        /** Longest pause that is kept; a server that wants no requests for longer is as good as gone. */
        val LONGEST_PAUSE = 1.hours

        /** Servers whose unreadable pauses are remembered. */
        const val MAXIMUM_UNREADABLE = 1_000

        /** Characters of an unreadable value that are logged. */
        const val MAXIMUM_LOGGED = 40
    }
}
