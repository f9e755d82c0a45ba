/*
 * Tests `arbutusnotchctl check`.
 */
package org.arbutusnotch.cli

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.map
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

class CheckCommandTest {
    @TempDir
    lateinit var directory: Path

    /** Guards against a valid file that is reported to a deployment script as invalid. */
    @Test
    fun `a valid file is summarized`() {
        val result = arbutusnotchctl("check", BELFRY)
        expectThat(result.exitCode).isEqualTo(0)
        expectThat(result.standardOutput).contains("valid, revision 1 of belfry").contains("servers: 11")
        expectThat(result.standardError).isEmpty()
    }

    /** Guards against publishing an invalid file because the tool exited with 0 or reported only one of its errors. */
    @Test
    fun `every error of an invalid file goes to standard error`() {
        val result = arbutusnotchctl("check", invalidFile())
        expectThat(result.exitCode).isEqualTo(2)
        expectThat(result.standardOutput).isEmpty()
        expectThat(result.standardError.trim().lines()).hasSize(6)
            .map { line -> line.substringBefore(": found").substringAfterLast(".") }
            .isEqualTo(List(3) { "priority" } + List(3) { "slots" })
    }

    /** Guards against JSON without the position of errors, which would force scripts to parse text. */
    @Test
    fun `errors in JSON have line, key and allowed values`() {
        val result = arbutusnotchctl("check", invalidFile(), "--output", "json")
        val check = Json.decodeFromString<CheckResult>(result.standardOutput)
        expectThat(result.exitCode).isEqualTo(2)
        expectThat(check.valid).isEqualTo(false)
        expectThat(check.errors.first())
            .isEqualTo(CheckError(39, 1, "callers[1].priority", "integer 60", "an integer from 0 to 9"))
    }

    /** Guards against a stack trace for a mistyped file name. */
    @Test
    fun `a missing file is reported with its name`() {
        val result = arbutusnotchctl("check", "missing.toml")
        expectThat(result.exitCode).isEqualTo(2)
        expectThat(result.standardError).contains("missing.toml:1:1: file: found NoSuchFileException")
    }

    private fun invalidFile(): String {
        val text = Path.of(BELFRY).readText().replace("priority = 6", "priority = 60").replace("slots = 4", "slots = 0")
        return directory.resolve("invalid.toml").apply { writeText(text) }.toString()
    }

    private companion object {
        const val BELFRY = "../examples/belfry.toml"
    }
}
