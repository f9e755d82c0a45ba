/*
 * Reads the operators' file. The result depends on the bytes only, so every instance decides alike.
 */
package org.arbutusnotch.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.configuration.LatencyTargets
import org.arbutusnotch.core.id.RevisionNumber
import org.tomlj.TomlTable
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reads a [DeploymentConfiguration] from TOML and reports every error of the file. */
public object DeploymentConfigurationReader {
    /** Reads the file at [path]; a file that cannot be read is an error like any other. */
    public fun read(path: Path): Result<DeploymentConfiguration, List<SettingsError>> =
        readFile(path).andThen { bytes -> read(bytes, path.toString()) }

    /** Reads [bytes]; errors name [fileName]. */
    public fun read(bytes: ByteArray, fileName: String): Result<DeploymentConfiguration, List<SettingsError>> =
        parseToml(bytes, fileName)
            .andThen { document -> requireLastLineBreak(document, bytes, fileName) }
            .andThen { document -> readDocument(document, fileName) }

    /**
     * Refuses a file whose last line has no line break.
     *
     * A file cut within its last number, such as `timeout_millis = 20` out of `2000`, is valid TOML and would otherwise
     * be accepted.
     */
    private fun requireLastLineBreak(document: TomlTable, bytes: ByteArray, fileName: String) =
        if (bytes.isEmpty() || bytes.last() == LINE_BREAK) {
            Ok(document)
        } else {
            val line = bytes.count { byte -> byte == LINE_BREAK } + 1
            val column = bytes.size - bytes.lastIndexOf(LINE_BREAK)
            val found = "the end of the file within a line"
            Err(listOf(SettingsError(fileName, line, column, "", found, "a line break at the end of the file")))
        }

    private fun readDocument(
        document: TomlTable,
        fileName: String,
    ): Result<DeploymentConfiguration, List<SettingsError>> {
        val errors = mutableListOf<SettingsError>()
        val configuration = TomlTableReader(fileName, document, "", DOCUMENT_START, errors).deployment()
        return if (configuration == null || errors.isNotEmpty()) Err(errors.inFileOrder()) else Ok(configuration)
    }

    private const val LINE_BREAK: Byte = '\n'.code.toByte()
}

private fun TomlTableReader.deployment(): DeploymentConfiguration? {
    val revision = long("revision", DeploymentRanges.REVISION)
    val deployment = text("deployment", TextForm.NAME)
    val targets = table("targets").targets()
    val entries = DeploymentTables(this)
    rejectOtherKeys()
    entries.checkUniqueness()
    entries.checkReferences()
    if (revision == null || deployment == null) return null
    return entries.configuration(RevisionNumber(revision), deployment, targets)
}

private fun TomlTableReader.targets(): LatencyTargets {
    val defaults = LatencyTargets()
    val firstToken = milliseconds("first_token_millis", DeploymentRanges.FIRST_TOKEN_MILLIS, defaults.firstToken)
    val betweenTokens =
        milliseconds("between_tokens_millis", DeploymentRanges.BETWEEN_TOKENS_MILLIS, defaults.betweenTokens)
    rejectOtherKeys()
    return LatencyTargets(firstToken, betweenTokens)
}

private fun TomlTableReader.milliseconds(key: String, range: IntRange, default: Duration) =
    int(key, range, default.inWholeMilliseconds.toInt())?.milliseconds ?: default
