/*
 * Requests to instances on the platform, and the explanations that these return.
 */
package org.arbutusnotch.cli

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import com.linecorp.armeria.common.QueryParams
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Describes a request to an instance on the platform. */
internal class PlatformRequestOptions : OptionGroup() {
    val path: String? by option(
        "--path",
        metavar = "PATH",
        help = "Path of a request to an instance on the platform; --instance then names its control address",
    )
    private val host: String by option("--host", metavar = "HOST", help = "Host of that request").default("")
    private val outputTokens: Int? by option("--output-tokens", metavar = "N", help = "Output tokens of that request")
        .int().restrictTo(min = 0)
    private val workspace: String? by option("--workspace", metavar = "NAME", help = "Workspace of its caller")

    fun query(promptTokens: Int?, priority: Int?): QueryParams {
        val parameters = QueryParams.builder()
        listOf(
            "host" to host,
            "path" to path,
            "prompt_tokens" to promptTokens,
            "output_tokens" to outputTokens,
            "priority" to priority,
            "workspace" to workspace,
        ).forEach { (name, value) -> if (value != null) parameters.addObject(name, value) }
        return parameters.build()
    }
}

/** Returns the lines that summarize [explanation]: its route, its workspace and the decision of each pool. */
internal fun platformSummary(explanation: JsonElement): List<String> {
    val fields = explanation.asObject()
    val lines = listOf("refusal", "route", "workspace").mapNotNull { name ->
        fields.present(name)?.let { "$name ${cellText(it)}" }
    }
    return lines + poolsOf(explanation).map { pool ->
        val place = pool.present("place")?.asObject()
        val decision = place?.filterKeys { it != "candidates" }?.filterValues { it !is JsonNull }
        "pool ${cellText(pool["pool"])} weight=${cellText(pool["weight"])} " +
            "dispatcher=${cellText(pool["dispatcher"])} ${decision?.let { cellText(JsonObject(it)) } ?: "no response"}"
    }
}

/** Returns the candidate servers of all pools in [explanation], each with its pool. */
internal fun platformCandidates(explanation: JsonElement): List<JsonObject> = poolsOf(explanation).flatMap { pool ->
    val candidates = pool.present("place")?.asObject()?.get("candidates") as? JsonArray
    candidates.orEmpty().map { JsonObject(mapOf("pool" to (pool["pool"] ?: JsonPrimitive(""))) + it.asObject()) }
}

private fun poolsOf(explanation: JsonElement): List<JsonObject> =
    (explanation.asObject()["pools"] as? JsonArray).orEmpty().map { it.asObject() }

private fun JsonObject.present(name: String): JsonElement? = get(name)?.takeIf { it !is JsonNull }
