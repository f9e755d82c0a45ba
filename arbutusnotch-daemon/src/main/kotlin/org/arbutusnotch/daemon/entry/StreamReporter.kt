/*
 * Reports the progress of this entry's attempts to slot owners. The reports renew the reservations of running attempts
 * and contain the observed speed; one message per server covers all attempts there.
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

/** Accumulates the progress of one attempt since the last report. */
internal class RunningAttempt(
    val server: BackendServerId,
    val attempt: AttemptId,
    val kind: ReservationKind,
    val priority: Int,
    val work: Int,
    progressExpectedFrom: Timestamp,
) {
    private var tokens = 0
    private var elapsedMicros = 0L
    private var waitingSince: Timestamp = progressExpectedFrom

    /** Work that an attempt without progress is waiting for: one token, or the whole prefill. */
    val pendingWork: Int = if (kind == ReservationKind.PREFILL) work else 1

    /** Adds [count] units of work that took [elapsed] and were finished at [now]. */
    @Synchronized
    fun recordProgress(count: Int, elapsed: Duration, now: Timestamp) {
        tokens += count
        elapsedMicros += elapsed.inWholeMicroseconds
        waitingSince = now
    }

    /** Returns the time since the last progress; null while no progress is expected yet. */
    @Synchronized
    fun timeSinceProgress(now: Timestamp): Duration? = (now - waitingSince).takeIf { it.isPositive() }

    /** Returns the progress since the last call and resets it. */
    @Synchronized
    fun takeProgress(): AttemptProgress {
        val progress = AttemptProgress(attempt, kind, tokens, elapsedMicros, priority, work)
        tokens = 0
        elapsedMicros = 0
        return progress
    }
}

/** Tracks the running attempts of this entry and reports them to the slot owners. */
internal class StreamReporter(
    private val loop: ControlLoop,
    private val transport: PeerTransport,
    private val localOwner: SlotOwnerService,
) {
    private val running = ConcurrentHashMap<AttemptId, RunningAttempt>()

    /** Whether any attempt is running. */
    val isActive: Boolean
        get() = running.isNotEmpty()

    /** Starts reporting [attempt]. */
    fun start(attempt: RunningAttempt): RunningAttempt {
        running[attempt.attempt] = attempt
        return attempt
    }

    /** Stops reporting [attempt]. */
    fun stop(attempt: RunningAttempt) {
        running.remove(attempt.attempt)
    }

    /** Sends one report for each server with running attempts. */
    suspend fun report() = coroutineScope {
        running.values.groupBy { it.server }.forEach { (server, attempts) ->
            // Separate coroutines, so that an unreachable owner does not delay the renewals at the others.
            launch { report(server, attempts.map { it.takeProgress() }) }
        }
    }

    /** Records in [servers] how long the attempts on each server have waited for progress. */
    fun observeSilence(servers: ServerTable, now: Timestamp) {
        running.values.groupBy { it.server }.forEach { (server, attempts) ->
            val waitTimes = attempts.mapNotNull { it.timeSinceProgress(now) }
            if (waitTimes.isNotEmpty()) {
                servers.observeSilence(server, waitTimes.size, waitTimes.min(), now, attempts.first().pendingWork)
            }
        }
    }

    private suspend fun report(server: BackendServerId, attempts: List<AttemptProgress>) {
        val (self, owner) = loop.run { ReportTarget(self, SlotOwnership.ownerOf(server, liveInstances())) }
        if (owner == null) return
        val message = StreamReport(server, self, attempts)
        val reply = if (owner == self) localOwner.report(message) else sendReport(owner, message)
        reply?.summary?.let { summary -> loop.run { servers.merge(summary) } }
    }

    private suspend fun sendReport(owner: InstanceId, message: StreamReport): StreamReportReply? =
        transport.request(owner.address, message, REPORT_TIMEOUT).fold({ it as? StreamReportReply }, { null })

    private data class ReportTarget(val self: InstanceId, val owner: InstanceId?)

    private companion object {
        val REPORT_TIMEOUT: Duration = 1.seconds
    }
}
