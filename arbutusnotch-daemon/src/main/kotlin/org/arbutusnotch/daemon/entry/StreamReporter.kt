/*
 * The progress reports of this entry to slot owners. They renew the reservations of running attempts and tell owners
 * the observed speed; one message per server carries all attempts there.
 */
package org.arbutusnotch.daemon.entry

import com.github.michaelbull.result.fold
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.core.membership.SlotOwnership
import org.arbutusnotch.core.message.AttemptProgress
import org.arbutusnotch.core.message.ReservationKind
import org.arbutusnotch.core.message.StreamReport
import org.arbutusnotch.core.message.StreamReportReply
import org.arbutusnotch.core.straggler.ServerTable
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.daemon.control.SlotOwnerService
import org.arbutusnotch.peer.PeerTransport
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time between two reports about the same attempt. */
internal val REPORT_INTERVAL: Duration = 250.milliseconds

/** Counts what one attempt received since the last report. */
internal class RunningAttempt(
    val server: BackendServerId,
    val attempt: AttemptId,
    val kind: ReservationKind,
    val priority: Int,
    val work: Int,
    expectedSince: Timestamp,
) {
    private var tokens = 0
    private var elapsedMicros = 0L
    private var waitingSince: Timestamp = expectedSince

    /** Work that the attempt waits for when it makes no progress: one token, or the whole prefill. */
    val silentWork: Int = if (kind == ReservationKind.PREFILL) work else 1

    /** Adds [count] units of work that took [elapsed] and were finished at [now]. */
    @Synchronized
    fun add(count: Int, elapsed: Duration, now: Timestamp) {
        tokens += count
        elapsedMicros += elapsed.inWholeMicroseconds
        waitingSince = now
    }

    /** Returns the time since the last progress; null while no progress is expected. */
    @Synchronized
    fun silence(now: Timestamp): Duration? = (now - waitingSince).takeIf { it.isPositive() }

    /** Returns the progress since the last call. */
    @Synchronized
    fun take(): AttemptProgress {
        val progress = AttemptProgress(attempt, kind, tokens, elapsedMicros, priority, work)
        tokens = 0
        elapsedMicros = 0
        return progress
    }
}

/** Keeps the running attempts of this entry and reports them to the owners. */
internal class StreamReporter(
    private val loop: ControlLoop,
    private val transport: PeerTransport,
    private val local: SlotOwnerService,
) {
    private val running = ConcurrentHashMap<AttemptId, RunningAttempt>()

    /** Whether any attempt is running. */
    val isActive: Boolean
        get() = running.isNotEmpty()

    /** Starts to report [attempt]. */
    fun start(attempt: RunningAttempt): RunningAttempt {
        running[attempt.attempt] = attempt
        return attempt
    }

    /** Stops to report [attempt]. */
    fun stop(attempt: RunningAttempt) {
        running.remove(attempt.attempt)
    }

    /** Sends one report for each server with running attempts. */
    suspend fun report() = coroutineScope {
        running.values.groupBy { it.server }.forEach { (server, attempts) ->
            // Separate coroutines, so that an unreachable owner does not delay the renewals at the others.
            launch { report(server, attempts.map { it.take() }) }
        }
    }

    /** Records in [servers] how long the attempts on each server have waited for progress. */
    fun observeSilence(servers: ServerTable, now: Timestamp) {
        running.values.groupBy { it.server }.forEach { (server, attempts) ->
            val silences = attempts.mapNotNull { it.silence(now) }
            if (silences.isNotEmpty()) {
                servers.observeSilence(server, silences.size, silences.min(), now, attempts.first().silentWork)
            }
        }
    }

    private suspend fun report(server: BackendServerId, attempts: List<AttemptProgress>) {
        val (self, owner) = loop.run { ReportTarget(self, SlotOwnership.ownerOf(server, liveIds())) }
        if (owner == null) return
        val message = StreamReport(server, self, attempts)
        val reply = if (owner == self) local.report(message) else send(owner, message)
        reply?.summary?.let { summary -> loop.run { servers.merge(summary) } }
    }

    private suspend fun send(owner: InstanceId, message: StreamReport): StreamReportReply? =
        transport.request(owner.address, message, REPORT_TIMEOUT).fold({ it as? StreamReportReply }, { null })

    private data class ReportTarget(val self: InstanceId, val owner: InstanceId?)

    private companion object {
        val REPORT_TIMEOUT: Duration = 1.seconds
    }
}
