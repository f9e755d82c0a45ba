/*
 * Command-line program of the load generator.
 */
package org.arbutusnotch.testing.load

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.arbutusnotch.testing.http.limitLogToErrors
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_RATE = 20.0
private const val DEFAULT_SECONDS = 10
private const val DEFAULT_FIRST_TOKEN_MILLIS = 320L
private const val DEFAULT_BETWEEN_TOKENS_MILLIS = 26L

/** Runs the load generator. */
public fun main(args: Array<String>) {
    LoadGeneratorCommand().main(args)
}

private class LoadGeneratorCommand : CliktCommand(name = "load-generator") {
    private val entries by option("--entries", help = "Entry addresses, comma separated.").split(",").required()
    private val mix by option("--mix", help = "Mix of requests.")
        .choice(mapOf("belfry" to BelfryMix(), "ndiaye" to NdiayeMix())).default(BelfryMix())
    private val rate by option("--rate", help = "Mean requests per second.").double().default(DEFAULT_RATE)
    private val crest by option(
        "--crest",
        help = "Demand rises to three times the mean for a third of the time.",
    ).flag()
    private val seconds by option("--seconds", help = "Time during which requests arrive.").int()
        .default(DEFAULT_SECONDS)
    private val seed by option("--seed", help = "Seed of arrivals and requests.").long().default(1)
    private val firstTokenMillis by option("--first-token-millis", help = "Target.").long()
        .default(DEFAULT_FIRST_TOKEN_MILLIS)
    private val betweenTokensMillis by option("--between-tokens-millis", help = "Target.").long()
        .default(DEFAULT_BETWEEN_TOKENS_MILLIS)
    private val workerThreads by option("--worker-threads", help = "Number of event loops.").int().default(2)

    override fun run() {
        limitLogToErrors()
        val duration = seconds.seconds
        val demand = if (crest) {
            Demand.Crest(
                rate,
                duration / CREST_PARTS,
                duration / CREST_PARTS,
            )
        } else {
            Demand.Steady(rate)
        }
        val plan = LoadPlan.draw(mix, demand, duration, seed)
        val result = CallerClient(entries, workerThreads = workerThreads).use { client ->
            runBlocking(Dispatchers.Default.limitedParallelism(workerThreads)) { LoadRunner(client).run(plan) }
        }
        echo(loadTable(result, LatencyTargets(firstTokenMillis.milliseconds, betweenTokensMillis.milliseconds)))
        if (result.faultyCount > 0) throw ProgramResult(1)
    }

    private companion object {
        const val CREST_PARTS = 3
    }
}
