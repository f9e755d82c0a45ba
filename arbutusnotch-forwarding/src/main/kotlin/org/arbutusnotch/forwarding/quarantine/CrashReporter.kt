/*
 * Stops requests that crash backend servers from reaching further ones.
 *
 * A closed connection alone is no evidence of a crash: servers also close connections of harmless requests because of
 * their own or network faults, and busy servers are slow to accept connections. A server has crashed if its host
 * refuses connections, at once or a moment later, or if another process has registered in its place.
 */
package org.arbutusnotch.forwarding.quarantine

import org.arbutusnotch.core.forwarding.BackendServer
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.RequestId
import org.arbutusnotch.core.message.QuarantineEntry
import org.arbutusnotch.core.quarantine.RequestQuarantine
import org.arbutusnotch.core.quarantine.ServerCrash
import org.arbutusnotch.core.quarantine.Suspects
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Describes a run whose server closed the connection, before the end of its answer or to mark it.
 *
 * @property begunAt time at which the request was sent to [server]
 */
internal class ClosedRun(
    val request: RequestId,
    val suspects: Suspects,
    val server: BackendServer,
    val begunAt: Timestamp,
    val closedAt: Timestamp,
)

/**
 * Records crashes and answers of requests at servers, and decides whether a request may be sent to a server.
 *
 * @param probe checks whether connections to a server are refused, and passes the result to its second argument
 * @param hasEnded returns whether the registry shows that the process of a server has ended
 */
internal class CrashReporter(
    private val quarantine: RequestQuarantine,
    private val now: () -> Timestamp,
    private val probe: (BackendServer, (Boolean) -> Unit) -> Unit,
    private val hasEnded: (BackendServer) -> Boolean,
) {
    private val log = EventLog("quarantine")

    /** Runs whose connections were closed by servers that still accepted others. */
    private val unexplained = ArrayDeque<UnexplainedRun>()
    private val listeners = LinkedHashSet<() -> Unit>()

    /** Returns for how long requests with [suspects] remain quarantined; null when they are not. */
    fun remainingQuarantine(suspects: Suspects): Duration? =
        quarantine.refusedUntil(suspects, now())?.let { it - now() }

    /** Calls [listener] whenever more requests may be quarantined, until the returned function is called. */
    fun onQuarantine(listener: () -> Unit): () -> Unit {
        listeners += listener
        return { listeners -= listener }
    }

    /**
     * Checks whether the server of [run] has crashed. The request must not be sent to another server before [onChecked]
     * is called.
     */
    fun onConnectionClosed(run: ClosedRun, onChecked: () -> Unit) {
        probe(run.server) { refused ->
            if (refused) recordCrash(run) else watch(UnexplainedRun(run))
            onChecked()
        }
    }

    /**
     * Checks whether the server of [run] crashed at the end of an answer that only the end of its connection marks, and
     * passes the result to [onChecked], at the latest at [decideBy]. A process accepts connections for a moment while
     * it terminates, so that its server is probed at once and again later.
     */
    fun onUnframedEnd(run: ClosedRun, decideBy: Timestamp, onChecked: (crashed: Boolean) -> Unit) {
        probe(run.server) { refused ->
            when {
                refused -> {
                    recordCrash(run)
                    onChecked(true)
                }

                now() >= decideBy -> onChecked(false)

                else -> watch(UnexplainedRun(run, minOf(decideBy, run.closedAt + SECOND_PROBE_DELAY), onChecked))
            }
        }
    }

    /**
     * Records that [run] ended with a successful answer whose end only the end of the connection marks. The answer
     * counts once the server has been probed a second time.
     */
    fun onUnframedAnswer(run: ClosedRun) {
        if (isProbedTwice(run)) {
            recordAnswer(run.suspects, run.begunAt)
        } else {
            watch(
                UnexplainedRun(run) { crashed ->
                    if (!crashed && isProbedTwice(run)) recordAnswer(run.suspects, run.begunAt)
                },
            )
        }
    }

    private fun isProbedTwice(run: ClosedRun) = now() >= run.closedAt + SECOND_PROBE_DELAY

    /** Watches the server of [run]; when there are too many runs, the oldest one is decided without a second probe. */
    private fun watch(run: UnexplainedRun) {
        unexplained += run
        if (unexplained.size > MAXIMUM_UNEXPLAINED_RUNS) unexplained.removeFirst().onDecided?.invoke(false)
    }

    /** Looks again at the servers of broken runs. A process can accept connections for a moment while it ends. */
    fun tick() {
        val explained = unexplained.filter { hasEnded(it.run.server) }
        val expired = unexplained.filter { it !in explained && now() >= it.run.closedAt + WATCH_TIME }
        unexplained.removeAll(explained + expired)
        explained.forEach { decide(it, crashed = true) }
        expired.forEach { it.onDecided?.invoke(false) }
        unexplained.filter { !it.probedAgain && now() >= it.probeAt }.forEach { watched ->
            watched.probedAgain = true
            probe(watched.run.server) { refused -> onProbedAgain(watched, refused) }
        }
    }

    private fun onProbedAgain(watched: UnexplainedRun, refused: Boolean) {
        val isDecided = refused || watched.onDecided != null
        if (isDecided && unexplained.remove(watched)) decide(watched, crashed = refused)
    }

    private fun decide(watched: UnexplainedRun, crashed: Boolean) {
        if (crashed) recordCrash(watched.run)
        watched.onDecided?.invoke(crashed)
    }

    private fun recordCrash(run: ClosedRun) {
        val crash = ServerCrash(run.server.id, run.server.startedAt, crashedAt = run.closedAt, runBegunAt = run.begunAt)
        val suspicious = quarantine.recordCrash(run.suspects, crash, now())
        log.info("server_ended_under_request") {
            field("request", run.request)
            field("content", run.suspects.content)
            field("parts", run.suspects.parts.joinToString(","))
            field("server", run.server.id)
            field("started_at", run.server.startedAt)
            field("elapsed_millis", (run.closedAt - run.begunAt).inWholeMilliseconds)
        }
        onSuspicious(suspicious)
    }

    /** Records that a run that began at [begunAt] ended with a complete successful answer. */
    fun recordAnswer(suspects: Suspects, begunAt: Timestamp): Unit = quarantine.recordAnswer(suspects, begunAt, now())

    /** Returns the reports for the next gossip message. */
    fun reportsToGossip(): List<QuarantineEntry> = quarantine.entriesToGossip(now())

    /** Removes and returns the reports that every instance must get at once. */
    fun urgentReports(): List<QuarantineEntry> = quarantine.drainUrgentReports()

    /** Returns the reports that an instance needs when it has just become reachable. */
    fun reportsForNewPeer(): List<QuarantineEntry> = quarantine.entriesForNewPeer(now())

    /** Merges the reports of another instance. */
    fun merge(entries: List<QuarantineEntry>) {
        if (entries.isNotEmpty()) onSuspicious(quarantine.merge(entries, now()))
    }

    private fun onSuspicious(digests: List<ContentDigest>) {
        digests.forEach { digest ->
            val reports = quarantine.reportsOf(digest, now())
            log.info("request_quarantined") {
                field(if (Suspects.isPart(digest)) "part" else "content", digest)
                field("servers", reports.joinToString(",") { it.server.value })
                field("answered_before", reports.any { it.answeredBefore })
            }
        }
        if (digests.isNotEmpty()) listeners.toList().forEach { it() }
    }

    /**
     * Holds a run whose server is probed again at [probeAt].
     *
     * @property onDecided is called once with whether the server has crashed, if the second probe decides that; null if
     * the server is watched further
     */
    private class UnexplainedRun(
        val run: ClosedRun,
        val probeAt: Timestamp = run.closedAt + SECOND_PROBE_DELAY,
        val onDecided: ((crashed: Boolean) -> Unit)? = null,
    ) {
        var probedAgain = false
    }

    private companion object {
        /** Time after which the server of a broken run is probed again. */
        val SECOND_PROBE_DELAY = 250.milliseconds

        /** Time for which the registry may show that a server has ended: it lists a silent server for a few seconds. */
        val WATCH_TIME = 10.seconds
        const val MAXIMUM_UNEXPLAINED_RUNS = 256
    }
}
