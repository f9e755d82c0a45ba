/*
 * The thread that owns all tables. Requests and messages run short blocks on it; the tick runs on it as well.
 */
package org.arbutusnotch.daemon.control

import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors

/**
 * Gives access to [state] from one thread.
 *
 * @param onBrokenInvariant called with the failure of a block; the process must not go on with tables in doubt
 */
internal class ControlLoop(private val state: ControlState, private val onBrokenInvariant: (Throwable) -> Unit) :
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
            onBrokenInvariant(failure)
            throw failure
        }
    }

    override fun close() {
        dispatcher.close()
    }
}
