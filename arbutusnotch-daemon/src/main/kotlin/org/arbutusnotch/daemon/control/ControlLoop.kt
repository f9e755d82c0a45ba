/*
 * The thread that owns all tables. Requests, messages and the tick run short blocks of code on it.
 */
package org.arbutusnotch.daemon.control

import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors

/**
 * Gives access to [state] from one thread.
 *
 * @param onInvariantViolation called when a block throws [IllegalStateException]; must stop the process, since the
 *   tables may be inconsistent
 */
internal class ControlLoop(private val state: ControlState, private val onInvariantViolation: (Throwable) -> Unit) :
    AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor { task ->
        Thread(task, "control").apply { isDaemon = true }
    }
    private val dispatcher = executor.asCoroutineDispatcher()

    /** Runs [block] on the control thread and returns its result. */
    suspend fun <T> run(block: ControlState.() -> T): T = withContext(dispatcher) {
        try {
            state.block()
        } catch (failure: IllegalStateException) {
            onInvariantViolation(failure)
            throw failure
        }
    }

    override fun close() {
        dispatcher.close()
    }
}
