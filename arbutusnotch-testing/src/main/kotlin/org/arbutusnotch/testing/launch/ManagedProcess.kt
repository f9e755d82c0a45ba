/*
 * One process of a deployment. Signals are sent to its process id only.
 */
package org.arbutusnotch.testing.launch

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toKotlinDuration

/**
 * Runs [command] and appends its output to [log].
 *
 * @property id id of the process in the deployment
 */
public class ManagedProcess internal constructor(
    public val id: String,
    private val command: List<String>,
    public val log: Path,
) {
    private var process: Process? = null

    /** Process id; null before the first start. */
    public val pid: Long? get() = process?.pid()

    /** Whether the process is running or paused. */
    public val isAlive: Boolean get() = process?.isAlive == true

    /** Exit code of a process that has ended; null otherwise. */
    public val exitCode: Int? get() = process?.takeIf { !it.isAlive }?.exitValue()

    /** Processor time that the process has used; zero when it is not known. */
    public val processorTime: Duration
        get() = process?.toHandle()?.info()?.totalCpuDuration()?.orElse(null)?.toKotlinDuration() ?: Duration.ZERO

    /**
     * Starts the process.
     *
     * @throws IllegalStateException when it is already running
     */
    public fun start() {
        check(!isAlive) { "$id is already running" }
        process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start()
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    public fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Suspends the process with SIGSTOP. */
    public fun pause(): Unit = signal("STOP")

    /** Resumes a paused process with SIGCONT. */
    public fun resume(): Unit = signal("CONT")

    /** Sends SIGTERM without waiting. */
    public fun terminate() {
        process?.destroy()
    }

    /** Waits until the process has exited and returns its exit code; null when that takes longer than [timeout]. */
    public fun awaitExit(timeout: Duration): Int? =
        process?.takeIf { it.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS) }?.exitValue()

    /** Returns the output of the process, including that of earlier starts. */
    public fun output(): String = if (log.exists()) log.readText() else ""

    private fun signal(name: String) {
        val processId = checkNotNull(pid) { "$id was not started" }
        val command = ProcessBuilder("kill", "-$name", processId.toString()).start()
        check(command.waitFor(SIGNAL_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS) && command.exitValue() == 0) {
            "cannot send SIG$name to $id"
        }
    }

    private companion object {
        val SIGNAL_TIMEOUT = 5.seconds
    }
}
