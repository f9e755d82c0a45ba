/*
 * Tests damaged settings files: truncated, too large, or not valid text.
 */
package org.arbutusnotch.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.first
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.single
import java.nio.file.Path

class SettingsFileDamageTest {
    /** Guards against a file truncated within a line that still parses, for example with a shorter last number. */
    @Test
    fun `a file truncated within a line is rejected`() {
        val bytes = VALID_OPERATORS_FILE.toByteArray()
        val acceptedLengths = (0 until bytes.size)
            .filter { length -> length > 0 && bytes[length - 1] != '\n'.code.toByte() }
            .filter { length -> DeploymentConfigurationReader.read(bytes.copyOf(length), FILE_NAME).get() != null }
        expectThat(acceptedLengths).isEmpty()
    }

    /** Guards against activating half a deployment: a truncated file is valid only after a complete operation. */
    @Test
    fun `a file truncated between lines is rejected unless every declared entry is complete`() {
        val lines = VALID_OPERATORS_FILE.lines().dropLast(1)
        val acceptedLineCounts = (0 until lines.size)
            .filter { count -> deploymentOf(lines.take(count).joinToString("\n", postfix = "\n")) != null }
        expectThat(acceptedLineCounts).isEqualTo(listOf(68, 69))
    }

    /** Guards against an error about a truncated file that does not say where the file ends. */
    @Test
    fun `truncation within the last number is reported at the end of the file`() {
        val truncated = VALID_OPERATORS_FILE.removeSuffix("00\n")
        expectThat(deploymentErrors(truncated)).single().and {
            get { line }.isEqualTo(73)
            get { column }.isEqualTo("timeout_millis = 10".length + 1)
            get { found }.isEqualTo("no newline at the end of the file")
        }
    }

    /** Guards against a syntax error that hides later ones. */
    @Test
    fun `all syntax errors are reported with line and column`() {
        val text = VALID_OPERATORS_FILE.change("revision = 7", "revision 7").change("slots = 32", "slots = thirty")
        val positions = deploymentErrors(text).map { error -> error.line to error.column }
        expectThat(positions).isEqualTo(listOf(1 to 10, 59 to 9))
    }

    /** Guards against a duplicate key, of which one value would silently override the other. */
    @Test
    fun `a duplicate key is a syntax error`() {
        val text = VALID_OPERATORS_FILE.change("priority = 9", "priority = 9\npriority = 8")
        expectThat(deploymentErrors(text)).single().and {
            get { line }.isEqualTo(20)
            get { found }.contains("priority")
            get { allowed }.isEqualTo("TOML 1.0")
        }
    }

    /** Guards against silent replacement of invalid bytes, which would make two different files equal. */
    @Test
    fun `invalid UTF-8 is rejected with its line and column`() {
        val before = "revision = 7\n# caf"
        val bytes = before.toByteArray() + 0xE9.toByte() + "\n".toByteArray()
        expectThat(DeploymentConfigurationReader.read(bytes, FILE_NAME).getError()).isNotNull().single().and {
            get { line }.isEqualTo(2)
            get { column }.isEqualTo(6)
            get { found }.isEqualTo("byte 0xe9")
            get { allowed }.isEqualTo("UTF-8")
        }
    }

    /** Guards against an incomplete character at the end of the file, which a decoder can overlook. */
    @Test
    fun `a file that ends within a character is rejected`() {
        val bytes = VALID_OPERATORS_FILE.toByteArray() + "# ".toByteArray() + 0xC3.toByte()
        expectThat(DeploymentConfigurationReader.read(bytes, FILE_NAME).getError()).isNotNull().first()
            .get { allowed }.isEqualTo("UTF-8")
    }

    /** Guards against accepting files that the platform cannot store, and against rejecting the largest that it can. */
    @Test
    fun `files are accepted up to one megabyte`() {
        val padding = "#".repeat(MAXIMUM_FILE_BYTES - VALID_OPERATORS_FILE.length - 1)
        val largest = VALID_OPERATORS_FILE + padding + "\n"
        expectThat(deploymentOf(largest)).isNotNull()
        expectThat(deploymentErrors("$largest\n")).single().and {
            get { found }.isEqualTo("1000001 bytes")
            get { allowed }.isEqualTo("at most 1000000 bytes")
        }
    }

    /** Guards against a parser that overflows the stack of the thread that reads the configuration. */
    @Test
    fun `deeply nested values are rejected`() {
        val nested = "x = " + "[".repeat(200_000) + "\n"
        expectThat(deploymentErrors(nested)).isNotEmpty()
    }

    /** Guards against control characters of a file reaching the operator's terminal or a log line. */
    @Test
    fun `found values are shortened and have no control characters`() {
        val value = "\\u001b\\n" + "x".repeat(1_000)
        val text = VALID_OPERATORS_FILE.change("\"tower\"", "\"$value\"")
        expectThat(deploymentErrors(text)).single()
            .get { found }.isEqualTo("string \"??" + "x".repeat(SettingsError.MAXIMUM_FOUND_CHARACTERS - 2) + "...\"")
    }

    /** Guards against an exception for a missing file. */
    @Test
    fun `a file that cannot be read is an error`() {
        val missing = Path.of("missing.toml")
        expectThat(DeploymentConfigurationReader.read(missing).getError()).isNotNull().single().and {
            get { file }.isEqualTo("missing.toml")
            get { allowed }.isEqualTo("a readable file")
        }
        expectThat(DaemonSettingsReader.read(missing).get()).isNull()
    }
}
