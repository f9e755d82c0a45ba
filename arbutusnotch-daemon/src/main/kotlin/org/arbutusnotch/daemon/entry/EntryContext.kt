/*
 * What every request of an entry uses.
 */
package org.arbutusnotch.daemon.entry

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.arbutusnotch.core.id.AttemptId
import org.arbutusnotch.core.id.BackendServerId
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.core.id.InstanceId
import org.arbutusnotch.daemon.backend.BackendError
import org.arbutusnotch.daemon.backend.EngineClient
import org.arbutusnotch.daemon.backend.ServiceClient
import org.arbutusnotch.daemon.control.ControlLoop
import org.arbutusnotch.daemon.control.ControlState
import org.arbutusnotch.daemon.telemetry.Counters
import org.arbutusnotch.daemon.telemetry.QuarantineEvent
import org.arbutusnotch.telemetry.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Number of candidates that an entry asks for a reservation before it refuses a request. */
internal const val CANDIDATES_ASKED: Int = 3

/** Shortest time that a reservation may wait, so that a request near its deadline can still get a free slot. */
internal val SHORTEST_START_WAIT: Duration = 20.milliseconds

/** Holds the parts of the daemon that requests use. */
internal class EntryContext(
    val self: InstanceId,
    val loop: ControlLoop,
    val clock: Clock,
    val engine: EngineClient,
    val services: ServiceClient,
    val reservations: ReservationGateway,
    val permits: PermitGateway,
    val reporter: StreamReporter,
    val counters: Counters,
    val background: CoroutineScope,
) {
    /** Releases what [server] holds for [attempt], without waiting for it. The engine ignores unknown attempts. */
    fun release(server: BackendServerId, attempt: AttemptId) {
        background.launch {
            repeat(CANCEL_ATTEMPTS) {
                if (engine.cancel(server, attempt, clock.now() + CANCEL_TIMEOUT).isOk) return@launch
                delay(CANCEL_RETRY_DELAY)
            }
        }
    }

    /**
     * Reports the request [digest] as running on [server] when it crashed, if [error] broke its stream and the server
     * does not answer any more. Both engines of a late prefill are checked, since both may have crashed.
     */
    suspend fun reportIfCrashed(digest: ContentDigest, server: BackendServerId, error: BackendError) {
        if (error !is BackendError.BrokenAfterWrite) return
        val probe = engine.load(server, clock.now() + PROBE_TIMEOUT)
        val answered = probe.fold(success = { true }, failure = { it is BackendError.FailedStatus })
        if (!answered) reportCrash(digest, server)
    }

    /**
     * Stops [attempt] on a [server] that has fallen silent, and reports [digest] when nothing listens there any more.
     * The request must not run elsewhere before that is known: a crash before the first token shows as silence only.
     */
    suspend fun stopSilent(digest: ContentDigest, server: BackendServerId, attempt: AttemptId) {
        val error = engine.cancel(server, attempt, clock.now() + PROBE_TIMEOUT).getError()
        if (error is BackendError.NotConnected || error is BackendError.BrokenAfterWrite) reportCrash(digest, server)
    }

    private suspend fun reportCrash(digest: ContentDigest, server: BackendServerId) {
        loop.run { quarantine.report(digest, server, clock.now()) }
        counters.countQuarantineEvent(QuarantineEvent.CRASH_RECORDED)
    }

    /** Runs [block] on the control thread without waiting for it, also when the request was cancelled. */
    fun onControl(block: ControlState.() -> Unit) {
        background.launch { loop.run(block) }
    }

    private companion object {
        val PROBE_TIMEOUT: Duration = 300.milliseconds
        val CANCEL_TIMEOUT: Duration = 2.seconds
        val CANCEL_RETRY_DELAY: Duration = 200.milliseconds
        const val CANCEL_ATTEMPTS = 3
    }
}
