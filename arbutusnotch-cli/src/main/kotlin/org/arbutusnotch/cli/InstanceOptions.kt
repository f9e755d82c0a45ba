/*
 * Options that commands share.
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

/** Names the form in which a command prints its result. */
internal enum class OutputFormat(val code: String) {
    TABLE("table"),
    JSON("json"),
}

/** Selects the form of the result. */
internal open class OutputOptions : OptionGroup() {
    val output: OutputFormat by option("--output", help = "Form of the result: table (default) or json")
        .choice(OutputFormat.entries.associateBy(OutputFormat::code))
        .default(OutputFormat.TABLE)
}

/**
 * Selects the instances that a command asks.
 *
 * @param defaultTimeoutSeconds longest time that the command waits if the option is absent
 */
internal class InstanceOptions(defaultTimeoutSeconds: Int = REQUEST_TIMEOUT_SECONDS) : OutputOptions() {
    val instances: List<String> by option(
        "--instance",
        metavar = "ADDRESS",
        envvar = "ARBUTUSNOTCH_INSTANCE",
        help = "Operator address (host:port) of an instance; repeatable",
    ).multiple(required = true)
        .check("an address has the form host:port") { addresses -> addresses.all(ADDRESS::matches) }

    private val timeoutSeconds: Int by option(
        "--timeout",
        metavar = "SECONDS",
        help = "Longest time to wait, 1 to 3600; default $defaultTimeoutSeconds",
    ).int().restrictTo(1..MAXIMUM_TIMEOUT_SECONDS).default(defaultTimeoutSeconds)

    val timeout: Duration
        get() = timeoutSeconds.seconds

    private companion object {
        const val REQUEST_TIMEOUT_SECONDS = 5
        const val MAXIMUM_TIMEOUT_SECONDS = 3_600
        val ADDRESS = Regex("[A-Za-z0-9.-]+:[0-9]{1,5}")
    }
}
