/*
 * Checks an operators' file before it is published, with the reader that every instance uses.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.fold
import kotlinx.serialization.Serializable
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.core.id.RevisionNumber
import org.arbutusnotch.settings.DeploymentConfigurationReader
import org.arbutusnotch.settings.SettingsError

internal class CheckCommand : SuspendingCliktCommand("check") {
    private val file by argument("FILE", help = "Operators' file").path()
    private val options by OutputOptions()

    override fun help(context: Context): String = "Check an operators' file without publishing it."

    override fun helpEpilog(context: Context): String = example("check examples/belfry.toml")

    override suspend fun run(): Unit = DeploymentConfigurationReader.read(file).fold(
        success = { configuration -> printValid(configuration) },
        failure = { errors -> printInvalid(errors) },
    )

    private fun printValid(configuration: DeploymentConfiguration) {
        val result = CheckResult(file.toString(), true, configuration.revision, configuration.deployment)
        when (options.output) {
            OutputFormat.JSON -> printJson(result)
            OutputFormat.TABLE -> echo("$file: valid, ${summary(configuration)}")
        }
    }

    private fun summary(configuration: DeploymentConfiguration): String = with(configuration) {
        "revision $revision of $deployment; models: ${models.size}, services: ${services.size}, " +
            "pools: ${pools.size}, servers: ${servers.size}, callers: ${callers.size}"
    }

    private fun printInvalid(errors: List<SettingsError>) {
        errors.forEach { error -> echo(error, err = true) }
        if (options.output == OutputFormat.JSON) {
            printJson(CheckResult(file.toString(), false, errors = errors.map(::CheckError)))
        }
        throw ProgramResult(ExitCode.INVALID_INPUT.value)
    }
}

@Serializable
internal data class CheckResult(
    val file: String,
    val valid: Boolean,
    val revision: RevisionNumber? = null,
    val deployment: String? = null,
    val errors: List<CheckError> = emptyList(),
)

@Serializable
internal data class CheckError(
    val line: Int,
    val column: Int,
    val key: String,
    val found: String,
    val allowed: String,
) {
    constructor(error: SettingsError) : this(error.line, error.column, error.key, error.found, error.allowed)
}
