/*
 * Entry point of the program `arbutusnotchd`.
 */
package org.arbutusnotch.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.arbutusnotch.settings.DaemonSettings
import org.arbutusnotch.settings.DaemonSettingsReader
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger

/** Runs one instance until its shutdown has finished. */
public fun main(arguments: Array<String>): Unit = DaemonCommand().main(arguments)

private const val EXIT_FAILED = 1
private const val EXIT_INVALID_SETTINGS = 2

private class DaemonCommand : CliktCommand(name = "arbutusnotchd") {
    private val settingsFile: Path by option("--settings", metavar = "FILE", help = "Settings of this instance (TOML)")
        .path()
        .required()

    override fun help(context: Context): String = """
        Runs one instance of the router.

        Exit codes: 0 after a graceful shutdown, 1 when an address cannot be bound or work was interrupted,
        2 when the settings are invalid.

        Example: arbutusnotchd --settings examples/instance.toml
    """.trimIndent()

    override fun run() {
        val settings = DaemonSettingsReader.read(settingsFile).fold(
            success = { it },
            failure = { errors ->
                errors.forEach { echo(it.toString(), err = true) }
                throw ProgramResult(EXIT_INVALID_SETTINGS)
            },
        )
        throw ProgramResult(runBlocking { serve(settings) })
    }

    private suspend fun serve(settings: DaemonSettings): Int {
        val daemon = Daemon(settings)
        val started = daemon.start()
        val error = started.fold(success = { null }, failure = { it })
        if (error != null) {
            echo("cannot start: ${error.message}", err = true)
            daemon.close()
            return EXIT_FAILED
        }
        ShutdownSignals(daemon).install()
        val end = daemon.awaitEnd()
        daemon.close()
        return if (end.interruptedRequests == 0 && end.interruptedTokens == 0) 0 else EXIT_FAILED
    }
}

/** Starts a graceful shutdown on the first SIGTERM or SIGINT and interrupts it on the second. */
private class ShutdownSignals(private val daemon: Daemon) {
    private val signalCount = AtomicInteger()
    private val scope = CoroutineScope(Dispatchers.Default)

    fun install() {
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { onSignal() } }
    }

    private fun onSignal() {
        val first = signalCount.incrementAndGet() == 1
        scope.launch { if (first) daemon.drain() else daemon.interrupt() }
    }
}
