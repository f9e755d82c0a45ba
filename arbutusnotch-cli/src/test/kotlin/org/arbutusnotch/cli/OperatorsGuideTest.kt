/*
 * Compares the operators' guide with the values that the programs use.
 */
package org.arbutusnotch.cli

import org.arbutusnotch.core.outcome.RefusalReason
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.nio.file.Path
import kotlin.io.path.readLines

class OperatorsGuideTest {
    private val lines = Path.of("../docs/operators.md").readLines()

    /** Guards against a refusal reason that is missing from the guide, or listed with another status. */
    @Test
    fun `every refusal reason has a row with its status`() {
        val undocumented = RefusalReason.entries.filterNot { reason ->
            lines.any { line -> line.startsWith("| `${reason.code}` | ${reason.httpStatus} | ") }
        }
        expectThat(undocumented).isEmpty()
    }

    /** Guards against an exit code of the tool that the guide does not explain. */
    @Test
    fun `every exit code of the tool has a row`() {
        val table = lines.dropWhile { line -> "exit code of `arbutusnotchctl`" !in line }.takeWhile { it.isNotEmpty() }
        val undocumented = ExitCode.entries.filterNot { code ->
            table.any { line -> line.startsWith("| ${code.value} | ") }
        }
        expectThat(undocumented).isEmpty()
    }

    /** Guards against a documented command or option that the tool does not have. */
    @Test
    fun `every documented command line is valid`() {
        val commandLines = (lines + Path.of("../README.md").readLines()).map { line -> line.trim() }
            .filter { line -> line.startsWith(TOOL) }
            .map { line -> withLocalValues(line.removePrefix(TOOL).trim().split(" ")) }
        val invalid = commandLines.filter { words ->
            arbutusnotchctl(*words.toTypedArray()).exitCode !in
                setOf(ExitCode.SUCCESS.value, ExitCode.UNREACHABLE.value)
        }
        expectThat(commandLines.size).isGreaterThan(MINIMUM_COMMAND_LINES)
        expectThat(invalid).isEmpty()
    }

    /** Replaces addresses by one on which nothing listens, timeouts by the shortest, and paths by existing ones. */
    private fun withLocalValues(words: List<String>): List<String> = words.mapIndexed { index, word ->
        when {
            words.getOrNull(index - 1) == "--instance" -> unusedAddress()
            words.getOrNull(index - 1) == "--timeout" -> "1"
            else -> word.replace("examples/", "../examples/")
        }
    }

    private companion object {
        const val TOOL = "bin/arbutusnotchctl"
        const val MINIMUM_COMMAND_LINES = 8
    }
}
