/*
 * One process of a deployment. Signals go to the process by its id.
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
 * @property id name of the process in the deployment
 */
public class ManagedProcess internal constructor(
    public val id: String,
    private val command: List<String>,
    public val log: Path,
) {
    private var process: Process? = null

    /** Process id; null before the first start. */
    public val pid: Long? get() = process?.pid()

    /** Whether the process runs; a paused process does. */
    public val isAlive: Boolean get() = process?.isAlive == true

    /** Exit code of a process that has ended; null otherwise. */
    public val exitCode: Int? get() = process?.takeIf { !it.isAlive }?.exitValue()

    /** Processor time that the process has used. */
    public val processorTime: Duration
        get() = process?.toHandle()?.info()?.totalCpuDuration()?.orElse(null)?.toKotlinDuration() ?: Duration.ZERO

    /** Starts the process; it must not run. */
    public fun start() {
        check(!isAlive) { "$id already runs" }
        process = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start()
    }

    /** Ends the process with SIGKILL and waits for its end. */
    public fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Stops the process with SIGSTOP. */
    public fun pause(): Unit = signal("STOP")

    /** Continues a stopped process with SIGCONT. */
    public fun resume(): Unit = signal("CONT")

    /** Sends SIGTERM without waiting. */
    public fun terminate() {
        process?.destroy()
    }

    /** Waits for the end of the process; returns the exit code, or null when it still runs after [timeout]. */
    public fun awaitExit(timeout: Duration): Int? =
        process?.takeIf { it.waitFor(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS) }?.exitValue()

    /** Returns what the process has printed. */
    public fun output(): String = if (log.exists()) log.readText() else ""

    private fun signal(name: String) {
        val target = checkNotNull(pid) { "$id was not started" }
        val sent = ProcessBuilder("kill", "-$name", target.toString()).start()
        check(sent.waitFor(SIGNAL_TIMEOUT.inWholeSeconds, TimeUnit.SECONDS) && sent.exitValue() == 0) {
            "cannot send SIG$name to $id"
        }
    }

    private companion object {
        val SIGNAL_TIMEOUT = 5.seconds
    }
}
