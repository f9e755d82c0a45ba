/*
 * Files that are not what the operator wrote: cut, too large, or not text.
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
    /** Guards against a file that was cut within a line and still parses, for example with a shorter last number. */
    @Test
    fun `a file cut within a line is refused`() {
        val bytes = VALID_OPERATORS_FILE.toByteArray()
        val acceptedCuts = (0 until bytes.size)
            .filter { length -> length > 0 && bytes[length - 1] != '\n'.code.toByte() }
            .filter { length -> DeploymentConfigurationReader.read(bytes.copyOf(length), FILE_NAME).get() != null }
        expectThat(acceptedCuts).isEmpty()
    }

    /** Guards against half a deployment in service: the only accepted cuts are after a complete operation. */
    @Test
    fun `a file cut between lines is refused unless every declared entry is complete`() {
        val lines = VALID_OPERATORS_FILE.lines().dropLast(1)
        val acceptedCuts = (0 until lines.size)
            .filter { count -> deploymentOf(lines.take(count).joinToString("\n", postfix = "\n")) != null }
        expectThat(acceptedCuts).isEqualTo(listOf(68, 69))
    }

    /** Guards against an error about half a file that does not say where it was cut. */
    @Test
    fun `a cut within the last number points to the end of the file`() {
        val cut = VALID_OPERATORS_FILE.removeSuffix("00\n")
        expectThat(deploymentErrors(cut)).single().and {
            get { line }.isEqualTo(73)
            get { column }.isEqualTo("timeout_millis = 10".length + 1)
            get { found }.isEqualTo("the end of the file within a line")
        }
    }

    /** Guards against a syntax error that hides the ones after it. */
    @Test
    fun `all syntax errors are told with line and column`() {
        val text = VALID_OPERATORS_FILE.change("revision = 7", "revision 7").change("slots = 32", "slots = thirty")
        val places = deploymentErrors(text).map { error -> error.line to error.column }
        expectThat(places).isEqualTo(listOf(1 to 10, 59 to 9))
    }

    /** Guards against a key that is given twice, of which one would silently win. */
    @Test
    fun `a key given twice is a syntax error`() {
        val text = VALID_OPERATORS_FILE.change("priority = 9", "priority = 9\npriority = 8")
        expectThat(deploymentErrors(text)).single().and {
            get { line }.isEqualTo(20)
            get { found }.contains("priority")
            get { allowed }.isEqualTo("TOML 1.0")
        }
    }

    /** Guards against bytes that are replaced silently, which would make two different files equal. */
    @Test
    fun `invalid UTF-8 is refused at its line and column`() {
        val before = "revision = 7\n# caf"
        val bytes = before.toByteArray() + 0xE9.toByte() + "\n".toByteArray()
        expectThat(DeploymentConfigurationReader.read(bytes, FILE_NAME).getError()).isNotNull().single().and {
            get { line }.isEqualTo(2)
            get { column }.isEqualTo(6)
            get { found }.isEqualTo("byte 0xe9")
            get { allowed }.isEqualTo("UTF-8")
        }
    }

    /** Guards against a character cut in its middle at the end of the file, which a decoder can overlook. */
    @Test
    fun `a file that ends within a character is refused`() {
        val bytes = VALID_OPERATORS_FILE.toByteArray() + "# ".toByteArray() + 0xC3.toByte()
        expectThat(DeploymentConfigurationReader.read(bytes, FILE_NAME).getError()).isNotNull().first()
            .get { allowed }.isEqualTo("UTF-8")
    }

    /** Guards against files that the platform could not hold, and against refusing the largest that it can. */
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
    fun `deeply nested values are refused`() {
        val nested = "x = " + "[".repeat(200_000) + "\n"
        expectThat(deploymentErrors(nested)).isNotEmpty()
    }

    /** Guards against control characters of a file reaching the operator's terminal or a log line. */
    @Test
    fun `found values show no control characters and are shortened`() {
        val value = "\\u001b\\n" + "x".repeat(1_000)
        val text = VALID_OPERATORS_FILE.change("\"tower\"", "\"$value\"")
        expectThat(deploymentErrors(text)).single()
            .get { found }.isEqualTo("string \"??" + "x".repeat(SettingsError.MAXIMUM_FOUND_CHARACTERS - 2) + "...\"")
    }

    /** Guards against an exception for a file that is not there. */
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
