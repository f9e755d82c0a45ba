/*
 * The time of an engine and its single thread. Deadlines are points on the monotonic clock, so that a late timer or a
 * change of the time of day does not shift later events.
 */
package org.arbutusnotch.testing.engine

import java.util.concurrent.CompletableFuture
import java.util.concurrent.Future
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

private const val NANOS_PER_MILLI = 1_000_000L

/** Runs the engine's work on one thread. */
internal class EngineClock : AutoCloseable {
    private val executor = EngineExecutor()
    private val startNanos = System.nanoTime()
    private var wake: ScheduledFuture<*>? = null

    /** Time of day at the start; it makes handles of different starts differ. */
    val startedAtEpochMillis: Long = System.currentTimeMillis()

    /** Nanoseconds since the engine started. */
    fun nanos(): Long = System.nanoTime() - startNanos

    fun epochMillis(): Long = System.currentTimeMillis()

    /** Returns the time in [nanos] of a deadline that a caller gave as time of day. */
    fun nanosAt(epochMillis: Long): Long {
        val leftMillis = (epochMillis - startedAtEpochMillis).coerceIn(0, Long.MAX_VALUE / NANOS_PER_MILLI)
        return leftMillis * NANOS_PER_MILLI
    }

    /** Runs [task] on the engine's thread. */
    fun run(task: () -> Unit) {
        try {
            executor.execute(task)
        } catch (_: RejectedExecutionException) {
            // The engine is stopping and its callers' connections end with it.
        }
    }

    /** Replaces the next wake-up by one at [atNanos]. */
    fun wakeAt(atNanos: Long?, task: () -> Unit) {
        wake?.cancel(false)
        wake = atNanos?.let { executor.schedule(task, it - nanos(), TimeUnit.NANOSECONDS) }
    }

    /** Completes [future] after [delayNanos]. */
    fun <T> completeLater(future: CompletableFuture<T>, value: T, delayNanos: Long) {
        if (delayNanos <= 0) {
            future.complete(value)
        } else {
            executor.schedule({ future.complete(value) }, delayNanos, TimeUnit.NANOSECONDS)
        }
    }

    /** Ends the process at [atNanos], as a crash would. */
    fun crashAt(atNanos: Long) {
        executor.schedule({ Runtime.getRuntime().halt(CRASH_EXIT_CODE) }, atNanos - nanos(), TimeUnit.NANOSECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }
}

/** Ends the process when a task fails: an engine whose state is not consistent would make every test result void. */
private class EngineExecutor :
    ScheduledThreadPoolExecutor(1, { task -> Thread(task, "engine").apply { isDaemon = true } }) {
    init {
        removeOnCancelPolicy = true
    }

    override fun afterExecute(task: Runnable, failure: Throwable?) {
        super.afterExecute(task, failure)
        val cause = failure ?: (task as? Future<*>)?.takeIf { it.isDone && !it.isCancelled }?.failure()
        if (cause != null) {
            cause.printStackTrace()
            Runtime.getRuntime().halt(FAILED_TASK_EXIT_CODE)
        }
    }

    private fun Future<*>.failure(): Throwable? = runCatching { get() }.exceptionOrNull()

    private companion object {
        const val FAILED_TASK_EXIT_CODE = 71
    }
}
