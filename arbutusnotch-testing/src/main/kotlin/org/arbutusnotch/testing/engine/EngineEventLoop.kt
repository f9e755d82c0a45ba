/*
 * Clock and single-threaded event loop of an emulated engine. Deadlines are points on the monotonic clock, so that a
 * late timer or a change of the wall clock does not shift later events.
 */
package org.arbutusnotch.testing.engine

import java.util.concurrent.CompletableFuture
import java.util.concurrent.Future
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

private const val NANOS_PER_MILLI = 1_000_000L

/** Runs the engine's tasks on one thread and provides its time. */
internal class EngineEventLoop : AutoCloseable {
    private val executor = FailFastExecutor()
    private val startNanos = System.nanoTime()
    private var wakeUp: ScheduledFuture<*>? = null

    /** Wall-clock time at the start; it makes the handles of different runs unique. */
    val startedAtEpochMillis: Long = System.currentTimeMillis()

    /** Returns the engine time: nanoseconds since the engine started, from the monotonic clock. */
    fun nowNanos(): Long = System.nanoTime() - startNanos

    fun nowEpochMillis(): Long = System.currentTimeMillis()

    /** Converts a wall-clock deadline to engine time, see [nowNanos]. */
    fun toEngineNanos(epochMillis: Long): Long {
        val millisSinceStart = (epochMillis - startedAtEpochMillis).coerceIn(0, Long.MAX_VALUE / NANOS_PER_MILLI)
        return millisSinceStart * NANOS_PER_MILLI
    }

    /** Runs [task] on the engine's thread. */
    fun execute(task: () -> Unit) {
        try {
            executor.execute(task)
        } catch (_: RejectedExecutionException) {
            // The engine is shutting down, which also closes the connections of its callers.
        }
    }

    /** Replaces the pending wake-up by one at [atNanos]; null only cancels it. */
    fun scheduleWakeUp(atNanos: Long?, task: () -> Unit) {
        wakeUp?.cancel(false)
        wakeUp = atNanos?.let { executor.schedule(task, it - nowNanos(), TimeUnit.NANOSECONDS) }
    }

    /** Completes [future] with [value] after [delayNanos]; a delay of zero completes it in the calling thread. */
    fun <T> completeAfter(future: CompletableFuture<T>, value: T, delayNanos: Long) {
        if (delayNanos <= 0) {
            future.complete(value)
        } else {
            executor.schedule({ future.complete(value) }, delayNanos, TimeUnit.NANOSECONDS)
        }
    }

    /** Halts the process at [atNanos] without shutdown hooks, to simulate a crash. */
    fun scheduleCrash(atNanos: Long) {
        executor.schedule({ Runtime.getRuntime().halt(CRASH_EXIT_CODE) }, atNanos - nowNanos(), TimeUnit.NANOSECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }
}

/** Halts the process when a task fails, because an engine in an inconsistent state would invalidate test results. */
private class FailFastExecutor :
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
