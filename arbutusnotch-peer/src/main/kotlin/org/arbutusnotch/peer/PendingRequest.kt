/*
 * Tracks a request that waits for its reply, and whether the connection has started to write it.
 */
package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.arbutusnotch.core.message.PeerMessage
import java.util.concurrent.atomic.AtomicReference

/**
 * Holds one request until it completes.
 *
 * Writing and cancellation change the state atomically, so that a cancelled request is never written and a request that
 * the writer has started to write is never reported as not sent.
 */
internal class PendingRequest(val correlation: Long, val frame: EncodedFrame) {
    private val state = AtomicReference(State.QUEUED)

    private val reply = CompletableDeferred<Result<PeerMessage, PeerError>>()

    /** Marks the request as sent and returns true; returns false if it was cancelled and must not be written. */
    fun tryBeginWrite(): Boolean = state.compareAndSet(State.QUEUED, State.WRITE_STARTED)

    /** Cancels the request unless its write has started; returns whether a byte of it may have been sent. */
    fun cancel(): Boolean {
        state.compareAndSet(State.QUEUED, State.CANCELLED)
        return state.get() == State.WRITE_STARTED
    }

    fun complete(message: PeerMessage?) {
        reply.complete(if (message == null) Err(PeerError.NotProcessed) else Ok(message))
    }

    fun fail(error: (requestSent: Boolean) -> PeerError) {
        reply.complete(Err(error(cancel())))
    }

    suspend fun await(): Result<PeerMessage, PeerError> = reply.await()

    private enum class State {
        QUEUED,
        WRITE_STARTED,
        CANCELLED,
    }
}
