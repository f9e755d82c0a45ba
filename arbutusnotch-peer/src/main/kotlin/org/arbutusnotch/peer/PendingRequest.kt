/*
 * A request that waits for its reply, and whether the connection has begun to write it.
 */
package org.arbutusnotch.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import org.arbutusnotch.core.message.PeerMessage
import java.util.concurrent.atomic.AtomicReference

/**
 * Holds one request until it is answered.
 *
 * The writer and whoever gives the request up compete for its state, so that a withdrawn request is never written and a
 * request that the writer has taken is never reported as not sent.
 */
internal class PendingRequest(val correlation: Long, val frame: EncodedFrame) {
    private val state = AtomicReference(State.QUEUED)

    private val reply = CompletableDeferred<Result<PeerMessage, PeerError>>()

    /** Returns whether the writer may write the request; the request counts as sent from then on. */
    fun beginWrite(): Boolean = state.compareAndSet(State.QUEUED, State.WRITTEN)

    /** Gives the request up and returns whether a byte of it may have been sent. */
    fun withdraw(): Boolean {
        state.compareAndSet(State.QUEUED, State.WITHDRAWN)
        return state.get() == State.WRITTEN
    }

    fun complete(message: PeerMessage?) {
        reply.complete(if (message == null) Err(PeerError.NotProcessed) else Ok(message))
    }

    fun fail(error: (requestSent: Boolean) -> PeerError) {
        reply.complete(Err(error(withdraw())))
    }

    suspend fun await(): Result<PeerMessage, PeerError> = reply.await()

    private enum class State {
        QUEUED,
        WRITTEN,
        WITHDRAWN,
    }
}
