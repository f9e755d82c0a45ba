/*
 * Tests behavior that all commands share: help, exit codes, timeouts.
 */
package org.arbutusnotch.cli

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

class CommandLineTest {
    /** Guards against a command without help or without an example. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "check", "status", "wait", "entry-points", "explain", "drain", "quarantine", "quarantine list",
            "quarantine clear", "counters",
        ],
    )
    fun `every command has help with an example`(command: String) {
        val words = command.split(" ").filter { it.isNotEmpty() }
        val result = arbutusnotchctl(*words.toTypedArray(), "--help")
        expectThat(result.exitCode).isEqualTo(0)
        expectThat(result.standardOutput.lines()).contains("Example:")
        expectThat(result.standardOutput).contains("\narbutusnotchctl $command".trimEnd())
        expectThat(result.standardError).isEmpty()
    }

    /** Guards against an invalid command line that scripts interpret as success or as a slow deployment. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "", "unknown", "status", "status --instance", "status --instance nowhere", "status --instance a:1 extra",
            "status --output xml --instance a:1", "status --timeout 0 --instance a:1", "wait --instance a:1",
            "wait --revision 0 --instance a:1", "wait --revision seven --instance a:1", "check", "quarantine",
        ],
    )
    fun `an invalid command line exits with 2 and prints an error to standard error`(commandLine: String) {
        val result = arbutusnotchctl(*commandLine.split(" ").filter { it.isNotEmpty() }.toTypedArray())
        expectThat(result.exitCode).isEqualTo(2)
        expectThat(result.standardOutput).isEmpty()
        expectThat(result.standardError).isNotEmpty()
    }

    /** Guards against hanging on an instance that accepts connections but never responds. */
    @Test
    fun `an instance that does not respond is unreachable after the timeout`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { socket ->
            val duration = measureTime {
                val address = "127.0.0.1:${socket.localPort}"
                val result = arbutusnotchctl("counters", "--timeout", "1", "--instance", address)
                expectThat(result.exitCode).isEqualTo(3)
                expectThat(result.standardError).contains("$address: unreachable: ")
            }
            expectThat(duration).isLessThan(10.seconds)
        }
    }
}
