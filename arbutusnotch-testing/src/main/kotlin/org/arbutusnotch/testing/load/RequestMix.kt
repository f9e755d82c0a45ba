/*
 * Request mixes of the two example deployments.
 */
package org.arbutusnotch.testing.load

import java.util.SplittableRandom

/** Draws random requests of one deployment. */
public abstract class RequestMix {
    /** Name of the deployment. */
    public abstract val deployment: String

    /** Draws the request with this [number]; equal states of [random] give equal requests. */
    public abstract fun draw(random: SplittableRandom, number: Long): PlannedRequest

    /** Returns a mix that draws only the completions of this one. */
    public fun completionsOnly(): RequestMix = CompletionMix(this)

    internal fun <T> SplittableRandom.pickWeighted(weights: List<Pair<T, Int>>): T {
        var remaining = nextInt(weights.sumOf { it.second })
        return weights.first { (_, weight) ->
            remaining -= weight
            remaining < 0
        }.first
    }

    internal fun SplittableRandom.drawTokenCount(range: IntRange): Int = nextInt(range.first, range.last + 1)
}

private class CompletionMix(private val mix: RequestMix) : RequestMix() {
    override val deployment: String get() = mix.deployment

    override fun draw(random: SplittableRandom, number: Long): PlannedRequest =
        generateSequence { mix.draw(random, number) }.filterIsInstance<PlannedRequest.Completion>().first()
}

/** Draws briefings, bookings and check-ins of the bell tower climbs. */
public class BelfryMix : RequestMix() {
    override val deployment: String = "belfry"

    private val sites = listOf("harbour", "range", "reef")
    private val guides = sites.map { CallerProfile.demo("$it-guides", priority = 9) }
    private val desks = sites.map { CallerProfile.demo("$it-front-desk", priority = 6) }
    private val families = sites.map { CallerProfile.demo("$it-families", priority = 3) }

    override fun draw(random: SplittableRandom, number: Long): PlannedRequest {
        val site = random.nextInt(sites.size)
        return when (random.pickWeighted(KINDS)) {
            "briefing" -> drawBriefing(random, site, number)
            "book" -> serviceCall(random.pickWeighted(listOf(desks[site] to 1, families[site] to 2)), "book", number)
            "check-in" -> serviceCall(guides[site], "check-in", number)
            else -> serviceCall(desks[site], "lookup", number, idempotent = true)
        }
    }

    private fun drawBriefing(random: SplittableRandom, site: Int, number: Long) = PlannedRequest.Completion(
        caller = random.pickWeighted(listOf(guides[site] to 2, desks[site] to 1, families[site] to 1)),
        kind = "briefing",
        model = "safety-briefing",
        prompt = drawPrompt(random, number),
        maxTokens = random.drawTokenCount(OUTPUT_TOKENS),
        stream = random.nextInt(REQUESTS_PER_UNSTREAMED) != 0,
    )

    private fun drawPrompt(random: SplittableRandom, number: Long): PromptDescription {
        val tokens = random.drawTokenCount(PROMPT_TOKENS)
        val sharesPrefix = random.nextInt(PERCENT) < SHARED_PREFIX_PERCENT
        return PromptDescription(
            tokens = tokens,
            seed = random.nextLong() xor number,
            prefixTokens = if (sharesPrefix) tokens * 2 / SHARED_PREFIX_DIVISOR else 0,
            prefixSeed = random.nextInt(TOWERS).toLong(),
        )
    }

    private fun serviceCall(caller: CallerProfile, operation: String, number: Long, idempotent: Boolean = false) =
        PlannedRequest.ServiceCall(
            caller = caller,
            kind = operation,
            service = "booking",
            operation = operation,
            idempotent = idempotent,
            body = """{"climb":$number,"caller":"${caller.name}"}""",
        )

    private companion object {
        val KINDS = listOf("briefing" to 6, "book" to 2, "check-in" to 2, "lookup" to 1)
        val PROMPT_TOKENS = 2_000..8_000
        val OUTPUT_TOKENS = 40..120
        const val SHARED_PREFIX_PERCENT = 60
        const val SHARED_PREFIX_DIVISOR = 3
        const val TOWERS = 12
        const val REQUESTS_PER_UNSTREAMED = 10
        const val PERCENT = 100
    }
}

/** Draws inventory sheets, pickups, deliveries and crate lookups of the office moves. */
public class NdiayeMix : RequestMix() {
    override val deployment: String = "ndiaye"

    private val planners = CallerProfile.demo("planners", priority = 2)
    private val movers = CallerProfile.demo("movers-handhelds", priority = 8)
    private val drivers = CallerProfile.demo("drivers", priority = 9)

    override fun draw(random: SplittableRandom, number: Long): PlannedRequest = when (random.pickWeighted(KINDS)) {
        "sheet" -> drawSheet(random, number)
        "pickup-booking" -> serviceCall(movers, "pickup-booking", number)
        "delivery-confirmation" -> serviceCall(movers, "delivery-confirmation", number)
        else -> serviceCall(drivers, "crate-status", number, idempotent = true)
    }

    private fun drawSheet(random: SplittableRandom, number: Long): PlannedRequest.Completion {
        val tokens = random.drawTokenCount(PROMPT_TOKENS)
        val sharesPrefix = random.nextInt(PERCENT) < SHARED_PREFIX_PERCENT
        return PlannedRequest.Completion(
            caller = planners,
            kind = "inventory-sheet",
            model = "inventory-sheet",
            prompt = PromptDescription(
                tokens = tokens,
                seed = random.nextLong() xor number,
                prefixTokens = if (sharesPrefix) tokens / 2 else 0,
                prefixSeed = random.nextInt(CLIENT_SHEETS).toLong(),
            ),
            maxTokens = random.drawTokenCount(OUTPUT_TOKENS),
            stream = random.nextInt(REQUESTS_PER_UNSTREAMED) != 0,
        )
    }

    private fun serviceCall(caller: CallerProfile, operation: String, number: Long, idempotent: Boolean = false) =
        PlannedRequest.ServiceCall(
            caller = caller,
            kind = operation,
            service = "handheld",
            operation = operation,
            idempotent = idempotent,
            body = """{"move":$number,"caller":"${caller.name}"}""",
        )

    private companion object {
        val KINDS = listOf("sheet" to 2, "pickup-booking" to 2, "delivery-confirmation" to 2, "crate-status" to 4)
        val PROMPT_TOKENS = 4_000..16_000
        val OUTPUT_TOKENS = 15..40
        const val SHARED_PREFIX_PERCENT = 40
        const val CLIENT_SHEETS = 6
        const val REQUESTS_PER_UNSTREAMED = 10
        const val PERCENT = 100
    }
}
