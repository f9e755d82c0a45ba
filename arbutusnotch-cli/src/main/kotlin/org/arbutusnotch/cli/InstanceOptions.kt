/*
 * Options shared by several commands.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.check
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Names the format in which a command prints its result. */
internal enum class OutputFormat(val code: String) {
    TABLE("table"),
    JSON("json"),
}

/** Selects the output format. */
internal open class OutputOptions : OptionGroup() {
    val output: OutputFormat by option("--output", help = "Output format: table (default) or json")
        .choice(OutputFormat.entries.associateBy(OutputFormat::code))
        .default(OutputFormat.TABLE)
}

/**
 * Selects the instances to which a command sends requests.
 *
 * @param defaultTimeoutSeconds timeout in seconds if the option `--timeout` is absent
 */
internal class InstanceOptions(defaultTimeoutSeconds: Int = REQUEST_TIMEOUT_SECONDS) : OutputOptions() {
    val instances: List<String> by option(
        "--instance",
        metavar = "ADDRESS",
        envvar = "ARBUTUSNOTCH_INSTANCE",
        help = "Operator address (host:port) of an instance; repeatable",
    ).multiple(required = true)
        .check("an address must have the form host:port") { addresses -> addresses.all(ADDRESS::matches) }

    private val timeoutSeconds: Int by option(
        "--timeout",
        metavar = "SECONDS",
        help = "Maximum time to wait, 1 to 3600; default $defaultTimeoutSeconds",
    ).int().restrictTo(1..MAXIMUM_TIMEOUT_SECONDS).default(defaultTimeoutSeconds)

    val timeout: Duration
        get() = timeoutSeconds.seconds

    private companion object {
        const val REQUEST_TIMEOUT_SECONDS = 5
        const val MAXIMUM_TIMEOUT_SECONDS = 3_600
        val ADDRESS = Regex("[A-Za-z0-9.-]+:[0-9]{1,5}")
    }
}
