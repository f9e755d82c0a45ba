/*
 * Tests `arbutusnotchctl trace`.
 */
package org.arbutusnotch.cli

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.writeText

class TraceCommandTest {
    @TempDir
    lateinit var directory: Path

    private fun log(name: String, vararg lines: String): String =
        directory.resolve(name).also { it.writeText(lines.joinToString("\n")) }.toString()

    private val holder
        get() = log(
            "holder.log",
            "time=2026-12-04T07:00:00.100Z level=INFO component=front event=request_received request=r1 pool=p",
            "time=2026-12-04T07:00:00.150Z level=INFO component=front event=request_received request=r2 pool=p",
            "time=2026-12-04T07:00:00.200Z level=INFO component=exchange event=place_granted request=r1 ticket=t/1 " +
                "server=a",
            "time=2026-12-04T07:00:00.300Z level=INFO component=registry event=server_entry_removed server=a",
            "time=2026-12-04T07:00:00.310Z level=INFO component=registry event=server_entry_removed server=b",
            "time=2026-12-04T07:00:00.400Z level=INFO component=exchange event=attempt_ended request=r1 server=a " +
                "outcome=broken detail=\"Connection reset\"",
            "time=2026-12-04T07:00:09.000Z level=WARN component=store event=store_lost prefix=servers/",
            "time=2026-12-04T07:00:0",
        )

    private val dispatcher
        get() = log(
            "dispatcher.log",
            "time=2026-12-04T07:00:00.180Z level=INFO component=dispatch event=dispatch_refused ticket=t/1 waiting=4",
            "time=2026-12-04T07:00:00.190Z level=INFO component=dispatch event=dispatch_refused ticket=t/2 waiting=4",
            "a line of another program",
        )

    /** Guards against omitting the dispatcher's lines, and against lines of other requests, servers and times. */
    @Test
    fun `lines of the request, its ticket and its servers are printed in order`() {
        val result = arbutusnotchctl("trace", holder, dispatcher, "--request", "r1")
        expectThat(result.exitCode).isEqualTo(0)
        expectThat(result.standardOutput.lines().filter { it.isNotEmpty() }).containsExactly(
            "2026-12-04T07:00:00.100Z  holder.log  event=request_received request=r1 pool=p",
            "2026-12-04T07:00:00.180Z  dispatcher.log  event=dispatch_refused ticket=t/1 waiting=4",
            "2026-12-04T07:00:00.200Z  holder.log  event=place_granted request=r1 ticket=t/1 server=a",
            "2026-12-04T07:00:00.300Z  holder.log  event=server_entry_removed server=a",
            "2026-12-04T07:00:00.400Z  holder.log  event=attempt_ended request=r1 server=a outcome=broken " +
                "detail=\"Connection reset\"",
        )
    }

    /** Guards against ignoring a longer margin; the cause of a failure may long precede the request. */
    @Test
    fun `a longer margin shows more lines of the instance`() {
        val result = arbutusnotchctl("trace", holder, "--request", "r1", "--margin", "10")
        expectThat(result.standardOutput).contains("event=store_lost prefix=servers/")
    }

    /** Guards against losing the instance name in a file that contains the logs of several instances. */
    @Test
    fun `the name before a line is its source`() {
        val line = "time=2026-12-04T07:00:00.100Z level=INFO component=front event=request_received request=r1"
        val result = arbutusnotchctl("trace", log("all.log", "  0.100 front-1 $line"), "--request", "r1")
        expectThat(result.standardOutput).contains("  front-1  event=request_received")
    }

    @Test
    fun `an unknown request and a missing file are reported`() {
        val unknown = arbutusnotchctl("trace", holder, "--request", "r9")
        expectThat(unknown.exitCode).isEqualTo(ExitCode.FAILED.value)
        expectThat(unknown.standardError).contains("no log line of request r9")
        val missing = arbutusnotchctl("trace", "missing.log", "--request", "r1")
        expectThat(missing.exitCode).isEqualTo(ExitCode.INVALID_INPUT.value)
    }
}
