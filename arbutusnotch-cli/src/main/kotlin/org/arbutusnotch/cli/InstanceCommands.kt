/*
 * Commands that print the response of each instance.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.linecorp.armeria.common.QueryParams
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.doubleOrNull
import java.math.BigDecimal
import java.math.RoundingMode

/** Maps operator addresses to the responses of their instances. */
internal typealias InstanceResponses = Map<String, Result<JsonElement, InstanceError>>

/** Sends requests to instances and prints one result per instance. */
internal abstract class InstanceCommand(name: String) : SuspendingCliktCommand(name) {
    protected val options by InstanceOptions()

    /** Calls [request] for all [addresses] concurrently. */
    protected suspend fun requestEach(
        addresses: List<String>,
        request: suspend (String) -> Result<JsonElement, InstanceError>,
    ): InstanceResponses = coroutineScope {
        addresses.distinct().map { address -> async { address to request(address) } }.awaitAll().toMap()
    }

    /** Prints the responses, each object as a row, then fails if there are errors. */
    protected fun printResponses(responses: InstanceResponses, rows: (JsonElement) -> List<JsonObject>) {
        val successes = responses.mapNotNull { (address, response) -> response.get()?.let { address to it } }.toMap()
        when (options.output) {
            OutputFormat.JSON -> printJson(JsonObject(successes))
            OutputFormat.TABLE -> printRows(successes, rows)
        }
        failOnErrors(responses.values.mapNotNull { response -> response.getError() })
    }

    private fun printRows(successes: Map<String, JsonElement>, rows: (JsonElement) -> List<JsonObject>) {
        val objects = successes.flatMap { (address, response) ->
            rows(response).map { row -> JsonObject(mapOf("instance" to JsonPrimitive(address)) + row) }
        }
        when {
            successes.isEmpty() -> Unit
            objects.isEmpty() -> echo("no entries")
            else -> printObjects(objects)
        }
    }
}

internal class EntryPointsCommand : InstanceCommand("entry-points") {
    override fun help(context: Context): String =
        "Show the entry addresses that the named instances return to a caller on this machine."

    override fun helpEpilog(context: Context): String = example("entry-points --instance 127.0.0.1:18082")

    override suspend fun run() {
        val responses = OperatorClient(options.timeout).use { client ->
            requestEach(options.instances) { address ->
                client.status(address).andThen { status -> client.get(status.entryAddress, ENTRY_POINTS_PATH) }
            }
        }
        printResponses(responses) { response -> listOf(response.asObject()) }
    }

    private companion object {
        const val ENTRY_POINTS_PATH = "/v1/entry-points"
    }
}

internal class ExplainCommand : InstanceCommand("explain") {
    private val model by option("--model", metavar = "MODEL", help = "Model of a completion request")
    private val promptTokens by option("--prompt-tokens", metavar = "N", help = "Length of its prompt in tokens").int()
        .restrictTo(min = 1)
    private val priority by option("--priority", metavar = "P", help = "Priority of the caller, 0 to 9").int()
        .restrictTo(0..MAXIMUM_PRIORITY)
    private val service by option("--service", metavar = "SERVICE", help = "Service of a service call")
    private val operation by option("--operation", metavar = "OPERATION", help = "Operation of the service")
    private val platform by PlatformRequestOptions()

    override fun help(context: Context): String =
        "Show where the named instances would send a request now, and why. Nothing is sent to a backend server."

    override fun helpEpilog(context: Context): String = example(
        "explain --model safety-briefing --prompt-tokens 6000 --priority 9 --instance 127.0.0.1:18082",
        "explain --service booking --operation book --instance 127.0.0.1:18082",
        "explain --path /v1/chat --host chat.example --prompt-tokens 900 --instance 127.0.0.1:7003",
    )

    override suspend fun run() {
        if (platform.path != null) return explainOnPlatform()
        val path = "/operator/explain?" + query().toQueryString()
        val responses = OperatorClient(options.timeout).use { client ->
            requestEach(options.instances) { address -> client.get(address, path) }
        }
        if (options.output == OutputFormat.TABLE) printDecisions(responses)
        printResponses(responses) { response -> response.firstArray().map { candidate -> candidate.asObject() } }
    }

    /** Asks instances on the platform, whose control addresses `--instance` names. */
    private suspend fun explainOnPlatform() {
        if (model != null || service != null || operation != null) throw UsageError(PLATFORM_USAGE)
        val path = "/explain?" + platform.query(promptTokens, priority).toQueryString()
        val responses = OperatorClient(options.timeout).use { client ->
            requestEach(options.instances) { address -> client.get(address, path) }
        }
        if (options.output == OutputFormat.TABLE) printPlatformSummaries(responses)
        printResponses(responses) { platformCandidates(it) }
    }

    private fun printPlatformSummaries(responses: InstanceResponses) = responses.forEach { (address, response) ->
        response.get()?.let { platformSummary(it) }.orEmpty().forEach { echo("$address: $it") }
    }

    private fun printDecisions(responses: InstanceResponses) = responses.forEach { (address, response) ->
        response.get()?.let { echo("$address: ${cellText(it.asObject()["decision"])}") }
    }

    private fun query(): QueryParams {
        val completion = listOf("model" to model, "prompt_tokens" to promptTokens, "priority" to priority)
        val call = listOf("service" to service, "operation" to operation)
        val forCompletion = completion.any { (_, value) -> value != null }
        val forCall = call.any { (_, value) -> value != null }
        val selected = if (forCompletion) completion else call
        if (forCompletion == forCall || selected.any { (_, value) -> value == null }) throw UsageError(EXPLAIN_USAGE)
        val parameters = QueryParams.builder()
        selected.forEach { (name, value) -> parameters.addObject(name, checkNotNull(value)) }
        return parameters.build()
    }

    private companion object {
        const val MAXIMUM_PRIORITY = 9
        const val EXPLAIN_USAGE =
            "specify either --model, --prompt-tokens and --priority, or --service and --operation, or --path"
        const val PLATFORM_USAGE = "--path cannot be combined with --model, --service or --operation"
    }
}

internal class DrainCommand : InstanceCommand("drain") {
    override fun help(context: Context): String = "Start a graceful shutdown of the named instances only."

    override fun helpEpilog(context: Context): String = example("drain --instance 127.0.0.1:18082")

    override suspend fun run() {
        val responses = OperatorClient(options.timeout).use { client ->
            requestEach(options.instances) { address -> client.post(address, "/operator/drain") }
        }
        printResponses(responses) { response -> listOf(response.asObject()) }
    }
}

internal class QuarantineCommand : SuspendingCliktCommand("quarantine") {
    override fun help(context: Context): String = "Show or clear the requests that crashed backend servers."

    override fun helpEpilog(context: Context): String = example(
        "quarantine list --instance 127.0.0.1:18082",
        "quarantine clear --instance 127.0.0.1:18082",
    )

    override val invokeWithoutSubcommand: Boolean = true
    override val printHelpOnEmptyArgs: Boolean = false

    override suspend fun run(): Unit = requireSubcommand()

    companion object {
        fun withSubcommands(): QuarantineCommand =
            QuarantineCommand().subcommands(QuarantineListCommand(), QuarantineClearCommand())
    }
}

internal class QuarantineListCommand : InstanceCommand("list") {
    override fun help(context: Context): String = "Show the quarantined request digests of the named instances."

    override fun helpEpilog(context: Context): String = example("quarantine list --instance 127.0.0.1:18082")

    override suspend fun run() {
        val responses = OperatorClient(options.timeout).use { client ->
            requestEach(options.instances) { address -> client.get(address, QUARANTINE_PATH) }
        }
        printResponses(responses) { response -> response.firstArray().map { entry -> entry.asObject() } }
    }
}

internal class QuarantineClearCommand : InstanceCommand("clear") {
    override fun help(context: Context): String =
        "Clear the quarantine on the named instances and on every other instance that these report as a peer."

    override fun helpEpilog(context: Context): String = example("quarantine clear --instance 127.0.0.1:18082")

    override suspend fun run() {
        val responses = OperatorClient(options.timeout).use { client ->
            val fleet = FleetReader(client).read(options.instances)
            requestEach(fleet.instances.map { it.operatorAddress }) { address ->
                client.delete(address, QUARANTINE_PATH)
            }
        }
        printResponses(responses) { response -> listOf(response.asObject()) }
    }
}

internal class CountersCommand : InstanceCommand("counters") {
    private val all by option("--all", help = "Also show counters that are 0 in the table; JSON always has them").flag()

    override fun help(context: Context): String =
        "Show the counters of the named instances and of every other instance that these report as a peer. " +
            "The table shows the sum over all instances, or the largest value for maxima."

    override fun helpEpilog(context: Context): String = example("counters --instance 127.0.0.1:18082")

    override suspend fun run() {
        val responses = OperatorClient(options.timeout).use { client ->
            val fleet = FleetReader(client).read(options.instances)
            requestEach(fleet.instances.map { it.operatorAddress }) { address ->
                client.get(address, "/operator/counters")
            }
        }
        if (options.output == OutputFormat.JSON) return printResponses(responses) { emptyList() }
        val combined = combine(responses.values.mapNotNull { response -> response.get()?.asObject() })
            .filterValues { value -> all || value != 0.0 }
        printTable(listOf("COUNTER", "VALUE"), combined.map { (name, value) -> listOf(name, counterText(value)) })
        failOnErrors(responses.values.mapNotNull { response -> response.getError() })
    }

    private fun combine(counters: List<JsonObject>): Map<String, Double> = counters
        .flatMap { it.entries }
        .groupBy({ (name, _) -> name }, { (_, value) -> (value as? JsonPrimitive)?.doubleOrNull ?: 0.0 })
        .mapValues { (name, values) -> if (isMaximum(name)) values.max() else values.sum() }
        .toSortedMap()

    private fun isMaximum(name: String): Boolean = name.substringBefore('{').endsWith("_max")

    /** Formats counts as integers, which the daemon sends as floating point, and times with up to 6 decimal places. */
    private fun counterText(value: Double): String = BigDecimal.valueOf(value)
        .setScale(MICROSECOND_DIGITS, RoundingMode.HALF_UP)
        .stripTrailingZeros()
        .toPlainString()

    private companion object {
        const val MICROSECOND_DIGITS = 6
    }
}

private const val QUARANTINE_PATH = "/operator/quarantine"

internal fun JsonElement.asObject(): JsonObject = this as? JsonObject ?: buildJsonObject { put("value", this@asObject) }

/** Returns the response if it is an array, otherwise the first array among its values. */
private fun JsonElement.firstArray(): JsonArray = when (this) {
    is JsonArray -> this
    is JsonObject -> values.filterIsInstance<JsonArray>().firstOrNull() ?: JsonArray(emptyList())
    else -> JsonArray(emptyList())
}
