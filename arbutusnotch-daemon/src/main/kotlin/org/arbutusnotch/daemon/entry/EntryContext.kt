/*
 * Components and operations that all request handlers of an entry share.
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

/** Maximum number of candidate servers that an entry tries to reserve before it refuses a request. */
internal const val MAXIMUM_RESERVATION_CANDIDATES: Int = 3

/** Minimum time that a reservation may wait, so that a request near its deadline can still get a free slot. */
internal val MINIMUM_START_WAIT: Duration = 20.milliseconds

/** Holds the components of the daemon that request handlers use. */
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
    /** Cancels [attempt] on [server] in the background, with retries. The engine ignores unknown attempts. */
    fun cancelAttempt(server: BackendServerId, attempt: AttemptId) {
        background.launch {
            repeat(CANCEL_ATTEMPTS) {
                if (engine.cancel(server, attempt, clock.now() + CANCEL_TIMEOUT).isOk) return@launch
                delay(CANCEL_RETRY_DELAY)
            }
        }
    }

    /**
     * Reports that [server] crashed while it ran the request [digest], if [error] broke the connection and the server
     * no longer responds. After a second prefill both servers are checked, since both may have crashed.
     */
    suspend fun reportIfCrashed(digest: ContentDigest, server: BackendServerId, error: BackendError) {
        if (error !is BackendError.BrokenAfterWrite) return
        val probe = engine.load(server, clock.now() + PROBE_TIMEOUT)
        val answered = probe.fold(success = { true }, failure = { it is BackendError.FailedStatus })
        if (!answered) reportCrash(digest, server)
    }

    /**
     * Cancels [attempt] on a [server] that sends no token, and reports a crash for [digest] if the server is no longer
     * reachable. The request must not run elsewhere before this returns, because a crash before the first token is
     * visible only as a missing token.
     */
    suspend fun cancelStalled(digest: ContentDigest, server: BackendServerId, attempt: AttemptId) {
        val error = engine.cancel(server, attempt, clock.now() + PROBE_TIMEOUT).getError()
        if (error is BackendError.NotConnected || error is BackendError.BrokenAfterWrite) reportCrash(digest, server)
    }

    private suspend fun reportCrash(digest: ContentDigest, server: BackendServerId) {
        loop.run { quarantine.report(digest, server, clock.now()) }
        counters.countQuarantineEvent(QuarantineEvent.CRASH_RECORDED)
    }

    /** Runs [block] on the control thread without waiting for it, even if the request is cancelled. */
    fun launchOnControlThread(block: ControlState.() -> Unit) {
        background.launch { loop.run(block) }
    }

    private companion object {
        val PROBE_TIMEOUT: Duration = 300.milliseconds
        val CANCEL_TIMEOUT: Duration = 2.seconds
        val CANCEL_RETRY_DELAY: Duration = 200.milliseconds
        const val CANCEL_ATTEMPTS = 3
    }
}
