/*
 * Commands that pass on what each instance answers.
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

/** Maps operator addresses to what their instances answered. */
internal typealias InstanceAnswers = Map<String, Result<JsonElement, InstanceError>>

/** Asks instances and prints one result per instance. */
internal abstract class InstanceCommand(name: String) : SuspendingCliktCommand(name) {
    protected val options by InstanceOptions()

    /** Sends [request] to every one of [addresses] at once. */
    protected suspend fun askEach(
        addresses: List<String>,
        request: suspend (String) -> Result<JsonElement, InstanceError>,
    ): InstanceAnswers = coroutineScope {
        addresses.distinct().map { address -> async { address to request(address) } }.awaitAll().toMap()
    }

    /** Prints the answers, each object as a row, and ends with the errors. */
    protected fun printAnswers(answers: InstanceAnswers, rows: (JsonElement) -> List<JsonObject>) {
        val successes = answers.mapNotNull { (address, answer) -> answer.get()?.let { address to it } }.toMap()
        when (options.output) {
            OutputFormat.JSON -> printJson(JsonObject(successes))
            OutputFormat.TABLE -> printRows(successes, rows)
        }
        endWith(answers.values.mapNotNull { answer -> answer.getError() })
    }

    private fun printRows(successes: Map<String, JsonElement>, rows: (JsonElement) -> List<JsonObject>) {
        val objects = successes.flatMap { (address, answer) ->
            rows(answer).map { row -> JsonObject(mapOf("instance" to JsonPrimitive(address)) + row) }
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
        "Show which entry addresses the named instances give to a caller on this machine."

    override fun helpEpilog(context: Context): String = example("entry-points --instance 127.0.0.1:18082")

    override suspend fun run() {
        val answers = OperatorClient(options.timeout).use { client ->
            askEach(options.instances) { address ->
                client.status(address).andThen { status -> client.get(status.entryAddress, ENTRY_POINTS_PATH) }
            }
        }
        printAnswers(answers) { answer -> listOf(answer.asObject()) }
    }

    private companion object {
        const val ENTRY_POINTS_PATH = "/v1/entry-points"
    }
}

internal class ExplainCommand : InstanceCommand("explain") {
    private val model by option("--model", metavar = "MODEL", help = "Model of a completion request")
    private val promptTokens by option("--prompt-tokens", metavar = "N", help = "Length of its prompt").int()
        .restrictTo(min = 1)
    private val priority by option("--priority", metavar = "P", help = "Priority of the caller, 0 to 9").int()
        .restrictTo(0..MAXIMUM_PRIORITY)
    private val service by option("--service", metavar = "SERVICE", help = "Service of a service call")
    private val operation by option("--operation", metavar = "OPERATION", help = "Operation of the service")

    override fun help(context: Context): String =
        "Show where the named instances would send a request now, and why. Nothing is sent to a backend server."

    override fun helpEpilog(context: Context): String = example(
        "explain --model safety-briefing --prompt-tokens 6000 --priority 9 --instance 127.0.0.1:18082",
        "explain --service booking --operation book --instance 127.0.0.1:18082",
    )

    override suspend fun run() {
        val path = "/operator/explain?" + query().toQueryString()
        val answers = OperatorClient(options.timeout).use { client ->
            askEach(options.instances) { address -> client.get(address, path) }
        }
        if (options.output == OutputFormat.TABLE) printDecisions(answers)
        printAnswers(answers) { answer -> answer.firstArray().map { candidate -> candidate.asObject() } }
    }

    private fun printDecisions(answers: InstanceAnswers) = answers.forEach { (address, answer) ->
        answer.get()?.let { echo("$address: ${cellText(it.asObject()["decision"])}") }
    }

    private fun query(): QueryParams {
        val completion = listOf("model" to model, "prompt_tokens" to promptTokens, "priority" to priority)
        val call = listOf("service" to service, "operation" to operation)
        val forCompletion = completion.any { (_, value) -> value != null }
        val forCall = call.any { (_, value) -> value != null }
        val chosen = if (forCompletion) completion else call
        if (forCompletion == forCall || chosen.any { (_, value) -> value == null }) throw UsageError(EXPLAIN_USAGE)
        val parameters = QueryParams.builder()
        chosen.forEach { (name, value) -> parameters.addObject(name, checkNotNull(value)) }
        return parameters.build()
    }

    private companion object {
        const val MAXIMUM_PRIORITY = 9
        const val EXPLAIN_USAGE =
            "give either --model, --prompt-tokens and --priority, or --service and --operation"
    }
}

internal class DrainCommand : InstanceCommand("drain") {
    override fun help(context: Context): String = "Start a graceful shutdown of the named instances, and of no others."

    override fun helpEpilog(context: Context): String = example("drain --instance 127.0.0.1:18082")

    override suspend fun run() {
        val answers = OperatorClient(options.timeout).use { client ->
            askEach(options.instances) { address -> client.post(address, "/operator/drain") }
        }
        printAnswers(answers) { answer -> listOf(answer.asObject()) }
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
    override fun help(context: Context): String = "Show the quarantined request digests that the named instances know."

    override fun helpEpilog(context: Context): String = example("quarantine list --instance 127.0.0.1:18082")

    override suspend fun run() {
        val answers = OperatorClient(options.timeout).use { client ->
            askEach(options.instances) { address -> client.get(address, QUARANTINE_PATH) }
        }
        printAnswers(answers) { answer -> answer.firstArray().map { entry -> entry.asObject() } }
    }
}

internal class QuarantineClearCommand : InstanceCommand("clear") {
    override fun help(context: Context): String =
        "Allow all quarantined requests again, on the named instances and on every other instance that these name."

    override fun helpEpilog(context: Context): String = example("quarantine clear --instance 127.0.0.1:18082")

    override suspend fun run() {
        val answers = OperatorClient(options.timeout).use { client ->
            val fleet = FleetReader(client).read(options.instances)
            askEach(fleet.instances.map { it.operatorAddress }) { address -> client.delete(address, QUARANTINE_PATH) }
        }
        printAnswers(answers) { answer -> listOf(answer.asObject()) }
    }
}

internal class CountersCommand : InstanceCommand("counters") {
    private val all by option("--all", help = "Also show counters that are 0 in the table; JSON always has them").flag()

    override fun help(context: Context): String =
        "Show the counters of the named instances and of every other instance that these name. " +
            "The table shows the sum over the instances, and for maxima the largest."

    override fun helpEpilog(context: Context): String = example("counters --instance 127.0.0.1:18082")

    override suspend fun run() {
        val answers = OperatorClient(options.timeout).use { client ->
            val fleet = FleetReader(client).read(options.instances)
            askEach(fleet.instances.map { it.operatorAddress }) { address -> client.get(address, "/operator/counters") }
        }
        if (options.output == OutputFormat.JSON) return printAnswers(answers) { emptyList() }
        val combined = combine(answers.values.mapNotNull { answer -> answer.get()?.asObject() })
            .filterValues { value -> all || value != 0.0 }
        printTable(listOf("COUNTER", "VALUE"), combined.map { (name, value) -> listOf(name, counterText(value)) })
        endWith(answers.values.mapNotNull { answer -> answer.getError() })
    }

    private fun combine(counters: List<JsonObject>): Map<String, Double> = counters
        .flatMap { it.entries }
        .groupBy({ (name, _) -> name }, { (_, value) -> (value as? JsonPrimitive)?.doubleOrNull ?: 0.0 })
        .mapValues { (name, values) -> if (isMaximum(name)) values.max() else values.sum() }
        .toSortedMap()

    private fun isMaximum(name: String): Boolean = name.substringBefore('{').endsWith("_max")

    /** Counters are whole numbers that the daemon sends as floating point; times have microseconds. */
    private fun counterText(value: Double): String = BigDecimal.valueOf(value)
        .setScale(MICROSECOND_DIGITS, RoundingMode.HALF_UP)
        .stripTrailingZeros()
        .toPlainString()

    private companion object {
        const val MICROSECOND_DIGITS = 6
    }
}

private const val QUARANTINE_PATH = "/operator/quarantine"

private fun JsonElement.asObject(): JsonObject = this as? JsonObject ?: buildJsonObject { put("value", this@asObject) }

/** Returns the answer if it is an array, or the first array that it holds. */
private fun JsonElement.firstArray(): JsonArray = when (this) {
    is JsonArray -> this
    is JsonObject -> values.filterIsInstance<JsonArray>().firstOrNull() ?: JsonArray(emptyList())
    else -> JsonArray(emptyList())
}
