/*
 * Reads the operators' file. The result depends only on the bytes, so all instances accept or reject a file alike.
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
    /** Reads the file at [path]; an I/O failure is returned as an error of the file. */
    public fun read(path: Path): Result<DeploymentConfiguration, List<SettingsError>> =
        readFile(path).andThen { bytes -> read(bytes, path.toString()) }

    /** Reads [bytes]; errors name [fileName]. */
    public fun read(bytes: ByteArray, fileName: String): Result<DeploymentConfiguration, List<SettingsError>> =
        parseToml(bytes, fileName)
            .andThen { document -> requireTrailingNewline(document, bytes, fileName) }
            .andThen { document -> readDocument(document, fileName) }

    /**
     * Rejects a file whose last line has no newline.
     *
     * A file truncated within its last number, such as `timeout_millis = 20` instead of `2000`, is valid TOML and would
     * otherwise be accepted.
     */
    private fun requireTrailingNewline(document: TomlTable, bytes: ByteArray, fileName: String) =
        if (bytes.isEmpty() || bytes.last() == NEWLINE) {
            Ok(document)
        } else {
            val line = bytes.count { byte -> byte == NEWLINE } + 1
            val column = bytes.size - bytes.lastIndexOf(NEWLINE)
            val found = "no newline at the end of the file"
            Err(listOf(SettingsError(fileName, line, column, "", found, "a file that ends with a newline")))
        }

    private fun readDocument(
        document: TomlTable,
        fileName: String,
    ): Result<DeploymentConfiguration, List<SettingsError>> {
        val errors = mutableListOf<SettingsError>()
        val configuration = TomlTableReader(fileName, document, "", DOCUMENT_START, errors).deployment()
        return if (configuration == null || errors.isNotEmpty()) Err(errors.sortedByPosition()) else Ok(configuration)
    }

    private const val NEWLINE: Byte = '\n'.code.toByte()
}

private fun TomlTableReader.deployment(): DeploymentConfiguration? {
    val revision = long("revision", DeploymentRanges.REVISION)
    val deployment = string("deployment", StringFormat.NAME)
    val targets = table("targets").targets()
    val deploymentTables = DeploymentTables(this)
    rejectUnknownKeys()
    deploymentTables.checkUniqueness()
    deploymentTables.checkReferences()
    if (revision == null || deployment == null) return null
    return deploymentTables.configuration(RevisionNumber(revision), deployment, targets)
}

private fun TomlTableReader.targets(): LatencyTargets {
    val defaults = LatencyTargets()
    val firstToken =
        millisecondsOrDefault("first_token_millis", DeploymentRanges.FIRST_TOKEN_MILLIS, defaults.firstToken)
    val betweenTokens =
        millisecondsOrDefault("between_tokens_millis", DeploymentRanges.BETWEEN_TOKENS_MILLIS, defaults.betweenTokens)
    rejectUnknownKeys()
    return LatencyTargets(firstToken, betweenTokens)
}

private fun TomlTableReader.millisecondsOrDefault(key: String, range: IntRange, default: Duration) =
    int(key, range, default.inWholeMilliseconds.toInt())?.milliseconds ?: default
